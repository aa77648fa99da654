package tprelaynode

import (
	"context"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/internal/relay/tprolecontrol"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// roleRingCapacity is the number of inputs that wait for the role filter.
	// Each order adds at most one input, its answer.
	roleRingCapacity = 64
	// orderRingCapacity is the number of orders that wait to be sent.
	orderRingCapacity = 16
	// orderSenders is the number of orders sent at the same time, so that an
	// engine that does not answer does not delay the others.
	orderSenders = 4
	// roleTickInterval is the time between two role decisions.
	roleTickInterval = 500 * time.Millisecond
	// leasePool is the last part of the lease's name. One lease covers all
	// engines of the region.
	leasePool = "engines"
)

type roleInput struct {
	config    *tpmessage.RelayConfig
	targets   []tpmessage.RelayTarget
	authority *tpmessage.Authority
	order     tprolecontrol.Order
	answer    *tprolecontrol.Answer
}

// roleFilter holds the rings and the state of the role filter:
//
//	lease, configuration, targets, ticks -> shift ring -> roles -> orders ring -> senders
//	senders -> shift ring (answers to orders)
type roleFilter struct {
	node       *Node
	in         *tpring.Ring[roleInput]
	orders     *tpring.Ring[tprolecontrol.Order]
	loads      *tpring.Ring[[]tpmessage.NodeLoad] // the latest, from the membership filter
	controller *tprolecontrol.Controller[*tprolecontrol.Balance]
	targets    []tpmessage.RelayTarget // as registered
	marked     []tpmessage.RelayTarget // as the controller has them, with leaving ones marked
	// publishedChanging holds the names that publishChanging last passed on.
	publishedChanging []string
}

func newRoleFilter(n *Node) *roleFilter {
	s := &roleFilter{
		node:   n,
		in:     tpring.New[roleInput](tpring.Settings{Capacity: roleRingCapacity}),
		orders: tpring.New[tprolecontrol.Order](tpring.Settings{Capacity: orderRingCapacity}),
		loads:  tpring.New[[]tpmessage.NodeLoad](tpring.Settings{Capacity: 1}),
		controller: tprolecontrol.New(tprolecontrol.Settings{Node: n.cfg.Name, Guard: n.cfg.LeaseGuard},
			func(pool tpmessage.RelayPool, first bool) *tprolecontrol.Balance {
				return &tprolecontrol.Balance{PrefillFraction: n.cfg.InitialPrefillFraction, Slots: pool.Engine.Slots, Adopt: !first}
			}),
	}
	n.deps.Rings.Add("shift", s.in)
	n.deps.Rings.Add("orders", s.orders)
	return s
}

func (n *Node) startRoles() error {
	s := n.roles
	ctx, cancel := context.WithCancel(context.Background())
	for range orderSenders {
		if err := startFilter(n, "orders", s.orders, func(o tprolecontrol.Order) { s.sendOrder(ctx, o) }); err != nil {
			cancel()
			return err
		}
	}
	if err := startFilter(n, "shift", s.in, s.handle); err != nil {
		cancel()
		return err
	}
	if err := n.startLease(ctx, cancel); err != nil {
		return err
	}
	return n.startTimer("shift ticks", func() time.Duration {
		_ = s.in.TryPutBelow(roleInput{}, roleRingCapacity/2)
		return roleTickInterval
	})
}

// startLease starts the duty that acquires and renews the lease over the
// engines.
func (n *Node) startLease(ctx context.Context, cancel context.CancelFunc) error {
	policy := tplease.Strict{}
	duty := tplease.NewDuty(tplease.Settings{
		Name: tplease.ObjectName(n.cfg.Region, leasePool), Holder: n.cfg.Name,
		Incarnation: n.members.incarnation,
	}, policy)
	duty.Store = n.deps.Store
	duty.Clock = n.leaseClock
	duty.Rank = func(task, holder string) int {
		if n.joining(n.clock.Now().Sub(n.started)) {
			return tplease.MaxCandidates
		}
		return n.members.leaseRank(task, holder)
	}
	lastHeld, lastFencing := false, uint64(0)
	term := tpholder.Term{}
	duty.Sink = func(a tpmessage.Authority) {
		term = term.Next(n.leaseClock.Now(), a, n.cfg.LeaseGuard)
		published := term
		n.dutyTerm.Store(&published)
		if a.Held == lastHeld && a.Fencing == lastFencing {
			_ = n.roles.in.Put(roleInput{authority: &a}) // a renewal
			return
		}
		lastHeld, lastFencing = a.Held, a.Fencing
		n.log.Info().Str("event", "lease").Str("lease", a.Lease).Bool("held", a.Held).Uint64("fencing", a.Fencing).Send()
		_ = n.roles.in.Put(roleInput{authority: &a})
	}
	wait, err := n.deps.Duties.Go("lease", func() { duty.Run(ctx) })
	if err != nil {
		cancel()
		return err
	}
	n.onStop(func() {
		cancel()
		wait()
	})
	return nil
}

