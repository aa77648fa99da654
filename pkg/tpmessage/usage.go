package tpmessage

// Usage is the work that one node has admitted for an organisation since the
// node started. Neither count decreases while the node runs, so a lower count
// shows peers that the node has restarted.
type Usage struct {
	Node          string // empty for this node's own usage
	Organisation  string
	PrefillPieces float64
	DecodePieces  float64
}
