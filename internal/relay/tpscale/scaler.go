package tpscale

import (
	"cmp"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Reason says why an order is given.
type Reason string

// Values of Reason.
const (
	ReasonRaise   Reason = "raise"   // more targets are required
	ReasonReplace Reason = "replace" // spot targets that will replace plain ones
	ReasonLower   Reason = "lower"   // fewer targets are required, or others replace them
	ReasonLimits  Reason = "limits"  // a zone is outside the limits of the configuration
	ReasonRepeat  Reason = "repeat"  // the outcome of the same order is unknown
)

// Order is an order and what it is based on.
type Order struct {
	tpmessage.ScaleOrder
	Fencing uint64 // of the grant under which it was decided
	Reason  Reason
	Demand  Observation
	Needed  int     // required targets of the pool, of both kinds
	Present []Count // of the pool
}

// firstSeen is the process of a target and the time at which it registered.
type firstSeen struct {
	startedMs int64
	at        time.Time
}

// Scaler decides on the numbers of targets in all pools with Autoscale. It is
// owned by one filter.
type Scaler[P Policy] struct {
	cfg          Settings
	policy       P
	pools        map[string]*pool // by name
	targets      []tpmessage.RelayTarget
	targetsKnown bool
	seen         map[string]firstSeen // by target name
	demand       demandHistory
	held         bool
	fencing      uint64
}

// New returns a scaler without pools.
func New[P Policy](cfg Settings, policy P) *Scaler[P] {
	cfg.setDefaults()
	return &Scaler[P]{cfg: cfg, policy: policy, pools: make(map[string]*pool), seen: make(map[string]firstSeen)}
}

// SetConfig sets the pools. Only pools of engines are scaled, because the demand
// is measured in engines. It returns the faults of the pools that are not scaled
// although the configuration asks for it, by pool name.
func (s *Scaler[P]) SetConfig(now time.Time, cfg *tpmessage.RelayConfig) map[string]string {
	faults := make(map[string]string)
	before := s.pools
	s.pools = make(map[string]*pool)
	for _, p := range cfg.Pools {
		switch {
		case p.AutoscaleFault != "":
			faults[p.Name] = p.AutoscaleFault
		case p.Autoscale == nil:
		case p.Engine == nil:
			faults[p.Name] = "autoscale: the demand for a pool without engines is not measured"
		default:
			known, ok := before[p.Name]
			if !ok {
				known = newPool(p)
			}
			known.cfg = p
			s.pools[p.Name] = known
		}
	}
	s.count(now)
	return faults
}

// SetTargets sets the registered targets. Those that are known to leave are
// marked draining.
func (s *Scaler[P]) SetTargets(now time.Time, list []tpmessage.RelayTarget) {
	s.targets, s.targetsKnown = list, true
	seen := make(map[string]firstSeen, len(list))
	for _, t := range list {
		f, ok := s.seen[t.Name]
		if !ok || f.startedMs != t.StartedMs {
			f = firstSeen{startedMs: t.StartedMs, at: now}
		}
		seen[t.Name] = f
	}
	s.seen = seen
	s.count(now)
}

// count counts the targets of each subject.
func (s *Scaler[P]) count(now time.Time) {
	for _, p := range s.pools {
		for _, sub := range p.subjects {
			sub.ready, sub.leaving, sub.prefill = 0, 0, 0
		}
	}
	withTime := make(map[*subject]int) // spot targets that say when they leave
	for _, t := range s.targets {
		if t.Zone == "" {
			continue
		}
		for _, p := range s.pools {
			// A zone with a price is used if the region has it.
			if _, priced := p.cfg.Autoscale.ZonePrices[t.Zone]; priced {
				p.subject(Subject{Zone: t.Zone})
			}
		}
		p, ok := s.pools[t.Pool]
		if !ok {
			continue
		}
		sub := p.subject(Subject{Zone: t.Zone, Spot: t.Spot})
		if t.Draining {
			sub.leaving++
			if t.Spot && t.LeavesIn > 0 {
				withTime[sub]++
			}
			continue
		}
		sub.ready++
		if t.Role == tpmessage.RolePrefill {
			sub.prefill++
		}
		if at := s.seen[t.Name].at; at.After(sub.newest) {
			sub.newest = at
		}
	}
	for _, p := range s.pools {
		total := 0
		for _, sub := range p.subjects {
			sub.noteLeaving(now, withTime[sub])
			total += sub.ready
		}
		if !p.hasOrdered && total > p.initial {
			p.initial, p.grewAt = total, now
		}
	}
}

// SetDemand records the demand of all nodes, in engines. Every node records it,
// so that a new holder knows the demand already. It counts for each pool, since
// nodes do not tell the pools apart.
func (s *Scaler[P]) SetDemand(now time.Time, engines float64) {
	s.demand.add(now, engines, s.cfg.PeakHold)
}

// SetHolder sets whether this node is the holder of the duty, and the fencing
// number of its grant. A new holder takes the registered targets as those that
// are ordered.
func (s *Scaler[P]) SetHolder(now time.Time, held bool, fencing uint64) {
	s.held = held
	if !held || fencing == s.fencing {
		return
	}
	s.fencing = fencing
	for name, p := range s.pools {
		s.pools[name] = newPool(p.cfg)
	}
	s.count(now)
}

// HandleResult records the result of an order: nil if the platform has accepted
// it, ErrNotSent, or an error of tpholder.API.
func (s *Scaler[P]) HandleResult(now time.Time, o Order, err error) {
	p, ok := s.pools[o.Pool]
	if !ok || o.Fencing != s.fencing {
		return
	}
	sub := p.subject(Subject{Zone: o.Zone, Spot: o.Spot})
	sub.sending = false
	switch OutcomeOf(err) {
	case OutcomeAccepted:
		until := now.Add(p.cfg.Autoscale.Startup + arrivalMargin)
		sub.accept(o.Count, until, until.Add(lateDelay))
		return
	case OutcomeNotSent, OutcomeLimited:
		if sub.repeat == nil {
			sub.cancel()
		}
	case OutcomeNoCapacity:
		sub.noteNoCapacity(o.Count, now.Add(noCapacityDelay))
	case OutcomeRefused:
		sub.cancel()
		delay := refusedDelay
		if p.mayExceed(now, o) {
			delay = p.cfg.Autoscale.Startup
		}
		sub.blockedUntil = now.Add(delay)
	case OutcomeUnknown:
		sub.repeat = &o
	}
	sub.retryAt = now.Add(min(minRetryDelay<<min(sub.failures, 8), maxRetryDelay))
	sub.failures++
}

// State is the state of a pool for the operator.
type State struct {
	Present []Count
	Needed  int // as last computed by this node as the holder
}

// States returns the state of each pool by its name.
func (s *Scaler[P]) States() map[string]State {
	states := make(map[string]State, len(s.pools))
	for name, p := range s.pools {
		states[name] = State{Present: p.counts(), Needed: p.needed}
	}
	return states
}

// Step returns the orders to send now. Each counts as being sent until
// HandleResult.
func (s *Scaler[P]) Step(now time.Time) []Order {
	if !s.held || !s.targetsKnown {
		return nil
	}
	var orders []Order
	for _, p := range s.pools {
		orders = append(orders, s.poolOrders(now, p)...)
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(a.Pool, b.Pool) })
	return orders
}

