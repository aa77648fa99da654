// Package tppeer holds the twirp servers and clients between nodes, and the
// conversion between wire messages and plain structs.
package tppeer
