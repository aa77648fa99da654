package tpmessage

import "time"

// Role is the kind of work that an engine is set up for.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Target is a model engine or a plain service that the system routes to.
type Target struct {
	Name    string `json:"name" yaml:"name"`
	Address string `json:"address" yaml:"address"` // host:port
	Zone    string `json:"zone" yaml:"zone"`       // availability zone
}

// LoadReport is an engine's own account of its load at an instant.
type LoadReport struct {
	Target         string    `json:"target"`
	At             time.Time `json:"at"`             // when the engine took the report
	WaitingPrefill float64   `json:"waitingPrefill"` // pieces
	WaitingDecode  float64   `json:"waitingDecode"`  // pieces
	Running        int       `json:"running"`        // streams in the batch
	FreeCache      int64     `json:"freeCache"`      // tokens
	Role           Role      `json:"role"`
	Model          string    `json:"model"`
	Version        string    `json:"version,omitempty"` // of the model
	Adapter        string    `json:"adapter,omitempty"` // loaded beside the model
	Leaving        bool      `json:"leaving"`
}

// CacheEvent tells that an engine stored or evicted a prompt prefix. Events
// arrive late and with gaps.
type CacheEvent struct {
	Target     string `json:"target"`
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefixHash"`
	Evicted    bool   `json:"evicted"`
}

// LeavingTarget is a target that was found to be leaving, as nodes tell it to
// each other.
type LeavingTarget struct {
	Name string        `json:"name"`
	Age  time.Duration `json:"age"` // since a node last saw a signal of its own
}
