package tpplatform

// URL paths of the platform's API.
const (
	// PathObjects is followed by the name of an object. It accepts GET, and PUT
	// and DELETE with the query version=N.
	PathObjects = "/objects/"
	// PathList accepts GET with the query prefix=P.
	PathList = "/list"
	// PathWatch accepts GET with the query prefix=P&after=N. The platform
	// answers on a change, or without changes after a time that it chooses.
	PathWatch = "/watch"
	// PathVMs accepts GET and returns a list of VM.
	PathVMs = "/vms"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`    // availability zone
	Leaving bool   `json:"leaving"`
	// RunsTarget is true for a VM that runs a target, and false for a VM of the
	// serving system itself.
	RunsTarget bool `json:"target"`
}

// PutResponse is the JSON answer to a write. Version is the new version of the
// object.
type PutResponse struct {
	Version uint64 `json:"version"`
}
