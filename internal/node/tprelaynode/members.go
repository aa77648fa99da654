package tprelaynode

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// memberInputs is the capacity of the membership ring. A heartbeat that
	// finds it full is refused; the next one carries the same news.
	memberInputs = 256
	// heartbeatsOut is the capacity of the ring of outgoing heartbeats, which
	// drops the oldest. A push goes to every node of the region.
	heartbeatsOut = 128
	// heartbeatSenders is the number of duties that send heartbeats. Each may
	// wait tppeer.HeartbeatTimeout for a silent peer.
	heartbeatSenders = 6
	// heartbeatInterval is the time between two rounds of heartbeats to random
	// members, which tell all members. They spread the membership; the loads
	// that they carry count while the zone has no collector.
	heartbeatInterval = time.Second
	// nearPeers is the number of the three peers of a round that are of the
	// node's zone.
	nearPeers = 2
	// reportTick is the interval at which reports to the collector are due, as
	// a multiple of which the collection is timed.
	reportTick = 100 * time.Millisecond
	// fullEvery is the number of reports of which one tells all members. The
	// others tell the sender's own entry: among 75 nodes the list of members is
	// ten times as long as the load.
	fullEvery = 2
	// memberSuspect and memberDrop are the silences after which a member counts
	// as suspected and as gone.
	memberSuspect = 1500 * time.Millisecond
	memberDrop    = 4 * time.Second
)

type memberKind uint8

const (
	memberTick memberKind = iota
	memberReport
	memberReceived
	memberAnswered
	memberPush // of a changed view
)

type memberInput struct {
	kind      memberKind
	address   string
	heartbeat tpmessage.Heartbeat
	reply     *tpring.Ring[tpmessage.Heartbeat]
}

type outgoing struct {
	address   string
	heartbeat tpmessage.Heartbeat
}

// members holds the rings and the state of the membership filter:
//
//	peers, ticks -> members ring -> membership -> heartbeats ring -> senders
type members struct {
	node   *Node
	in     *tpring.Ring[memberInput]
	out    *tpring.Ring[outgoing]
	views  *tpring.Ring[[]tpmessage.ViewMark] // newest
	table  *tpmember.Table
	client *tppeer.Client
	own    tpmessage.NodeLoad
	marks  []tpmessage.ViewMark
	// collect gathers the loads; reports counts the reports made, and reporting
	// holds until when an answer to a report is waited for, by address.
	collect   *tpcollect.Collector
	reports   int
	reporting map[string]time.Time
	// incarnation tells this process from an earlier one on the machine.
	incarnation string
	live        atomic.Pointer[[]tpmessage.Member]
}

func newMembers(n *Node) *members {
	self := tpmessage.Member{
		Name: n.cfg.Name, Zone: n.cfg.Zone, Incarnation: tpmember.Incarnation(n.clock.Now(), n.random),
	}
	m := &members{
		node:  n,
		in:    tpring.New[memberInput](tpring.Settings{Capacity: memberInputs}),
		out:   tpring.New[outgoing](tpring.Settings{Capacity: heartbeatsOut}),
		views: tpring.New[[]tpmessage.ViewMark](tpring.Settings{Capacity: 1}),
		table: tpmember.NewTable(tpmember.Settings{
			Self: self, Seeds: n.cfg.Seeds, Random: n.random,
			SuspectAfter: memberSuspect, DropAfter: memberDrop, Near: nearPeers,
		}),
		incarnation: self.Incarnation,
		collect:     tpcollect.New(self),
		reporting:   make(map[string]time.Time),
	}
	m.table.Join(n.cfg.Peers)
	m.live.Store(&[]tpmessage.Member{self})
	n.deps.Rings.Add("members", m.in)
	n.deps.Rings.Add("heartbeats", m.out)
	return m
}

func (n *Node) startMembers() error {
	m := n.members
	client, closeClient := tppeer.NewClient(nil)
	m.client = client
	n.onStop(closeClient)
	ctx, cancel := context.WithCancel(context.Background())
	for range heartbeatSenders {
		if err := startFilter(n, "heartbeats", m.out, func(o outgoing) { m.send(ctx, o) }); err != nil {
			cancel()
			return err
		}
	}
	n.onStop(cancel)
	if err := startFilter(n, "membership", m.in, m.handle); err != nil {
		return err
	}
	if err := n.startTimer("member reports", func() time.Duration {
		_ = m.in.TryPut(memberInput{kind: memberReport})
		return reportTick
	}); err != nil {
		return err
	}
	return n.startTimer("member ticks", func() time.Duration {
		_ = m.in.TryPut(memberInput{kind: memberTick})
		return heartbeatInterval
	})
}

