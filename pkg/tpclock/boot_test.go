package tpclock_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/pkg/tpclock"
)

// Guards against a clock that does not advance while the machine is suspended,
// with which a holder would act on a lease that another node holds by then.
func TestBootCountsSuspension(t *testing.T) {
	var suspended time.Duration
	c := &tpclock.BootTime{Suspended: func() (time.Duration, error) { return suspended, nil }}
	until := c.Now().Add(3 * time.Second)
	if !c.Now().Before(until) {
		t.Fatal("a bound of 3 s is over immediately")
	}
	suspended = 4 * time.Second
	if c.Now().Before(until) {
		t.Error("a bound of 3 s is not over after a suspension of 4 s")
	}
}

// Guards against a clock that does not advance when it reads the suspension
// from the kernel of this machine.
func TestBootRuns(t *testing.T) {
	c := &tpclock.BootTime{}
	before := c.Now()
	<-c.After(10 * time.Millisecond)
	if got := c.Now().Sub(before); got < 10*time.Millisecond {
		t.Errorf("time between two readings: got %v, want 10ms or more", got)
	}
}
