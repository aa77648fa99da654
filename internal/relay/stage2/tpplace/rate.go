package tpplace

import (
	"math"
	"time"
)

// rate is an exponentially weighted mean of what arrives in a second.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.sum *= math.Exp(-now.Sub(r.at).Seconds() / rateTime.Seconds())
	}
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateTime.Seconds()
}
