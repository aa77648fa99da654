// Package tpload turns load reports, the node's own sends and cache events
// into the router's view of the targets.
package tpload
