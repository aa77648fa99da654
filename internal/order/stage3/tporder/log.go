package tporder

import (
	"time"

	"golang.org/x/time/rate"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Defaults of the order log.
const (
	DefaultDrainTimeout = 30 * time.Second
	// DefaultDrainGrace is the bound within which every node of the region
	// stops sending new work to a leaving target.
	DefaultDrainGrace    = 3 * time.Second
	DefaultMargin        = time.Second
	DefaultPoll          = 200 * time.Millisecond
	DefaultProbe         = 20 * time.Second
	DefaultRetry         = 500 * time.Millisecond
	DefaultPostponed     = 30 * time.Second
	DefaultLoadInterval  = 2 * time.Second
	DefaultLoadBurst     = 2
	DefaultMaxActions    = 64
	DefaultMaxOutOfUse   = 0.125
	maxFailureDelay      = time.Minute
	maxFailureDelayShift = 6
)

// Settings configures an order log. The zero value is the default.
type Settings struct {
	// DrainTimeout bounds the drain before an order, unless the policy in
	// force gives it.
	DrainTimeout time.Duration
	// DrainGrace is the least time between the record of a drain and the
	// order, in which the region's nodes hear of the drain.
	DrainGrace time.Duration
	// Margin is added to OrderReadTimeout when late bodies are waited for.
	Margin time.Duration
	// Poll is the time between two looks at an engine that drains or changes.
	Poll time.Duration
	// Probe is the time between two looks at an engine without an order.
	Probe time.Duration
	// Retry is the wait after a failed call.
	Retry time.Duration
	// Postponed is the wait after a drain that took too long.
	Postponed time.Duration
	// LoadInterval is the time in which the weight store's limit allows one
	// more model load for the leases of this node; LoadBurst loads may begin
	// at once.
	LoadInterval time.Duration
	LoadBurst    int
	// MaxActions is the number of calls in progress.
	MaxActions int
	// MaxOutOfUse is the part of a pool's engines that may drain or change at
	// the same time; at least one may.
	MaxOutOfUse float64
}

func (s *Settings) setDefaults() {
	for _, d := range []struct {
		value *time.Duration
		to    time.Duration
	}{
		{&s.DrainTimeout, DefaultDrainTimeout},
		{&s.DrainGrace, DefaultDrainGrace},
		{&s.Margin, DefaultMargin},
		{&s.Poll, DefaultPoll},
		{&s.Probe, DefaultProbe},
		{&s.Retry, DefaultRetry},
		{&s.Postponed, DefaultPostponed},
		{&s.LoadInterval, DefaultLoadInterval},
	} {
		if *d.value <= 0 {
			*d.value = d.to
		}
	}
	if s.LoadBurst <= 0 {
		s.LoadBurst = DefaultLoadBurst
	}
	if s.MaxActions <= 0 {
		s.MaxActions = DefaultMaxActions
	}
	if s.MaxOutOfUse <= 0 {
		s.MaxOutOfUse = DefaultMaxOutOfUse
	}
}

// Log decides about the orders of all engines whose leases this node holds.
// It belongs to one filter.
type Log struct {
	cfg      Settings
	drain    time.Duration // in force
	loads    *rate.Limiter
	pools    map[string]*pool // by lease
	order    []*pool          // in the order of the plans
	inFlight int
	serial   uint64 // of the last action
	out      []Output
}

// pool is the state of one lease's engines.
type pool struct {
	plan      Plan
	authority tpmessage.Authority
	notBefore time.Time // no look at an engine before late bodies have expired
	engines   map[string]*engine
	list      []*engine
	next      int // engine at which the next round begins
}

// New returns a log without pools.
func New(cfg Settings) *Log {
	cfg.setDefaults()
	return &Log{
		cfg:   cfg,
		drain: cfg.DrainTimeout,
		loads: rate.NewLimiter(rate.Every(cfg.LoadInterval), cfg.LoadBurst),
		pools: make(map[string]*pool),
	}
}

// Step takes one input and appends the outputs to out.
func (l *Log) Step(now time.Time, in Input, out []Output) []Output {
	l.out = out
	switch in.Kind {
	case InputTick:
		l.round(now)
	case InputPlans:
		l.plan(in)
	case InputAuthority:
		l.authorize(now, in.Authority)
	case InputResult:
		l.result(now, in.Result)
	}
	out, l.out = l.out, nil
	return out
}

// round looks at every engine of the leases that are held.
func (l *Log) round(now time.Time) {
	for _, p := range l.order {
		if !p.acts(now) {
			continue
		}
		for i := range p.list {
			if l.inFlight >= l.cfg.MaxActions {
				// The next round begins here, so that no engine starves.
				p.next = (p.next + i) % len(p.list)
				return
			}
			l.advance(now, p, p.list[(p.next+i)%len(p.list)])
		}
	}
}

func (p *pool) acts(now time.Time) bool {
	return p.authority.Held && now.Before(p.authority.Until) && !now.Before(p.notBefore)
}

// plan replaces the plans and keeps what is known of the engines that stay.
func (l *Log) plan(in Input) {
	l.drain = l.cfg.DrainTimeout
	if in.Policy.DrainTimeout > 0 {
		l.drain = in.Policy.DrainTimeout
	}
	known := l.pools
	l.pools = make(map[string]*pool, len(in.Plans))
	l.order = l.order[:0]
	for _, plan := range in.Plans {
		if !Safe(plan.Type) {
			l.event(&tpmessage.Event{
				Kind: EventRefused, Lease: plan.Lease,
				Detail: "engine type " + plan.Type.Name + " declares neither checksFencing nor orderReadTimeout",
			})
			continue
		}
		p := &pool{}
		if old, ok := known[plan.Lease]; ok {
			p.authority, p.notBefore = old.authority, old.notBefore
			p.adopt(plan, old.engines)
		} else {
			p.adopt(plan, nil)
		}
		l.pools[plan.Lease] = p
		l.order = append(l.order, p)
	}
}

func (p *pool) adopt(plan Plan, known map[string]*engine) {
	p.plan = plan
	p.engines = make(map[string]*engine, len(plan.Engines))
	for _, w := range plan.Engines {
		e, ok := known[w.Target.Name]
		if !ok {
			e = &engine{}
		}
		if e.wanted.State != w.State {
			e.failures = 0
			if !e.record.Drains() {
				e.nextAt = time.Time{}
			}
		}
		e.wanted = w
		p.engines[w.Target.Name] = e
		p.list = append(p.list, e)
	}
}

// authorize takes news of a lease. After a new grant nothing that an earlier
// holder did is known, and its late bodies must expire first.
func (l *Log) authorize(now time.Time, a tpmessage.Authority) {
	p, ok := l.pools[a.Lease]
	if !ok {
		return
	}
	granted := a.Held && (!p.authority.Held || p.authority.Fencing != a.Fencing)
	raised := a.Held && p.authority.Held && a.Fencing == p.authority.Fencing+1
	p.authority = a
	if !granted || raised {
		// Nobody else held the lease between two numbers that follow each other.
		return
	}
	p.notBefore = now
	if a.Fenced && !p.plan.Type.ChecksFencing {
		p.notBefore = now.Add(p.plan.Type.OrderReadTimeout + l.cfg.Margin)
	}
	for _, e := range p.list {
		e.forget()
	}
	l.event(&tpmessage.Event{Kind: EventGranted, Lease: a.Lease})
}

// outOfUse returns the number of engines that drain or change.
func (p *pool) outOfUse() int {
	n := 0
	for _, e := range p.list {
		if e.taking || e.record.Drains() {
			n++
		}
	}
	return n
}

// mayTakeOut reports whether one more engine may go out of use.
func (l *Log) mayTakeOut(p *pool) bool {
	return p.outOfUse() < max(1, int(l.cfg.MaxOutOfUse*float64(len(p.list))))
}

func (l *Log) emit(p *pool, e *engine, a Action) {
	a.Pool, a.Lease, a.Type, a.Target = p.plan.Pool, p.plan.Lease, p.plan.Type, e.wanted.Target
	l.serial++
	l.inFlight++
	a.Serial = l.serial
	e.out, e.serial = true, l.serial
	l.out = append(l.out, Output{Action: &a})
}

func (l *Log) event(e *tpmessage.Event) { l.out = append(l.out, Output{Event: e}) }

func (l *Log) report(kind string, r *Record) {
	l.event(&tpmessage.Event{
		Kind: kind, Target: r.Order.Engine, Lease: r.Order.Lease, Order: r.Order.Number, Detail: r.Reason,
	})
}
