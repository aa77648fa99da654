package tpadmission

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// FCFS serves work in the order of its arrival, without regard to shares. It
// is the naive queue. The zero value is empty and ready to use.
type FCFS struct {
	waiting []tpmessage.Work
}

// Push implements Queue.
func (q *FCFS) Push(_ time.Time, w tpmessage.Work) { q.waiting = append(q.waiting, w) }

// Pop implements Queue.
func (q *FCFS) Pop(time.Time) (tpmessage.Work, bool) {
	if len(q.waiting) == 0 {
		return tpmessage.Work{}, false
	}
	w := q.waiting[0]
	q.waiting[0] = tpmessage.Work{}
	q.waiting = q.waiting[1:]
	return w, true
}

// Expire implements Queue.
func (q *FCFS) Expire(now time.Time, dst []tpmessage.Work) []tpmessage.Work {
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if IsExpired(now, &w) {
			dst = append(dst, w)
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	return dst
}

// Len implements Queue.
func (q *FCFS) Len() int { return len(q.waiting) }

// Settle implements Queue; arrival order keeps no accounts.
func (q *FCFS) Settle(time.Time, tpmessage.Completion) {}

// SetShares implements Queue; arrival order knows no shares.
func (q *FCFS) SetShares([]tpmessage.Organisation) {}

// IsExpired reports whether the deadline of w has passed or its caller is gone.
func IsExpired(now time.Time, w *tpmessage.Work) bool {
	return !now.Before(w.Request.Deadline) || w.Ctx.Err() != nil
}
