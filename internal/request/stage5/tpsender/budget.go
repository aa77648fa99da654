package tpsender

import (
	"sync"
	"time"
)

const (
	// DefaultBudgetRatio is the fraction of sends that may be retries.
	DefaultBudgetRatio = 0.1
	// BudgetBurst is the number of retries that a pool may get at once. The
	// crash of an engine of the smaller deployments cuts about 8 streams of
	// each node, and two may crash together.
	BudgetBurst = 20
	// BudgetFloor is the number of retries a second that a pool gets however
	// few requests are sent to it, so that every waiting retry gets its turn.
	BudgetFloor = 1.0
)

// Budget bounds the retries to the targets of one pool to a fraction of the
// sends, so that retries cannot multiply an overload. A retry beyond the
// budget waits for its turn. The zero value allows DefaultBudgetRatio.
type Budget struct {
	// Ratio is the fraction of sends that may be retries.
	Ratio float64

	mu     sync.Mutex
	used   uint64
	tokens float64 // below zero while retries wait for their turn
	at     time.Time
}

// Sent credits the budget for one first send.
func (b *Budget) Sent(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultBudgetRatio
	}
	b.tokens = min(b.tokens+ratio, BudgetBurst)
}

// Take counts one retry and returns the time after which it may be made. It
// returns false, and counts nothing, if that is not before the deadline.
func (b *Budget) Take(now, deadline time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	var wait time.Duration
	if missing := 1 - b.tokens; missing > 0 {
		wait = time.Duration(missing / BudgetFloor * float64(time.Second))
	}
	if !now.Add(wait).Before(deadline) {
		return 0, false
	}
	b.tokens--
	b.used++
	return wait, true
}

// Used returns the number of retries taken.
func (b *Budget) Used() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// fill adds the tokens of the time since the last call. The caller holds mu.
func (b *Budget) fill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.tokens = BudgetBurst
		return
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.tokens+passed.Seconds()*BudgetFloor, BudgetBurst)
		b.at = now
	}
}

// Budgets holds the budget of each pool of targets. The zero value is ready
// to use.
type Budgets struct {
	mu    sync.Mutex
	ratio float64
	pools map[string]*Budget
}

// SetRatio sets the fraction of sends that may be retries, for all pools.
func (b *Budgets) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
	for _, p := range b.pools {
		p.mu.Lock()
		p.Ratio = ratio
		p.mu.Unlock()
	}
}

// Of returns the budget of a pool.
func (b *Budgets) Of(pool string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools == nil {
		b.pools = make(map[string]*Budget)
	}
	p, ok := b.pools[pool]
	if !ok {
		p = &Budget{Ratio: b.ratio}
		b.pools[pool] = p
	}
	return p
}
