package tpclock_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/pkg/tpclock"
)

// Guards against a clock that stands still while the machine is suspended, by
// which a holder would use a lease that has passed to another one.
func TestBootCountsSuspension(t *testing.T) {
	var suspended time.Duration
	c := &tpclock.Boot{Suspended: func() (time.Duration, error) { return suspended, nil }}
	until := c.Now().Add(3 * time.Second)
	if !c.Now().Before(until) {
		t.Fatal("3 s are over at once")
	}
	suspended = 4 * time.Second
	if c.Now().Before(until) {
		t.Error("a bound of 3 s holds after a suspension of 4 s")
	}
}

// Guards against readings of the kernel that cannot be had here.
func TestBootRuns(t *testing.T) {
	c := &tpclock.Boot{}
	before := c.Now()
	<-c.After(10 * time.Millisecond)
	if got := c.Now().Sub(before); got < 10*time.Millisecond {
		t.Errorf("time between two readings: got %v, want 10ms or more", got)
	}
}
