package tprelaynode

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest time that a histogram tells apart.
	maxLatency = time.Minute
	// latencyDigits is the precision of a histogram in decimal digits.
	latencyDigits = 2
)

// latencies holds a histogram of the time to the end for each outcome. It has
// a lock, because many tasks end at the same time and none waits for it long.
type latencies struct {
	mu        sync.Mutex
	byOutcome map[string]*hdrhistogram.Histogram
}

func (l *latencies) record(outcome string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byOutcome == nil {
		l.byOutcome = make(map[string]*hdrhistogram.Histogram)
	}
	h, ok := l.byOutcome[outcome]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)
		l.byOutcome[outcome] = h
	}
	// A time over the bound counts as the bound.
	_ = h.RecordValue(min(took.Milliseconds(), maxLatency.Milliseconds()))
}

// variable returns the counts and quantiles in milliseconds.
func (l *latencies) variable() expvar.Var {
	return expvar.Func(func() any {
		l.mu.Lock()
		defer l.mu.Unlock()
		out := make(map[string]map[string]int64)
		for outcome, h := range l.byOutcome {
			out[outcome] = map[string]int64{
				"count": h.TotalCount(), "p50Ms": h.ValueAtQuantile(50), "p95Ms": h.ValueAtQuantile(95),
				"p99Ms": h.ValueAtQuantile(99), "maxMs": h.Max(),
			}
		}
		return out
	})
}
