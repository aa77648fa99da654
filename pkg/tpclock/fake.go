package tpclock

import (
	"sync"
	"time"
)

// Fake is a clock for tests that advances only through Advance. The zero value
// is ready to use and starts at the zero time. Its methods may be called
// concurrently.
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

// Now returns the time to which the clock was last advanced.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that receives the time when the clock has advanced by
// d. If d is not positive, the channel receives it immediately.
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

// Waiters returns the number of After calls whose delay has not passed.
func (f *Fake) Waiters() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.waiters)
}

// Advance advances the clock by d and signals the After calls whose delay has
// passed.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	pending := f.waiters[:0]
	for _, w := range f.waiters {
		if w.at.After(f.now) {
			pending = append(pending, w)
			continue
		}
		w.c <- f.now
	}
	f.waiters = pending
}
