package tpplace

import "time"

// nodeBudgetFraction is the fraction of the region's retry budget that the
// nodes use. The rest is a margin for nodes that start or stop within the
// window.
const nodeBudgetFraction = 0.75

// windowBuckets is the number of equal intervals into which a window is divided
// for counting.
const windowBuckets = 10

// BudgetSettings limits the retries that a pool receives from all nodes of the
// region together. The first arrival of each request is not a retry.
type BudgetSettings struct {
	Ratio  float64       // retries allowed per request in the window
	Slack  float64       // retries allowed in the window in addition
	Window time.Duration // length of the sliding window
}

// budget counts the requests and the retries that one node sends to one pool.
type budget struct {
	cfg BudgetSettings
	// start is the time of the first call. Buckets are numbered from it with
	// the monotonic clock, because the wall clock may jump.
	start      time.Time
	requests   [windowBuckets]float64
	retries    [windowBuckets]float64
	lastBucket int64 // number of the newest bucket
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
func (b *budget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	number := int64(now.Sub(b.start) / (b.cfg.Window / windowBuckets))
	for n := max(b.lastBucket+1, number-windowBuckets+1); n <= number; n++ {
		b.requests[n%windowBuckets], b.retries[n%windowBuckets] = 0, 0
	}
	b.lastBucket = max(b.lastBucket, number)
	return int(b.lastBucket % windowBuckets)
}

func (b *budget) countRequest(now time.Time) { b.requests[b.advance(now)]++ }

// allowRetries reports whether count more retries are within this node's share
// of the budget, and counts them if they are.
func (b *budget) allowRetries(now time.Time, nodes int, count float64) bool {
	at := b.advance(now)
	var requests, retries float64
	for i := range windowBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := nodeBudgetFraction * (b.cfg.Ratio*requests + b.cfg.Slack/float64(max(1, nodes)))
	if retries+count > allowed {
		return false
	}
	b.retries[at] += count
	return true
}
