package tpnode

import (
	"context"
	"encoding/json"
	"expvar"
	"sort"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/internal/order/stage4/tpdispatch"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Capacities of the rings of the order pipeline.
const (
	desiredRingCapacity = 16
	// logRingCapacity leaves room for the results of all actions in progress.
	logRingCapacity = 4 * tporder.DefaultMaxActions
	// tickDepthLimit is the number of inputs in the log's ring at which ticks
	// are discarded.
	tickDepthLimit = 16
)

// desiredInput is a configuration in force, the roles that a role policy wants,
// or a request for a higher fencing number. One field is set.
type desiredInput struct {
	snapshot *tpmessage.Snapshot
	roles    map[string]tpmessage.Role // by engine
	raise    *tporder.RaiseRequest
}

// leaseDuty is the running duty of one lease.
type leaseDuty struct {
	raise   *tpring.Ring[uint64] // fencing numbers that the next grant must exceed
	release func()
}

// orderPipeline holds the rings and decisions of the order pipeline:
//
//	configuration, roles -> desired -> leases
//	                               \-> order log <-> dispatch -> engines
//
// Each lease has its own duty, which passes its authority to the order log. The
// log has at most MaxActions actions in progress, and the rings of actions and
// results have room for all of them.
type orderPipeline struct {
	desiredIn *tpring.Ring[desiredInput]
	logIn     *tpring.Ring[tporder.Input]
	actions   *tpring.Ring[tporder.Action]
	store     tpobject.Store
	log       *tporder.Log
	outputs   []tporder.Output // reused by the log's duty
	counters  *tplease.Counters
	sent      atomic.Uint64
	postponed atomic.Uint64

	// The desired filter owns the fields below.
	snapshot *tpmessage.Snapshot
	roles    map[string]tpmessage.Role
	leases   map[string]leaseDuty
}

// startOrders starts the order pipeline. A node without a platform sends no
// orders.
func (n *Node) startOrders() error {
	n.orders = &orderPipeline{
		desiredIn: tpring.New[desiredInput](tpring.Settings{Capacity: desiredRingCapacity}),
		logIn:     tpring.New[tporder.Input](tpring.Settings{Capacity: logRingCapacity}),
		actions:   tpring.New[tporder.Action](tpring.Settings{Capacity: tporder.DefaultMaxActions}),
		log:       tporder.New(n.cfg.orderSettings()),
		counters:  &tplease.Counters{},
		leases:    make(map[string]leaseDuty),
	}
	n.rings.Add("desired", n.orders.desiredIn)
	n.rings.Add("orders", n.orders.logIn)
	n.rings.Add("dispatch", n.orders.actions)
	if n.cfg.Platform == "" {
		return nil
	}
	client, closeClient := tpplatform.NewClient(n.cfg.Platform)
	n.onStop(closeClient)
	n.orders.store = client
	if n.naiveLease {
		return startAuthority(n, tplease.Naive{})
	}
	return startAuthority(n, tplease.Strict{})
}

// startAuthority starts the duties that act under the leases. Their clean-up
// first stops the log, then waits for the actions in progress, then releases
// the leases.
func startAuthority[T tplease.AuthorityPolicy](n *Node, policy T) error {
	p := n.orders
	base := tplease.Settings{
		Holder: n.cfg.Name, Incarnation: uuid.NewString(),
		Term: n.cfg.LeaseTerm, RenewInterval: n.cfg.LeaseRenew, Margin: n.cfg.LeaseMargin,
	}
	desired := func(in desiredInput) { handleDesired(n, policy, base, in) }
	n.onStop(n.releaseLeases)
	if err := startFilter(n, "desired", p.desiredIn, desired); err != nil {
		return err
	}
	engines := tpdispatch.NewEngineClient()
	dispatch := &tpdispatch.Duty{
		Store:        p.store,
		EngineClient: engines,
		Confirm: func(ctx context.Context, lease string, fencing uint64) error {
			cfg := base
			cfg.Name = lease
			return tplease.Confirm(ctx, p.store, cfg, policy, fencing)
		},
		Sink: func(r tporder.Result) {
			if r.Err != nil {
				n.log.Debug().Err(r.Err).Str("target", r.Action.Target.Name).Msg("order action failed")
			}
			_ = p.logIn.Put(tporder.Input{Kind: tporder.InputResult, Result: r})
		},
	}
	n.onStop(dispatch.Start(tporder.DefaultMaxActions))
	if err := startFilter(n, "dispatch", p.actions, dispatch.Handle); err != nil {
		return err
	}
	if err := startFilter(n, "orders", p.logIn, n.handleOrders); err != nil {
		return err
	}
	if err := n.startOrderTicks(); err != nil {
		return err
	}
	return n.startDrainWatch()
}

// handleDesired computes the plans for the configuration and the roles and
// passes them to the log. It starts a duty for each lease that the plans need
// and releases the other leases.
func handleDesired[T tplease.AuthorityPolicy](n *Node, policy T, base tplease.Settings, in desiredInput) {
	p := n.orders
	if in.snapshot != nil {
		p.snapshot = in.snapshot
	}
	if in.roles != nil {
		p.roles = in.roles
	}
	if in.raise != nil {
		if d, ok := p.leases[in.raise.Lease]; ok {
			_ = d.raise.PutDropOldest(in.raise.Above)
		}
		return
	}
	if p.snapshot == nil {
		return
	}
	lease := func(pool string) string { return tplease.ObjectName(n.cfg.Region, pool) }
	plans := tporder.Desired(&p.snapshot.Config, p.roles, lease)
	_ = p.logIn.Put(tporder.Input{Kind: tporder.InputPlans, Plans: plans, Policy: p.snapshot.Config.Policy})
	wanted := make(map[string]bool, len(plans))
	for _, plan := range plans {
		if !tporder.ExcludesFormerHolder(plan.Type) {
			continue
		}
		wanted[plan.Lease] = true
		if _, ok := p.leases[plan.Lease]; ok {
			continue
		}
		cfg := base
		cfg.Name = plan.Lease
		if err := startLease(n, policy, cfg); err != nil {
			n.log.Error().Err(err).Str("lease", plan.Lease).Msg("lease duty did not start")
		}
	}
	for name, d := range p.leases {
		if !wanted[name] {
			d.release()
			delete(p.leases, name)
		}
	}
}

func startLease[T tplease.AuthorityPolicy](n *Node, policy T, cfg tplease.Settings) error {
	p := n.orders
	duty := tplease.NewDuty(cfg, policy)
	duty.Store, duty.Clock, duty.Rank, duty.Counters = p.store, n.clock, n.leaseRank, p.counters
	duty.Sink = func(a tpmessage.Authority) {
		_ = p.logIn.Put(tporder.Input{Kind: tporder.InputAuthority, Authority: a})
	}
	ctx, cancel := context.WithCancel(context.Background())
	wait, err := n.duties.Go(cfg.Name, func() { duty.Run(ctx) })
	if err != nil {
		cancel()
		return err
	}
	p.leases[cfg.Name] = leaseDuty{raise: duty.Raise, release: func() {
		cancel()
		wait()
	}}
	return nil
}

// leaseRank returns the number of live members, other than the holder, that
// should try to acquire a lease before this node.
func (n *Node) leaseRank(name, holder string) int {
	rank := 0
	for _, m := range tpmember.Rank(name, n.Members()) {
		if m.Name == n.cfg.Name {
			break
		}
		if m.Name != holder {
			rank++
		}
	}
	return rank
}

func (n *Node) releaseLeases() {
	for _, d := range n.orders.leases {
		d.release()
	}
	n.orders.leases = nil
}

// handleOrders runs one step of the order log and passes on its outputs.
func (n *Node) handleOrders(in tporder.Input) {
	p := n.orders
	p.outputs = p.log.Step(n.clock.Now(), in, p.outputs[:0])
	for _, out := range p.outputs {
		switch {
		case out.Action != nil:
			_ = p.actions.Put(*out.Action)
		case out.RaiseRequest != nil:
			// If the ring is full, the log requests the raise again.
			_ = p.desiredIn.TryPut(desiredInput{raise: out.RaiseRequest})
		default:
			n.recordOrder(out.Event)
		}
	}
}

func (n *Node) recordOrder(e *tpmessage.Event) {
	n.events.Record(*e)
	switch e.Kind {
	case tporder.EventSent:
		n.orders.sent.Add(1)
	case tporder.EventPostponed:
		n.orders.postponed.Add(1)
	}
	n.log.Info().Str("lease", e.Lease).Str("target", e.Target).Uint64("order", e.Order).
		Str("detail", e.Detail).Msg(e.Kind)
}

// startOrderTicks starts the duty that sends ticks to the order log. On a tick
// the log starts the due actions of its engines.
func (n *Node) startOrderTicks() error {
	return n.startTimer("order ticks", func() time.Duration {
		_ = n.orders.logIn.TryPutBelow(tporder.Input{Kind: tporder.InputTick}, tickDepthLimit)
		return DefaultTickInterval
	})
}

// startDrainWatch starts the duty that watches the order objects, so that this
// node sends no new requests to an engine that drains for an order.
func (n *Node) startDrainWatch() error {
	ctx, cancel := context.WithCancel(context.Background())
	wait, err := n.duties.Go("drain watch", func() { n.watchDrains(ctx) })
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

func (n *Node) watchDrains(ctx context.Context) {
	drains := make(map[string]bool)
	version := uint64(0)
	for ctx.Err() == nil {
		changes, err := n.orders.store.Watch(ctx, tporder.Prefix, version)
		if err != nil {
			select {
			case <-n.clock.After(tprollout.RetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		changed := false
		for _, c := range changes {
			version = max(version, c.Object.Version)
			changed = applyDrainChange(drains, c) || changed
		}
		if changed {
			names := sortedKeys(drains)
			_ = n.targets.in.Put(targetInput{orders: &names})
		}
	}
}

// applyDrainChange updates the set of draining engines for one change of an
// order object. It reports whether a drain began or ended.
func applyDrainChange(drains map[string]bool, c tpobject.Change) bool {
	engine := c.Object.Name[len(tporder.Prefix):]
	var r tporder.Record
	if !c.Deleted && json.Unmarshal(c.Object.Value, &r) != nil {
		return false
	}
	wasDraining := drains[engine]
	if !c.Deleted && r.BlocksNewWork() {
		drains[engine] = true
	} else {
		delete(drains, engine)
	}
	return wasDraining != drains[engine]
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// SetDesiredRoles replaces the roles that a role policy wants, by name of the
// engine. An engine without an entry gets the role that the configuration
// assigns to its position in the pool.
func (n *Node) SetDesiredRoles(roles map[string]tpmessage.Role) {
	_ = n.orders.desiredIn.PutDropOldest(desiredInput{roles: roles})
}

// apply passes a configuration to the desired filter. Without a platform the
// filter does not run.
func (p *orderPipeline) apply(s *tpmessage.Snapshot) {
	if p.store != nil {
		_ = p.desiredIn.Put(desiredInput{snapshot: s})
	}
}

func (p *orderPipeline) vars() expvar.Var {
	return expvar.Func(func() any {
		return map[string]uint64{
			"leaseReads":      p.counters.Reads.Load(),
			"leaseWrites":     p.counters.Writes.Load(),
			"leaseGrants":     p.counters.Grants.Load(),
			"ordersSent":      p.sent.Load(),
			"ordersPostponed": p.postponed.Load(),
		}
	})
}
