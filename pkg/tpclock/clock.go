package tpclock

import "time"

// Clock tells the time and wakes callers after a delay.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system. The zero value is ready to use.
type System struct{}

// Now returns the current system time.
func (System) Now() time.Time { return time.Now() }

// After waits for d on the system clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
