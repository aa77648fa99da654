package tpadmission

import (
	"math"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DecodeWeight is the cost of a decoded piece relative to a prefilled one:
	// a step of the stand-in engine prefills 2,048 tokens or decodes 256.
	DecodeWeight = 8.0
	// MinCost is the least prefill, in pieces, that a request is charged, so
	// that calls without tokens have a cost: 64 tokens.
	MinCost = 1.0 / 64

	// rateInterval is the shortest time over which the rate is measured.
	rateInterval = time.Second
	// rateGain is the weight of the newest interval in the measured rate.
	rateGain = 0.3
)

// Cost returns the cost of work in prefilled pieces.
func Cost(prefill, decode float64) float64 { return prefill + DecodeWeight*decode }

// estimate returns the pieces that a request is expected to take.
func estimate(req *tpmessage.Request) (prefill, decode float64) {
	return max(req.PrefillPieces(), MinCost), req.DecodePieces()
}

// Rate measures the service rate of a node while work waits. An interval in
// which the queue ran empty says nothing about the capacity and is dropped.
// The zero value has measured nothing.
type Rate struct {
	started time.Time // zero if no interval is open
	done    float64
	rate    float64 // cost a second; 0 if not measured yet
}

// Done counts the cost of a completion. waiting tells whether work waits.
func (r *Rate) Done(now time.Time, cost float64, waiting bool) {
	if !waiting {
		r.started = time.Time{}
		return
	}
	if r.started.IsZero() {
		r.started = now
		r.done = 0
		return
	}
	r.done += cost
	elapsed := now.Sub(r.started)
	if elapsed < rateInterval {
		return
	}
	sample := r.done / elapsed.Seconds()
	if r.rate == 0 {
		r.rate = sample
	}
	r.rate += rateGain * (sample - r.rate)
	r.started = now
	r.done = 0
}

// Duration returns the time that the node takes to serve a cost, and false if
// the rate has not been measured.
func (r *Rate) Duration(cost float64) (time.Duration, bool) {
	if r.rate <= 0 {
		return 0, false
	}
	return time.Duration(min(cost/r.rate*float64(time.Second), math.MaxInt64/2)), true
}
