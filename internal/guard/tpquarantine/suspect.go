package tpquarantine

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// MaxCrashes is the number of crashes after which a fingerprint is
	// quarantined. It bounds the number of targets that one request can crash.
	MaxCrashes = 2
	// ClearedRetention is the time for which a cleared fingerprint is kept, so
	// that a delayed report of the crash has no effect.
	ClearedRetention = time.Minute
	// SuspectRetention is the time after which a suspect that never ran again
	// is removed.
	SuspectRetention = 24 * time.Hour
	// ReportPeriod is the time for which a change is reported to peers.
	// Heartbeats reach all nodes of a region within seconds. A node that starts
	// later reads the region's object.
	ReportPeriod = 30 * time.Second
	// SettleDelay is the delay between a crash and the next run of its suspects
	// in a region of several nodes. In that time heartbeats report all suspects
	// to all nodes, so that their placements agree.
	SettleDelay = 1500 * time.Millisecond
	// ContentionTimeout is the time for which a suspect leaves its target to a
	// preceding suspect. The wait usually ends earlier, when the other suspect
	// is cleared or quarantined. It lasts for the whole time if the caller of
	// the other request has disconnected.
	ContentionTimeout = 15 * time.Second
	// MaxEntries bounds the number of fingerprints that are kept. At about 40
	// bytes each, they fit into one object of the platform.
	MaxEntries = 16384
)

// Quarantined reports whether a request has reached MaxCrashes and must not run
// again.
func Quarantined(s *tpmessage.SuspectRequest) bool { return !s.Cleared && len(s.Targets) >= MaxCrashes }

// isSubset reports whether b contains each name of a at least as often as a.
func isSubset(a, b []string) bool {
	for _, name := range a {
		if count(a, name) > count(b, name) {
			return false
		}
	}
	return true
}

// union returns each name of a or b as often as in the one that has it more
// often.
func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, name := range b {
		if count(all, name) < count(b, name) {
			all = append(all, name)
		}
	}
	return all
}

// difference returns the names of a without those of b, counted by occurrence.
func difference(a, b []string) []string {
	var rest []string
	for _, name := range a {
		if count(rest, name)+count(b, name) < count(a, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

// intersects reports whether a and b have a name in common.
func intersects(a, b []string) bool {
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
