package tpplatform

// Paths of the platform's interface. An object's name follows PathObjects.
const (
	// PathObjects takes GET; PUT and DELETE with the query version=N.
	PathObjects = "/objects/"
	// PathList takes GET with the query prefix=P.
	PathList = "/list"
	// PathWatch takes GET with the queries prefix=P and after=N, and waits for
	// a change for at most a time that the platform chooses.
	PathWatch = "/watch"
	// PathVMs takes GET and answers with a list of VM.
	PathVMs = "/vms"
)

// VM is one entry of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`    // availability zone
	Leaving bool   `json:"leaving"`
	// Target is true for a VM that serves requests, false for one of the
	// system's own.
	Target bool `json:"target"`
}

// PutAnswer is the answer to a write.
type PutAnswer struct {
	Version uint64 `json:"version"`
}
