// Package tppeer holds the twirp servers and clients between nodes. It
// converts messages to and from plain structs; the decisions lie elsewhere.
package tppeer