// dutyHolder returns this node as the holder of the lease, and false if it may
// not call the duty API now. It must be asked immediately before each call.
func (n *Node) dutyHolder() (tpmessage.DutyHolder, bool) {
	term := n.dutyTerm.Load()
	if term == nil || n.leaving.Load() || !term.MayCall(n.leaseClock.Now()) {
		return tpmessage.DutyHolder{}, false
	}
	return tpmessage.DutyHolder{Name: n.cfg.Name, Fencing: term.Authority.Fencing}, true
}

func (f *roleFilter) handle(in roleInput) {
	now := f.node.leaseClock.Now()
	if loads, err := f.loads.TryTake(); err == nil {
		byNode := make(map[string]tpmessage.NodeLoad, len(loads))
		for _, l := range loads {
			byNode[l.Node] = l
		}
		f.controller.SetLoads(byNode)
	}
	defer f.publishChanging()
	switch {
	case in.config != nil:
		f.controller.SetConfig(in.config)
	case in.targets != nil:
		f.targets = in.targets
		f.marked = markLeaving(f.node.placement.notices.Load(), f.targets)
		f.controller.SetTargets(f.marked)
	case in.authority != nil:
		f.controller.SetAuthority(now, *in.authority)
	case in.answer != nil:
		f.controller.HandleAnswer(now, in.order, *in.answer)
	default:
		// Setting the same targets again would end the delay after a refused
		// order.
		if marked := markLeaving(f.node.placement.notices.Load(), f.targets); !slices.Equal(marked, f.marked) {
			f.marked = marked
			f.controller.SetTargets(marked)
		}
		for _, o := range f.controller.Step(now) {
			if err := f.orders.TryPut(o); err != nil {
				f.controller.HandleAnswer(now, o, tprolecontrol.AnswerRefused)
			}
		}
	}
}

// markLeaving returns the targets, with those draining that have said in an
// answer that they are leaving.
func markLeaving(notices *tpplace.Notices, targets []tpmessage.RelayTarget) []tpmessage.RelayTarget {
	list := slices.Clone(targets)
	for i := range list {
		list[i].Draining = list[i].Draining || notices.IsLeaving(&list[i])
	}
	return list
}

// publishChanging passes the names of the engines that may be changing their
// role to the placement filter if the list has changed.
func (f *roleFilter) publishChanging() {
	names := f.controller.RoleChanging()
	if slices.Equal(names, f.publishedChanging) {
		return
	}
	f.publishedChanging = names
	_ = f.node.placement.in.Put(tpplace.Input{Kind: tpplace.InputRoleChanging, RoleChanging: names})
}

// sendOrder reads the engine's state and sends one order. It sends none if the
// state cannot be read, if the engine is busy or already has the role, or if
// the authority expired while the order waited. It sends nothing at all, not
// even the request for the state, to an engine that is leaving, has asked for a
// pause or has a limit, which is for the requests of clients.
func (f *roleFilter) sendOrder(ctx context.Context, o tprolecontrol.Order) {
	n := f.node
	answer := tprolecontrol.AnswerRefused
	notices := n.placement.notices.Load()
	blocked := notices.IsBlocked(n.clock.Now(), &o.Target) || notices.IsLimited(&o.Target)
	var state tprolecontrol.EngineState
	var err error
	sentAt := n.clock.Now()
	if !blocked {
		state, err = n.deps.Engines.State(ctx, o.Target)
	}
	if state.Notice != (tpmessage.TargetNotice{}) {
		_ = n.placement.in.Put(tpplace.Input{Kind: tpplace.InputNotice, Notice: tpplace.Notice{
			TargetNotice: state.Notice, Target: o.Target, At: n.clock.Now(), SentAt: sentAt,
		}})
	}
	switch {
	case blocked || err != nil || state.Busy || state.Notice.Leaving:
	case state.Role == o.Role:
		answer = tprolecontrol.AnswerHolds
	case n.leaseClock.Now().Before(o.Until):
		answer, err = n.deps.Engines.SendOrder(ctx, o, state.Orders)
	}
	n.log.Info().Str("event", "order").Str("target", o.Target.Name).Str("role", string(o.Role)).
		Uint64("fencing", o.Fencing).Uint64("orders", state.Orders).Bool("busy", state.Busy).Bool("blocked", blocked).
		Float64("prefillDemand", o.Demand.Prefill).Float64("decodeDemand", o.Demand.Decode).
		Uint64("revision", o.Target.Revision).Str("answer", answer.String()).Err(err).Send()
	if ctx.Err() == nil {
		_ = f.in.Put(roleInput{order: o, answer: &answer})
	}
}
