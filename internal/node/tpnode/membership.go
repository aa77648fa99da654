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
	// memberInputs is the capacity of the membership ring. A heartbeat that
	// finds it full is refused; the next one carries the same news.
	memberInputs = 256
	// heartbeatsOut is the capacity of the ring of outgoing heartbeats, which
	// drops the oldest.
	heartbeatsOut = 16
	// heartbeatSenders is the number of duties that send heartbeats. Each may
	// wait HeartbeatTimeout for a silent peer, and a round has 4 addresses.
	heartbeatSenders = 4
	// leaveSenders bounds the announcements of a planned stop at one time. It
	// is above the 41 nodes of a region, so that silent peers delay no other.
	leaveSenders = 64
	// listInterval is the time between two reads of the platform's list. At
	// 370 nodes it costs 37 of the platform's 2,000 reads a second.
	listInterval = 10 * time.Second
)

// memberInput is one value on the membership ring. Exactly one of the kinds
// applies.
type memberInput struct {
	kind      memberInputKind
	address   string
	heartbeat tpmessage.Heartbeat
	listed    []tpmessage.ListedVM
	reply     *tpring.Ring[tpmessage.Heartbeat] // of a received heartbeat
	round     *tpring.Ring[tpmember.Round]      // of the announcement of a planned stop
}

type memberInputKind uint8

const (
	memberTick memberInputKind = iota
	memberJoin
	memberReceived
	memberAnswered
	memberListed
	memberLeave
)

// outgoing is one heartbeat to send.
type outgoing struct {
	address   string
	heartbeat tpmessage.Heartbeat
}

// membership holds the rings and the state of the membership filter:
//
//	peers, platform's list, ticks -> members ring -> membership filter -> heartbeats ring -> senders
type membership struct {
	in       *tpring.Ring[memberInput]
	out      *tpring.Ring[outgoing]
	usage    *tpring.Ring[[]tpmessage.Usage]   // newest set by SetUsage
	suspects *tpring.Ring[[]tpmessage.Suspect] // newest set by SetSuspects
	table    *tpmember.Table
	client   *tppeer.Client
	view     atomic.Pointer[[]tpmessage.Member]

	sentUsage    []tpmessage.Usage
	sentSuspects []tpmessage.Suspect
	onUsage      atomic.Pointer[func([]tpmessage.Usage)]
	onSuspects   atomic.Pointer[func([]tpmessage.Suspect)]
	onGeneration atomic.Pointer[func(tpmessage.Member)]
}

// Self returns this node as its peers know it.
func (n *Node) Self() tpmessage.Member {
	return n.Members()[0]
}

// Members returns the live members of the region, this node first. A suspect
// is still a member; a dropped one is not. The caller must not change the list.
func (n *Node) Members() []tpmessage.Member {
	return *n.members.view.Load()
}

// SetUsage replaces the usage that heartbeats send.
func (n *Node) SetUsage(u []tpmessage.Usage) { _ = n.members.usage.PutDropOldest(u) }

// OnUsage sets the receiver of the usage that heartbeats bring. It is called
// by the membership filter and must not block.
func (n *Node) OnUsage(f func([]tpmessage.Usage)) { n.members.onUsage.Store(&f) }

// SetSuspects replaces the suspects that heartbeats send.
func (n *Node) SetSuspects(s []tpmessage.Suspect) { _ = n.members.suspects.PutDropOldest(s) }

// OnSuspects sets the receiver of the suspects that heartbeats bring. It is
// called by the membership filter and must not block.
func (n *Node) OnSuspects(f func([]tpmessage.Suspect)) { n.members.onSuspects.Store(&f) }

// startMembership starts the membership filter and its duties. They end after
// the request pipeline, so that a stopping node is not dropped while it
// finishes its streams.
func (n *Node) startMembership() error {
	rng := rand.New(rand.NewPCG(rand.Uint64(), uint64(n.clock.Now().UnixNano())))
	self := tpmessage.Member{
		Name: n.cfg.Name, Zone: n.cfg.Zone, Incarnation: tpmember.Incarnation(n.clock.Now(), rng),
	}
	client, closeClient := tppeer.NewClient(n.events)
	m := &membership{
		in:       tpring.New[memberInput](tpring.Settings{Capacity: memberInputs}),
		out:      tpring.New[outgoing](tpring.Settings{Capacity: heartbeatsOut}),
		usage:    tpring.New[[]tpmessage.Usage](tpring.Settings{Capacity: 1}),
		suspects: tpring.New[[]tpmessage.Suspect](tpring.Settings{Capacity: 1}),
		table:    tpmember.NewTable(tpmember.Settings{Self: self, Seeds: n.cfg.Seeds, Random: rng}),
		client:   client,
	}
	m.view.Store(&[]tpmessage.Member{self})
	n.members = m
	n.rings.Add("members", m.in)
	n.rings.Add("heartbeats", m.out)
	n.onStop(closeClient)

	ctx, cancel := context.WithCancel(context.Background())
	for range heartbeatSenders {
		if err := startFilter(n, "heartbeats", m.out, func(o outgoing) { n.sendHeartbeat(ctx, o) }); err != nil {
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
	err := n.startListing(ctx)
	n.onStop(cancel)
	return err
}

// joinMembers begins the heartbeats once the address for peers is known.
func (n *Node) joinMembers() {
	_ = n.members.in.Put(memberInput{kind: memberJoin, address: n.PeerAddress()})
}

// startMemberTicks starts the duty that times the heartbeats. Their interval
// varies by a tenth, so that nodes started together drift apart.
func (n *Node) startMemberTicks(seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, seed))
	return n.startTimer("member ticks", func() time.Duration {
		_ = n.members.in.TryPut(memberInput{kind: memberTick})
		return jitter(rng, tpmember.HeartbeatInterval)
	})
}

