package tpadmission

import (
	"math"
	"time"
)

const (
	// PriorityClass is the step between the priorities of work of an
	// organisation over its recent share and of one within it. It exceeds
	// what a caller may state, so that no caller can pass another
	// organisation by stating a high priority.
	PriorityClass = 10
	// overShareFactor is how much of its share an organisation may use
	// recently before its work falls to the lower class. At 1.2 the noise of ten
	// organisations at 26 requests in recentTime already put them there.
	overShareFactor = 2.0
	// recentTime is the time after which usage counts 1/e in recent usage.
	recentTime = 10 * time.Second
)

// decaying is a sum whose parts lose weight with time. The zero value is 0.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) level(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/recentTime.Seconds())
}

func (d *decaying) add(now time.Time, v float64) {
	d.value = d.level(now) + v
	d.at = now
}

// note adds a cost to the recent usage.
func (q *Fair) note(now time.Time, a *account, cost float64) {
	a.recent.add(now, cost)
	q.recent.add(now, cost)
}

// priority returns the priority that work of an account has at the targets.
// Engines honour priorities, so work within its share does not wait in an
// engine behind work that was admitted because capacity was free.
func (q *Fair) priority(now time.Time, a *account, stated int) int {
	stated = min(max(stated, 0), PriorityClass-1)
	if q.over(now, a) {
		return stated
	}
	return stated + PriorityClass
}

// over reports whether an account is over its recent share.
func (q *Fair) over(now time.Time, a *account) bool {
	return a.recent.level(now) > overShareFactor*a.share*q.recent.level(now)
}

// Within implements Queue.
func (q *Fair) Within(now time.Time) bool {
	return len(q.waiting) > 0 && !q.over(now, q.waiting[0])
}
