package tprelaynode

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// simulated is the membership and the load collection of one node without its
// connections.
type simulated struct {
	table   *tpmember.Table
	collect *tpcollect.Collector
	reports int
	next    time.Time // time of the next round to random members
}

// exchange delivers a heartbeat and its answer as the membership filter does.
func exchange(now time.Time, from, to *simulated, hb tpmessage.Heartbeat) {
	if hb.Brief {
		hb.Members = hb.Members[:1]
	}
	answer := to.table.Receive(now, hb)
	if hb.Brief {
		answer.Members = answer.Members[:1]
	}
	from.table.Answer(now, answer)
}

// Guards against member lists that are sent too rarely for the time after which
// a member is suspected. With the member list in only every eighth report, live
// members among 75 nodes were suspected 8,827 times in one benchmark day.
func TestLiveMembersAreNotSuspected(t *testing.T) {
	for _, size := range []int{75, 180} {
		for _, served := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, served %v", size, served), func(t *testing.T) { checkLiveMembers(t, size, served) })
		}
	}
}

// checkLiveMembers runs the membership of nodes in three zones. Served
// is true if the nodes rely on the collectors.
func checkLiveMembers(t *testing.T, size int, served bool) {
	rng := rand.New(rand.NewPCG(20261204, 1))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	nodes := make(map[string]*simulated)
	var order []string
	for i := range size {
		name := fmt.Sprintf("node-%02d", i)
		self := tpmessage.Member{
			Name: name, Address: name, Zone: fmt.Sprint("zone-", i%3), Incarnation: tpmember.Incarnation(start, rng),
		}
		s := &simulated{
			collect: tpcollect.New(self), next: start.Add(time.Duration(rng.Int64N(int64(heartbeatInterval)))),
			table: tpmember.NewTable(tpmember.Settings{
				Self: self, Seeds: []string{"node-00", "node-01"}, Random: rng,
				SuspectAfter: suspectAfter, DropAfter: suspectAfter + dropDelay, SameZoneFanout: sameZonePeers,
			}),
		}
		s.table.SetAddress(name)
		nodes[name] = s
		order = append(order, name)
	}
	suspected := 0
	length := 25 * time.Second
	if size > 100 {
		length = 12 * time.Second // the work grows with the square of the size
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(reportTickInterval) {
		rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, name := range order {
			s := nodes[name]
			if !now.Before(s.next) {
				s.next = s.next.Add(heartbeatInterval)
				s.table.SetFanout(gossipFanout(served && now.Sub(start) > 2*time.Second))
				r := s.table.Tick(now)
				for _, address := range r.Addresses {
					exchange(now, s, nodes[address], r.Heartbeat)
				}
			}
			for _, address := range s.collect.Reports(now) {
				hb := s.table.Tick(now).Heartbeat
				s.reports++
				hb.Brief = s.reports%reportsPerMemberList != 0
				exchange(now, s, nodes[address], hb)
			}
			s.collect.SetMembers(s.table.Members())
			s.table.SetTimeouts(memberTimeouts(s.collect.ReportInterval()))
			for _, c := range s.table.Changes() {
				if c.Kind == tpmember.Suspected && now.Sub(start) > 5*time.Second {
					suspected++
				}
			}
		}
	}
	if suspected > 0 {
		t.Errorf("live members suspected after 5 s: got %d, want 0", suspected)
	}
	if got, want := len(nodes["node-07"].table.Members()), size; got != want {
		t.Errorf("members known to a node: got %d, want %d", got, want)
	}
}

// Guards against two parts of a region that never meet again after a partition,
// because nodes whose collector answers send no heartbeats to members that they
// have dropped.
func TestPartsMeetAgain(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 2))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	nodes := make(map[string]*simulated)
	var order []string
	for i := range 12 {
		name := fmt.Sprintf("node-%02d", i)
		self := tpmessage.Member{Name: name, Address: name, Zone: fmt.Sprint("zone-", i%3), Incarnation: tpmember.Incarnation(start, rng)}
		nodes[name] = &simulated{table: tpmember.NewTable(tpmember.Settings{
			Self: self, Seeds: []string{"node-00", "node-01"}, Random: rng, SuspectAfter: suspectAfter, DropAfter: suspectAfter + dropDelay,
		})}
		nodes[name].table.SetAddress(name)
		order = append(order, name)
	}
	run := func(from, length time.Duration, cut bool) {
		for at := from; at < from+length; at += heartbeatInterval {
			for i, name := range order {
				s := nodes[name]
				s.table.SetFanout(gossipFanout(true))
				r := s.table.Tick(start.Add(at))
				for _, address := range r.Addresses {
					j := slices.Index(order, address)
					if !cut || (i < 6) == (j < 6) {
						exchange(start.Add(at), s, nodes[address], r.Heartbeat)
					}
				}
			}
		}
	}
	run(0, 10*time.Second, false)
	run(10*time.Second, 20*time.Second, true)
	if got := len(nodes["node-11"].table.Members()); got > 6 {
		t.Fatalf("members known in a part of 6 nodes: got %d", got)
	}
	run(30*time.Second, 15*time.Second, false)
	for _, name := range order {
		if got, want := len(nodes[name].table.Members()), len(order); got != want {
			t.Errorf("members known to %s after the partition: got %d, want %d", name, got, want)
		}
	}
}

