package tprolecontrol

import (
	"cmp"
	"context"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// unknownOrderTimeout is the time for which an order without an answer may
	// still be carried out. Such an order may take effect up to 12 s later; 1 s
	// is a margin.
	unknownOrderTimeout = 13 * time.Second
	// roleSwitchMargin is added to the declared time of a change of role before
	// an accepted order counts as lost.
	roleSwitchMargin = 4 * time.Second
	// refusedBackoff is the delay before the next order to an engine that has
	// refused one or already has the role.
	refusedBackoff = 2 * time.Second
	// settlePeriod is the time after a change of the fleet in which an idle pool
	// keeps its roles. At the start of a region the engines register one after
	// the other, and a split of the first ones would be reverted.
	settlePeriod = time.Second
	// leaseMargin is the time before the end of the lease at which orders stop.
	// An order then arrives before another node can hold the lease.
	leaseMargin = 700 * time.Millisecond
)

// Order is an order to one engine to change to a role. Holder and Fencing
// identify the holder of the lease.
type Order struct {
	Target  tpmessage.RelayTarget
	Role    tpmessage.Role
	Holder  string
	Fencing uint64
	Until   time.Time     // the order must not be sent at or after this time
	Demand  tprole.Demand // demand on which the decision is based
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Role   tpmessage.Role
	Busy   bool   // an order is being carried out
	Orders uint64 // number of orders accepted since the engine started
	// Notice is what the engine says about itself in the header of its report.
	Notice tpmessage.TargetNotice
}

// Engines exchanges orders and states with engines.
type Engines interface {
	// State requests the state of an engine. With an error, only the Notice of
	// the state may be set.
	State(ctx context.Context, t tpmessage.RelayTarget) (EngineState, error)
	// SendOrder sends an order. The engine accepts it only if the number of
	// orders that it has accepted so far equals orders.
	SendOrder(ctx context.Context, o Order, orders uint64) (Answer, error)
}

// Answer is the result of an order.
type Answer uint8

// The answers to an order.
const (
	AnswerAccepted Answer = iota
	AnswerHolds           // the engine already has the role
	AnswerRefused         // not accepted, and it will not be accepted later
	AnswerUnknown         // the order may have been accepted or may still be carried out
)

// String implements fmt.Stringer.
func (a Answer) String() string {
	names := [...]string{"accepted", "holds", "refused", "unknown"}
	return names[min(int(a), len(names)-1)]
}

// Settings configures the decisions on roles. Node is the name of this node.
type Settings struct {
	Node string
	// Guard is the time that a new holder of the lease waits before its first
	// order, so that its orders do not overlap with those of the previous
	// holder.
	Guard time.Duration
}

// inFlight is an order whose effect is not yet visible in the engine's
// registration.
type inFlight struct {
	role            tpmessage.Role // role that the engine is expected to have
	from            tpmessage.Role // role at the time of the order
	targetStartedMs int64          // identifies the engine's process
	until           time.Time      // when the order no longer counts as in flight
}

// Controller decides on the roles in all engine pools. It is owned by one
// filter.
type Controller[P tprole.Policy] struct {
	cfg     Settings
	policy  func(pool tpmessage.RelayPool, first bool) P
	roles   map[string]*tprole.Assigner[P] // by pool name
	pools   map[string]tpmessage.RelayPool // by name
	targets []tpmessage.RelayTarget
	// fleetChanged is true after a change of the number of targets until the
	// next step, which sets settledAt.
	fleetChanged bool
	settledAt    time.Time
	inFlight     map[string]inFlight // by engine name
	authority    tpmessage.Authority
	ordersFrom   time.Time                     // earliest time of an order under this authority
	loads        map[string]tpmessage.NodeLoad // by node name
}

// New returns a controller without targets. The function policy returns a new
// policy for a pool; first is true for the first holder of the lease.
func New[P tprole.Policy](cfg Settings, policy func(pool tpmessage.RelayPool, first bool) P) *Controller[P] {
	return &Controller[P]{
		cfg: cfg, policy: policy,
		roles:    make(map[string]*tprole.Assigner[P]),
		pools:    make(map[string]tpmessage.RelayPool),
		inFlight: make(map[string]inFlight),
	}
}

// SetAuthority sets the authority to order. The first holder of the lease has
// no predecessor and does not wait for the guard.
func (c *Controller[P]) SetAuthority(now time.Time, a tpmessage.Authority) {
	if a.Held && (!c.authority.Held || a.Fencing != c.authority.Fencing) {
		// Another holder may have changed roles since this node last held the
		// lease.
		clear(c.roles)
		c.ordersFrom = now
		if a.Fencing > 1 {
			c.ordersFrom = now.Add(c.cfg.Guard)
		}
	}
	c.authority = a
}

