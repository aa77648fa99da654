package tpmessage

// Usage is the work that one node has admitted for an organisation since the
// node started. Both counts only rise while the node runs.
type Usage struct {
	Node          string // empty for this node's own usage
	Organisation  string
	PrefillPieces float64
	DecodePieces  float64
}
