package tpplace

import "time"

// budgetUse is the part of the region's budget that a node uses. The rest
// covers nodes that started or stopped within the window.
const budgetUse = 0.75

// buckets is the number of parts of a window in which sends are counted.
const buckets = 10

// BudgetSettings bounds the arrivals at a pool beyond the first of each
// request, over all nodes together.
type BudgetSettings struct {
	Ratio  float64       // of the requests in the window
	Slack  float64       // added to it
	Window time.Duration // sliding
}

// budget counts a node's sends to one pool.
type budget struct {
	cfg BudgetSettings
	// start is the first instant seen. Buckets are counted from it by the
	// steady clock, since the time of day may jump.
	start    time.Time
	requests [buckets]float64
	extra    [buckets]float64
	last     int64 // number of the newest bucket
}

func (b *budget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	number := int64(now.Sub(b.start) / (b.cfg.Window / buckets))
	for n := max(b.last+1, number-buckets+1); n <= number; n++ {
		b.requests[n%buckets], b.extra[n%buckets] = 0, 0
	}
	b.last = max(b.last, number)
	return int(b.last % buckets)
}

func (b *budget) request(now time.Time) { b.requests[b.advance(now)]++ }

// take reports whether one more extra arrival is within this node's part of
// the budget, and counts it if so.
func (b *budget) take(now time.Time, nodes int) bool {
	at := b.advance(now)
	var requests, extra float64
	for i := range buckets {
		requests += b.requests[i]
		extra += b.extra[i]
	}
	allowed := budgetUse * (b.cfg.Ratio*requests + b.cfg.Slack/float64(max(1, nodes)))
	if extra+1 > allowed {
		return false
	}
	b.extra[at]++
	return true
}
