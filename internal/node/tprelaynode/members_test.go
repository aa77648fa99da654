package tprelaynode

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpmessage"
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
	rng := rand.New(rand.NewPCG(20261204, 1))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	nodes := make(map[string]*simulated)
	var order []string
	for i := range 75 {
		name := fmt.Sprintf("node-%02d", i)
		self := tpmessage.Member{
			Name: name, Address: name, Zone: fmt.Sprint("zone-", i%3), Incarnation: tpmember.Incarnation(start, rng),
		}
		s := &simulated{
			collect: tpcollect.New(self), next: start.Add(time.Duration(rng.Int64N(int64(heartbeatInterval)))),
			table: tpmember.NewTable(tpmember.Settings{
				Self: self, Seeds: []string{"node-00", "node-01"}, Random: rng,
				SuspectAfter: suspectAfter, DropAfter: dropAfter, SameZoneFanout: sameZonePeers,
			}),
		}
		s.table.SetAddress(name)
		nodes[name] = s
		order = append(order, name)
	}
	suspected := 0
	for now := start; now.Before(start.Add(25 * time.Second)); now = now.Add(reportTickInterval) {
		rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, name := range order {
			s := nodes[name]
			if !now.Before(s.next) {
				s.next = s.next.Add(heartbeatInterval)
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
			for _, c := range s.table.Changes() {
				if c.Kind == tpmember.Suspected && now.Sub(start) > 5*time.Second {
					suspected++
				}
			}
		}
	}
	if suspected > 0 {
		t.Errorf("live members suspected in 20 s: got %d, want 0", suspected)
	}
	if got, want := len(nodes["node-07"].table.Members()), 75; got != want {
		t.Errorf("members known to a node: got %d, want %d", got, want)
	}
}
