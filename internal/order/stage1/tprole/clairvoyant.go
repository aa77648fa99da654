package tprole

import "time"

// Schedule is a policy that follows a plan computed from the future demand.
// With a plan from Clairvoyant it is the upper bound with which other policies
// are compared.
type Schedule struct {
	Start    time.Time
	Interval time.Duration
	Prefill  []int // number of prefill engines for each interval from Start on
}

// PrefillEngines implements Policy.
func (p *Schedule) PrefillEngines(o Observation) int {
	i := int(o.At.Sub(p.Start) / p.Interval)
	return p.Prefill[min(max(i, 0), len(p.Prefill)-1)]
}

// Clairvoyant computes the plan that maximises the served part of a known
// demand less changeCost for each role change. It returns the plan and this
// maximum, both work and cost in engines × intervals. An engine that changes
// serves nothing for changeIntervals intervals. Unserved work is not carried
// over to the next interval.
func Clairvoyant(s Split, demands []Demand, changeIntervals int, changeCost float64) (plan []int, served float64) {
	splits := s.Changeable() + 1
	steps := len(demands)
	// value[t][k] is the maximum from interval t on if the pool has k prefill
	// engines at t. decisions[t][k] is the number of prefill engines to change
	// to at t.
	value := make([][]float64, steps+1)
	decisions := make([][]int, steps)
	value[steps] = make([]float64, splits)
	for t := steps - 1; t >= 0; t-- {
		value[t] = make([]float64, splits)
		decisions[t] = make([]int, splits)
		for k := range splits {
			value[t][k] = s.With(k).Served(demands[t]) + value[t+1][k]
			decisions[t][k] = k
			for to := range splits {
				if to == k {
					continue
				}
				end := min(t+changeIntervals, steps)
				v := value[end][to] - changeCost*float64(max(to-k, k-to))
				for _, d := range demands[t:end] {
					v += splitDuring(s.With(k), s.With(to)).Served(d)
				}
				if v > value[t][k] {
					value[t][k], decisions[t][k] = v, to
				}
			}
		}
	}
	return planFrom(decisions, s.Prefill, changeIntervals), value[0][s.Prefill]
}

// splitDuring returns the engines that serve while a pool changes between
// splits.
func splitDuring(from, to Split) Split {
	return Split{
		Prefill: min(from.Prefill, to.Prefill),
		Decode:  min(from.Decode, to.Decode),
		Mixed:   from.Mixed,
	}
}

// planFrom returns the plan that results from the decisions if the pool starts
// with k prefill engines.
func planFrom(decisions [][]int, k, changeIntervals int) []int {
	plan := make([]int, len(decisions))
	for t := 0; t < len(decisions); {
		to := decisions[t][k]
		end := t + 1
		if to != k {
			end = min(t+max(changeIntervals, 1), len(decisions))
		}
		for ; t < end; t++ {
			plan[t] = to
		}
		k = to
	}
	return plan
}
