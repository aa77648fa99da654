// Package tpload estimates the load of the targets for the router from load
// reports, this node's own sends and cache events. Load is in prefilled
// pieces. A piece is 4,096 tokens (tpmessage.PieceTokens).
package tpload
