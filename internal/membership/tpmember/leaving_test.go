package tpmember_test

import (
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a leaving signal that does not reach a node two hops away,
// and against nodes that keep the signal alive among themselves after the
// target is back in service.
func TestLeavingSpreadsAndDiesOut(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b, c tpmember.LeavingTargets
	a.RecordReport(tpmessage.LoadReport{Target: "engine-1", At: now, Leaving: true})
	b.Merge(now, a.HeartbeatEntries(now))
	c.Merge(now.Add(time.Second), b.HeartbeatEntries(now.Add(time.Second)))
	if got, want := c.Names(now.Add(time.Second)), []string{"engine-1"}; !slices.Equal(got, want) {
		t.Fatalf("two hops away: got %v, want %v", got, want)
	}
	a.RecordReport(tpmessage.LoadReport{Target: "engine-1", At: now.Add(time.Second)})
	for range 30 {
		now = now.Add(time.Second)
		for _, pair := range [][2]*tpmember.LeavingTargets{{&a, &b}, {&b, &c}, {&c, &a}} {
			pair[1].Merge(now, pair[0].HeartbeatEntries(now))
			pair[0].Merge(now, pair[1].HeartbeatEntries(now))
		}
	}
	for i, l := range []*tpmember.LeavingTargets{&a, &b, &c} {
		if got := l.HeartbeatEntries(now); len(got) != 0 {
			t.Errorf("node %d after the target has come back: got %v, want none", i, got)
		}
	}
}

// Guards against a late report that sends new requests to a leaving target.
func TestLeavingIgnoresOlderReport(t *testing.T) {
	now := time.Unix(1000, 0)
	var l tpmember.LeavingTargets
	l.RecordReport(tpmessage.LoadReport{Target: "engine-1", At: now, Leaving: true})
	l.RecordReport(tpmessage.LoadReport{Target: "engine-1", At: now.Add(-time.Second)})
	if got := l.HeartbeatEntries(now); len(got) != 1 {
		t.Errorf("after an older report: got %v, want engine-1", got)
	}
}

// Guards against an engine that peers keep out of use after its order has
// ended, and against new requests for it before.
func TestLeavingForOrdersIsNotSentToPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	var l tpmember.LeavingTargets
	l.SetDrainedForOrders([]string{"engine-1"})
	if got, want := l.Names(now), []string{"engine-1"}; !slices.Equal(got, want) {
		t.Errorf("during the order: got %v, want %v", got, want)
	}
	if got := l.HeartbeatEntries(now); len(got) != 0 {
		t.Errorf("sent to peers: got %v, want none", got)
	}
	l.SetDrainedForOrders(nil)
	if got := l.Names(now); len(got) != 0 {
		t.Errorf("after the order: got %v, want none", got)
	}
}
