package tpplace

import (
	"math"
	"time"
)

// minRateAge is the shortest time over which a rate is computed.
const minRateAge = 500 * time.Millisecond

// rate is an exponentially weighted moving average of an amount per second. It
// has no bias towards zero after the first amount.
type rate struct {
	sum     float64
	updated time.Time
	started time.Time // time of the first amount
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	if r.started.IsZero() {
		r.started = now
	}
	r.sum += amount
}

func (r *rate) decay(now time.Time) {
	if !r.updated.IsZero() {
		r.sum *= math.Exp(-now.Sub(r.updated).Seconds() / rateTimeConstant.Seconds())
	}
	r.updated = now
}

func (r *rate) value(now time.Time) float64 {
	if r.started.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(now.Sub(r.started), minRateAge)
	weights := -math.Expm1(-age.Seconds() / rateTimeConstant.Seconds())
	return r.sum / (rateTimeConstant.Seconds() * weights)
}
