package tprouter

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// rng is a seeded pseudo-random number generator. The zero value has seed 0.
type rng struct {
	pcg rand.PCG
}

func newRNG(seed uint64) rng {
	var s rng
	s.pcg.Seed(seed, seed)
	return s
}

// intN returns a number in [0, n). The bias of the multiplication is below
// n/2^64.
func (r *rng) intN(n int) int {
	product, _ := bits.Mul64(r.pcg.Uint64(), uint64(n))
	return int(product)
}

// Random chooses a target at random, without regard to load. It is a baseline
// for comparison.
type Random struct {
	rng rng
}

// NewRandom returns a policy whose random numbers are determined by seed.
func NewRandom(seed uint64) *Random { return &Random{rng: newRNG(seed)} }

// Pick implements RoutePolicy.
func (p *Random) Pick(_ time.Time, _ *tpmessage.Request, _ *tpload.View, g *tpload.Group) int {
	return p.rng.intN(len(g.Members))
}
