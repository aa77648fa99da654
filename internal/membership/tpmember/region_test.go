package tpmember_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// region runs several tables against each other on one clock. No messages are
// in flight at the end of a round.
type region struct {
	now    time.Time
	rng    *rand.Rand
	nodes  []*tpmember.Table
	up     []bool
	starts int
	// partitioned reports whether messages from a to b are lost.
	partitioned func(a, b int) bool
}

func newRegion(n int, seed uint64) *region {
	r := &region{
		now:         time.Unix(1_700_000_000, 0),
		rng:         rand.New(rand.NewPCG(seed, seed)),
		partitioned: func(int, int) bool { return false },
	}
	for i := range n {
		r.nodes = append(r.nodes, nil)
		r.up = append(r.up, false)
		r.start(i)
	}
	return r
}

// start begins a new incarnation of a node. All nodes have nodes 0 and 1 as
// seeds.
func (r *region) start(i int) {
	r.starts++
	r.nodes[i] = tpmember.NewTable(tpmember.Settings{
		Self: tpmessage.Member{
			Name: name(i), Address: name(i), Zone: "milano-a", Incarnation: tpmember.Incarnation(r.now, r.rng),
		},
		Seeds:  []string{name(0), name(1)},
		Random: r.rng,
	})
	r.up[i] = true
}

func name(i int) string { return fmt.Sprintf("node-%03d", i) }

func index(address string) (i int) {
	_, _ = fmt.Sscanf(address, "node-%d", &i)
	return i
}

// round advances the clock by one second, in which each node sends its
// heartbeats.
func (r *region) round() {
	r.now = r.now.Add(time.Second)
	for i, t := range r.nodes {
		if r.up[i] {
			r.send(i, t.Tick(r.now))
		}
	}
}

func (r *region) send(from int, round tpmember.OutgoingHeartbeat) {
	for _, address := range round.Addresses {
		to := index(address)
		if r.up[to] && !r.partitioned(from, to) {
			r.nodes[from].Answer(r.now, r.nodes[to].Receive(r.now, round.Heartbeat))
		}
	}
}

// view returns the names of the members that a node considers live, sorted.
func (r *region) view(i int) []string {
	var names []string
	for _, m := range r.nodes[i].Members() {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// checkViewsAgree fails the test unless every node that is up considers
// exactly the nodes that are up as live.
func (r *region) checkViewsAgree(t rapid.TB) {
	var want []string
	for i, up := range r.up {
		if up {
			want = append(want, name(i))
		}
	}
	for i, up := range r.up {
		if got := r.view(i); up && !slices.Equal(got, want) {
			t.Fatalf("view of %s: got %v, want %v", name(i), got, want)
		}
	}
}

// Guards against a live member that stays dropped, a dead one that stays a
// member, and a stale entry that returns, after kills, restarts, pauses and
// partitions.
func TestViewsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		r := newRegion(n, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			switch rapid.SampledFrom([]string{"none", "kill", "start", "resume", "split", "heal"}).Draw(t, "fault") {
			case "kill": // or pause; the table keeps its state
				r.up[i] = false
			case "start":
				r.start(i)
			case "resume":
				r.up[i] = true
			case "split":
				r.partitioned = func(a, b int) bool { return (a < i) != (b < i) }
			case "heal":
				r.partitioned = func(int, int) bool { return false }
			}
			r.round()
		}
		// A node that knows no other node needs a seed that is up.
		r.up[0] = true
		r.partitioned = func(int, int) bool { return false }
		for range 20 {
			r.round()
		}
		r.checkViewsAgree(t)
	})
}

// Guards against gossip that is too slow for the deadlines in the largest
// region: 370 nodes in 9 regions are 41 or 42 nodes each. A suspicion only
// marks a member; the seed below causes 112 of them in 516,600 pair-seconds.
// Dropping a member without a fault would move its keys.
func TestNoDropWithoutFaults(t *testing.T) {
	const nodes, rounds = 42, 300
	r := newRegion(nodes, 7)
	for range 20 {
		r.round()
	}
	for i := range r.nodes {
		r.nodes[i].Changes()
	}
	suspicions := 0
	for range rounds {
		r.round()
		for i, n := range r.nodes {
			for _, c := range n.Changes() {
				if c.Kind != tpmember.Suspected {
					t.Errorf("%s reports %s of %s without a fault", name(i), c.Kind, c.Member.Name)
				}
				suspicions++
			}
		}
	}
	if want := rounds * nodes * (nodes - 1) / 1000; suspicions > want {
		t.Errorf("suspicions without a fault: got %d, want at most %d", suspicions, want)
	}
}

