package tprelaynode_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
	"teaselpin.example/teaselpin/platform/tpguest"
)

// Guards against a node that goes back with the store: to an older configuration
// or to a target that has left, or that misses what is written afterwards under
// revisions that it has seen before.
func TestNodesKeepWhatARestoredStoreLost(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprint("outage=", outage), func(t *testing.T) {
			s := newSite(t)
			log := &lockedBuffer{}
			s.log = log
			left := &tpguestfake.Server{ID: "u1"}
			address := tpguestfake.Listen(t, left)
			entry := map[string]any{"service": "app", "address": address, "zone": "z", "slots": 64, "state": "ready", "version": "v1", "cold_left_ms": 0, "sequence": 1, "born": 1}
			s.store.Set("servers", "u1", entry)
			first := tpprocess.FreeAddress(t)
			nodes := []*node{s.start(t, "node-a", first), s.start(t, "node-b", tpprocess.FreeAddress(t), first)}
			calls := 0
			// inForce checks that a version is in force at each node, and the one
			// before is not.
			inForce := func(version int) string {
				for i, n := range nodes {
					calls++
					if got := n.post(t.Context(), fmt.Sprint("new-", calls), fmt.Sprintf("/v%d/x", version), nil); got.status != 200 {
						return fmt.Sprintf("version %d at node %d: got %+v, want 200", version, i, got)
					}
					if got := n.post(t.Context(), fmt.Sprint("old-", calls), fmt.Sprintf("/v%d/x", version-1), nil); got.status != 404 {
						return fmt.Sprintf("version %d at node %d: got %+v, want 404", version-1, i, got)
					}
				}
				return ""
			}
			eventually(t, func() string { return inForce(1) })
			copiedAt := time.Now()
			time.Sleep(10 * time.Millisecond)
			s.configure(2, "app")
			s.store.Remove("servers", "u1")
			eventually(t, func() string { return inForce(2) })
			eventually(t, func() string {
				before := len(left.Arrivals())
				for range 8 {
					inForce(2)
				}
				if got := len(left.Arrivals()); got != before {
					return "a target that has left gets requests"
				}
				return ""
			})
			arrivals := len(left.Arrivals())
			if outage {
				s.store.SetRefusalStatus("", 503)
				time.Sleep(500 * time.Millisecond)
			}
			s.store.Restore(time.Since(copiedAt))
			if outage {
				s.store.SetRefusalStatus("", 0)
			}
			eventually(t, func() string {
				if got := log.count(`"event":"storeEra"`); got < len(nodes) {
					return fmt.Sprintf("nodes that know the era: got %d, want %d", got, len(nodes))
				}
				return ""
			})
			for range 40 {
				if fault := inForce(2); fault != "" {
					t.Fatal(fault)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if got := len(left.Arrivals()); got != arrivals {
				t.Errorf("requests to the target that has left: got %d more, want none", got-arrivals)
			}
			// Both get revisions that the lost writes had.
			s.configure(3, "app")
			s.store.Set("servers", "u1", entry)
			eventually(t, func() string { return inForce(3) })
			eventually(t, func() string {
				inForce(3)
				if len(left.Arrivals()) == arrivals {
					return "a target that has written again gets no requests"
				}
				return ""
			})
			if got := log.count(`"event":"storeEra"`); got != len(nodes) {
				t.Errorf("lines of a new era: got %d, want one for each of %d nodes", got, len(nodes))
			}
		})
	}
}

// Guards against a quarantine that is lost with the store, so that its request
// crashes servers again after all nodes were killed.
func TestQuarantineIsStoredAgain(t *testing.T) {
	s := &site{}
	log := &lockedBuffer{}
	s.log = log
	startRawSite(t, s, 3, func(net.Conn, *http.Request) bool { return false })
	n := s.startWith(t, tprelaynode.Settings{Name: "node-0", Peers: tpprocess.FreeAddress(t)})
	n.untilReady(t)
	copiedAt := time.Now()
	time.Sleep(10 * time.Millisecond)
	posted := 0
	eventually(t, func() string {
		posted++
		got := n.post(t.Context(), fmt.Sprint("deadly-", posted), "/raw/x", nil)
		if got.status == 503 && log.count(`"quarantined"`) == 1 {
			return ""
		}
		return fmt.Sprintf("%d requests: got %+v, want 503", posted, got)
	})
	store, closeStore := tpguest.NewStore(s.address)
	t.Cleanup(closeStore)
	var records []tpcrash.Record
	read := func() string {
		o, err := store.Get(t.Context(), "quarantine/r")
		if err == nil {
			records = nil
			err = json.Unmarshal(o.Value, &records)
		}
		if err != nil {
			return fmt.Sprint("stored quarantines: ", err)
		}
		return ""
	}
	eventually(t, read)
	before := records
	s.store.Restore(time.Since(copiedAt))
	eventually(t, read)
	if len(records) != 1 || records[0].Key != before[0].Key || !slices.Equal(records[0].Crashes, before[0].Crashes) || store.Era() != 1 {
		t.Errorf("quarantines stored in era %d: got %+v, want %+v", store.Era(), records, before)
	}
}
