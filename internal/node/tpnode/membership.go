package tpnode

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// memberRingCapacity is the maximum number of inputs that wait for the
	// membership filter. A heartbeat that finds the ring full is refused; the
	// next one carries the same state.
	memberRingCapacity = 256
	// heartbeatRingCapacity is the maximum number of outgoing heartbeats that
	// wait. A full ring drops the oldest.
	heartbeatRingCapacity = 16
	// heartbeatSenders is the number of duties that send heartbeats. A peer
	// that does not answer blocks one of them for tppeer.HeartbeatTimeout, and
	// a round has 4 addresses.
	heartbeatSenders = 4
	// maxLeaveAnnouncements is the maximum number of announcements of a planned
	// stop that are sent at the same time. It exceeds the 41 nodes of a region,
	// so that peers that do not answer delay no other announcement.
	maxLeaveAnnouncements = 64
	// vmListInterval is the interval between a node's reads of the platform's
	// VM list. 370 nodes make 37 of the 2,000 reads per second that the
	// platform allows.
	vmListInterval = 10 * time.Second
)

// memberInput is one message to the membership filter. Its kind determines
// which of the other fields are set.
type memberInput struct {
	kind         memberInputKind
	address      string
	heartbeat    tpmessage.Heartbeat
	nodeVMs      []tpmessage.ListedVM
	reply        *tpring.Ring[tpmessage.Heartbeat]        // of a received heartbeat
	announcement *tpring.Ring[tpmember.OutgoingHeartbeat] // of the announcement of a planned stop
}

type memberInputKind uint8

const (
	memberTick memberInputKind = iota
	memberJoin
	memberHeartbeat
	memberHeartbeatAnswer
	memberVMList
	memberLeave
)

type outgoingHeartbeat struct {
	address   string
	heartbeat tpmessage.Heartbeat
}

// membership holds the rings and the state of the membership filter:
//
//	peers, VM list, ticks -> members ring -> membership filter -> heartbeats ring -> senders
type membership struct {
	in          *tpring.Ring[memberInput]
	out         *tpring.Ring[outgoingHeartbeat]
	usage       *tpring.Ring[[]tpmessage.Usage]          // the latest, from SetUsage
	suspects    *tpring.Ring[[]tpmessage.SuspectRequest] // the latest, from SetSuspects
	table       *tpmember.Table
	client      *tppeer.Client
	liveMembers atomic.Pointer[[]tpmessage.Member]

	sentUsage    []tpmessage.Usage
	sentSuspects []tpmessage.SuspectRequest
	onUsage      atomic.Pointer[func([]tpmessage.Usage)]
	onSuspects   atomic.Pointer[func([]tpmessage.SuspectRequest)]
	onGeneration atomic.Pointer[func(tpmessage.Member)]
}

// Self returns this node's entry in the member list.
func (n *Node) Self() tpmessage.Member {
	return n.Members()[0]
}

// Members returns the live members of the region, this node first. A suspected
// member is in the list, a dropped one is not. The caller must not change the
// list.
func (n *Node) Members() []tpmessage.Member {
	return *n.members.liveMembers.Load()
}

// SetUsage replaces the usage that this node's heartbeats carry.
func (n *Node) SetUsage(u []tpmessage.Usage) { _ = n.members.usage.PutDropOldest(u) }

// SetUsageHandler sets the function that receives the usage in the heartbeats
// of peers. The membership filter calls f, which must not block.
func (n *Node) SetUsageHandler(f func([]tpmessage.Usage)) { n.members.onUsage.Store(&f) }

// SetSuspects replaces the suspects that this node's heartbeats carry.
func (n *Node) SetSuspects(s []tpmessage.SuspectRequest) { _ = n.members.suspects.PutDropOldest(s) }

// SetSuspectsHandler sets the function that receives the suspects in the
// heartbeats of peers. The membership filter calls f, which must not block.
func (n *Node) SetSuspectsHandler(f func([]tpmessage.SuspectRequest)) { n.members.onSuspects.Store(&f) }

