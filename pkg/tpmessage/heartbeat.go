package tpmessage

// Heartbeat is what one node tells another about the region. The answer to a
// heartbeat is a heartbeat.
type Heartbeat struct {
	Members    []MemberBeat // the sender first
	Generation uint64       // of the configuration in force on the sender
	Usage      []Usage
	Suspects   []Suspect
	Leaving    []LeavingTarget
	Loads      []NodeLoad // of the relay, the sender's alone
	Views      []ViewMark
	// Brief is true if only the sender's own entry is told and asked for.
	Brief bool
}

// ViewMark tells how far a node has followed a kind of objects.
type ViewMark struct {
	Kind    string
	Version uint64 // of the store
	Digest  uint64 // of the content
	// Disturbed is true if the platform has lately failed the node, so that
	// registrations may have lapsed.
	Disturbed bool
}

// MemberBeat is news of one member. Name, Address and Zone are empty in a
// short entry, which only a receiver that knows the incarnation can use.
type MemberBeat struct {
	Member Member
	Beat   uint64 // rises with each heartbeat of the incarnation
}

// Suspect is a request, by the fingerprint of its content, that ran on targets
// when they crashed.
type Suspect struct {
	Fingerprint uint64   `json:"fingerprint"`
	Targets     []string `json:"targets"`           // targets that it was running on, one for each crash
	Cleared     bool     `json:"cleared,omitempty"` // it completed after the crash
}
