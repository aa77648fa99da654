package tprolecontrol

import (
	"math"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
)

const (
	// DefaultPrefillFraction is the fraction of the engines that have the
	// prefill role before there is demand, if the settings name none and the
	// engines have referenceSlots slots. It is 13 of 18 engines, which suits the
	// request mix of the smaller deployments: 9 to 12 are too few for the
	// prompts, and 14 are too many on some days.
	DefaultPrefillFraction = 0.73
	// referenceSlots is the number of slots of the engines in these deployments.
	referenceSlots = 64
	// prefillTolerance is the number of missing prefill engines that causes no
	// change of role while there is demand, because each change takes an engine
	// out of service for seconds. A missing decode engine is always replaced:
	// runs that find no free decode engine fail, while prompts that wait are
	// only late.
	prefillTolerance = 1
	// idleDemandEngines is the demand, in engines, below which a change of role
	// disturbs no requests. Below it, prefillTolerance does not apply.
	idleDemandEngines = 0.1
	// roundingOffset is added before the number of prefill engines is rounded
	// down. It is less than 0.5 and so favours decode engines, for the reason
	// given at prefillTolerance.
	roundingOffset = 0.1
	// smoothingTimeConstant is the time constant of the moving average of the
	// demand. Bursts of a single kind of request last some seconds, about as
	// long as a change of role.
	smoothingTimeConstant = 6 * time.Second
	// initialPeriod is the time with demand before the split may change.
	initialPeriod = 6 * time.Second
	// warmUpPeriod is the time with demand in which the caches of the engines
	// fill. Until then prompts are read whole, so that the demand for prefill
	// engines is higher than it will be, and no engine is taken from the decode
	// role for it.
	warmUpPeriod = 12 * time.Second
	// stablePeriod is the time for which another split must have reduced the
	// expected delay by minGain before the split changes.
	stablePeriod = 3 * time.Second
	// minGain is the fraction by which another split must reduce the expected
	// delay. A smaller gain does not outweigh the time for which changes take
	// engines out of service.
	minGain = 0.4
	// overloadGain is the fraction of the expected delay from which a role counts
	// as overloaded. The split then changes after overloadPeriod, because
	// requests fail meanwhile.
	overloadGain   = 0.8
	overloadPeriod = 1500 * time.Millisecond
	// decodeDelayWeight is the weight of the delay of a token relative to the
	// delay of a prompt. Every token of an answer is delayed, and a growing
	// batch slows down gradually.
	decodeDelayWeight = 4.0
	// saturationUtilisation is the utilisation above which the queue delay is
	// assumed to grow linearly with the demand.
	saturationUtilisation = 0.9
)

// Balance keeps a fraction of the engines in the prefill role while engines
// start and stop. It changes this fraction when the demand has changed for
// longer than a burst. It is a tprole.Policy.
type Balance struct {
	// PrefillFraction is the initial fraction of the engines with the prefill
	// role. Zero means the default fraction for engines with Slots slots.
	PrefillFraction float64
	// Slots is the number of requests in one batch of an engine. Zero means
	// referenceSlots.
	Slots int
	// Adopt replaces PrefillFraction by the split of the first observation.
	// Later holders of the lease set it, because an earlier holder may have
	// adapted the split to the demand.
	Adopt bool

	demand      tprole.Demand // moving average
	demandSince time.Time     // start of the present demand, or zero
	lastUpdate  time.Time     // time of the last observation
	betterSince time.Time     // since when another split has a shorter expected delay, or zero
}

var _ tprole.Policy = (*Balance)(nil)

// PrefillEngines implements tprole.Policy. It returns the wanted number of
// engines with the prefill role.
func (b *Balance) PrefillEngines(o tprole.Observation) int {
	n := o.Split.Changeable()
	if n < 2 {
		return o.Split.Prefill
	}
	if b.Adopt {
		b.PrefillFraction, b.Adopt = float64(o.Split.Prefill)/float64(n), false
	}
	if b.PrefillFraction <= 0 {
		b.PrefillFraction = defaultFraction(b.Slots)
	}
	busy := o.Demand.Prefill+o.Demand.Decode > idleDemandEngines
	b.updateFraction(o, busy)
	want := prefillEngines(b.PrefillFraction, n)
	missing := want - o.Split.Prefill
	if busy && missing >= 0 && missing <= prefillTolerance {
		return o.Split.Prefill
	}
	return want
}

