package tpenginefake

import (
	"sync/atomic"
	"time"
)

// Faults is the set of faults that a test injects. The zero value injects none.
// Durations are in nanoseconds in JSON. A fault whose name ends in Every
// affects each chunk whose number is a positive multiple of its value; 0
// disables it.
type Faults struct {
	Cuts           int           `json:"cuts"`        // number of next streams to cut; -1 cuts all
	CutAfter       int           `json:"cutAfter"`    // chunks written before a cut
	Delay          time.Duration `json:"delay"`       // added before each chunk
	ReorderEvery   int           `json:"lateEvery"`   // sends the chunk after its successor
	DuplicateEvery int           `json:"doubleEvery"` // sends the chunk twice
	ForeignEvery   int           `json:"crossEvery"`  // sends a chunk of another request before the chunk
	CorruptText    bool          `json:"corrupt"`     // puts the engine's name into the text, so that its answer differs from other engines'
	StopReading    bool          `json:"stopReading"` // leaves the bodies of new requests unread
	Poison         string        `json:"poison"`      // a prompt that contains this text crashes the process; empty disables it
	Leaving        bool          `json:"leaving"`     // reports that the engine is leaving, and refuses new requests
	LoadLag        time.Duration `json:"loadLag"`     // age at which a load report is replaced
	CacheLag       time.Duration `json:"cacheLag"`    // minimum age of a cache event that is reported
	CacheGap       int           `json:"cacheGap"`    // drops each n-th cache event; 0 drops none
}

// faultState shares the injected faults between the engine's goroutine and the
// HTTP handlers.
type faultState struct {
	active   atomic.Pointer[Faults]
	cutsLeft atomic.Int64                  // streams still to cut; negative cuts all
	changed  atomic.Pointer[chan struct{}] // closed when the faults are replaced
}

// SetFaults replaces all faults, also for streams in progress. Only streams
// that start later are cut.
func (e *Engine) SetFaults(f Faults) {
	e.faults.cutsLeft.Store(int64(f.Cuts))
	e.faults.active.Store(&f)
	changed := make(chan struct{})
	if old := e.faults.changed.Swap(&changed); old != nil {
		close(*old)
	}
}

func (s *faultState) current() *Faults { return s.active.Load() }

// claimCut reports whether a new stream is to be cut, and counts it.
func (s *faultState) claimCut() bool {
	for {
		left := s.cutsLeft.Load()
		if left == 0 {
			return false
		}
		if left < 0 || s.cutsLeft.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// waitUntilReading blocks while the fault StopReading is set, or until done is
// closed.
func (s *faultState) waitUntilReading(done <-chan struct{}) {
	for s.current().StopReading {
		select {
		case <-*s.changed.Load():
		case <-done:
			return
		}
	}
}

func isMultiple(n, number int) bool { return n > 0 && number > 0 && number%n == 0 }
