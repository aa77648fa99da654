package tpshift

import (
	"math"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
)

const (
	// DefaultPrefillPart is the part of the engines that read prompts before
	// there is demand, if the settings name none. With the mix of both
	// deployments 13 of 18 earn more than 9 to 12, and 14 lose on some days.
	DefaultPrefillPart = 0.73
	// tolerance is the number of prefill engines that may be missing while
	// targets are replaced. Each change takes an engine away for seconds. No
	// decode engine may be missing, because runs that find no room fail, while
	// prompts that wait are only late.
	tolerance = 1
	// idleDemand is the demand, in engines, below which a change takes nothing
	// from anybody, so that the split is made exact.
	idleDemand = 0.1
	// rounding favours decode engines, for the same reason as tolerance.
	rounding = 0.1
	// smoothing is the time over which the demand is averaged. Bursts of single
	// kinds of request last some seconds, about as long as a change of role.
	smoothing = 6 * time.Second
	// settling is the time of demand before the part is first changed.
	settling = 6 * time.Second
	// patience is how long another split has to promise less waiting before it
	// is wanted.
	patience = 3 * time.Second
	// leastGain is the part of the expected waiting that another split has to
	// save, since a change takes engines away.
	leastGain = 0.4
	// decodeWeight is what waiting for a token weighs against waiting for a
	// prompt: every token of an answer waits, and a batch slows gradually.
	decodeWeight = 4.0
	// nearFull is the use of engines above which waiting is taken to grow in
	// proportion to the demand.
	nearFull = 0.9
)

// Balance keeps a part of the engines reading prompts while engines come and
// go, and changes that part when the demand has moved for good. It is a
// tprole.Policy.
type Balance struct {
	// Part is the part of the engines that read prompts at first; zero means
	// DefaultPrefillPart.
	Part float64
	// Adopt takes the part that is found at first instead. A holder of the
	// lease that is not the first one knows no better.
	Adopt bool

	demand tprole.Demand // smoothed
	began  time.Time     // of the demand
	last   time.Time
	better time.Time // since when another split is better, or zero
}

var _ tprole.Policy = (*Balance)(nil)

// Want implements tprole.Policy.
func (b *Balance) Want(o tprole.Observation) int {
	n := o.Split.Changeable()
	if n < 2 {
		return o.Split.Prefill
	}
	if b.Adopt {
		b.Part, b.Adopt = float64(o.Split.Prefill)/float64(n), false
	}
	if b.Part <= 0 {
		b.Part = DefaultPrefillPart
	}
	busy := o.Demand.Prefill+o.Demand.Decode > idleDemand
	b.follow(o, busy)
	want := engines(b.Part, n)
	off := want - o.Split.Prefill
	if busy && off >= 0 && off <= tolerance {
		return o.Split.Prefill
	}
	return want
}

// follow changes the part if another one has been better for long enough.
func (b *Balance) follow(o tprole.Observation, busy bool) {
	elapsed := o.At.Sub(b.last)
	b.last = o.At
	if !busy {
		b.began, b.better = time.Time{}, time.Time{}
		return
	}
	if b.began.IsZero() {
		b.began, b.demand = o.At, o.Demand
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	b.demand.Prefill += weight * (o.Demand.Prefill - b.demand.Prefill)
	b.demand.Decode += weight * (o.Demand.Decode - b.demand.Decode)
	n := o.Split.Changeable()
	now := waiting(b.demand, n, engines(b.Part, n))
	best, least := 0, now
	for k := 1; k < n; k++ {
		if w := waiting(b.demand, n, k); w < least {
			best, least = k, w
		}
	}
	if best == 0 || now-least < leastGain*now {
		b.better = time.Time{}
		return
	}
	if b.better.IsZero() {
		b.better = o.At
	}
	if o.At.Sub(b.began) >= settling && o.At.Sub(b.better) >= patience {
		b.Part, b.better = float64(best)/float64(n), time.Time{}
	}
}

// engines returns the number of n engines that read prompts; each role has one.
func engines(part float64, n int) int {
	return min(max(int(part*float64(n)+rounding), 1), n-1)
}

// waiting returns what a demand waits with k of n engines reading prompts, in
// times of the work itself.
func waiting(d tprole.Demand, n, k int) float64 {
	return delay(d.Prefill/float64(k)) + decodeWeight*delay(d.Decode/float64(n-k))
}

// delay returns the waiting at engines in use to a part, by the formula of a
// queue with one server.
func delay(use float64) float64 {
	if use < nearFull {
		return use / (1 - use)
	}
	slope := 1 / ((1 - nearFull) * (1 - nearFull))
	return nearFull/(1-nearFull) + slope*(use-nearFull)
}
