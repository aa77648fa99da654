// Package tppeer holds the twirp servers and clients for calls between nodes.
// It converts messages to and from plain structs and makes no decisions.
package tppeer
