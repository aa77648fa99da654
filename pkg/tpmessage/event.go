package tpmessage

// HybridTime is a hybrid logical clock reading: wall time in nanoseconds and
// a counter that orders events within it.
type HybridTime struct {
	Wall    int64  `json:"wall"`
	Counter uint32 `json:"counter"`
}

// Before reports whether t is ordered before u.
func (t HybridTime) Before(u HybridTime) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Counter < u.Counter
}

// Event is one entry of the timeline. Identities that do not apply are empty.
type Event struct {
	Time         HybridTime `json:"time"`
	Process      string     `json:"process"`
	Sequence     uint64     `json:"sequence"` // rises by one with each event of the process
	Kind         string     `json:"kind"`
	Request      string     `json:"request,omitempty"`
	Target       string     `json:"target,omitempty"`
	Organisation string     `json:"organisation,omitempty"`
	Lease        string     `json:"lease,omitempty"`
	Order        uint64     `json:"order,omitempty"`
	Generation   uint64     `json:"generation,omitempty"`
	Detail       string     `json:"detail,omitempty"`
}
