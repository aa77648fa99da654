package tprole

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Demand is the rate of work that arrives in a pool, in engines: 1 is the
// capacity of one engine that has the role for that work.
type Demand struct {
	Prefill, Decode float64
}

// Split is the number of a pool's engines by role.
type Split struct {
	Prefill, Decode, Mixed int
}

// With returns the split with the given number of prefill engines. The number
// of mixed engines stays the same, and the other engines decode.
func (s Split) With(prefill int) Split {
	return Split{Prefill: prefill, Decode: s.Prefill + s.Decode - prefill, Mixed: s.Mixed}
}

// Changeable returns the number of engines that can change between prefill and
// decode. Mixed engines cannot.
func (s Split) Changeable() int { return s.Prefill + s.Decode }

// Capacity returns the rate of each kind of work that the engines can serve, in
// engines.
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

// Served returns the part of a demand that the split can serve, in engines.
func (s Split) Served(d Demand) float64 {
	c := s.Capacity()
	return min(d.Prefill, c.Prefill) + min(d.Decode, c.Decode)
}

// bestPrefill returns the number of prefill engines that serves the largest
// part of a demand. Of equal numbers it returns the nearest to the current one.
func (s Split) bestPrefill(d Demand) int {
	bestPrefill, maxServed := s.Prefill, s.Served(d)
	for distance := 1; distance <= s.Changeable(); distance++ {
		for _, k := range [...]int{s.Prefill - distance, s.Prefill + distance} {
			if k < 0 || k > s.Changeable() {
				continue
			}
			// A difference within the rounding error is not an advantage.
			if served := s.With(k).Served(d); served > maxServed+1e-9 {
				bestPrefill, maxServed = k, served
			}
		}
	}
	return bestPrefill
}

// Observation is the input of a policy at one time. Reports lag, so it
// describes an earlier state of the pool.
type Observation struct {
	At     time.Time
	Demand Demand
	Split  Split // an engine that is changing counts under its new role
}

// Policy decides how many engines of a pool have the prefill role.
type Policy interface {
	// PrefillEngines returns the desired number of prefill engines.
	PrefillEngines(o Observation) int
}
