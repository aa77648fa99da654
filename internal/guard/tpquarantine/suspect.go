package tpquarantine

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// MaxCrashes is the number of crashes that quarantines a fingerprint, and
	// so the number of targets that one request can take down.
	MaxCrashes = 2
	// ClearedKept is the time for which a cleared fingerprint is remembered, so
	// that word of its suspicion which is still under way has no effect.
	ClearedKept = time.Minute
	// SuspectKept is the time after which a suspect that never ran again is
	// forgotten.
	SuspectKept = 24 * time.Hour
	// ToldFor is the time for which a change is told to peers. Heartbeats reach
	// a region in seconds; a node that starts later reads the region's object.
	ToldFor = 30 * time.Second
	// Settle is the time from a crash to the next run of its suspects in a
	// region of several nodes. Heartbeats tell all nodes of all suspects in
	// that time, so that their placements agree.
	Settle = 1500 * time.Millisecond
	// ContestFor is the time for which a suspect leaves its place to another
	// one that comes first. It usually ends early, when the other one is
	// cleared or quarantined; it passes if the caller of the other has gone.
	ContestFor = 15 * time.Second
	// MaxKept bounds the remembered fingerprints. At about 40 bytes each, they
	// fit into one object of the platform.
	MaxKept = 16384
)

// Quarantined reports whether a request must not run again.
func Quarantined(s *tpmessage.Suspect) bool { return !s.Cleared && len(s.Targets) >= MaxCrashes }

// within reports whether each crash of a is also one of b.
func within(a, b []string) bool {
	for _, name := range a {
		if count(a, name) > count(b, name) {
			return false
		}
	}
	return true
}

// union returns the crashes of a and b, each once.
func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, name := range b {
		if count(all, name) < count(b, name) {
			all = append(all, name)
		}
	}
	return all
}

// without returns the crashes of a that are not among those of b.
func without(a, b []string) []string {
	var rest []string
	for _, name := range a {
		if count(rest, name)+count(b, name) < count(a, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

// share reports whether a and b have a crash in common.
func share(a, b []string) bool {
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}

func count(names []string, name string) int {
	n := 0
	for _, other := range names {
		if other == name {
			n++
		}
	}
	return n
}
