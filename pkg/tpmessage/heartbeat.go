package tpmessage

import "time"

// Heartbeat is the state of the region that one node sends to another. The
// receiver answers with a heartbeat of its own.
type Heartbeat struct {
	Members    []MemberState // the sender first
	Generation uint64        // of the configuration in force on the sender
	Usage      []Usage
	Suspects   []SuspectRequest
	Leaving    []LeavingTarget
	Loads      []NodeLoad // of relay nodes only: one entry, from the sender
	Views      []ViewVersion
	Allowances []Allowance // of relay nodes only
	// Brief is true if Members holds only the sender. The receiver then answers
	// with its own entry only.
	Brief bool
}

// ViewVersion identifies the newest view that a node has of a kind of objects.
type ViewVersion struct {
	Kind    string
	Era     uint64 // era of the store, which rises when it is restored from an older copy
	Version uint64 // version of the store; comparable within an era
	Digest  uint64 // hash of the content
	// Disturbed is true if calls to the platform have recently failed, at the
	// node or at one of which it has heard, so that registrations may have
	// expired although their targets are up. DisturbedAge is the time since the
	// last such failure.
	Disturbed    bool
	DisturbedAge time.Duration
	// Confirmed is true if the view is known to hold every change that the
	// platform acknowledged more than ConfirmedAge ago.
	Confirmed    bool
	ConfirmedAge time.Duration
}

// MemberState is the state of one member at one of its heartbeats. Name,
// Address and Zone are empty in a short entry, which only a receiver that knows
// the incarnation can use.
type MemberState struct {
	Member Member
	Beat   uint64 // increases with each heartbeat of the incarnation
}

// SuspectRequest is a request that ran on targets when they crashed. It is
// identified by the hash of its content.
type SuspectRequest struct {
	Fingerprint uint64   `json:"fingerprint"`
	Targets     []string `json:"targets"`           // targets on which it ran when they crashed, one for each crash
	Cleared     bool     `json:"cleared,omitempty"` // the request completed after these crashes
	// Answered is true if such requests were answered shortly before these
	// crashes. Heartbeats do not carry it.
	Answered bool `json:"answered,omitempty"`
}
