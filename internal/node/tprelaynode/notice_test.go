package tprelaynode_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// Guards against an order to an engine that says in its state report that it is leaving.
func TestLeavingEngineIsNotOrdered(t *testing.T) {
	s := newSiteOf(t, "decode", "decode", "decode") // half are ordered to the prefill role
	s.servers[0].SetLeaving(true)
	s.start(t, "node-0", "127.0.0.1:0").untilReady(t)
	eventually(t, func() string {
		if len(s.servers[1].Orders())+len(s.servers[2].Orders()) == 0 {
			return "no other engine is ordered to the prefill role"
		}
		return ""
	})
	time.Sleep(3 * time.Second) // longer than the delay after a refused order
	if got := s.servers[0].Orders(); len(got) != 0 {
		t.Errorf("orders to the leaving engine: got %v, want none", got)
	}
	if got := len(s.servers[1].Orders()) + len(s.servers[2].Orders()); got != 1 {
		t.Errorf("orders to the two other engines: got %d, want 1", got)
	}
}

func TestRefusedOrderIsDelayed(t *testing.T) {
	s := newSiteOf(t)
	var mu sync.Mutex
	reports := make(map[string][]time.Time)
	for _, name := range []string{"e0", "e1"} {
		address := tpguestfake.Listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			reports[name] = append(reports[name], time.Now())
			w.WriteHeader(http.StatusInternalServerError)
		}))
		s.store.Set("servers", name, map[string]any{
			"service": "llm", "address": address, "zone": "z", "slots": 64, "state": "ready", "version": "v1", "cold_left_ms": 0, "sequence": 1, "stage": "decode", "born": 1,
		})
	}
	s.start(t, "node-0", "127.0.0.1:0").untilReady(t)
	most := func() int {
		mu.Lock()
		defer mu.Unlock()
		return max(len(reports["e0"]), len(reports["e1"]))
	}
	eventually(t, func() string {
		if most() < 3 {
			return "no engine has been asked for its state three times"
		}
		return ""
	})
	mu.Lock()
	defer mu.Unlock()
	for name, at := range reports {
		for i := 1; i < len(at); i++ {
			if got, least := at[i].Sub(at[i-1]), time.Second; got < least {
				t.Errorf("%s: requests for its state %v apart, want at least %v", name, got, least)
			}
		}
	}
}