// startMembership starts the membership filter and its duties. They stop after
// the request pipeline, so that peers do not drop a stopping node while it
// finishes its streams.
func (n *Node) startMembership() error {
	rng := rand.New(rand.NewPCG(rand.Uint64(), uint64(n.clock.Now().UnixNano())))
	self := tpmessage.Member{
		Name: n.cfg.Name, Zone: n.cfg.Zone, Incarnation: tpmember.Incarnation(n.clock.Now(), rng),
	}
	client, closeClient := tppeer.NewClient(n.events)
	m := &membership{
		in:       tpring.New[memberInput](tpring.Settings{Capacity: memberRingCapacity}),
		out:      tpring.New[outgoingHeartbeat](tpring.Settings{Capacity: heartbeatRingCapacity}),
		usage:    tpring.New[[]tpmessage.Usage](tpring.Settings{Capacity: 1}),
		suspects: tpring.New[[]tpmessage.SuspectRequest](tpring.Settings{Capacity: 1}),
		table:    tpmember.NewTable(tpmember.Settings{Self: self, Seeds: n.cfg.Seeds, Random: rng}),
		client:   client,
	}
	m.liveMembers.Store(&[]tpmessage.Member{self})
	n.members = m
	n.rings.Add("members", m.in)
	n.rings.Add("heartbeats", m.out)
	n.onStop(closeClient)

	ctx, cancel := context.WithCancel(context.Background())
	for range heartbeatSenders {
		if err := startFilter(n, "heartbeats", m.out, func(o outgoingHeartbeat) { n.sendHeartbeat(ctx, o) }); err != nil {
			m.in.Close()
			cancel()
			return err
		}
	}
	if err := startFilter(n, "membership", m.in, n.handleMember); err != nil {
		m.in.Close()
		cancel()
		return err
	}
	if err := n.startMemberTicks(rng.Uint64()); err != nil {
		cancel()
		return err
	}
	err := n.startVMList(ctx)
	n.onStop(cancel)
	return err
}

// joinMembers starts the heartbeats. It requires that the server for peers is
// listening, because heartbeats carry its address.
func (n *Node) joinMembers() {
	_ = n.members.in.Put(memberInput{kind: memberJoin, address: n.PeerAddress()})
}

// startMemberTicks starts the duty that triggers the heartbeats. Their interval
// varies by a tenth, so that nodes that start together do not send in step.
func (n *Node) startMemberTicks(seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, seed))
	return n.startTimer("member ticks", func() time.Duration {
		_ = n.members.in.TryPut(memberInput{kind: memberTick})
		return jitter(rng, tpmember.HeartbeatInterval)
	})
}

// jitter returns a random duration within a tenth of d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d - d/10 + time.Duration(rng.Int64N(int64(d/5)))
}

// startTimer starts a duty that calls f until the node stops, each time after
// the delay that the last call returned.
func (n *Node) startTimer(name string, f func() time.Duration) error {
	cleanup, err := tpduty.StartTimer(n.duties, name, n.clock, f)
	if err != nil {
		return err
	}
	n.onStop(cleanup)
	return nil
}

// startVMList starts the duty that reads the platform's VM list. A node without
// a platform reads none.
func (n *Node) startVMList(ctx context.Context) error {
	if n.cfg.Platform == "" {
		return nil
	}
	client, closeClient := tpplatform.NewClient(n.cfg.Platform)
	n.onStop(closeClient)
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	return n.startTimer("VM list", func() time.Duration {
		vms, err := client.VMs(ctx)
		if err == nil {
			_ = n.members.in.TryPut(memberInput{kind: memberVMList, nodeVMs: selectNodeVMs(vms)})
			n.updateLeavingVMs(vms)
		}
		return jitter(rng, vmListInterval)
	})
}

// selectNodeVMs returns the VMs that run nodes, which are those that run no
// target.
func selectNodeVMs(vms []tpplatform.VM) []tpmessage.ListedVM {
	var nodeVMs []tpmessage.ListedVM
	for _, vm := range vms {
		if !vm.RunsTarget {
			nodeVMs = append(nodeVMs, tpmessage.ListedVM{Name: vm.Name, Address: vm.Address, Leaving: vm.Leaving})
		}
	}
	return nodeVMs
}

