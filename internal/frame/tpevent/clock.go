package tpevent

import (
	"sync"

	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// HybridClock is a hybrid logical clock. Each reading is later than all earlier
// readings and than all readings of other clocks that it has observed. It is
// safe for concurrent use.
type HybridClock struct {
	// Clock is the wall clock; nil means the system clock.
	Clock tpclock.Clock

	mu   sync.Mutex
	last tpmessage.HybridTime
}

// Now returns a reading later than every earlier reading.
func (h *HybridClock) Now() tpmessage.HybridTime {
	return h.Observe(tpmessage.HybridTime{})
}

// Observe returns a reading later than t and than every earlier reading. The
// receiver of a message calls it with the reading that the message carries.
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
