package tprole

import (
	"math"
	"time"
)

const (
	// maxDamping bounds the rise of the cost of a change to 8 times.
	maxDamping = 7.0
	// dampingTime is the time after which the rise has fallen to 1/e. With
	// 60 s to 300 s a demand that flaps every 30 s causes 11 or 12 changes in
	// ten minutes instead of 78.
	dampingTime = 120 * time.Second
)

// damping raises the cost of changes that reverse each other. The zero value
// raises nothing.
type damping struct {
	rise     float64
	reversed time.Time // latest reversal, or the first change
	up       bool      // direction of the latest change
}

// factor returns the factor by which the cost of a change is raised.
func (d *damping) factor() float64 { return 1 + d.rise }

// changed takes a change of the number of prefill engines.
func (d *damping) changed(now time.Time, up bool) {
	first := d.reversed.IsZero()
	if !first && up != d.up {
		keep := math.Exp(-now.Sub(d.reversed).Seconds() / dampingTime.Seconds())
		d.rise = min(2*d.rise+1, maxDamping) * keep
	}
	if first || up != d.up {
		d.reversed = now
	}
	d.up = up
}
