package tpsender

import "sync"

// DefaultBudgetRatio is the fraction of sends that may be retries.
const DefaultBudgetRatio = 0.1

// budgetBurst is the number of retries that a quiet node may make at once.
const budgetBurst = 10

// Budget bounds retries to a fraction of the sends, so that retries cannot
// multiply an overload. The zero value allows DefaultBudgetRatio.
type Budget struct {
	// Ratio is the fraction of sends that may be retries.
	Ratio float64

	mu     sync.Mutex
	used   float64
	filled bool
	tokens float64
}

// Sent credits the budget for one first send.
func (b *Budget) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultBudgetRatio
	}
	b.tokens = min(b.tokens+ratio, budgetBurst)
}

// Take reports whether one retry may be made, and counts it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.used++
	return true
}

// Used returns the number of retries made.
func (b *Budget) Used() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (b *Budget) fill() {
	if !b.filled {
		b.filled = true
		b.tokens = budgetBurst
	}
}
