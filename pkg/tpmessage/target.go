package tpmessage

import "time"

// Role is the kind of work that an engine is configured for.
type Role string

// Values of Role.
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

// LoadReport is the load of an engine at an instant, as the engine reports it.
// Leaving is true if the engine announces that it is shutting down.
type LoadReport struct {
	Target          string    `json:"target"`
	At              time.Time `json:"at"`             // when the engine made the report
	WaitingPrefill  float64   `json:"waitingPrefill"` // pieces
	WaitingDecode   float64   `json:"waitingDecode"`  // pieces
	Running         int       `json:"running"`        // number of streams in the batch
	FreeCacheTokens int64     `json:"freeCache"`      // tokens that fit into the free part of the KV cache
	Role            Role      `json:"role"`
	Model           string    `json:"model"`
	Version         string    `json:"version,omitempty"` // of the model
	Adapter         string    `json:"adapter,omitempty"` // adapter loaded with the model
	Leaving         bool      `json:"leaving"`
}

// CacheEvent reports that an engine stored or evicted a prompt prefix. Events
// can arrive late, and some are lost.
type CacheEvent struct {
	Target     string `json:"target"`
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefixHash"`
	Evicted    bool   `json:"evicted"`
}

// LeavingTarget is a target that is leaving, as nodes report it to each other.
type LeavingTarget struct {
	Name string        `json:"name"`
	Age  time.Duration `json:"age"` // since a node last had direct evidence that the target is leaving
}
