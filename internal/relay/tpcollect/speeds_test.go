package tpcollect_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// speeds returns speeds of n targets.
func speeds(n int) []tpmessage.TargetSpeed {
	out := make([]tpmessage.TargetSpeed, n)
	for i := range out {
		out[i] = tpmessage.TargetSpeed{Process: uint32(i + 1), ReadMs: 100, Streams: 2, StreamSpeeds: 3}
	}
	return out
}

// Guards against observed speeds that are missing or counted twice, and against
// reports that all carry them.
func TestEachNodeKnowsTheSpeeds(t *testing.T) {
	for _, test := range []struct{ zones, size, targets, seconds int }{{1, 1, 1, 8}, {1, 4, 2, 8}, {3, 1, 2, 8}, {3, 3, 2, 8}, {4, 20, 128, 8}, {3, 4, 1280, 40}} {
		r := newRegion(test.zones, test.size)
		for _, c := range r.nodes {
			c.SetOwn(tpmessage.NodeLoad{Speeds: speeds(test.targets), SpeedWitnesses: 1})
		}
		now := r.runReports(epoch, time.Duration(test.seconds)*time.Second)
		others := float64(test.zones*test.size - 1)
		for _, m := range r.members {
			witnesses := 0
			got := make(map[uint32]tpmessage.TargetSpeed)
			for _, l := range r.nodes[m.Address].Loads(now) {
				witnesses += l.SpeedWitnesses
				for _, s := range l.Speeds {
					sum := got[s.Process]
					sum.ReadMs += s.ReadMs
					sum.Streams += s.Streams
					sum.StreamSpeeds += s.StreamSpeeds
					got[s.Process] = sum
				}
			}
			want := tpmessage.TargetSpeed{ReadMs: 100 * others, Streams: 2 * others, StreamSpeeds: 3 * others}
			if got := got[uint32(test.targets)]; got != want || witnesses != int(others) {
				t.Errorf("%d zones of %d: %s knows %+v of %d nodes, want %+v of %v", test.zones, test.size, m.Name, got, witnesses, want, others)
			}
		}
		// A node tells its collector every two seconds and is told by it as often, and
		// a pair of collectors tell each other each second. All tell less often of
		// 1,280 targets.
		if got, want := r.speeds, 10*test.zones*test.size+9*test.zones*test.zones; got > want {
			t.Errorf("%d zones of %d, %d targets: got %d messages with speeds in %d s, want at most %d", test.zones, test.size, test.targets, got, test.seconds, want)
		}
	}
}

// Guards against speeds in the messages of a region whose targets are equal, and
// against those of a node that is gone.
func TestOnlyDifferentSpeedsAreTold(t *testing.T) {
	r := newRegion(2, 3)
	now := r.runReports(epoch, 5*time.Second)
	if r.speeds != 0 {
		t.Errorf("messages with speeds: got %d, want 0", r.speeds)
	}
	gone := r.members[0]
	if own := r.nodes[gone.Address].SetOwn(tpmessage.NodeLoad{Node: gone.Name, Speeds: speeds(1)}); own.Speeds != nil || own.Node != gone.Name {
		t.Errorf("load without the speeds: got %+v", own)
	}
	now = r.runReports(now, 5*time.Second)
	r.down[gone.Address] = true
	r.setMembers(func(m tpmessage.Member) bool { return m.Name == gone.Name })
	now = r.runReports(now, 10*time.Second)
	for _, m := range r.members[1:] {
		for _, l := range r.nodes[m.Address].Loads(now) {
			if len(l.Speeds) > 0 {
				t.Errorf("speeds at %s 10 s after the only node that told any: got %+v, want none", m.Name, l.Speeds)
			}
		}
	}
}
