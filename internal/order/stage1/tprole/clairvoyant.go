package tprole

import "time"

// Schedule follows a plan that was made with knowledge of the future demand.
// It serves as the bound that other policies are measured against.
type Schedule struct {
	Start    time.Time
	Interval time.Duration
	Prefill  []int // wanted number of prefill engines from each interval on
}

// Want implements Policy.
func (p *Schedule) Want(o Observation) int {
	i := int(o.At.Sub(p.Start) / p.Interval)
	return p.Prefill[min(max(i, 0), len(p.Prefill)-1)]
}

// Clairvoyant returns the plan that serves most of a known demand, less a
// weight for each change, and the work that it serves in engines × intervals.
// An engine that changes is lost for changing intervals. Work is not carried
// over from one interval to the next.
func Clairvoyant(s Split, demands []Demand, changing int, weight float64) (plan []int, served float64) {
	n := s.Changeable() + 1
	steps := len(demands)
	// value[t][k] is the most that can be served from interval t on with k
	// prefill engines; next[t][k] is the number to change to at t.
	value := make([][]float64, steps+1)
	next := make([][]int, steps)
	value[steps] = make([]float64, n)
	for t := steps - 1; t >= 0; t-- {
		value[t] = make([]float64, n)
		next[t] = make([]int, n)
		for k := range n {
			value[t][k] = s.With(k).Served(demands[t]) + value[t+1][k]
			next[t][k] = k
			for to := range n {
				if to == k {
					continue
				}
				end := min(t+changing, steps)
				v := value[end][to] - weight*float64(max(to-k, k-to))
				for _, d := range demands[t:end] {
					v += during(s.With(k), s.With(to)).Served(d)
				}
				if v > value[t][k] {
					value[t][k], next[t][k] = v, to
				}
			}
		}
	}
	return follow(next, s.Prefill, changing), value[0][s.Prefill]
}

// during returns the engines that serve while one split changes to another.
func during(from, to Split) Split {
	return Split{
		Prefill: min(from.Prefill, to.Prefill),
		Decode:  min(from.Decode, to.Decode),
		Mixed:   from.Mixed,
	}
}

// follow reads the plan out of the decisions.
func follow(next [][]int, k, changing int) []int {
	plan := make([]int, len(next))
	for t := 0; t < len(next); {
		to := next[t][k]
		end := t + 1
		if to != k {
			end = min(t+max(changing, 1), len(next))
		}
		for ; t < end; t++ {
			plan[t] = to
		}
		k = to
	}
	return plan
}
