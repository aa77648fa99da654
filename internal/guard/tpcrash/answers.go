package tpcrash

import "time"

const (
	// answeredGeneration and maxAnswered are the time and the number of keys
	// after which the older half of the answered keys is forgotten.
	answeredGeneration = time.Minute
	maxAnswered        = 8192
)

// answers holds the keys that were lately answered at this node, and when. The
// zero value has none.
type answers struct {
	recent, before map[uint64]time.Time
	since          time.Time // begin of recent
}

// record adds keys. At is the time of the answer, or zero if it is not known.
func (a *answers) record(now, at time.Time, keys []uint64) {
	if a.recent == nil || now.Sub(a.since) >= answeredGeneration || len(a.recent) >= maxAnswered {
		a.before, a.recent, a.since = a.recent, make(map[uint64]time.Time), now
	}
	for _, key := range keys {
		if known, ok := a.recent[key]; !ok || at.After(known) {
			a.recent[key] = at
		}
	}
}

func (a *answers) has(key uint64) bool {
	_, recent := a.recent[key]
	_, before := a.before[key]
	return recent || before
}

func (a *answers) after(key uint64, t time.Time) bool {
	return a.recent[key].After(t) || a.before[key].After(t)
}
