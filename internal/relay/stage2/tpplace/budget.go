package tpplace

import (
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// budgetFraction is the fraction of a node's share of the region's retry
	// budget that it uses.
	budgetFraction = 0.75
	// startingFraction replaces budgetFraction for the first window of a process,
	// and there counts only from its start. The processes before it at this node
	// may have used budgetFraction within the same window, and nothing is known of
	// them. Any number of processes in a row use startingFraction of a window
	// together. The rest of the budget is a margin for retries that are on the way
	// for some time.
	startingFraction = 0.2
	// joinTime is the time after the start of a process within which it may not
	// know most of the other nodes, and so not its share of the slack.
	joinTime = 3 * time.Second
)

const (
	// windowBuckets is the number of equal intervals into which a window is divided
	// for counting.
	windowBuckets = 10
	// countedBuckets cover a whole window and the interval in progress.
	countedBuckets = windowBuckets + 1
)

// BudgetSettings limits the retries that a pool receives from all nodes of the
// region together. The first arrival of each request is not a retry.
type BudgetSettings struct {
	Ratio  float64       // retries allowed per request in the window
	Slack  float64       // retries allowed in the window in addition
	Window time.Duration // length of the sliding window
}

// nodeCount is the greatest number of nodes that the region had within the last
// window. The retries of a node that has left count until the window has passed.
// The zero value has counted none.
type nodeCount struct {
	counts []countedNodes // each lower and later than the one before
}

// countedNodes is a number of nodes and the last time at which it was seen.
type countedNodes struct {
	nodes int
	at    time.Time
}

func (c *nodeCount) add(now time.Time, nodes int) {
	c.counts = slices.DeleteFunc(c.counts, func(o countedNodes) bool { return o.nodes <= nodes })
	c.counts = append(c.counts, countedNodes{nodes: nodes, at: now})
}

// most returns 1 at least.
func (c *nodeCount) most(now time.Time, window time.Duration) int {
	for len(c.counts) > 1 && now.Sub(c.counts[0].at) > window {
		c.counts = c.counts[1:]
	}
	if len(c.counts) == 0 {
		return 1
	}
	return max(1, c.counts[0].nodes)
}

// budget counts the requests and the retries that one node sends to one pool.
type budget struct {
	cfg BudgetSettings
	// startedAt is the start of the process, or zero if that is long ago.
	startedAt time.Time
	// rounding is the fraction of a retry that is added while the process starts.
	// It differs between nodes, so that many nodes with less than one retry each
	// have their sum together.
	rounding float64
	// start is the time of the first call. Buckets are numbered from it with
	// the monotonic clock, because the wall clock may jump.
	start      time.Time
	requests   [countedBuckets]float64
	retries    [countedBuckets]float64
	lastBucket int64 // number of the newest bucket
}

// roundingOf returns a number in [0, 1) for a node, spread evenly over nodes.
func roundingOf(node string) float64 {
	return float64(xxh3.HashString("retry budget of "+node)>>11) / (1 << 53)
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
func (b *budget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	number := int64(now.Sub(b.start) / (b.cfg.Window / windowBuckets))
	for n := max(b.lastBucket+1, number-countedBuckets+1); n <= number; n++ {
		b.requests[n%countedBuckets], b.retries[n%countedBuckets] = 0, 0
	}
	b.lastBucket = max(b.lastBucket, number)
	return int(b.lastBucket % countedBuckets)
}

func (b *budget) countRequest(now time.Time) { b.requests[b.advance(now)]++ }

// allowRetries reports whether count more retries are within this node's share
// of the budget, and counts them if they are.
func (b *budget) allowRetries(now time.Time, nodes int, count float64) bool {
	at := b.advance(now)
	// The retries of a whole window count, and no more than its requests.
	oldest := int((b.lastBucket + 1) % countedBuckets)
	requests, retries := -b.requests[oldest], 0.0
	for i := range countedBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries+count > b.allowed(now, requests, nodes) {
		return false
	}
	b.retries[at] += count
	return true
}

// allowed returns the number of retries that the node may send in a window in
// which it has sent the given number of requests.
func (b *budget) allowed(now time.Time, requests float64, nodes int) float64 {
	slack := b.cfg.Slack / float64(max(1, nodes))
	age := now.Sub(b.startedAt)
	if b.startedAt.IsZero() || age >= b.cfg.Window {
		return budgetFraction * (b.cfg.Ratio*requests + slack)
	}
	earned := slack * max(0, (age-joinTime).Seconds()) / b.cfg.Window.Seconds()
	return math.Floor(startingFraction*(b.cfg.Ratio*requests+earned) + b.rounding)
}
