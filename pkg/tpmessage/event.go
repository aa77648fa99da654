package tpmessage

// HybridTime is a reading of a hybrid logical clock. Counter orders events with
// the same wall time.
type HybridTime struct {
	Wall    int64  `json:"wall"` // nanoseconds
	Counter uint32 `json:"counter"`
}

// Before reports whether t is earlier than u.
func (t HybridTime) Before(u HybridTime) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Counter < u.Counter
}

// Event is one entry of the timeline. Fields that do not apply are empty or
// zero.
type Event struct {
	Time         HybridTime `json:"time"`
	Process      string     `json:"process"`
	Sequence     uint64     `json:"sequence"` // increases by one with each event of the process
	Kind         string     `json:"kind"`
	Request      string     `json:"request,omitempty"`
	Target       string     `json:"target,omitempty"`
	Organisation string     `json:"organisation,omitempty"`
	Lease        string     `json:"lease,omitempty"`
	Order        uint64     `json:"order,omitempty"`
	Generation   uint64     `json:"generation,omitempty"`
	Detail       string     `json:"detail,omitempty"`
}
