package tprole

import (
	"math"
	"time"
)

const (
	// maxDamping is the maximum increase of the cost of a change, as a multiple
	// of the undamped cost. The factor on the cost is thus at most 8.
	maxDamping = 7.0
	// dampingTimeConstant is the time in which the increase of the cost decays
	// to 1/e. Any value from 60 s to 300 s reduces the changes that a demand
	// alternating every 30 s causes in ten minutes from 78 to 11 or 12.
	dampingTimeConstant = 120 * time.Second
)

// damping increases the cost of changes while they reverse each other. The zero
// value leaves the cost unchanged.
type damping struct {
	increase     float64
	lastReversal time.Time // time of the latest reversal, or of the first change
	up           bool      // the latest change increased the number of prefill engines
}

// factor returns the factor on the cost of a change, from 1 to 1+maxDamping.
func (d *damping) factor() float64 { return 1 + d.increase }

// recordChange records a change of the number of prefill engines. A reversal of
// the direction doubles the increase of the cost and adds 1, up to maxDamping.
// The result decays exponentially with the time since the previous reversal.
func (d *damping) recordChange(now time.Time, up bool) {
	first := d.lastReversal.IsZero()
	if !first && up != d.up {
		decay := math.Exp(-now.Sub(d.lastReversal).Seconds() / dampingTimeConstant.Seconds())
		d.increase = min(2*d.increase+1, maxDamping) * decay
	}
	if first || up != d.up {
		d.lastReversal = now
	}
	d.up = up
}
