package tpcollect_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// region is a set of nodes. Their reports arrive without a delay.
type region struct {
	members  []tpmessage.Member
	nodes    map[string]*tpcollect.Collector // by address
	down     map[string]bool                 // addresses of nodes that send and receive nothing
	messages int                             // reports and answers sent
	speeds   int                             // of these, with speeds of targets
}

func newRegion(zones, size int) *region {
	r := &region{nodes: make(map[string]*tpcollect.Collector), down: make(map[string]bool)}
	for z := range zones {
		for i := range size {
			name := fmt.Sprintf("z%d-n%d", z, i)
			r.members = append(r.members, tpmessage.Member{Name: name, Address: name + ":1", Zone: fmt.Sprint("z", z)})
		}
	}
	for _, m := range r.members {
		r.nodes[m.Address] = tpcollect.New(m)
	}
	r.setMembers(nil)
	return r
}

// setMembers passes the members, except those for which gone returns true, to
// all nodes.
func (r *region) setMembers(gone func(tpmessage.Member) bool) {
	var live []tpmessage.Member
	for _, m := range r.members {
		if gone == nil || !gone(m) {
			live = append(live, m)
		}
	}
	for _, c := range r.nodes {
		c.SetMembers(live)
	}
}

// ownLoad returns the load of one node: one run at a target that all nodes use,
// and tokens at a target that only this node uses.
func ownLoad(m tpmessage.Member) tpmessage.NodeLoad {
	return tpmessage.NodeLoad{
		Node: m.Name, PrefillDemand: 1, Prefixes: []tpmessage.CachedPrefix{{Prefix: 1, Target: "shared"}},
		Loads: []tpmessage.TargetLoad{{Target: "shared", Runs: 1}, {Target: m.Name, Tokens: 7}},
	}
}

// runReports lets all nodes report for the given time and returns the time
// after it.
func (r *region) runReports(from time.Time, length time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(length)); now = now.Add(100 * time.Millisecond) {
		for _, m := range r.members {
			c := r.nodes[m.Address]
			if r.down[m.Address] {
				continue
			}
			for _, address := range c.Reports(now) {
				report := c.Report(now, ownLoad(m))
				report.Report = true
				r.messages++
				if len(report.Speeds) > 0 {
					r.speeds++
				}
				collector, ok := r.nodes[address]
				if !ok || r.down[address] {
					continue
				}
				receiver := tpmessage.Member{}
				for _, x := range r.members {
					if x.Address == address {
						receiver = x
					}
				}
				answer := collector.Answer(now, ownLoad(receiver), report)
				collector.Record(now, report)
				c.Record(now, answer)
				r.messages++
				if len(answer.Speeds) > 0 {
					r.speeds++
				}
			}
		}
	}
	return now
}

// runs returns the known load of the other nodes at one node: the runs and
// tokens at all targets, and the number of nodes.
func (r *region) runs(m tpmessage.Member, now time.Time) (runs, tokens, nodes int) {
	for _, l := range r.nodes[m.Address].Loads(now) {
		nodes += max(1, l.Nodes)
		for _, t := range l.Loads {
			runs += t.Runs
			tokens += t.Tokens
		}
	}
	return runs, tokens, nodes
}

// Guards against loads that are missing or counted twice, for a node, its
// collector, and zones of one node.
func TestEachNodeKnowsTheSum(t *testing.T) {
	for _, test := range []struct{ zones, size int }{{1, 1}, {1, 4}, {3, 1}, {3, 3}, {4, 20}} {
		r := newRegion(test.zones, test.size)
		now := r.runReports(epoch, 3*time.Second)
		others := test.zones*test.size - 1
		for _, m := range r.members {
			runs, tokens, nodes := r.runs(m, now)
			if runs != others || tokens != 7*others || nodes != others {
				t.Errorf("%d zones of %d: %s knows %d runs and %d tokens of %d nodes, want %d, %d, %d",
					test.zones, test.size, m.Name, runs, tokens, nodes, others, 7*others, others)
			}
		}
	}
}

// Guards against a number of messages that grows with the square of the number
// of nodes.
func TestMessagesGrowWithTheNodes(t *testing.T) {
	messages := func(size int) int {
		r := newRegion(3, size)
		r.runReports(epoch, 10*time.Second)
		return r.messages
	}
	small, large := messages(10), messages(40)
	if large > 4*small {
		t.Errorf("messages of 120 nodes: got %d, want at most four times the %d of 30", large, small)
	}
}

// Guards against a zone that receives no further loads when its collector is
// lost, and against sums that include the load of a lost node.
func TestCollectorIsReplaced(t *testing.T) {
	r := newRegion(2, 4)
	now := r.runReports(epoch, 2*time.Second)
	var lost tpmessage.Member
	for _, m := range r.members {
		if m.Zone == "z0" && r.nodes[m.Address].IsCollector() {
			lost = m
		}
	}
	r.down[lost.Address] = true
	now = r.runReports(now, 1500*time.Millisecond)
	r.setMembers(func(m tpmessage.Member) bool { return m.Name == lost.Name })
	now = r.runReports(now, 2500*time.Millisecond)
	for _, m := range r.members {
		if m.Name == lost.Name {
			continue
		}
		if runs, _, _ := r.runs(m, now); runs != 6 {
			t.Errorf("%s knows of %d runs, want 6", m.Name, runs)
		}
	}
}

// Guards against a stale sum that hides the loads that nodes send directly.
func TestStaleSumGivesWay(t *testing.T) {
	r := newRegion(1, 3)
	now := r.runReports(epoch, time.Second)
	var reporter tpmessage.Member
	for _, m := range r.members {
		if !r.nodes[m.Address].IsCollector() {
			reporter = m
		}
	}
	c := r.nodes[reporter.Address]
	later := now.Add(2 * time.Second)
	for _, m := range r.members {
		if m.Name != reporter.Name {
			c.Record(later, ownLoad(m))
		}
	}
	if runs, _, nodes := r.runs(reporter, later); runs != 2 || nodes != 2 {
		t.Errorf("without an answer of the collector: got %d runs of %d nodes, want 2 of 2", runs, nodes)
	}
}

// Guards against an old statement about a limit that outweighs a later one, because the sum of the own zone has no time.
func TestSumOfTheOwnZoneHasATime(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := tpcollect.New(tpmessage.Member{Name: "node-0", Zone: "zone-0"})
	own := tpmessage.NodeLoad{Node: "node-0", At: now.Add(-time.Second), Limits: []tpmessage.TargetLimit{
		{Target: "s0", Statement: tpmessage.LimitNamed, PerSecond: 2, Age: time.Second},
	}}
	_, zones := c.ZoneLoads(now, own)
	got := zones["zone-0"]
	if !got.At.Equal(now) || len(got.Limits) != 1 || got.Limits[0].Age != 2*time.Second {
		t.Errorf("sum of the own zone: got time %v and limits %+v, want %v and an age of 2 s", got.At, got.Limits, now)
	}
}
