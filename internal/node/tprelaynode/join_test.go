package tprelaynode_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
)

// untilJoined waits until nodes have met each other count times in all.
func untilJoined(t *testing.T, log *lockedBuffer, count int) {
	t.Helper()
	eventually(t, func() string {
		if got := log.count(`"memberJoined"`); got < count {
			return fmt.Sprintf("meetings: got %d, want %d", got, count)
		}
		return ""
	})
}

// Guards against nodes that never find the others because their seeds are gone.
func TestNodesWithoutSeedsFindTheOthers(t *testing.T) {
	s := newSite(t)
	log := &lockedBuffer{}
	s.log = log
	const nodes = 4
	for i := range nodes {
		n := s.startWith(t, tprelaynode.Settings{Name: fmt.Sprint("node-", i), Peers: tpprocess.FreeAddress(t), Seeds: []string{tpprocess.FreeAddress(t)}})
		n.untilReady(t)
	}
	untilJoined(t, log, nodes*(nodes-1))
}

// Guards against a node that does not use the seeds that its settings name while it runs.
func TestChangedSeedsAreContacted(t *testing.T) {
	s := newSite(t)
	log := &lockedBuffer{}
	s.log = log
	peers := tpprocess.FreeAddress(t)
	s.startWith(t, tprelaynode.Settings{Name: "node-0", Peers: peers}).untilReady(t)
	second := s.startWith(t, tprelaynode.Settings{Name: "node-1", Peers: tpprocess.FreeAddress(t), Seeds: []string{tpprocess.FreeAddress(t)}})
	before := log.count(`"memberJoined"`)
	second.SetSeeds([]string{peers})
	eventually(t, func() string {
		if log.count(`"introduction"`) == 0 || log.count(`"memberJoined"`) < before+1 {
			return "the node has not met the new seed"
		}
		return ""
	})
}

// Guards against a retry budget that each part of a region uses as a whole, also after the parts have found each other.
func TestRetryBudgetIsThatOfTheJoinedRegion(t *testing.T) {
	const nodes, requests = 4, 240
	var arrivals atomic.Int32
	s := &site{}
	log := &lockedBuffer{}
	s.log = log
	startRawSite(t, s, 8, func(c net.Conn, r *http.Request) bool {
		arrivals.Add(1)
		_, _ = fmt.Fprint(c, serverHead(r, http.StatusInternalServerError)+"Content-Length: 0\r\n\r\n")
		return true
	})
	s.store.Set("config", "main", map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "raw", "host": "one.example", "path_prefix": "/raw/", "kind": "safe", "service": "raw", "timeout_ms": 5000, "latency_goal_ms": 500, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "raw"}},
		"limits":   map[string]any{"max_body_bytes": rawBodyLimit},
	})
	var all []*node
	for i := range nodes {
		n := s.startWith(t, tprelaynode.Settings{Name: fmt.Sprint("node-", i), Peers: tpprocess.FreeAddress(t), Seeds: []string{tpprocess.FreeAddress(t)}})
		n.untilReady(t)
		all = append(all, n)
	}
	untilJoined(t, log, nodes*(nodes-1))
	time.Sleep(time.Second) // the nodes count the live members anew several times a second
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() { all[i%nodes].post(context.Background(), fmt.Sprint("r-", i), fmt.Sprint("/raw/", i), nil) })
		time.Sleep(5 * time.Millisecond) // pace of the clients
	}
	wg.Wait()
	const ratio, slack, window = 0.2, 50, 10 * time.Second // as startWith sets them
	windows := 1 + int(time.Since(begin)/window)
	if got, most := int(arrivals.Load())-requests, int(ratio*requests)+windows*slack; got > most || got == 0 {
		t.Errorf("retries of %d requests in %d windows: got %d, want 1 to %d", requests, windows, got, most)
	}
}
