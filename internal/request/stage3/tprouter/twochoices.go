package tprouter

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// DefaultAffinityBound is the additional load, in prefilled pieces, up to
// which a target that holds the prompt's prefix is preferred. A prefix is one
// piece long, so the bound equals the work that the cached prefix saves.
const DefaultAffinityBound = 1.0

// TwoChoices chooses the less loaded of two random targets (Mitzenmacher,
// 1996). One of them is in the node's availability zone if the zone has any.
// It prefers a target that holds the prompt's prefix, unless that target's
// load exceeds the lower load by more than AffinityBound.
type TwoChoices struct {
	// AffinityBound is in prefilled pieces. A negative bound disables prefix
	// affinity.
	AffinityBound float64
	rng           rng
}

// NewTwoChoices returns a policy with DefaultAffinityBound whose random
// numbers are determined by seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{AffinityBound: DefaultAffinityBound, rng: newRNG(seed)}
}

// Pick implements RoutePolicy.
func (p *TwoChoices) Pick(now time.Time, req *tpmessage.Request, v *tpload.View, g *tpload.Group) int {
	best, minLoad := p.lessLoaded(now, v, g)
	if p.AffinityBound < 0 {
		return best
	}
	bound := minLoad + p.AffinityBound
	for _, c := range v.Holders(req.PrefixHash) {
		if c == nil {
			continue
		}
		index, ok := g.Index(c)
		if !ok {
			continue
		}
		if load := v.Load(now, c); load <= bound {
			best, bound = index, load
		}
	}
	return best
}

// lessLoaded returns the index and the load, in prefilled pieces, of the less
// loaded of two random members.
func (p *TwoChoices) lessLoaded(now time.Time, v *tpload.View, g *tpload.Group) (index int, load float64) {
	i, j := p.drawTwo(g)
	first := v.Load(now, g.Members[i])
	if i == j {
		return i, first
	}
	second := v.Load(now, g.Members[j])
	if second < first || (second == first && j < i) {
		return j, second
	}
	return i, first
}

// drawTwo draws the indices of two different members. Both are 0 if the group
// has one member.
func (p *TwoChoices) drawTwo(g *tpload.Group) (i, j int) {
	n := len(g.Members)
	if n == 1 {
		return 0, 0
	}
	if len(g.LocalIndices) > 0 {
		i = g.LocalIndices[p.rng.intN(len(g.LocalIndices))]
	} else {
		i = p.rng.intN(n)
	}
	j = p.rng.intN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}
