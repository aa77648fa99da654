package tprelaynode_test

import (
	"testing"
	"time"
)

// Guards against an order to an engine that says in its state report that it is
// leaving, and against one that counts as capacity, so that no other engine is
// ordered in its place.
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
