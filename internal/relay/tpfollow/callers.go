package tpfollow

import "time"

const (
	// MaxWatchers is the number of nodes of a region that call the platform for
	// changes. The platform charges for each call; the other nodes receive the
	// changes from these.
	MaxWatchers = 4
	// callerLimitInterval is the time after which twice as many nodes may call
	// the platform, if it serves fewer than MaxWatchers of those that may. Some
	// nodes may have lost only their own connection to the platform.
	callerLimitInterval = 500 * time.Millisecond
	// maxCallerDoublings bounds the callers in an outage of the platform to 32. If
	// a partial outage affects all of these, the others audit.
	maxCallerDoublings = 3
)

// Rank is the place of a node in the ranking of the nodes that may call the
// platform.
type Rank struct {
	Ahead         int // live nodes that rank above this one
	WatchersAhead int // those of them that the platform serves
}

// CallerLimit decides whether a node leaves the calls to the platform to others.
// The first MaxWatchers nodes of the ranking call it. The next ones do so only
// while the platform serves too few of these, so that the nodes of a large
// region do not all call it when they start. The zero value is ready to use.
type CallerLimit struct {
	shortageSince time.Time // since when the platform serves fewer than MaxWatchers nodes ahead, or zero
}

// Passive reports whether other nodes call the platform for this one.
func (l *CallerLimit) Passive(now time.Time, r Rank) bool {
	if r.WatchersAhead >= MaxWatchers {
		l.shortageSince = time.Time{}
		return true
	}
	if l.shortageSince.IsZero() {
		l.shortageSince = now
	}
	doublings := min(int(now.Sub(l.shortageSince)/callerLimitInterval), maxCallerDoublings)
	return r.Ahead >= MaxWatchers<<doublings
}
