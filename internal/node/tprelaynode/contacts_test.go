package tprelaynode

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/internal/membership/tpcontact"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// watcherCount is the number of nodes of a part that the platform serves.
const watcherCount = 4

// contactNode is a simulated node that reads and writes the contacts.
type contactNode struct {
	simulated
	finder tpcontact.Finder
}

// contactRegion is a region of simulated nodes and the platform's object with
// their contacts.
type contactRegion struct {
	rng     *rand.Rand
	now     time.Time
	nodes   map[string]*contactNode // by address
	order   []string
	stored  []tpcontact.Contact
	down    bool // the platform does not answer
	isCut   func(a, b string) bool
	without bool // the nodes do not use the platform

	reads, writes, introductions, bytes int
}

func newContactRegion(seed uint64) *contactRegion {
	return &contactRegion{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), nodes: make(map[string]*contactNode),
		isCut: func(string, string) bool { return false },
	}
}

func (r *contactRegion) add(name string, zone int, seeds ...string) {
	self := tpmessage.Member{Name: name, Address: name, Zone: fmt.Sprint("zone-", zone), Incarnation: tpmember.Incarnation(r.now, r.rng)}
	n := &contactNode{simulated: simulated{
		collect: tpcollect.New(self), next: r.now.Add(time.Duration(r.rng.Int64N(int64(heartbeatInterval)))),
		table: tpmember.NewTable(tpmember.Settings{
			Self: self, Seeds: seeds, Random: r.rng,
			SuspectAfter: suspectAfter, DropAfter: suspectAfter + dropDelay, SameZoneFanout: sameZonePeers,
		}),
	}}
	n.table.SetAddress(name)
	r.nodes[name] = n
	r.order = append(r.order, name)
}

func (r *contactRegion) remove(name string) {
	delete(r.nodes, name)
	r.order = slices.DeleteFunc(r.order, func(other string) bool { return other == name })
}

// run advances the region as the membership filters do.
func (r *contactRegion) run(length time.Duration) {
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(reportTickInterval) {
		r.rng.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
		for _, name := range r.order {
			r.step(name)
		}
	}
}

func (r *contactRegion) step(name string) {
	n := r.nodes[name]
	send := func(address string, hb tpmessage.Heartbeat) {
		if to, isUp := r.nodes[address]; isUp && !r.isCut(name, address) {
			exchange(r.now, &n.simulated, &to.simulated, hb)
		}
	}
	if !r.now.Before(n.next) {
		n.next = n.next.Add(heartbeatInterval)
		n.table.SetFanout(gossipFanout(len(n.table.Members()) > watcherCount))
		out := n.table.Tick(r.now)
		for _, address := range out.Addresses {
			send(address, out.Heartbeat)
		}
		r.readContacts(n, send)
	}
	for _, address := range n.collect.Reports(r.now) {
		hb := n.table.Tick(r.now).Heartbeat
		n.reports++
		hb.Brief = n.reports%reportsPerMemberList != 0
		send(address, hb)
	}
	members := n.table.Members()
	n.collect.SetMembers(members)
	n.table.SetTimeouts(memberTimeouts(n.collect.ReportInterval()))
	n.table.SetSelf(0, false, isWatcher(members))
}

// isWatcher reports whether the first of the members is among the first
// watcherCount of them.
func isWatcher(members []tpmessage.Member) bool {
	ahead := 0
	for _, m := range members[1:] {
		if !m.Suspect && xxh3.HashString(watchTask+m.Name) > xxh3.HashString(watchTask+members[0].Name) {
			ahead++
		}
	}
	return ahead < watcherCount
}

func (r *contactRegion) readContacts(n *contactNode, send func(string, tpmessage.Heartbeat)) {
	members := n.table.Members()
	v := tpcontact.View{Members: members, First: isWatcher(members) && !slices.ContainsFunc(members[1:], func(other tpmessage.Member) bool {
		return other.Watching && tpcontact.Ranks(&other, &members[0])
	})}
	if r.without || !n.finder.Due(r.now, &v) {
		return
	}
	r.reads++
	if r.down {
		n.finder.Failed()
		return
	}
	step := n.finder.Read(r.now, &v, r.stored)
	for _, address := range n.table.Strangers(step.Addresses) {
		r.introductions++
		hb := n.table.Introduce(r.now)
		data, _ := json.Marshal(hb.Members)
		r.bytes += len(data)
		send(address, hb)
	}
	if step.Write != nil {
		r.writes++
		r.stored = step.Write
	}
}

// known returns the number of nodes and the smallest number of members that a
// node knows.
func (r *contactRegion) known() (nodes, fewest int) {
	fewest = len(r.nodes)
	for _, n := range r.nodes {
		fewest = min(fewest, len(n.table.Members()))
	}
	return len(r.nodes), fewest
}

