package tpmessage

import "time"

// EngineState is what an order asks of an engine, and what an engine reports.
type EngineState struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    Role   `json:"role"`
}

// Order asks one engine for one state. A repeat of the same number is the
// same order.
type Order struct {
	Engine  string      `json:"engine"`
	Number  uint64      `json:"number"`  // rises by one with each order to the engine
	Fencing uint64      `json:"fencing"` // fencing number of the lease under which it was written
	Lease   string      `json:"lease"`
	Want    EngineState `json:"want"`
}

// Lease is the authority over a named resource for a bounded time.
type Lease struct {
	Name    string        `json:"name"`
	Holder  string        `json:"holder"`
	Fencing uint64        `json:"fencing"` // rises with each grant
	Term    time.Duration `json:"term"`
	Nonce   string        `json:"nonce"` // identifies the write, to settle lost answers
}

// Authority is what a lease allows its holder at an instant.
type Authority struct {
	Lease   string
	Held    bool
	Fencing uint64
	Until   time.Time // the holder no longer acts from this instant on its own clock
	// Fenced is false for the naive lease alone: nothing checks the holder.
	Fenced bool
}
