package tprouter

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// source draws numbers from a seed. The zero value has seed 0.
type source struct {
	pcg rand.PCG
}

func newSource(seed uint64) source {
	var s source
	s.pcg.Seed(seed, seed)
	return s
}

// below returns a number from 0 to n-1. The bias of the multiplication is
// below n/2^64.
func (s *source) below(n int) int {
	high, _ := bits.Mul64(s.pcg.Uint64(), uint64(n))
	return int(high)
}

// Random takes any target, without regard to load. It is a naive policy.
type Random struct {
	source source
}

// NewRandom returns a policy that draws from the seed.
func NewRandom(seed uint64) *Random { return &Random{source: newSource(seed)} }

// Pick implements RoutePolicy.
func (p *Random) Pick(_ time.Time, _ *tpmessage.Request, _ *tpload.View, g *tpload.Group) int {
	return p.source.below(len(g.Members))
}