// updateFraction changes the fraction if another split has had a sufficiently
// shorter expected delay for stablePeriod.
func (b *Balance) updateFraction(o tprole.Observation, busy bool) {
	elapsed := o.At.Sub(b.lastUpdate)
	b.lastUpdate = o.At
	if !busy {
		b.demandSince, b.betterSince = time.Time{}, time.Time{}
		return
	}
	if b.demandSince.IsZero() {
		b.demandSince, b.demand = o.At, o.Demand
		return
	}
	weight := smoothingWeight(elapsed, o.At.Sub(b.demandSince))
	b.demand.Prefill += weight * (o.Demand.Prefill - b.demand.Prefill)
	b.demand.Decode += weight * (o.Demand.Decode - b.demand.Decode)
	n := o.Split.Changeable()
	currentDelay := expectedDelay(b.demand, n, prefillEngines(b.PrefillFraction, n))
	bestPrefill, minDelay := 0, currentDelay
	maxPrefill := n - 1
	if o.At.Sub(b.demandSince) < warmUpPeriod {
		maxPrefill = prefillEngines(b.PrefillFraction, n)
	}
	for k := 1; k <= maxPrefill; k++ {
		if delay := expectedDelay(b.demand, n, k); delay < minDelay {
			bestPrefill, minDelay = k, delay
		}
	}
	if bestPrefill == 0 || currentDelay-minDelay < minGain*currentDelay {
		b.betterSince = time.Time{}
		return
	}
	if b.betterSince.IsZero() {
		b.betterSince = o.At
	}
	demandAge, betterFor := o.At.Sub(b.demandSince), o.At.Sub(b.betterSince)
	overloaded := currentDelay-minDelay >= overloadGain*currentDelay
	if demandAge >= initialPeriod && betterFor >= stablePeriod || overloaded && betterFor >= overloadPeriod {
		b.PrefillFraction, b.betterSince = float64(bestPrefill)/float64(n), time.Time{}
	}
}

// smoothingWeight returns the weight of an observation in the moving average of
// the demand. Elapsed is the time since the observation before, and age the time
// since the first one. While the age is short, all observations count the same,
// so that a first one that is too low has no lasting effect.
func smoothingWeight(elapsed, age time.Duration) float64 {
	if elapsed <= 0 {
		return 0
	}
	return max(-math.Expm1(-elapsed.Seconds()/smoothingTimeConstant.Seconds()), elapsed.Seconds()/max(age, elapsed).Seconds())
}

// defaultFraction returns the initial fraction of the engines with the prefill
// role. Engines with fewer slots generate fewer tokens per second, so that the
// same requests need more engines with the decode role.
func defaultFraction(slots int) float64 {
	if slots <= 0 {
		slots = referenceSlots
	}
	decode := (1 - DefaultPrefillFraction) * tpplace.DecodeTokenMs(slots) / tpplace.DecodeTokenMs(referenceSlots)
	return DefaultPrefillFraction / (DefaultPrefillFraction + decode)
}

// prefillEngines returns how many of n engines have the prefill role. Each role
// has at least one engine.
func prefillEngines(fraction float64, n int) int {
	return min(max(int(fraction*float64(n)+roundingOffset), 1), n-1)
}

// expectedDelay returns the weighted queue delay of both roles with k of n
// engines in the prefill role, relative to the service time.
func expectedDelay(d tprole.Demand, n, k int) float64 {
	return queueDelay(d.Prefill/float64(k)) + decodeDelayWeight*queueDelay(d.Decode/float64(n-k))
}

// queueDelay returns the mean queue delay relative to the service time at a
// given utilisation, according to the formula for a queue with one server.
func queueDelay(utilisation float64) float64 {
	if utilisation < saturationUtilisation {
		return utilisation / (1 - utilisation)
	}
	slope := 1 / ((1 - saturationUtilisation) * (1 - saturationUtilisation))
	return saturationUtilisation/(1-saturationUtilisation) + slope*(utilisation-saturationUtilisation)
}
