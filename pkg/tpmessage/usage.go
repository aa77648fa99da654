package tpmessage

// Usage is the work that one node has admitted for an organisation since the
// node started. Both counts never decrease while the node runs, so a peer takes
// a lower count for a restart.
type Usage struct {
	Node          string // empty for this node's own usage
	Organisation  string
	PrefillPieces float64
	DecodePieces  float64
}
