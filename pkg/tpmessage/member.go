package tpmessage

// Member is a node of the region, as another node knows it. Incarnation
// identifies one run of the node's process. Incarnations of later runs sort
// after those of earlier runs.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"` // host:port for peers
	Zone        string `json:"zone"`    // availability zone
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Suspect     bool   `json:"suspect"`    // no recent heartbeat, but not yet dropped
	Generation  uint64 `json:"generation"` // of the configuration in force
	// Watching is true if the platform answers the member's watch of the
	// configuration head.
	Watching bool `json:"watching"`
}

// ListedVM is the VM of a node on the platform's list of VMs. The list lags
// behind the state of the VMs.
type ListedVM struct {
	Name    string
	Address string // host:port for peers
	Leaving bool
}
