package tpmessage

// Member is a node of the region as another node knows it.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"` // host:port for peers
	Zone        string `json:"zone"`    // availability zone
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Suspect     bool   `json:"suspect"`    // silent, but not yet dropped
	Generation  uint64 `json:"generation"` // of the configuration in force
	// Watching is true if the platform answers the member's watch of the head.
	Watching bool `json:"watching"`
}

// ListedVM is a node's VM on the platform's list, which lags behind.
type ListedVM struct {
	Name    string
	Address string // host:port for peers
	Leaving bool
}
