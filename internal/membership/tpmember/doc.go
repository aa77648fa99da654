// Package tpmember decides which nodes of a region are live, and which of
// them is responsible for a key.
package tpmember
