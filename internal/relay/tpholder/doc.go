// Package tpholder decides when the holder of the region's lease may call the
// duty API.
package tpholder
