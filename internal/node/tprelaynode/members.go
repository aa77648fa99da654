package tprelaynode

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/membership/tpcontact"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/tpallot"
	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// memberRingCapacity is the number of inputs that wait for the membership
	// filter. A heartbeat that finds the ring full is refused; the next one
	// carries the same state.
	memberRingCapacity = 256
	// heartbeatRingCapacity is the number of outgoing heartbeats that wait. A
	// full ring drops the oldest. After a change of a view, a heartbeat to
	// every node of the region waits at once.
	heartbeatRingCapacity = 128
	// heartbeatSenders is the number of duties that send heartbeats. A peer
	// that does not answer blocks one of them for tppeer.HeartbeatTimeout.
	heartbeatSenders = 6
	// heartbeatInterval is the time between two rounds of heartbeats to random
	// members. These heartbeats carry the whole member list and spread the
	// membership; their loads count while the zone has no collector.
	heartbeatInterval = time.Second
	// joinInterval replaces heartbeatInterval until the node knows the targets.
	// Its first heartbeats may find no peer that has started.
	joinInterval = 100 * time.Millisecond
	// sameZonePeers is the number of peers in the node's own zone among the
	// unservedFanout peers of a round.
	sameZonePeers = 2
	// servedFanout and unservedFanout are the numbers of peers of a round, with
	// and without a collector that answers the node's reports.
	servedFanout, unservedFanout = 1, 3
	// memberRefreshInterval is the time between two reads of the live members
	// from the table, which copy all of them. A suspicion is read at the next
	// tick.
	memberRefreshInterval = 200 * time.Millisecond
	// reportTickInterval is the interval at which the filter checks which load
	// reports to the collector are due. The intervals of the collection are
	// multiples of it.
	reportTickInterval = 100 * time.Millisecond
	// reportsPerMemberList is the number of load reports of which one carries
	// the whole member list. The others carry only the sender's own entry: with
	// 75 nodes the member list is ten times as long as the load.
	reportsPerMemberList = 2
	// A member that shows no sign of life is suspected after suspectAfter, or
	// after suspectReports times the interval of the reports with all members
	// in a large zone, and removed dropDelay later.
	suspectAfter   = 1500 * time.Millisecond
	suspectReports = 2.5
	dropDelay      = 2500 * time.Millisecond
)

// memberTimeouts returns the times without a sign of life after which a member
// is suspected and removed.
func memberTimeouts(reportInterval time.Duration) (suspect, drop time.Duration) {
	listInterval := reportInterval * reportsPerMemberList
	suspect = max(suspectAfter, time.Duration(suspectReports*float64(listInterval)))
	return suspect, suspect + dropDelay
}

type memberInputKind uint8

const (
	memberTick memberInputKind = iota
	memberReport
	memberHeartbeat
	memberHeartbeatAnswer
	memberViewChanged // the new view versions are sent to all members at once
	memberQuarantined // the new evidence is sent to all members at once
	memberConfirmed   // the ages of the views are sent to all collectors at once
	memberSeeds       // the settings name other seeds
	memberContacts    // the contacts that the platform stores
)

type memberInput struct {
	kind      memberInputKind
	address   string
	heartbeat tpmessage.Heartbeat
	reply     *tpring.Ring[tpmessage.Heartbeat] // of a received heartbeat
	seeds     []string
	contacts  storedContacts
}

// outgoingHeartbeat is a heartbeat that waits for a sender, which adds the view
// versions.
type outgoingHeartbeat struct {
	address   string
	heartbeat tpmessage.Heartbeat
	views     datedVersions
}

// members holds the rings and the state of the membership filter:
//
//	peers, ticks -> members ring -> membership -> heartbeats ring -> senders
type members struct {
	node            *Node
	in              *tpring.Ring[memberInput]
	out             *tpring.Ring[outgoingHeartbeat]
	newViewVersions *tpring.Ring[datedVersions] // the latest, from the object filter
	table           *tpmember.Table
	client          *tppeer.Client
	ownLoad         tpmessage.NodeLoad
	views           datedVersions
	evidence        []tpmessage.SuspectRequest // of the placement filter, for heartbeats
	reportInterval  atomic.Int64               // time between two load reports of this zone
	// collector merges the loads of the nodes. reportsSent counts this node's
	// load reports. pendingReports holds, by address, the time until which the
	// node waits for the answer to a report.
	collector      *tpcollect.Collector
	allowances     tpallot.Exchange // of the collector
	finder         tpcontact.Finder
	reportsSent    int
	pendingReports map[string]time.Time
	loadsChanged   bool      // since the last call of publishLoads
	refreshedAt    time.Time // when the live members were last read from the table
	// incarnation distinguishes this process from an earlier one on the
	// machine.
	incarnation string
	liveMembers atomic.Pointer[[]tpmessage.Member]
}

