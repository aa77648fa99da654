package tpenginefake

import (
	"sync/atomic"
	"time"
)

// Faults is the state of the faults on command. The zero value has none.
// Durations are in nanoseconds in JSON. A fault "every n" acts on each chunk
// whose number is a multiple of n, from n on.
type Faults struct {
	Cuts        int           `json:"cuts"`        // number of next streams to cut; -1 cuts all
	CutAfter    int           `json:"cutAfter"`    // chunks sent before a cut
	Delay       time.Duration `json:"delay"`       // added before each chunk
	LateEvery   int           `json:"lateEvery"`   // sends the chunk after its successor
	DoubleEvery int           `json:"doubleEvery"` // sends the chunk twice
	CrossEvery  int           `json:"crossEvery"`  // sends a chunk of another request first
	Corrupt     bool          `json:"corrupt"`     // gives an answer unlike that of other engines
	StopReading bool          `json:"stopReading"` // leaves bodies of new requests unread
	Poison      string        `json:"poison"`      // a prompt with this text crashes the process
	Leaving     bool          `json:"leaving"`     // reports leaving and refuses new requests
	LoadLag     time.Duration `json:"loadLag"`     // age that load reports reach
	CacheLag    time.Duration `json:"cacheLag"`    // age from which cache events are told
	CacheGap    int           `json:"cacheGap"`    // each n-th cache event is never told
}

// faultState holds the faults for the duty and the handlers.
type faultState struct {
	p       atomic.Pointer[Faults]
	cut     atomic.Int64 // streams still to cut
	changed atomic.Pointer[chan struct{}]
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.faults.cut.Store(int64(f.Cuts))
	e.faults.p.Store(&f)
	changed := make(chan struct{})
	if old := e.faults.changed.Swap(&changed); old != nil {
		close(*old)
	}
}

func (s *faultState) now() *Faults { return s.p.Load() }

// takeCut reports whether a new stream is one to cut.
func (s *faultState) takeCut() bool {
	for {
		n := s.cut.Load()
		if n == 0 {
			return false
		}
		if n < 0 || s.cut.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// waitReading blocks while the engine does not read, until done is closed.
func (s *faultState) waitReading(done <-chan struct{}) {
	for s.now().StopReading {
		select {
		case <-*s.changed.Load():
		case <-done:
			return
		}
	}
}

func every(n, number int) bool { return n > 0 && number > 0 && number%n == 0 }
