package tprole

import "time"

// Static keeps the roles as they are. It is a naive policy.
type Static struct{}

// Want implements Policy.
func (Static) Want(o Observation) int { return o.Split.Prefill }

// Follow takes the best split for every report, whatever the changes cost. It
// is a naive policy.
type Follow struct{}

// Want implements Policy.
func (Follow) Want(o Observation) int { return o.Split.best(o.Demand) }

// SkiRental changes roles only when the work that was lost by not changing
// reaches the cost of the change (Karlin et al., 1988), so that it loses at
// most twice what a clairvoyant policy loses in one shift. A split whose
// advantage comes and goes has its loss counted down again, but not below
// zero, so a demand that flaps faster than the cost causes no change. A demand
// that flaps just slower would make each change too late to be of use, so the
// cost rises while changes reverse each other.
type SkiRental struct {
	// Weight is the cost of one role change in prefilled pieces of lost work,
	// beyond the capacity that is lost while the engine changes.
	Weight float64
	// EngineRate is the work of one engine in prefilled pieces a second.
	EngineRate float64
	// ChangeTime is the time for which a change takes an engine out of
	// service: drain, change and return.
	ChangeTime time.Duration

	last    time.Time
	losses  []float64 // by number of prefill engines, in pieces
	damping damping
}

// Want implements Policy.
func (p *SkiRental) Want(o Observation) int {
	n := o.Split.Changeable() + 1
	if len(p.losses) != n {
		p.losses = make([]float64, n)
		p.last = o.At
	}
	elapsed := o.At.Sub(p.last).Seconds()
	p.last = o.At
	p.accumulate(o, elapsed)
	want := p.worthwhile(o.Split)
	if want != o.Split.Prefill {
		p.rebase(want)
		p.damping.changed(o.At, want > o.Split.Prefill)
	}
	return want
}

// rebase makes the losses relative to a new split. What a further split would
// have served beyond the new one counts on, so that each engine's change is
// decided as if it were alone.
func (p *SkiRental) rebase(to int) {
	spent := p.losses[to]
	for k := range p.losses {
		p.losses[k] = max(0, p.losses[k]-spent)
	}
}

// accumulate adds what each other split would have served beyond the present one.
func (p *SkiRental) accumulate(o Observation, elapsed float64) {
	served := o.Split.Served(o.Demand)
	for k := range p.losses {
		gain := o.Split.With(k).Served(o.Demand) - served
		p.losses[k] = max(0, p.losses[k]+gain*p.EngineRate*elapsed)
	}
}

// worthwhile returns the split whose accumulated loss exceeds the cost of its
// changes by most, or the present one.
func (p *SkiRental) worthwhile(s Split) int {
	want, most := s.Prefill, 0.0
	for k, loss := range p.losses {
		if excess := loss - p.cost(k-s.Prefill); excess > most {
			want, most = k, excess
		}
	}
	return want
}

// cost returns the cost of a number of changes in pieces.
func (p *SkiRental) cost(changes int) float64 {
	each := (p.Weight + p.ChangeTime.Seconds()*p.EngineRate) * p.damping.factor()
	return each * float64(max(changes, -changes))
}