func newMembers(n *Node) *members {
	self := tpmessage.Member{
		Name: n.cfg.Name, Zone: n.cfg.Zone, Incarnation: tpmember.Incarnation(n.clock.Now(), n.random),
	}
	m := &members{
		node:            n,
		in:              tpring.New[memberInput](tpring.Settings{Capacity: memberRingCapacity}),
		out:             tpring.New[outgoingHeartbeat](tpring.Settings{Capacity: heartbeatRingCapacity}),
		newViewVersions: tpring.New[datedVersions](tpring.Settings{Capacity: 1}),
		table: tpmember.NewTable(tpmember.Settings{
			Self: self, Seeds: n.cfg.Seeds, Random: n.random,
			SuspectAfter: suspectAfter, DropAfter: suspectAfter + dropDelay, SameZoneFanout: sameZonePeers,
		}),
		incarnation:    self.Incarnation,
		collector:      tpcollect.New(self),
		pendingReports: make(map[string]time.Time),
	}
	m.allowances = tpallot.Exchange{
		Node: n.cfg.Name, Zone: n.cfg.Zone, Collector: m.collector, Allotter: tpallot.Allotter{Random: n.random},
	}
	m.table.SetAddress(n.cfg.Peers)
	m.liveMembers.Store(&[]tpmessage.Member{self})
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
		if err := startFilter(n, "heartbeats", m.out, func(o outgoingHeartbeat) { m.sendHeartbeat(ctx, o) }); err != nil {
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
		return reportTickInterval
	}); err != nil {
		return err
	}
	return n.startTimer("member ticks", func() time.Duration {
		_ = m.in.TryPut(memberInput{kind: memberTick})
		if !n.Ready() && !n.leaving.Load() {
			return joinInterval
		}
		return heartbeatInterval
	})
}

func (m *members) handle(in memberInput) {
	n := m.node
	now := n.clock.Now()
	if ownLoad, err := n.placement.load.TryTake(); err == nil {
		m.ownLoad = m.collector.SetOwn(ownLoad)
	}
	if views, err := m.newViewVersions.TryTake(); err == nil {
		m.views = views
	}
	if evidence, err := n.placement.evidence.TryTake(); err == nil {
		m.evidence = evidence
	}
	generation := uint64(0)
	if t := n.table.Load(); t != nil {
		generation = t.Config.Generation
	}
	m.table.SetSelf(generation, n.leaving.Load(), n.objects.serving.Load())
	switch in.kind {
	case memberTick:
		m.table.SetFanout(gossipFanout(m.collector.Available(now)))
		r := m.table.Tick(now)
		hb := m.completeHeartbeat(r.Heartbeat, m.ownLoad)
		for _, address := range r.Addresses {
			m.send(address, hb)
		}
		m.loadsChanged = true // old loads may have expired
		m.publishLoads(now)
		m.readContacts(now)
	case memberReport:
		// No report may be due for a second while the collector does not answer.
		m.table.Check(now)
		m.allot(now)
		m.sendReports(now)
	case memberViewChanged, memberQuarantined:
		hb := m.completeHeartbeat(m.table.BriefTick(now), m.ownLoad)
		for _, member := range m.table.Members()[1:] {
			m.send(member.Address, hb)
		}
	case memberConfirmed:
		hb := m.completeHeartbeat(m.table.BriefTick(now), m.ownLoad)
		for _, address := range m.collector.OtherCollectors() {
			m.send(address, hb)
		}
	case memberSeeds:
		m.setSeeds(now, in.seeds)
	case memberContacts:
		m.receiveContacts(now, in.contacts)
	case memberHeartbeat:
		m.answerHeartbeat(now, in)
	case memberHeartbeatAnswer:
		delete(m.pendingReports, in.address)
		m.table.Answer(now, in.heartbeat)
		m.processHeartbeat(now, in.heartbeat, in.address)
	}
	for _, c := range m.table.Changes() {
		if c.Kind == tpmember.Suspected {
			m.refreshedAt = time.Time{} // the next tick reads the members
		}
		n.log.Info().Str("event", string(c.Kind)).Str("member", c.Member.Name).Str("address", c.Member.Address).
			Str("incarnation", c.Member.Incarnation).Send()
	}
}