// SetConfig sets the pools.
func (c *Controller[P]) SetConfig(cfg *tpmessage.RelayConfig) {
	c.pools = make(map[string]tpmessage.RelayPool)
	for _, p := range cfg.Pools {
		c.pools[p.Name] = p
	}
}

// SetTargets sets the registered targets. An order whose effect is registered,
// or whose engine process has ended, is no longer in flight.
func (c *Controller[P]) SetTargets(list []tpmessage.RelayTarget) {
	c.fleetChanged = c.fleetChanged || len(c.targets) > 0 && len(list) != len(c.targets)
	c.targets = list
	for _, t := range list {
		if p, ok := c.inFlight[t.Name]; ok && (t.Role == p.role || t.StartedMs != p.targetStartedMs) {
			delete(c.inFlight, t.Name)
		}
	}
}

// SetLoads sets the loads and demands of all nodes, by node name.
func (c *Controller[P]) SetLoads(loads map[string]tpmessage.NodeLoad) { c.loads = loads }

// MayOrder reports whether this node may send an order now.
func (c *Controller[P]) MayOrder(now time.Time) bool {
	return c.authority.Held && !now.Before(c.ordersFrom) && now.Add(leaseMargin).Before(c.authority.Until)
}

// Step returns the orders to send now and records them as in flight.
func (c *Controller[P]) Step(now time.Time) []Order {
	for name, p := range c.inFlight {
		if !now.Before(p.until) {
			delete(c.inFlight, name)
		}
	}
	if c.fleetChanged {
		c.fleetChanged, c.settledAt = false, now.Add(settlePeriod)
	}
	idle := c.Demand().Prefill+c.Demand().Decode <= idleDemandEngines
	if !c.MayOrder(now) || idle && now.Before(c.settledAt) {
		return nil
	}
	var orders []Order
	for name, p := range c.pools {
		if p.Engine != nil {
			orders = append(orders, c.poolOrders(now, name, p)...)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Target.Name, b.Target.Name) })
	return orders
}

func (c *Controller[P]) poolOrders(now time.Time, name string, p tpmessage.RelayPool) []Order {
	byName := make(map[string]tpmessage.RelayTarget)
	var engines []tprole.Engine
	for _, t := range c.targets {
		if t.Pool != name || t.Role == tpmessage.RoleMixed {
			continue
		}
		e := tprole.Engine{Name: t.Name, Role: t.Role, Leaving: t.Draining, Load: c.runs(t.Name)}
		if q, ok := c.inFlight[t.Name]; ok {
			e.Role, e.Changing = q.role, true
		}
		byName[t.Name] = t
		engines = append(engines, e)
	}
	if len(engines) < 2 {
		return nil
	}
	roles, ok := c.roles[name]
	if !ok {
		roles = tprole.New(tprole.Settings{}, c.policy(p, c.authority.Fencing <= 1))
		c.roles[name] = roles
	}
	var orders []Order
	for _, change := range roles.Step(tprole.Observation{At: now, Demand: c.Demand()}, engines) {
		t := byName[change.Engine]
		orders = append(orders, Order{Target: t, Role: change.Role, Holder: c.cfg.Node, Fencing: c.authority.Fencing, Until: c.authority.Until.Add(-leaseMargin), Demand: c.Demand()})
		c.inFlight[t.Name] = inFlight{role: change.Role, from: t.Role, targetStartedMs: t.StartedMs, until: now.Add(p.Engine.RoleSwitchTime + roleSwitchMargin)}
	}
	return orders
}

// RoleChanging returns the names of the engines that may be changing their
// role.
func (c *Controller[P]) RoleChanging() []string {
	var names []string
	for name, p := range c.inFlight {
		if p.role != p.from {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HandleAnswer processes an engine's answer to an order.
func (c *Controller[P]) HandleAnswer(now time.Time, o Order, a Answer) {
	p, ok := c.inFlight[o.Target.Name]
	if !ok {
		return
	}
	switch a {
	case AnswerRefused:
		p.role, p.until = o.Target.Role, now.Add(refusedBackoff)
	case AnswerUnknown:
		p.until = now.Add(unknownOrderTimeout)
	case AnswerHolds:
		p.until = now.Add(refusedBackoff)
	case AnswerAccepted:
	}
	c.inFlight[o.Target.Name] = p
}

// runs returns the number of runs at a target, of all nodes.
func (c *Controller[P]) runs(name string) float64 {
	sum := 0
	for _, n := range c.loads {
		for _, l := range n.Loads {
			if l.Target == name {
				sum += l.Runs
			}
		}
	}
	return float64(sum)
}

// Demand returns the demand of all nodes, in engines of each role.
func (c *Controller[P]) Demand() tprole.Demand {
	var d tprole.Demand
	for _, n := range c.loads {
		d.Prefill += n.PrefillDemand
		d.Decode += n.DecodeDemand
	}
	return d
}
