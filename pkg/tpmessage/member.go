package tpmessage

// Member is a node of the region as another node knows it.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"` // host:port for peers
	Zone        string `json:"zone"`    // availability zone
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Generation  uint64 `json:"generation"` // of the configuration in force
}