// answerHeartbeat processes a heartbeat of a peer and answers it.
func (m *members) answerHeartbeat(now time.Time, in memberInput) {
	// The peer's call would wait for ever if this step panicked.
	defer in.reply.Close()
	answer := m.table.Receive(now, in.heartbeat)
	answerLoad := m.ownLoad
	if len(in.heartbeat.Loads) > 0 {
		answerLoad = m.collector.Answer(now, m.ownLoad, in.heartbeat.Loads[0])
	}
	out := m.completeHeartbeat(answer, answerLoad)
	if len(in.heartbeat.Loads) > 0 {
		out.Allowances = m.allowances.InAnswer(now, in.heartbeat.Loads[0])
	}
	out.Views = m.views.ageTo(m.node.leaseClock.Now())
	_ = in.reply.Put(out)
	m.processHeartbeat(now, in.heartbeat, "")
}

// sendReports sends the load reports that are due. At most one report to an
// address is in flight.
func (m *members) sendReports(now time.Time) {
	maps.DeleteFunc(m.pendingReports, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, address := range m.collector.Reports(now) {
		if _, waiting := m.pendingReports[address]; waiting {
			continue
		}
		m.pendingReports[address] = now.Add(tppeer.HeartbeatTimeout)
		m.reportsSent++
		var update tpmessage.Heartbeat
		if m.reportsSent%reportsPerMemberList == 0 {
			update = m.table.Tick(now).Heartbeat
		} else {
			update = m.table.BriefTick(now)
		}
		load := m.collector.Report(now, m.ownLoad)
		load.Report = true
		hb := m.completeHeartbeat(update, load)
		hb.Allowances = m.allowances.InReport(now, address)
		m.send(address, hb)
	}
	m.publishLoads(now)
}

// gossipFanout returns the number of random members that a round of heartbeats
// reaches, and how many of them are in the node's zone. While the collector of
// the zone answers the node's reports, it spreads the membership as well.
func gossipFanout(served bool) (fanout, sameZone int) {
	if served {
		return servedFanout, 0
	}
	return unservedFanout, sameZonePeers
}

// completeHeartbeat adds a load and the evidence about requests that crash
// targets to a heartbeat.
func (m *members) completeHeartbeat(hb tpmessage.Heartbeat, load tpmessage.NodeLoad) tpmessage.Heartbeat {
	hb.Loads = []tpmessage.NodeLoad{load}
	hb.Suspects = m.evidence
	return hb
}

// send passes a heartbeat with the current view versions to the senders.
func (m *members) send(address string, hb tpmessage.Heartbeat) {
	_ = m.out.PutDropOldest(outgoingHeartbeat{address: address, heartbeat: hb, views: m.views})
}

// processHeartbeat passes the loads of a peer's heartbeat to the collector, its
// evidence to the placement filter and its view versions to the object filter.
// A full placement ring discards the evidence; the next heartbeat repeats it. If address is empty, it uses the
// address in the sender's entry of the member list.
func (m *members) processHeartbeat(now time.Time, hb tpmessage.Heartbeat, address string) {
	for _, l := range hb.Loads {
		m.collector.Record(now, l)
		m.loadsChanged = true
	}
	m.placeAllowances(m.allowances.Receive(now, hb.Allowances))
	if len(hb.Suspects) > 0 {
		in := tpplace.Input{Kind: tpplace.InputSuspects, Suspects: hb.Suspects}
		_ = m.node.placement.in.TryPutBelow(in, newRequestLimit)
	}
	if address == "" && len(hb.Members) > 0 {
		address = hb.Members[0].Member.Address
	}
	if address != "" && len(hb.Views) > 0 {
		m.node.objects.receiveViewVersions(address, hb.Views)
	}
}

// publishLoads passes the outstanding loads of all nodes to the placement, role
// and scale filters, if they may have changed since the last call.
func (m *members) publishLoads(now time.Time) {
	if now.Sub(m.refreshedAt) >= memberRefreshInterval {
		m.refreshMembers(now)
	}
	if !m.loadsChanged {
		return
	}
	m.loadsChanged = false
	loads := m.collector.Loads(now)
	in := tpplace.Input{Kind: tpplace.InputLoads, Nodes: len(*m.liveMembers.Load()), Loads: loads}
	_ = m.node.placement.in.TryPutBelow(in, newRequestLimit)
	ownLoad := m.ownLoad
	ownLoad.At = now
	loads = append(loads, ownLoad)
	_ = m.node.roles.loads.PutDropOldest(loads)
	m.node.scale.setLoads(loads)
}

// refreshMembers reads the live members from the table.
func (m *members) refreshMembers(now time.Time) {
	m.refreshedAt = now
	liveMembers := m.table.Members()
	m.liveMembers.Store(&liveMembers)
	m.collector.SetMembers(liveMembers)
	m.table.SetTimeouts(memberTimeouts(m.collector.ReportInterval()))
	m.reportInterval.Store(int64(m.collector.ReportInterval()))
}

// receive passes a heartbeat from a peer to the filter and returns the answer.
// It returns an error if the ring is full.
func (m *members) receive(hb tpmessage.Heartbeat) (tpmessage.Heartbeat, error) {
	reply := tpring.New[tpmessage.Heartbeat](tpring.Settings{Capacity: 1})
	if err := m.in.TryPut(memberInput{kind: memberHeartbeat, heartbeat: hb, reply: reply}); err != nil {
		return tpmessage.Heartbeat{}, err
	}
	return reply.Take()
}

// sendHeartbeat sends one heartbeat and passes the answer to the filter. It
// does not report a failure, because the filter suspects a peer that does not
// answer.
func (m *members) sendHeartbeat(ctx context.Context, o outgoingHeartbeat) {
	o.heartbeat.Views = o.views.ageTo(m.node.leaseClock.Now())
	answer, err := m.client.Heartbeat(ctx, o.address, o.heartbeat)
	if err != nil {
		return
	}
	_ = m.in.TryPut(memberInput{kind: memberHeartbeatAnswer, address: o.address, heartbeat: answer})
}

// rank returns the number of live members that rank above this node for a task,
// not counting the holder of the task's lease.
func (m *members) rank(task, holder string) int {
	return m.membersAhead(task, func(member tpmessage.Member) bool { return member.Name != holder })
}

// leaseRank is rank with the members before the others that the platform serves.
// A node that it turns away can neither acquire a lease nor read who holds it.
func (m *members) leaseRank(task, holder string) int {
	served := m.node.objects.serving.Load()
	ahead := m.membersAhead(task, func(member tpmessage.Member) bool { return member.Name != holder && member.Watching == served })
	if served {
		return ahead
	}
	for _, member := range *m.liveMembers.Load() {
		if member.Watching && !member.Leaving && !member.Suspect && member.Name != holder && member.Name != m.node.cfg.Name {
			ahead++
		}
	}
	return ahead
}

// watchersAhead returns the number of members that watch the platform and rank
// above this node for that task.
func (m *members) watchersAhead() int {
	return m.membersAhead(watchTask, func(member tpmessage.Member) bool { return member.Watching })
}

// membersAhead returns the number of eligible live members that rank above this
// node for a task. Members that are leaving or suspected do not count. The rank
// of a member is the hash of the task's and the member's name.
func (m *members) membersAhead(task string, eligible func(tpmessage.Member) bool) int {
	ownHash := xxh3.HashString(task + m.node.cfg.Name)
	ahead := 0
	for _, member := range *m.liveMembers.Load() {
		if member.Name == m.node.cfg.Name || member.Leaving || member.Suspect || !eligible(member) {
			continue
		}
		if xxh3.HashString(task+member.Name) > ownHash {
			ahead++
		}
	}
	return ahead
}