func (m *members) handle(in memberInput) {
	n := m.node
	now := n.clock.Now()
	if own, err := n.place.load.TryTake(); err == nil {
		m.own = own
	}
	if marks, err := m.views.TryTake(); err == nil {
		m.marks = marks
	}
	generation := uint64(0)
	if t := n.table.Load(); t != nil {
		generation = t.Config.Generation
	}
	m.table.SetSelf(generation, n.leaving.Load(), n.follow.serving.Load())
	switch in.kind {
	case memberTick:
		r := m.table.Tick(now)
		hb := m.fill(r.Heartbeat, m.own)
		for _, address := range r.Addresses {
			_ = m.out.PutDropOldest(outgoing{address: address, heartbeat: hb})
		}
		m.publish(now)
	case memberReport:
		m.report(now)
	case memberPush:
		news := m.table.Tick(now).Heartbeat
		news.Brief = true
		hb := m.fill(news, m.own)
		for _, member := range m.table.Members()[1:] {
			_ = m.out.PutDropOldest(outgoing{address: member.Address, heartbeat: hb})
		}
	case memberReceived:
		answer := m.table.Receive(now, in.heartbeat)
		answer.Brief = in.heartbeat.Brief
		told := m.own
		if len(in.heartbeat.Loads) > 0 {
			told = m.collect.Answer(now, m.own, in.heartbeat.Loads[0])
		}
		_ = in.reply.Put(m.fill(answer, told))
		m.heard(now, in.heartbeat, "")
	case memberAnswered:
		delete(m.reporting, in.address)
		m.table.Answer(now, in.heartbeat)
		m.heard(now, in.heartbeat, in.address)
	}
	for _, c := range m.table.Changes() {
		n.log.Info().Str("event", string(c.Kind)).Str("member", c.Member.Name).Str("address", c.Member.Address).
			Str("incarnation", c.Member.Incarnation).Send()
	}
}

// report sends the reports that are due, one at a time to each address.
func (m *members) report(now time.Time) {
	maps.DeleteFunc(m.reporting, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, address := range m.collect.Reports(now) {
		if _, waiting := m.reporting[address]; waiting {
			continue
		}
		m.reporting[address] = now.Add(tppeer.HeartbeatTimeout)
		news := m.table.Tick(now).Heartbeat
		m.reports++
		news.Brief = m.reports%fullEvery != 0
		load := m.collect.Report(now, m.own)
		load.Report = true
		_ = m.out.PutDropOldest(outgoing{address: address, heartbeat: m.fill(news, load)})
	}
	m.publish(now)
}

// fill adds a load and the marks, and leaves the other members out of a brief
// heartbeat.
func (m *members) fill(hb tpmessage.Heartbeat, load tpmessage.NodeLoad) tpmessage.Heartbeat {
	if hb.Brief && len(hb.Members) > 0 {
		hb.Members = hb.Members[:1]
	}
	hb.Loads = []tpmessage.NodeLoad{load}
	hb.Views = m.marks
	return hb
}

// heard passes on what a peer's heartbeat brought.
func (m *members) heard(now time.Time, hb tpmessage.Heartbeat, address string) {
	for _, l := range hb.Loads {
		m.collect.Hear(now, l)
	}
	if address == "" && len(hb.Members) > 0 {
		address = hb.Members[0].Member.Address
	}
	if address != "" && len(hb.Views) > 0 {
		m.node.follow.hear(address, hb.Views)
	}
}

// publish gives the placement and the roles what all nodes have outstanding.
func (m *members) publish(now time.Time) {
	live := m.table.Members()
	m.live.Store(&live)
	m.collect.SetMembers(live)
	loads := m.collect.Loads(now)
	_ = m.node.place.in.TryPutBelow(tpplace.Input{Kind: tpplace.InputLoads, Nodes: len(live), Loads: loads}, arrivals)
	own := m.own
	own.At = now
	_ = m.node.shift.loads.PutDropOldest(append(loads, own))
}

// receive passes a heartbeat from a peer to the filter.
func (m *members) receive(hb tpmessage.Heartbeat) (tpmessage.Heartbeat, error) {
	reply := tpring.New[tpmessage.Heartbeat](tpring.Settings{Capacity: 1})
	if err := m.in.TryPut(memberInput{kind: memberReceived, heartbeat: hb, reply: reply}); err != nil {
		return tpmessage.Heartbeat{}, err
	}
	return reply.Take()
}

// send is a sender duty. A peer that does not answer is suspected by the
// filter for its silence alone.
func (m *members) send(ctx context.Context, o outgoing) {
	answer, err := m.client.Heartbeat(ctx, o.address, o.heartbeat)
	if err != nil {
		return
	}
	_ = m.in.TryPut(memberInput{kind: memberAnswered, address: o.address, heartbeat: answer})
}

// rank returns the number of live members, other than a lease's holder, that
// come before this node in a task.
func (m *members) rank(task, holder string) int {
	return m.before(task, func(member tpmessage.Member) bool { return member.Name != holder })
}

// watchersBefore returns the number of members that wait for changes at the
// platform and come before this node in that task.
func (m *members) watchersBefore() int {
	return m.before(watchRole, func(member tpmessage.Member) bool { return member.Watching })
}

// before counts the live members that come before this node in the ranking of
// a task and that fit.
func (m *members) before(task string, fits func(tpmessage.Member) bool) int {
	own := xxh3.HashString(task + m.node.cfg.Name)
	n := 0
	for _, member := range *m.live.Load() {
		if member.Name == m.node.cfg.Name || member.Leaving || member.Suspect || !fits(member) {
			continue
		}
		if xxh3.HashString(task+member.Name) > own {
			n++
		}
	}
	return n
}
