package tprole

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Demand is the work that arrives in a pool, in engines: one is what an engine
// that is set up for that work serves.
type Demand struct {
	Prefill, Decode float64
}

// Split is a pool's engines by role.
type Split struct {
	Prefill, Decode, Mixed int
}

// With returns the split with a number of prefill engines. The mixed engines
// stay, and the rest decode.
func (s Split) With(prefill int) Split {
	return Split{Prefill: prefill, Decode: s.Prefill + s.Decode - prefill, Mixed: s.Mixed}
}

// Changeable returns the number of engines that can change between prefill
// and decode.
func (s Split) Changeable() int { return s.Prefill + s.Decode }

// Capacity returns what the engines serve of each kind of work, in engines.
func (s Split) Capacity() Demand {
	var c Demand
	add := func(n int, role tpmessage.Role) {
		prefill, decode := tpload.Speeds(role)
		c.Prefill += float64(n) * prefill
		c.Decode += float64(n) * decode
	}
	add(s.Prefill, tpmessage.RolePrefill)
	add(s.Decode, tpmessage.RoleDecode)
	add(s.Mixed, tpmessage.RoleMixed)
	return c
}

// Served returns how much of a demand the split serves, in engines.
func (s Split) Served(d Demand) float64 {
	c := s.Capacity()
	return min(d.Prefill, c.Prefill) + min(d.Decode, c.Decode)
}

// best returns the number of prefill engines that serves a demand best, the
// one nearest to the present number if several do.
func (s Split) best(d Demand) int {
	best, most := s.Prefill, s.Served(d)
	for distance := 1; distance <= s.Changeable(); distance++ {
		for _, k := range [...]int{s.Prefill - distance, s.Prefill + distance} {
			if k < 0 || k > s.Changeable() {
				continue
			}
			// Rounding must not look like an advantage.
			if served := s.With(k).Served(d); served > most+1e-9 {
				best, most = k, served
			}
		}
	}
	return best
}

// Observation is what a policy learns at an instant. Reports lag, so it
// describes the pool of a moment ago.
type Observation struct {
	At     time.Time
	Demand Demand
	Split  Split // an engine that is changing counts as what it will be
}

// Policy decides how many engines are set up for prefill.
type Policy interface {
	// Want returns the wanted number of prefill engines.
	Want(o Observation) int
}