// Guards against a killed member that stays a member, or that is dropped too
// early.
func TestKilledMemberIsDropped(t *testing.T) {
	r := newRegion(42, 3)
	for range 20 {
		r.round()
	}
	r.up[5] = false
	for range 5 {
		r.round()
		if !slices.Contains(r.view(9), name(5)) {
			t.Fatalf("%s was dropped before %v of silence", name(5), tpmember.DropAfter)
		}
	}
	// The last heartbeat counter of the killed node spreads for a few more
	// rounds.
	for range 5 {
		r.round()
	}
	r.checkViewsAgree(t)
}

// Guards against a leaving mark that the platform's list, a stale entry or
// reordered messages reset.
func TestLeavingCountsAtOnce(t *testing.T) {
	r := newRegion(8, 4)
	for range 10 {
		r.round()
	}
	r.send(3, r.nodes[3].Leave(r.now))
	for i, n := range r.nodes {
		n.SetListedVMs([]tpmessage.ListedVM{{Name: name(3), Address: name(3)}})
		for _, m := range n.Members() {
			if want := m.Name == name(3); m.Leaving != want {
				t.Errorf("%s sees %s leaving: got %v, want %v", name(i), m.Name, m.Leaving, want)
			}
		}
	}
	r.nodes[0].SetListedVMs([]tpmessage.ListedVM{{Name: name(4), Leaving: true}})
	for _, m := range r.nodes[0].Members() {
		if want := m.Name == name(3) || m.Name == name(4); m.Leaving != want {
			t.Errorf("%s leaving by list: got %v, want %v", m.Name, m.Leaving, want)
		}
	}
}

// Guards against a restarted process that is taken for the earlier one, even
// if the clock of its VM is behind.
func TestRestartIsNewMember(t *testing.T) {
	for _, skew := range []time.Duration{time.Minute, -time.Minute} {
		r := newRegion(8, 5)
		for range 10 {
			r.round()
		}
		now := r.now
		r.now = now.Add(skew)
		r.start(2)
		r.now = now
		want := r.nodes[2].Members()[0].Incarnation
		for range 12 {
			r.round()
		}
		r.checkViewsAgree(t)
		for i, n := range r.nodes {
			for _, m := range n.Members() {
				if m.Name == name(2) && m.Incarnation != want {
					t.Errorf("clock skew %v: %s sees incarnation %s, want %s", skew, name(i), m.Incarnation, want)
				}
			}
		}
	}
}

// Guards against a paused process that drops the other members when it
// resumes, although only the process itself was silent.
func TestPauseDropsNobody(t *testing.T) {
	r := newRegion(4, 6)
	for range 10 {
		r.round()
	}
	r.up[1] = false
	r.now = r.now.Add(time.Minute)
	r.nodes[1].Tick(r.now)
	if got := len(r.nodes[1].Members()); got != 4 {
		t.Errorf("members after a pause: got %d, want 4", got)
	}
}

// Guards against dropping a node that is missing from the platform's list, and
// against ignoring the list when it is the only source of a node's address.
func TestListLags(t *testing.T) {
	r := newRegion(3, 8)
	for i := range r.nodes {
		r.nodes[i] = tpmember.NewTable(tpmember.Settings{
			Self:   tpmessage.Member{Name: name(i), Address: name(i), Incarnation: name(i)},
			Random: r.rng,
		})
	}
	// Node 1 and node 2 list node 0, node 0 lists no node, and no list
	// contains node 1 or node 2.
	r.nodes[1].SetListedVMs([]tpmessage.ListedVM{{Name: name(0), Address: name(0)}})
	r.nodes[2].SetListedVMs([]tpmessage.ListedVM{{Name: name(0), Address: name(0)}})
	for range 5 {
		r.round()
	}
	r.checkViewsAgree(t)
}

// Guards against heartbeat rounds that cross zones more often than configured,
// and against zones that never exchange heartbeats.
func TestNearPeers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_700_000_000, 0)
	zone := func(i int) string { return fmt.Sprint("zone-", i%3) }
	table := tpmember.NewTable(tpmember.Settings{
		Self: tpmessage.Member{Name: name(0), Address: name(0), Zone: zone(0)}, Random: rng, SameZoneFanout: 2,
	})
	table.SetAddress(name(0))
	hb := tpmessage.Heartbeat{}
	for i := 1; i < 30; i++ {
		hb.Members = append(hb.Members, tpmessage.MemberState{Beat: 1, Member: tpmessage.Member{
			Name: name(i), Address: name(i), Zone: zone(i), Incarnation: tpmember.Incarnation(now, rng),
		}})
	}
	table.Receive(now, hb)
	near, far := 0, 0
	for range 100 {
		for _, address := range table.Tick(now).Addresses {
			if zone(index(address)) == zone(0) {
				near++
			} else {
				far++
			}
		}
	}
	// Of 300 peers, 200 are chosen in the own zone. The other 100 are any of
	// 29 members, 9 of them in the own zone.
	if near+far != 300 || near < 210 || far < 45 {
		t.Errorf("peers of 100 rounds: got %d near and %d far, want about 230 and 70", near, far)
	}
}
