package tprelaynode

import (
	"context"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/tpshift"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// shiftInputs is the capacity of the ring of the role filter. Orders put
	// back at most one answer each.
	shiftInputs = 64
	// orderSlots is the number of orders that wait or are being given.
	orderSlots = 16
	// orderSenders is the number of orders given at the same time, so that a
	// silent engine does not hold back the others.
	orderSenders = 4
	// shiftTick is the interval of role decisions.
	shiftTick = 500 * time.Millisecond
	// leasePool names the one lease over all engines of the region.
	leasePool = "engines"
)

type shiftInput struct {
	config    *tpmessage.RelayConfig
	targets   []tpmessage.RelayTarget
	authority *tpmessage.Authority
	order     tpshift.Order
	answer    *tpshift.Answer
}

// shifting holds the rings and the state of the role filter:
//
//	lease, configuration, targets, ticks -> shift ring -> roles -> orders ring -> senders
type shifting struct {
	node   *Node
	in     *tpring.Ring[shiftInput]
	orders *tpring.Ring[tpshift.Order]
	loads  *tpring.Ring[[]tpmessage.NodeLoad] // newest
	shift  *tpshift.Shift[*tpshift.Balance]
	// changing is what the placement was told last.
	changing []string
}

func newShifting(n *Node) *shifting {
	s := &shifting{
		node:   n,
		in:     tpring.New[shiftInput](tpring.Settings{Capacity: shiftInputs}),
		orders: tpring.New[tpshift.Order](tpring.Settings{Capacity: orderSlots}),
		loads:  tpring.New[[]tpmessage.NodeLoad](tpring.Settings{Capacity: 1}),
		shift: tpshift.New(tpshift.Settings{Node: n.cfg.Name, Guard: n.cfg.LeaseGuard},
			func(first bool) *tpshift.Balance { return &tpshift.Balance{Part: n.cfg.PrefillPart, Adopt: !first} }),
	}
	n.deps.Rings.Add("shift", s.in)
	n.deps.Rings.Add("orders", s.orders)
	return s
}

func (n *Node) startShifting() error {
	s := n.shift
	ctx, cancel := context.WithCancel(context.Background())
	for range orderSenders {
		if err := startFilter(n, "orders", s.orders, func(o tpshift.Order) { s.give(ctx, o) }); err != nil {
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
		_ = s.in.TryPutBelow(shiftInput{}, shiftInputs/2)
		return shiftTick
	})
}

// startLease starts the duty that competes for the lease over the engines.
func (n *Node) startLease(ctx context.Context, cancel context.CancelFunc) error {
	trust := tplease.Strict{}
	duty := tplease.NewDuty(tplease.Settings{
		Name: tplease.ObjectName(n.cfg.Region, leasePool), Holder: n.cfg.Name,
		Incarnation: n.members.incarnation,
	}, trust)
	duty.Store = n.deps.Store
	duty.Clock = n.leaseClock
	duty.Rank = n.members.rank
	held, fencing := false, uint64(0)
	duty.Sink = func(a tpmessage.Authority) {
		if a.Held == held && a.Fencing == fencing {
			_ = n.shift.in.Put(shiftInput{authority: &a}) // a renewal
			return
		}
		held, fencing = a.Held, a.Fencing
		n.log.Info().Str("event", "lease").Str("lease", a.Lease).Bool("held", a.Held).Uint64("fencing", a.Fencing).Send()
		_ = n.shift.in.Put(shiftInput{authority: &a})
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

func (s *shifting) handle(in shiftInput) {
	now := s.node.leaseClock.Now()
	if loads, err := s.loads.TryTake(); err == nil {
		byNode := make(map[string]tpmessage.NodeLoad, len(loads))
		for _, l := range loads {
			byNode[l.Node] = l
		}
		s.shift.SetLoads(byNode)
	}
	defer s.tellChanging()
	switch {
	case in.config != nil:
		s.shift.SetConfig(in.config)
	case in.targets != nil:
		s.shift.SetTargets(in.targets)
	case in.authority != nil:
		s.shift.SetAuthority(now, *in.authority)
	case in.answer != nil:
		s.shift.Answered(now, in.order, *in.answer)
	default:
		for _, o := range s.shift.Step(now) {
			if err := s.orders.TryPut(o); err != nil {
				s.shift.Answered(now, o, tpshift.AnswerRefused)
			}
		}
	}
}

// tellChanging tells the placement which engines are changing.
func (s *shifting) tellChanging() {
	names := s.shift.Changing()
	if slices.Equal(names, s.changing) {
		return
	}
	s.changing = names
	_ = s.node.place.in.Put(tpplace.Input{Kind: tpplace.InputChanging, Changing: names})
}

// give sends one order, unless the authority has ended while it waited. An
// engine that cannot be asked for its state gets none.
func (s *shifting) give(ctx context.Context, o tpshift.Order) {
	n := s.node
	answer := tpshift.AnswerRefused
	state, err := n.deps.Engines.State(ctx, o.Target)
	switch {
	case err != nil || state.Busy:
	case state.Role == o.Role:
		answer = tpshift.AnswerHolds
	case n.leaseClock.Now().Before(o.Until):
		answer, err = n.deps.Engines.Give(ctx, o, state.Orders)
	}
	n.log.Info().Str("event", "order").Str("target", o.Target.Name).Str("role", string(o.Role)).
		Uint64("fencing", o.Fencing).Uint64("orders", state.Orders).Bool("busy", state.Busy).
		Float64("prefillDemand", o.Demand.Prefill).Float64("decodeDemand", o.Demand.Decode).
		Uint64("revision", o.Target.Revision).Str("answer", answer.String()).Err(err).Send()
	if ctx.Err() == nil {
		_ = s.in.Put(shiftInput{order: o, answer: &answer})
	}
}
