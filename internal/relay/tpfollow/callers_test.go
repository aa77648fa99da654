package tpfollow_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpfollow"
)

// callers returns the number of nodes that are not passive at each half second
// of an outage that starts at epoch. Serves reports whether the platform serves
// the node with the given rank.
func callers(nodes int, length time.Duration, serves func(rank int) bool) []int {
	limits := make([]tpfollow.CallerLimit, nodes)
	var counts []int
	for at := time.Duration(0); at <= length; at += 500 * time.Millisecond {
		count, served := 0, 0
		for rank := range nodes {
			if limits[rank].Passive(epoch.Add(at), tpfollow.Rank{Ahead: rank, WatchersAhead: served}) {
				continue
			}
			count++
			if serves(rank) {
				served++
			}
		}
		counts = append(counts, count)
	}
	return counts
}

// Guards against a region whose nodes all call the platform when they start:
// 75 nodes made 1,200 calls before the first request, because none of them was
// known as a watcher yet.
func TestFewNodesCallThePlatform(t *testing.T) {
	for _, count := range callers(295, 5*time.Second, func(int) bool { return true }) {
		if got, want := count, tpfollow.MaxWatchers; got != want {
			t.Fatalf("nodes that call the platform: got %d, want %d of 295", got, want)
		}
	}
}

// Guards against a region that hears of no change because the platform does not
// serve the nodes that rank first.
func TestNextNodesStepIn(t *testing.T) {
	counts := callers(295, 5*time.Second, func(rank int) bool { return rank >= 6 })
	if got, least := counts[2], 6+tpfollow.MaxWatchers; got < least {
		t.Errorf("nodes that call the platform 1 s after the first six were cut off: got %d, want at least %d", got, least)
	}
}

// Guards against calls of all nodes of a region in an outage of the platform,
// which charges for them.
func TestCallersAreBoundedInAnOutage(t *testing.T) {
	counts := callers(295, time.Minute, func(int) bool { return false })
	if got, want := counts[len(counts)-1], 8*tpfollow.MaxWatchers; got != want {
		t.Errorf("nodes that call a platform that serves nobody, after a minute: got %d, want %d", got, want)
	}
}
