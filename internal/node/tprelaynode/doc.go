// Package tprelaynode wires the filters of a node that relays requests to the
// targets that a platform registers.
package tprelaynode
