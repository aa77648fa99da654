package tpshift

import (
	"cmp"
	"context"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// lateOrder is how long an order without an answer may still be carried
	// out, by the platform's description of such faults, with a second's room.
	lateOrder = 13 * time.Second
	// switchSlack is added to the declared time of a change of role before an
	// accepted order counts as lost.
	switchSlack = 4 * time.Second
	// refusedPause is the wait after an order that an engine refused.
	refusedPause = 2 * time.Second
	// leaseReserve is the part of the authority that an order needs, so that
	// it does not arrive after the lease has passed on.
	leaseReserve = 700 * time.Millisecond
)

// Order asks one engine for a role.
type Order struct {
	Target  tpmessage.RelayTarget
	Role    tpmessage.Role
	Holder  string
	Fencing uint64
	Until   time.Time // the order is not given from then on
	Demand  tprole.Demand
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Role   tpmessage.Role
	Busy   bool   // an order is being carried out
	Orders uint64 // accepted since the engine's start
}

// Engines speaks to engines.
type Engines interface {
	// State asks an engine for its state.
	State(ctx context.Context, t tpmessage.RelayTarget) (EngineState, error)
	// Give sends an order that the engine carries out only if it has accepted
	// no other since the given number of orders.
	Give(ctx context.Context, o Order, orders uint64) (Answer, error)
}

// Answer is an engine's answer to an order.
type Answer uint8

// Answers to orders.
const (
	AnswerAccepted Answer = iota
	AnswerHolds           // the engine already has the role
	AnswerRefused         // not accepted, and it never will be
	AnswerUnknown         // it may have been accepted, or may be carried out later
)

// String implements fmt.Stringer.
func (a Answer) String() string {
	names := [...]string{"accepted", "holds", "refused", "unknown"}
	return names[min(int(a), len(names)-1)]
}

// Settings configures a Shift.
type Settings struct {
	Node string
	// Guard is how long a new holder waits before its first order, so that
	// orders of the holder before it do not mix with its own.
	Guard time.Duration
}

// pending is an order whose effect is not yet seen.
type pending struct {
	role  tpmessage.Role
	from  tpmessage.Role
	born  int64
	until time.Time
}

// Shift decides about the roles of all engine pools. It belongs to one filter.
type Shift[P tprole.Policy] struct {
	cfg       Settings
	policy    func(first bool) P
	roles     map[string]*tprole.Roles[P]
	pools     map[string]tpmessage.RelayPool
	targets   []tpmessage.RelayTarget
	pending   map[string]pending
	authority tpmessage.Authority
	since     time.Time // when the authority began
	loads     map[string]tpmessage.NodeLoad
}

// New returns a decision without targets. Policy returns the policy of a pool
// for the first holder of the lease or a later one.
func New[P tprole.Policy](cfg Settings, policy func(first bool) P) *Shift[P] {
	return &Shift[P]{
		cfg: cfg, policy: policy,
		roles:   make(map[string]*tprole.Roles[P]),
		pools:   make(map[string]tpmessage.RelayPool),
		pending: make(map[string]pending),
	}
}

// SetAuthority takes the authority over the engines. A first grant of the
// lease has no holder before it, so it needs no guard.
func (s *Shift[P]) SetAuthority(now time.Time, a tpmessage.Authority) {
	if a.Held && (!s.authority.Held || a.Fencing != s.authority.Fencing) {
		// Another holder may have changed roles since.
		clear(s.roles)
		s.since = now
		if a.Fencing > 1 {
			s.since = now.Add(s.cfg.Guard)
		}
	}
	s.authority = a
}

// SetConfig takes the pools.
func (s *Shift[P]) SetConfig(cfg *tpmessage.RelayConfig) {
	s.pools = make(map[string]tpmessage.RelayPool)
	for _, p := range cfg.Pools {
		s.pools[p.Name] = p
	}
}

// SetTargets takes the registered targets.
func (s *Shift[P]) SetTargets(list []tpmessage.RelayTarget) {
	s.targets = list
	for _, t := range list {
		if p, ok := s.pending[t.Name]; ok && (t.Role == p.role || t.Born != p.born) {
			delete(s.pending, t.Name)
		}
	}
}

// SetLoads takes what all nodes know of the demand.
func (s *Shift[P]) SetLoads(loads map[string]tpmessage.NodeLoad) { s.loads = loads }

// Acts reports whether this node may give an order now.
func (s *Shift[P]) Acts(now time.Time) bool {
	return s.authority.Held && !now.Before(s.since) && now.Add(leaseReserve).Before(s.authority.Until)
}

// Step returns the orders to give now.
func (s *Shift[P]) Step(now time.Time) []Order {
	for name, p := range s.pending {
		if !now.Before(p.until) {
			delete(s.pending, name)
		}
	}
	if !s.Acts(now) {
		return nil
	}
	var orders []Order
	for name, p := range s.pools {
		if p.Engine != nil {
			orders = append(orders, s.pool(now, name, p)...)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Target.Name, b.Target.Name) })
	return orders
}

func (s *Shift[P]) pool(now time.Time, name string, p tpmessage.RelayPool) []Order {
	byName := make(map[string]tpmessage.RelayTarget)
	var engines []tprole.Engine
	for _, t := range s.targets {
		if t.Pool != name || t.Role == tpmessage.RoleMixed {
			continue
		}
		e := tprole.Engine{Name: t.Name, Role: t.Role, Leaving: t.Draining, Load: s.runs(t.Name)}
		if q, ok := s.pending[t.Name]; ok {
			e.Role, e.Changing = q.role, true
		}
		byName[t.Name] = t
		engines = append(engines, e)
	}
	if len(engines) < 2 {
		return nil
	}
	roles, ok := s.roles[name]
	if !ok {
		roles = tprole.New(tprole.Settings{}, s.policy(s.authority.Fencing <= 1))
		s.roles[name] = roles
	}
	var orders []Order
	for _, c := range roles.Step(tprole.Observation{At: now, Demand: s.Demand()}, engines) {
		t := byName[c.Engine]
		orders = append(orders, Order{Target: t, Role: c.Role, Holder: s.cfg.Node, Fencing: s.authority.Fencing, Until: s.authority.Until.Add(-leaseReserve), Demand: s.Demand()})
		s.pending[t.Name] = pending{role: c.Role, from: t.Role, born: t.Born, until: now.Add(p.Engine.RoleSwitch + switchSlack)}
	}
	return orders
}

// Changing returns the names of the engines that may be changing their role.
func (s *Shift[P]) Changing() []string {
	var names []string
	for name, p := range s.pending {
		if p.role != p.from {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Answered takes an engine's answer to an order.
func (s *Shift[P]) Answered(now time.Time, o Order, a Answer) {
	p, ok := s.pending[o.Target.Name]
	if !ok {
		return
	}
	switch a {
	case AnswerRefused:
		p.role, p.until = o.Target.Role, now.Add(refusedPause)
	case AnswerUnknown:
		p.until = now.Add(lateOrder)
	case AnswerHolds:
		p.until = now.Add(refusedPause)
	case AnswerAccepted:
	}
	s.pending[o.Target.Name] = p
}

func (s *Shift[P]) runs(name string) float64 {
	sum := 0
	for _, n := range s.loads {
		for _, l := range n.Loads {
			if l.Target == name {
				sum += l.Runs
			}
		}
	}
	return float64(sum)
}

// Demand returns the work of all nodes in engines.
func (s *Shift[P]) Demand() tprole.Demand {
	var d tprole.Demand
	for _, n := range s.loads {
		d.Prefill += n.PrefillDemand
		d.Decode += n.DecodeDemand
	}
	return d
}
