package tprouter

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// DefaultAffinityBound is how much more load, in prefilled pieces, a target
// may have that holds the prompt's prefix. The prefix is one piece long, so
// this is the work that the cached prefix saves.
const DefaultAffinityBound = 1.0

// TwoChoices takes the less loaded of two targets (Mitzenmacher, 1996), one of
// them from the node's availability zone. It prefers a target that holds the
// prompt's prefix as long as that does not overload it beyond AffinityBound.
type TwoChoices struct {
	// AffinityBound is in prefilled pieces; a negative bound turns prefix
	// affinity off.
	AffinityBound float64
	source        source
}

// NewTwoChoices returns a policy with the default bound that draws from the seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{AffinityBound: DefaultAffinityBound, source: newSource(seed)}
}

// Pick implements RoutePolicy.
func (p *TwoChoices) Pick(now time.Time, req *tpmessage.Request, v *tpload.View, g *tpload.Group) int {
	best, least := p.lessLoaded(now, v, g)
	if p.AffinityBound < 0 {
		return best
	}
	bound := least + p.AffinityBound
	for _, c := range v.Holders(req.PrefixHash) {
		if c == nil {
			continue
		}
		place, ok := g.Place(c)
		if !ok {
			continue
		}
		if load := v.Load(now, c); load <= bound {
			best, bound = place, load
		}
	}
	return best
}

// lessLoaded returns the place and load of the less loaded of two members.
func (p *TwoChoices) lessLoaded(now time.Time, v *tpload.View, g *tpload.Group) (place int, load float64) {
	i, j := p.two(g)
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

// two draws two different members if there are two.
func (p *TwoChoices) two(g *tpload.Group) (i, j int) {
	n := len(g.Members)
	if n == 1 {
		return 0, 0
	}
	if len(g.Local) > 0 {
		i = g.Local[p.source.below(len(g.Local))]
	} else {
		i = p.source.below(n)
	}
	j = p.source.below(n - 1)
	if j >= i {
		j++
	}
	return i, j
}