// Guards against a failure of the platform that becomes younger while a heartbeat that tells of it waits for a sender.
func TestDisturbanceAgesInTheQueue(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := datedVersions{at: at, versions: []tpmessage.ViewVersion{
		{Kind: "servers", Disturbed: true, DisturbedAge: time.Second}, {Kind: "config"},
	}}
	for range 2 {
		got := v.ageTo(at.Add(800 * time.Millisecond))
		if got[0].DisturbedAge != 1800*time.Millisecond || got[1].DisturbedAge != 0 {
			t.Errorf("ages after 0.8 s in the queue: got %v and %v, want 1.8 s and 0", got[0].DisturbedAge, got[1].DisturbedAge)
		}
	}
}

// Guards against dead watchers that are suspected late because the collector of the zone, which is dead too, does not answer.
func TestDeadMembersAreSuspectedWithoutACollector(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := tpclock.NewFake(start)
	n := newGuardedNode()
	n.clock = clock
	n.roles = &roleFilter{loads: tpring.New[[]tpmessage.NodeLoad](tpring.Settings{Capacity: 1})}
	n.scale = &scaleFilter{}
	m := newEvidenceMembers(n, "node-5")
	m.out = tpring.New[outgoingHeartbeat](tpring.Settings{Capacity: heartbeatRingCapacity})
	m.table.SetAddress("node-5")
	m.liveMembers.Store(&[]tpmessage.Member{})
	var others []tpmessage.MemberState
	for i := range 5 {
		name := fmt.Sprint("node-", i)
		others = append(others, tpmessage.MemberState{Beat: 1, Member: tpmessage.Member{Name: name, Address: name, Incarnation: name, Watching: true}})
	}
	m.table.Answer(start, tpmessage.Heartbeat{Members: others})
	// The rounds to random members come once a second, just before the time at which the members become suspect.
	nextRound := start.Add(400 * time.Millisecond)
	for now := start; now.Before(start.Add(suspectAfter + reportTickInterval + time.Millisecond)); now = now.Add(reportTickInterval) {
		m.handle(memberInput{kind: memberReport})
		if !now.Before(nextRound) {
			nextRound = nextRound.Add(heartbeatInterval)
			m.handle(memberInput{kind: memberTick})
		}
		clock.Advance(reportTickInterval)
	}
	if got := m.watchersAhead(); got != 0 {
		t.Errorf("%v after the last sign of life: got %d watchers ahead, want 0", suspectAfter+reportTickInterval, got)
	}
}
