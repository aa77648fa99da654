package tpadmission

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// FCFS serves work in the order of its arrival, without regard to shares. It
// is the naive queue. The zero value is empty and ready to use.
type FCFS struct {
	waiting fifo[tpmessage.Work]
	cost    float64
}

// Push implements Queue.
func (q *FCFS) Push(_ time.Time, w tpmessage.Work) {
	q.cost += Cost(estimate(&w.Request))
	q.waiting.push(w)
}

// Pop implements Queue.
func (q *FCFS) Pop(time.Time) (tpmessage.Work, bool) {
	if q.waiting.len() == 0 {
		return tpmessage.Work{}, false
	}
	w := q.waiting.pop()
	q.cost -= Cost(estimate(&w.Request))
	if q.waiting.len() == 0 {
		q.cost = 0 // drops rounding errors
	}
	return w, true
}

// Expire implements Queue.
func (q *FCFS) Expire(now time.Time, dst []tpmessage.Work) []tpmessage.Work {
	q.waiting.filter(func(w *tpmessage.Work) bool {
		if !IsExpired(now, w) {
			return true
		}
		q.cost -= Cost(estimate(&w.Request))
		dst = append(dst, *w)
		return false
	})
	return dst
}

// Evict implements Queue; arrival order gives nobody a better claim.
func (q *FCFS) Evict(string) (tpmessage.Work, bool) { return tpmessage.Work{}, false }

// Within implements Queue; it does not tell organisations apart.
func (q *FCFS) Within(time.Time) bool { return true }

// Len implements Queue.
func (q *FCFS) Len() int { return q.waiting.len() }

// Standing implements Queue; it does not tell organisations apart.
func (q *FCFS) Standing(time.Time, string) Standing { return Standing{Ahead: q.cost} }

// Settle implements Queue; arrival order keeps no accounts.
func (q *FCFS) Settle(time.Time, tpmessage.Completion) {}

// Charge implements Queue; arrival order keeps no accounts.
func (q *FCFS) Charge(time.Time, []tpmessage.Usage) {}

// Retain implements Queue; arrival order keeps no accounts.
func (q *FCFS) Retain([]string) {}

// Usage implements Queue; arrival order keeps no accounts.
func (q *FCFS) Usage(dst []tpmessage.Usage) []tpmessage.Usage { return dst }

// SetShares implements Queue; arrival order knows no shares.
func (q *FCFS) SetShares([]tpmessage.Organisation) {}

// IsExpired reports whether the deadline of w has passed or its caller is gone.
func IsExpired(now time.Time, w *tpmessage.Work) bool {
	return !now.Before(w.Request.Deadline) || (w.Ctx != nil && w.Ctx.Err() != nil)
}