// handleMember is the membership filter.
func (n *Node) handleMember(in memberInput) {
	m := n.members
	generation := uint64(0)
	if s := n.InForce(); s != nil {
		generation = s.Generation
	}
	m.table.SetSelf(generation, n.leaving.Load(), n.isWatching())
	now := n.clock.Now()
	switch in.kind {
	case memberTick:
		n.sendRound(m.table.Tick(now))
	case memberJoin:
		m.table.SetAddress(in.address)
		n.sendRound(m.table.Tick(now))
	case memberHeartbeat:
		_ = in.reply.Put(n.completeHeartbeat(m.table.Receive(now, in.heartbeat)))
		n.deliver(in.heartbeat)
	case memberHeartbeatAnswer:
		m.table.Answer(now, in.heartbeat)
		n.deliver(in.heartbeat)
	case memberVMList:
		m.table.SetListedVMs(in.nodeVMs)
		n.sendRound(m.table.Tick(now))
	case memberLeave:
		r := m.table.Leave(now)
		r.Heartbeat = n.completeHeartbeat(r.Heartbeat)
		_ = in.announcement.Put(r)
	}
	liveMembers := m.table.Members()
	m.liveMembers.Store(&liveMembers)
	for _, c := range m.table.Changes() {
		n.events.Record(tpmessage.Event{Kind: string(c.Kind), Detail: c.Member.Name + " " + c.Member.Incarnation})
		if c.Kind == tpmember.Suspected {
			continue // too frequent for the log and without effect; the event suffices
		}
		n.log.Info().Str("member", c.Member.Name).Str("address", c.Member.Address).Msg(string(c.Kind))
	}
}

func (n *Node) sendRound(r tpmember.OutgoingHeartbeat) {
	if len(r.Addresses) == 0 {
		return
	}
	hb := n.completeHeartbeat(r.Heartbeat)
	for _, address := range r.Addresses {
		_ = n.members.out.PutDropOldest(outgoingHeartbeat{address: address, heartbeat: hb})
	}
}

// completeHeartbeat adds the usage, the suspects and the leaving targets to a
// heartbeat.
func (n *Node) completeHeartbeat(hb tpmessage.Heartbeat) tpmessage.Heartbeat {
	m := n.members
	if u, err := m.usage.TryTake(); err == nil {
		m.sentUsage = u
	}
	if s, err := m.suspects.TryTake(); err == nil {
		m.sentSuspects = s
	}
	hb.Usage, hb.Suspects, hb.Leaving = m.sentUsage, m.sentSuspects, n.LeavingTargets()
	return hb
}

// deliver passes the contents of a peer's heartbeat to the other filters.
func (n *Node) deliver(hb tpmessage.Heartbeat) {
	m := n.members
	n.MergeLeavingTargets(hb.Leaving)
	if f := m.onUsage.Load(); f != nil && len(hb.Usage) > 0 {
		(*f)(hb.Usage)
	}
	if f := m.onSuspects.Load(); f != nil && len(hb.Suspects) > 0 {
		(*f)(hb.Suspects)
	}
	if f := m.onGeneration.Load(); f != nil && len(hb.Members) > 0 {
		(*f)(hb.Members[0].Member)
	}
}

// receiveHeartbeat passes a heartbeat from a peer to the filter and returns the
// answer. It returns an error if the ring is full.
func (n *Node) receiveHeartbeat(hb tpmessage.Heartbeat) (tpmessage.Heartbeat, error) {
	reply := tpring.New[tpmessage.Heartbeat](tpring.Settings{Capacity: 1})
	if err := n.members.in.TryPut(memberInput{kind: memberHeartbeat, heartbeat: hb, reply: reply}); err != nil {
		return tpmessage.Heartbeat{}, err
	}
	return reply.Take()
}

// sendHeartbeat sends one heartbeat and passes the answer to the filter. It
// does not report a failure: the filter suspects a peer that stays silent.
func (n *Node) sendHeartbeat(ctx context.Context, o outgoingHeartbeat) {
	answer, err := n.members.client.Heartbeat(ctx, o.address, o.heartbeat)
	if err == nil {
		_ = n.members.in.TryPut(memberInput{kind: memberHeartbeatAnswer, heartbeat: answer})
	}
}

// announceLeaving sends every member a heartbeat that says that this node is
// leaving. It returns when each has answered or tppeer.HeartbeatTimeout has
// passed.
func (n *Node) announceLeaving() {
	if n.members == nil {
		return
	}
	reply := tpring.New[tpmember.OutgoingHeartbeat](tpring.Settings{Capacity: 1})
	if err := n.members.in.Put(memberInput{kind: memberLeave, announcement: reply}); err != nil {
		return
	}
	r, err := reply.Take()
	if err != nil {
		return
	}
	tasks := pond.NewPool(maxLeaveAnnouncements)
	for _, address := range r.Addresses {
		tasks.Submit(func() { _, _ = n.members.client.Heartbeat(context.Background(), address, r.Heartbeat) })
	}
	tasks.StopAndWait()
}

func (n *Node) membersServer() *tppeer.MembersServer {
	return &tppeer.MembersServer{Events: n.events, Receive: n.receiveHeartbeat}
}
