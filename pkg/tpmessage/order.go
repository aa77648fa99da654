package tpmessage

import "time"

// EngineState is the model, adapter and role that an order requests of an
// engine or that an engine reports.
type EngineState struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    Role   `json:"role"`
}

// Order requests that one engine change to one state. Orders to an engine with
// the same number are the same order.
type Order struct {
	Engine  string      `json:"engine"`
	Number  uint64      `json:"number"`  // increases by one with each order to the engine
	Fencing uint64      `json:"fencing"` // fencing number of the lease under which the order was written
	Lease   string      `json:"lease"`
	Want    EngineState `json:"want"`
}

// Lease gives its holder the authority over a named resource for a limited
// time.
type Lease struct {
	Name    string        `json:"name"`
	Holder  string        `json:"holder"`
	Fencing uint64        `json:"fencing"` // increases with each grant
	Term    time.Duration `json:"term"`
	Era     uint64        `json:"era,omitempty"` // era of the store that the writer knew
	Nonce   string        `json:"nonce"`         // identifies the write, to find its outcome after a lost answer
}

// Authority is the state of a lease at an instant, as its holder knows it.
type Authority struct {
	Lease   string
	Held    bool
	Fencing uint64
	Until   time.Time // end of the authority, on the holder's own clock
	// Fenced is false only under the naive lease policy, for which nothing
	// checks that the holder still holds the lease.
	Fenced bool
}