// jitter returns d varied by up to a tenth.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d - d/10 + time.Duration(rng.Int64N(int64(d/5)))
}

// startTimer starts a duty that calls f until the node stops, each time after
// the delay that the last call returned.
func (n *Node) startTimer(name string, f func() time.Duration) error {
	cleanup, err := tpduty.Timer(n.duties, name, n.clock, f)
	if err != nil {
		return err
	}
	n.onStop(cleanup)
	return nil
}

// startListing starts the duty that reads the platform's list of VMs.
func (n *Node) startListing(ctx context.Context) error {
	if n.cfg.Platform == "" {
		return nil
	}
	client, closeClient := tpplatform.NewClient(n.cfg.Platform)
	n.onStop(closeClient)
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	return n.startTimer("VM list", func() time.Duration {
		vms, err := client.VMs(ctx)
		if err == nil {
			_ = n.members.in.TryPut(memberInput{kind: memberListed, listed: listedNodes(vms)})
			n.leavingVMs(vms)
		}
		return jitter(rng, listInterval)
	})
}

// listedNodes returns the VMs that run nodes.
func listedNodes(vms []tpplatform.VM) []tpmessage.ListedVM {
	var listed []tpmessage.ListedVM
	for _, vm := range vms {
		if !vm.Target {
			listed = append(listed, tpmessage.ListedVM{Name: vm.Name, Address: vm.Address, Leaving: vm.Leaving})
		}
	}
	return listed
}

// handleMember is the membership filter.
func (n *Node) handleMember(in memberInput) {
	m := n.members
	generation := uint64(0)
	if s := n.InForce(); s != nil {
		generation = s.Generation
	}
	m.table.SetSelf(generation, n.leaving.Load(), n.watchingHead())
	now := n.clock.Now()
	switch in.kind {
	case memberTick:
		n.sendRound(m.table.Tick(now))
	case memberJoin:
		m.table.Join(in.address)
		n.sendRound(m.table.Tick(now))
	case memberReceived:
		_ = in.reply.Put(n.fill(m.table.Receive(now, in.heartbeat)))
		n.deliver(in.heartbeat)
	case memberAnswered:
		m.table.Answer(now, in.heartbeat)
		n.deliver(in.heartbeat)
	case memberListed:
		m.table.List(in.listed)
		n.sendRound(m.table.Tick(now))
	case memberLeave:
		r := m.table.Leave(now)
		r.Heartbeat = n.fill(r.Heartbeat)
		_ = in.round.Put(r)
	}
	view := m.table.Members()
	m.view.Store(&view)
	for _, c := range m.table.Changes() {
		n.events.Record(tpmessage.Event{Kind: string(c.Kind), Detail: c.Member.Name + " " + c.Member.Incarnation})
		if c.Kind == tpmember.Suspected {
			continue // frequent and without effect; the event is enough
		}
		n.log.Info().Str("member", c.Member.Name).Str("address", c.Member.Address).Msg(string(c.Kind))
	}
}

func (n *Node) sendRound(r tpmember.Round) {
	if len(r.Addresses) == 0 {
		return
	}
	hb := n.fill(r.Heartbeat)
	for _, address := range r.Addresses {
		_ = n.members.out.PutDropOldest(outgoing{address: address, heartbeat: hb})
	}
}

// fill adds what other filters send with heartbeats.
func (n *Node) fill(hb tpmessage.Heartbeat) tpmessage.Heartbeat {
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

// deliver passes what a heartbeat brought to other filters.
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

// receiveHeartbeat passes a heartbeat from a peer to the filter.
func (n *Node) receiveHeartbeat(hb tpmessage.Heartbeat) (tpmessage.Heartbeat, error) {
	reply := tpring.New[tpmessage.Heartbeat](tpring.Settings{Capacity: 1})
	if err := n.members.in.TryPut(memberInput{kind: memberReceived, heartbeat: hb, reply: reply}); err != nil {
		return tpmessage.Heartbeat{}, err
	}
	return reply.Take()
}

// sendHeartbeat is a sender duty. A peer that does not answer is suspected by
// the filter for its silence alone.
func (n *Node) sendHeartbeat(ctx context.Context, o outgoing) {
	answer, err := n.members.client.Heartbeat(ctx, o.address, o.heartbeat)
	if err == nil {
		_ = n.members.in.TryPut(memberInput{kind: memberAnswered, heartbeat: answer})
	}
}

// announceLeaving tells every member that this node is leaving, and returns
// once each has answered or HeartbeatTimeout has passed.
func (n *Node) announceLeaving() {
	if n.members == nil {
		return
	}
	reply := tpring.New[tpmember.Round](tpring.Settings{Capacity: 1})
	if err := n.members.in.Put(memberInput{kind: memberLeave, round: reply}); err != nil {
		return
	}
	r, err := reply.Take()
	if err != nil {
		return
	}
	tasks := pond.NewPool(leaveSenders)
	for _, address := range r.Addresses {
		tasks.Submit(func() { _, _ = n.members.client.Heartbeat(context.Background(), address, r.Heartbeat) })
	}
	tasks.StopAndWait()
}

func (n *Node) membersServer() *tppeer.MembersServer {
	return &tppeer.MembersServer{Events: n.events, Receive: n.receiveHeartbeat}
}
