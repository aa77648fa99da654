package tprelaynode

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest time that a histogram records. Longer times
	// count as maxLatency.
	maxLatency = time.Minute
	// latencyDigits is the precision of a histogram in significant decimal
	// digits.
	latencyDigits = 2
)

// latencyHistograms holds for each outcome a histogram of the time from the
// arrival to the end of a request, in milliseconds. A mutex guards it: many
// tasks record at the same time, and each holds the mutex briefly.
type latencyHistograms struct {
	mu        sync.Mutex
	byOutcome map[string]*hdrhistogram.Histogram
}

func (l *latencyHistograms) record(outcome string, took time.Duration) {
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
	_ = h.RecordValue(min(took.Milliseconds(), maxLatency.Milliseconds()))
}

// metricsVar returns a variable with the number of requests and the quantiles
// in milliseconds of each outcome.
func (l *latencyHistograms) metricsVar() expvar.Var {
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
