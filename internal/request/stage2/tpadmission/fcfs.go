package tpadmission

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// FCFS serves requests in the order of arrival, without regard to shares. It
// is the baseline for comparison with Fair. The zero value is empty and ready
// to use.
type FCFS struct {
	waiting    fifo[tpmessage.Work]
	queuedCost float64
}

// Push implements Queue.
func (q *FCFS) Push(_ time.Time, w tpmessage.Work) {
	q.queuedCost += Cost(estimate(&w.Request))
	q.waiting.push(w)
}

// Pop implements Queue.
func (q *FCFS) Pop(time.Time) (tpmessage.Work, bool) {
	if q.waiting.len() == 0 {
		return tpmessage.Work{}, false
	}
	w := q.waiting.pop()
	q.queuedCost -= Cost(estimate(&w.Request))
	if q.waiting.len() == 0 {
		q.queuedCost = 0 // drops rounding errors
	}
	return w, true
}

// Expire implements Queue.
func (q *FCFS) Expire(now time.Time, dst []tpmessage.Work) []tpmessage.Work {
	q.waiting.filter(func(w *tpmessage.Work) bool {
		if !IsExpired(now, w) {
			return true
		}
		q.queuedCost -= Cost(estimate(&w.Request))
		dst = append(dst, *w)
		return false
	})
	return dst
}

// Evict implements Queue. It always returns false, because no organisation has
// priority in arrival order.
func (q *FCFS) Evict(string) (tpmessage.Work, bool) { return tpmessage.Work{}, false }

// NextWithinShare implements Queue. It always returns true, because FCFS does
// not distinguish organisations.
func (q *FCFS) NextWithinShare(time.Time) bool { return true }

// Len implements Queue.
func (q *FCFS) Len() int { return q.waiting.len() }

// Position implements Queue. It counts the cost of the whole queue as ahead,
// because FCFS does not distinguish organisations.
func (q *FCFS) Position(time.Time, string) Position { return Position{CostAhead: q.queuedCost} }

// Settle implements Queue. It does nothing, because FCFS keeps no accounts.
func (q *FCFS) Settle(time.Time, tpmessage.Completion) {}

// ChargePeerUsage implements Queue. It does nothing, because FCFS keeps no
// accounts.
func (q *FCFS) ChargePeerUsage(time.Time, []tpmessage.Usage) {}

// RetainPeers implements Queue. It does nothing, because FCFS keeps no
// accounts.
func (q *FCFS) RetainPeers([]string) {}

// Usage implements Queue. It returns dst unchanged, because FCFS keeps no
// accounts.
func (q *FCFS) Usage(dst []tpmessage.Usage) []tpmessage.Usage { return dst }

// SetShares implements Queue. It does nothing, because FCFS ignores shares.
func (q *FCFS) SetShares([]tpmessage.Organisation) {}

// IsExpired reports whether the deadline of w has passed or its caller has
// cancelled the request. A nil Ctx is never cancelled.
func IsExpired(now time.Time, w *tpmessage.Work) bool {
	return !now.Before(w.Request.Deadline) || (w.Ctx != nil && w.Ctx.Err() != nil)
}
