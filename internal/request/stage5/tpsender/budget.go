package tpsender

import (
	"sync"
	"time"
)

const (
	// DefaultBudgetRatio is the maximum ratio of retries to first sends.
	DefaultBudgetRatio = 0.1
	// BudgetBurst is the number of retries that a pool may make at once. In the
	// smaller deployments, the crash of an engine interrupts about 8 streams of
	// each node, and two engines may crash together.
	BudgetBurst = 20
	// BudgetRetriesPerSecond is the number of retries a second that a pool may
	// make even if few requests are sent to it, so that every waiting retry is
	// made in the end.
	BudgetRetriesPerSecond = 1.0
)

// Budget bounds the retries to the targets of one pool to a fraction of the
// first sends, so that retries cannot multiply an overload. It is a token
// bucket in which a retry costs one token. A retry beyond the budget waits. The
// zero value allows DefaultBudgetRatio.
type Budget struct {
	// Ratio is the number of retries that each first send allows. If it is not
	// positive, DefaultBudgetRatio applies.
	Ratio float64

	startsEmpty bool // has no tokens before the first send or retry

	mu        sync.Mutex
	used      uint64    // number of retries taken
	tokens    float64   // negative while retries wait
	updatedAt time.Time // time of the last refill
}

// Sent credits the budget for one first send.
func (b *Budget) Sent(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultBudgetRatio
	}
	b.tokens = min(b.tokens+ratio, BudgetBurst)
}

// TakeRetry charges one retry and returns the time to wait before it. It
// returns false, and charges nothing, if the wait would not end before the
// deadline.
func (b *Budget) TakeRetry(now, deadline time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	var wait time.Duration
	if deficit := 1 - b.tokens; deficit > 0 {
		wait = time.Duration(deficit / BudgetRetriesPerSecond * float64(time.Second))
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

// refill adds the tokens for the time since the last call. The caller holds mu.
func (b *Budget) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
		if !b.startsEmpty {
			b.tokens = BudgetBurst
		}
		return
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*BudgetRetriesPerSecond, BudgetBurst)
		b.updatedAt = now
	}
}

// Budgets holds the retry budget of each pool of targets. The budgets start
// empty: the process before may have used up its own a moment ago, and a burst of
// each process in a row would add up. The zero value is ready to use and safe for
// concurrent use.
type Budgets struct {
	mu    sync.Mutex
	ratio float64
	pools map[string]*Budget
}

// SetRatio sets the ratio of retries to first sends for all pools, present and
// future.
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

// ForPool returns the budget of a pool. It creates the budget on first use.
func (b *Budgets) ForPool(pool string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools == nil {
		b.pools = make(map[string]*Budget)
	}
	p, ok := b.pools[pool]
	if !ok {
		p = &Budget{Ratio: b.ratio, startsEmpty: true}
		b.pools[pool] = p
	}
	return p
}
