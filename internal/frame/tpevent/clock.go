package tpevent

import (
	"sync"

	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// HybridClock is a hybrid logical clock. It never goes back, and it is ahead
// of every reading that it has observed.
type HybridClock struct {
	// Clock is the wall clock; nil means the system clock.
	Clock tpclock.Clock

	mu   sync.Mutex
	last tpmessage.HybridTime
}

// Now returns a reading later than every earlier one.
func (h *HybridClock) Now() tpmessage.HybridTime {
	return h.Observe(tpmessage.HybridTime{})
}

// Observe returns a reading later than t and than every earlier one. It is
// called with the reading that a message carried.
func (h *HybridClock) Observe(t tpmessage.HybridTime) tpmessage.HybridTime {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.Clock == nil {
		h.Clock = tpclock.System{}
	}
	if h.last.Before(t) {
		h.last = t
	}
	wall := tpmessage.HybridTime{Wall: h.Clock.Now().UnixNano()}
	if h.last.Before(wall) {
		h.last = wall
		return h.last
	}
	h.last.Counter++
	return h.last
}
