package tpfollow

import "time"

const (
	// MaxWatchers is the number of nodes of a region that call the platform for
	// changes. The platform charges for each call; the other nodes receive the
	// changes from these.
	MaxWatchers = 4
	// turnInterval is the time after which twice as many nodes may call the
	// platform, if it serves too few of those that may. Some of the nodes may
	// have lost their connection to the platform alone.
	turnInterval = 500 * time.Millisecond
	// maxTurnShift bounds the doubling, so that the limit does not overflow.
	maxTurnShift = 16
)

// Standing is the place of a node in the ranking of the nodes that may call the
// platform.
type Standing struct {
	Ahead         int // live nodes that rank above this one
	WatchersAhead int // those of them that the platform serves
}

// Turns decides whether a node leaves the calls to the platform to others. The
// first MaxWatchers nodes of the ranking call it. The next ones do so only if
// the platform does not serve these, so that the nodes of a large region do not
// all call it when they start. The zero value is ready to use.
type Turns struct {
	lackingSince time.Time // since when fewer than MaxWatchers nodes ahead are served, or zero
}

// Passive reports whether other nodes call the platform for this one.
func (t *Turns) Passive(now time.Time, s Standing) bool {
	if s.WatchersAhead >= MaxWatchers {
		t.lackingSince = time.Time{}
		return true
	}
	if t.lackingSince.IsZero() {
		t.lackingSince = now
	}
	shift := min(int(now.Sub(t.lackingSince)/turnInterval), maxTurnShift)
	return s.Ahead >= MaxWatchers<<shift
}