func (s *Scaler[P]) poolOrders(now time.Time, p *pool) []Order {
	o := s.demand.observation(now, p.cfg.Autoscale.Startup)
	required, ok := s.policy.Targets(o)
	if !ok {
		return nil
	}
	if !p.hasOrdered && o.Peak <= idleDemand && now.Sub(p.grewAt) < s.cfg.RegistrationPeriod {
		return nil
	}
	for _, sub := range p.subjects {
		sub.settle(now)
	}
	pl := newPlan(now, &s.cfg, p, o, required, s.demand.knownFor(now) >= s.cfg.KnownAfter)
	p.needed = pl.needed
	if !p.hasDecided {
		pl.assumeEarlierOrders()
		p.hasDecided = true
	}
	reason := pl.decide()
	present := p.counts()
	var orders []Order
	for _, key := range p.keys() {
		sub := p.subjects[key]
		order := Order{Fencing: s.fencing, Reason: reason, Demand: o, Needed: pl.needed, Present: present}
		order.Pool, order.Zone, order.Spot, order.Count = p.cfg.Name, key.Zone, key.Spot, pl.count[key]
		switch {
		case sub.sending || now.Before(sub.retryAt):
			continue
		case sub.repeat != nil && !pl.allows(sub.repeat):
			// The limits have changed since. What the order has changed shows in
			// the registrations.
			sub.repeat, sub.order = nil, orderState{}
			continue
		case sub.repeat != nil:
			order.Reason, order.Count = ReasonRepeat, sub.repeat.Count
		case order.Count == sub.expected():
			continue
		default:
			if order.Count < sub.ready {
				p.loweredAt = now
			}
			sub.begin(order.Count, now.Add(p.cfg.Autoscale.Startup+arrivalMargin))
			p.hasOrdered = true
		}
		sub.sending = true
		orders = append(orders, order)
	}
	return orders
}
