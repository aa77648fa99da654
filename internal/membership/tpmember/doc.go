// Package tpmember tracks which nodes and targets of a region are live or
// leaving, and determines the node that is responsible for a key.
package tpmember
