package tpadmission

import (
	"math"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DecodeWeight is the cost of a decoded piece relative to a prefilled one.
	// One step of the simulated engine prefills 2,048 tokens or decodes 256.
	DecodeWeight = 8.0
	// MinCost is the minimum prefill cost of a request, in pieces: 64 tokens.
	// It gives calls without tokens a cost.
	MinCost = 1.0 / 64

	// minRateInterval is the minimum length of a measuring interval.
	minRateInterval = time.Second
	// rateSmoothing is the weight of the newest interval in the moving average
	// of the rate.
	rateSmoothing = 0.3
)

// Cost returns the cost of the given prefilled and decoded pieces, in prefilled
// pieces.
func Cost(prefill, decode float64) float64 { return prefill + DecodeWeight*decode }

// estimate returns the pieces that a request is expected to prefill and
// decode, at least MinCost for the prefill.
func estimate(req *tpmessage.Request) (prefill, decode float64) {
	return max(req.PrefillPieces(), MinCost), req.DecodePieces()
}

// ServiceRate measures the cost that a node serves per second while requests
// wait. It discards an interval in which the queue was empty, because the rate
// then depends on the arrivals and not on the capacity. The zero value has no
// measurement.
type ServiceRate struct {
	intervalStart time.Time // zero if no interval has begun
	intervalCost  float64   // cost completed since intervalStart
	rate          float64   // cost per second; 0 if not measured yet
}

// Observe records the cost of a completion. waiting is true if requests are
// waiting at now.
func (r *ServiceRate) Observe(now time.Time, cost float64, waiting bool) {
	if !waiting {
		r.intervalStart = time.Time{}
		return
	}
	if r.intervalStart.IsZero() {
		r.intervalStart = now
		r.intervalCost = 0
		return
	}
	r.intervalCost += cost
	elapsed := now.Sub(r.intervalStart)
	if elapsed < minRateInterval {
		return
	}
	sample := r.intervalCost / elapsed.Seconds()
	if r.rate == 0 {
		r.rate = sample
	}
	r.rate += rateSmoothing * (sample - r.rate)
	r.intervalStart = now
	r.intervalCost = 0
}

// Duration returns the time that the node needs to serve cost. It returns
// false if no rate has been measured.
func (r *ServiceRate) Duration(cost float64) (time.Duration, bool) {
	if r.rate <= 0 {
		return 0, false
	}
	return time.Duration(min(cost/r.rate*float64(time.Second), math.MaxInt64/2)), true
}
