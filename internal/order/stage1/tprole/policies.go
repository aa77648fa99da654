package tprole

import "time"

// Static is a policy that never changes roles. Other policies are compared with
// it.
type Static struct{}

// PrefillEngines implements Policy.
func (Static) PrefillEngines(o Observation) int { return o.Split.Prefill }

// Greedy is a policy that chooses the best split for every observation and
// ignores the cost of changes. Other policies are compared with it.
type Greedy struct{}

// PrefillEngines implements Policy.
func (Greedy) PrefillEngines(o Observation) int { return o.Split.bestPrefill(o.Demand) }

// SkiRental is a policy that changes roles only when the work lost by not
// changing reaches the cost of the change (Karlin et al., 1988). For a single
// shift of the demand it loses at most twice what a clairvoyant policy loses.
// While another split has no advantage, its accumulated loss decreases, but not
// below zero. A demand that alternates before the loss reaches the cost
// therefore causes no change. With a demand that alternates slightly slower,
// each change would come too late to be useful, so the cost increases while
// changes reverse each other.
type SkiRental struct {
	// ChangeCost is the cost of one role change in prefilled pieces of lost
	// work. The capacity lost during ChangeTime is added to it.
	ChangeCost float64
	// EngineRate is the capacity of one engine in prefilled pieces per second.
	EngineRate float64
	// ChangeTime is the time for which a change takes an engine out of
	// service: drain, change and return.
	ChangeTime time.Duration

	lastAt  time.Time
	losses  []float64 // accumulated loss against each number of prefill engines, in pieces
	damping damping
}

// PrefillEngines implements Policy.
func (p *SkiRental) PrefillEngines(o Observation) int {
	n := o.Split.Changeable() + 1
	if len(p.losses) != n {
		p.losses = make([]float64, n)
		p.lastAt = o.At
	}
	elapsed := o.At.Sub(p.lastAt).Seconds()
	p.lastAt = o.At
	p.accumulate(o, elapsed)
	want := p.bestChange(o.Split)
	if want != o.Split.Prefill {
		p.rebase(want)
		p.damping.recordChange(o.At, want > o.Split.Prefill)
	}
	return want
}

// rebase makes the losses relative to a new split. The loss against a split
// beyond the new one keeps its excess, so that the change of each engine is
// decided independently.
func (p *SkiRental) rebase(to int) {
	baseLoss := p.losses[to]
	for k := range p.losses {
		p.losses[k] = max(0, p.losses[k]-baseLoss)
	}
}

// accumulate adds the work, in pieces, that each other split would have served
// in elapsed seconds in excess of the current one.
func (p *SkiRental) accumulate(o Observation, elapsed float64) {
	served := o.Split.Served(o.Demand)
	for k := range p.losses {
		gain := o.Split.With(k).Served(o.Demand) - served
		p.losses[k] = max(0, p.losses[k]+gain*p.EngineRate*elapsed)
	}
}

// bestChange returns the number of prefill engines whose accumulated loss
// exceeds the cost of the changes by the largest amount. If there is none, it
// returns the current number.
func (p *SkiRental) bestChange(s Split) int {
	best, maxExcess := s.Prefill, 0.0
	for k, loss := range p.losses {
		if excess := loss - p.cost(k-s.Prefill); excess > maxExcess {
			best, maxExcess = k, excess
		}
	}
	return best
}

// cost returns the cost of a number of changes, in pieces. The sign is ignored.
func (p *SkiRental) cost(changes int) float64 {
	each := (p.ChangeCost + p.ChangeTime.Seconds()*p.EngineRate) * p.damping.factor()
	return each * float64(max(changes, -changes))
}
