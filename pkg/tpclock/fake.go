package tpclock

import (
	"sync"
	"time"
)

// Fake is a clock that moves only when a test advances it. The zero value
// starts at the zero time and is ready to use.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	c  chan time.Time
}

// NewFake returns a fake clock that starts at t.
func NewFake(t time.Time) *Fake { return &Fake{now: t} }

// Now returns the instant that the clock was last advanced to.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that receives once the clock has been advanced by d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan time.Time, 1)
	at := f.now.Add(d)
	if d <= 0 {
		c <- f.now
		return c
	}
	f.waiters = append(f.waiters, waiter{at: at, c: c})
	return c
}

// Waiters returns the number of pending After calls.
func (f *Fake) Waiters() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.waiters)
}

// Advance moves the clock by d and wakes every waiter that has become due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	kept := f.waiters[:0]
	for _, w := range f.waiters {
		if w.at.After(f.now) {
			kept = append(kept, w)
			continue
		}
		w.c <- f.now
	}
	f.waiters = kept
}
