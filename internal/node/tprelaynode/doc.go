// Package tprelaynode connects the filters of a node that relays requests to
// the targets registered with a platform.
package tprelaynode