func (r *contactRegion) checkJoined(t *testing.T, what string) {
	t.Helper()
	if nodes, fewest := r.known(); fewest != nodes {
		t.Errorf("%s: a node knows %d of %d members", what, fewest, nodes)
	}
}

// addParts adds nodes in three zones, in parts that have only each other as
// seeds.
func (r *contactRegion) addParts(size, parts int) {
	for i := range size {
		part := i % parts
		r.add(fmt.Sprintf("part-%d-node-%03d", part, i/parts), (i/parts)%3, fmt.Sprintf("part-%d-node-000", part), fmt.Sprintf("part-%d-node-001", part))
	}
}

// Guards against nodes without a live seed, and parts of a region that never knew each other, which stay apart for good.
func TestPartsFindEachOther(t *testing.T) {
	for _, test := range []struct{ size, parts int }{{2, 2}, {5, 5}, {8, 2}, {8, 8}, {30, 3}, {40, 40}, {69, 2}} {
		for _, without := range []bool{false, true} {
			r := newContactRegion(uint64(test.size))
			r.without = without
			r.addParts(test.size, test.parts)
			r.run(20 * time.Second)
			if !without {
				r.checkJoined(t, fmt.Sprintf("%d nodes in %d parts after 20 s", test.size, test.parts))
			} else if nodes, fewest := r.known(); fewest == nodes {
				t.Errorf("%d nodes in %d parts are joined without the platform, so the test shows nothing", test.size, test.parts)
			}
		}
	}
}

// Guards against a region whose nodes are replaced one by one and lose each other on the way, and against halves that forget each other behind a long partition.
func TestRenewedPartsFindEachOther(t *testing.T) {
	for _, without := range []bool{false, true} {
		r := newContactRegion(1)
		r.without = without
		r.addParts(8, 1)
		r.run(10 * time.Second)
		half := func(name string) bool { return name[len(name)-1] < '4' }
		r.isCut = func(a, b string) bool { return half(a) != half(b) }
		for i := range 8 {
			r.run(12 * time.Second)
			r.remove(fmt.Sprintf("part-0-node-00%d", i))
			// The seeds of a new node are gone, except for those of one in each half.
			r.add(fmt.Sprintf("new-node-00%d", i), i%3, fmt.Sprintf("new-node-00%d", i/4*4))
		}
		r.run(12 * time.Minute) // tpmember.ForgetAfter and more
		if _, fewest := r.known(); fewest > 4 {
			t.Fatalf("behind a partition: a node knows %d members, want 4 at most", fewest)
		}
		r.isCut = func(string, string) bool { return false }
		r.run(20 * time.Second)
		if !without {
			r.checkJoined(t, "a region renewed behind a partition")
		} else if nodes, fewest := r.known(); fewest == nodes {
			t.Error("the parts are joined without the platform, so the test shows nothing")
		}
	}
}

// Guards against contacts that stay lost after an outage of the platform, and against a platform that is called without end.
func TestContactsAfterAnOutage(t *testing.T) {
	r := newContactRegion(2)
	r.down = true
	r.addParts(6, 6)
	r.run(time.Minute)
	if perSecond := float64(r.reads) / 60 / 6; perSecond > 0.3 {
		t.Errorf("reads of a node without peers in an outage: got %.2f a second, want 0.3 at most", perSecond)
	}
	r.down = false
	r.run(20 * time.Second)
	r.checkJoined(t, "after the outage")
}

// Guards against a cost of the contacts that grows with the region.
func TestContactsCostLittle(t *testing.T) {
	const calm = 6 * time.Second // more than one read by the first node
	for _, size := range []int{8, 69, 295} {
		r := newContactRegion(uint64(size))
		r.addParts(size, 2)
		r.run(12 * time.Second)
		r.checkJoined(t, fmt.Sprintf("%d nodes in two halves after 12 s", size))
		joinReads, joinWrites, joinBytes := r.reads, r.writes, r.bytes
		r.reads, r.writes, r.introductions, r.bytes = 0, 0, 0, 0
		r.run(calm)
		perNode := func(count int) float64 { return float64(count) / calm.Seconds() / float64(size) }
		object, _ := json.Marshal(r.stored)
		t.Logf("%d nodes: to join two halves %d reads, %d writes, %d bytes of heartbeats; then %.4f reads, %.4f writes and %.4f introductions a second and node; object of %d bytes",
			size, joinReads, joinWrites, joinBytes, perNode(r.reads), perNode(r.writes), perNode(r.introductions), len(object))
		if r.reads > 3 || r.writes > 0 || r.introductions > 0 {
			t.Errorf("%d nodes in %v of calm: got %d reads, %d writes, %d introductions, want 3, 0 and 0 at most", size, calm, r.reads, r.writes, r.introductions)
		}
		if len(object) > 1024 {
			t.Errorf("%d nodes: got an object of %d bytes, want 1024 at most", size, len(object))
		}
	}
}
