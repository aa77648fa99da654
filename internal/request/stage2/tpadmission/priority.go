package tpadmission

import (
	"math"
	"time"
)

const (
	// PriorityClassStep is added to the priority of requests of organisations
	// within their recent share. It exceeds every priority that a caller may
	// state, so that no caller can overtake another organisation by stating a
	// high priority.
	PriorityClassStep = 10
	// overShareFactor is the multiple of its share up to which an
	// organisation's recent usage counts as within the share. At 1.2, random
	// variation alone puts organisations into the lower priority class if ten
	// of them make 26 requests per recentUsageDecayTime.
	overShareFactor = 2.0
	// recentUsageDecayTime is the time after which past usage counts 1/e of
	// its cost in recent usage.
	recentUsageDecayTime = 10 * time.Second
)

// decayingSum is a sum that decays exponentially with the time constant
// recentUsageDecayTime. The zero value is 0.
type decayingSum struct {
	value   float64
	updated time.Time
}

func (d *decayingSum) valueAt(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.updated).Seconds()/recentUsageDecayTime.Seconds())
}

func (d *decayingSum) add(now time.Time, v float64) {
	d.value = d.valueAt(now) + v
	d.updated = now
}

// addRecentUsage adds cost to the recent usage of a and of all organisations.
func (q *Fair) addRecentUsage(now time.Time, a *account, cost float64) {
	a.recentCost.add(now, cost)
	q.recentCost.add(now, cost)
}

// targetPriority returns the priority that targets use for a request of a.
// Engines serve higher priorities first, so that a request within its
// organisation's share does not wait in an engine behind requests that were
// admitted because capacity was free. stated is the caller's priority, limited
// to 0 to PriorityClassStep-1.
func (q *Fair) targetPriority(now time.Time, a *account, stated int) int {
	stated = min(max(stated, 0), PriorityClassStep-1)
	if q.isOverShare(now, a) {
		return stated
	}
	return stated + PriorityClassStep
}

// isOverShare reports whether the recent usage of a exceeds overShareFactor
// times its share of the recent usage of all organisations.
func (q *Fair) isOverShare(now time.Time, a *account) bool {
	return a.recentCost.valueAt(now) > overShareFactor*a.share*q.recentCost.valueAt(now)
}

// NextWithinShare implements Queue.
func (q *Fair) NextWithinShare(now time.Time) bool {
	return len(q.waiting) > 0 && !q.isOverShare(now, q.waiting[0])
}
