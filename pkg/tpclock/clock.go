package tpclock

import "time"

// Clock returns the current time and signals the end of delays.
type Clock interface {
	// Now returns the current time, with a monotonic reading.
	Now() time.Time
	// After returns a channel that receives the current time after d.
	After(d time.Duration) <-chan time.Time
}

// System is the system clock, as package time reads it. Its monotonic reading
// does not advance while the machine is suspended. The zero value is ready to
// use.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
