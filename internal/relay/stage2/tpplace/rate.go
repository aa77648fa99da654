package tpplace

import (
	"math"
	"time"
)

// rate is an exponentially weighted moving average of an amount per second.
type rate struct {
	sum     float64
	updated time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

func (r *rate) decay(now time.Time) {
	if !r.updated.IsZero() {
		r.sum *= math.Exp(-now.Sub(r.updated).Seconds() / rateTimeConstant.Seconds())
	}
	r.updated = now
}

func (r *rate) value(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateTimeConstant.Seconds()
}
