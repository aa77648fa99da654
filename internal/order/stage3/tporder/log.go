package tporder

import (
	"time"

	"golang.org/x/time/rate"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Defaults of Settings, and the limits of the delay after a failed order.
const (
	DefaultDrainTimeout = 30 * time.Second
	// DefaultDrainGrace is the time within which every node of the region
	// stops sending new work to a leaving target.
	DefaultDrainGrace             = 3 * time.Second
	DefaultMargin                 = time.Second
	DefaultPollInterval           = 200 * time.Millisecond
	DefaultProbeInterval          = 20 * time.Second
	DefaultRetryDelay             = 500 * time.Millisecond
	DefaultPostponedDelay         = 30 * time.Second
	DefaultLoadInterval           = 2 * time.Second
	DefaultLoadBurst              = 2
	DefaultMaxActions             = 64
	DefaultMaxUnavailableFraction = 0.125
	maxFailureDelay               = time.Minute
	maxFailureDelayShift          = 6 // 1 s << 6 exceeds maxFailureDelay
)

// Settings configures a Log. A field that is zero or negative takes its
// default.
type Settings struct {
	// DrainTimeout is the maximum duration of the drain before an order. A
	// positive drain timeout of the policy in force overrides it.
	DrainTimeout time.Duration
	// DrainGrace is the minimum time between the record of a drain and the
	// order. In this time the region's nodes learn of the drain.
	DrainGrace time.Duration
	// Margin is added to the engine type's OrderReadTimeout when the log waits
	// for late bodies to expire.
	Margin time.Duration
	// PollInterval is the interval between status reads of an engine that
	// drains or changes.
	PollInterval time.Duration
	// ProbeInterval is the interval between status reads of an engine without
	// an order.
	ProbeInterval time.Duration
	// RetryDelay is the delay after a failed call.
	RetryDelay time.Duration
	// PostponedDelay is the delay before the next order after an order was
	// postponed.
	PostponedDelay time.Duration
	// LoadInterval is the interval at which the weight store's limit allows
	// one more model load for the leases of this node.
	LoadInterval time.Duration
	// LoadBurst is the number of model loads that may begin at once.
	LoadBurst int
	// MaxActions is the maximum number of calls in progress.
	MaxActions int
	// MaxUnavailableFraction is the fraction of a pool's engines, from 0 to 1,
	// that may drain or change at the same time. At least one engine may.
	MaxUnavailableFraction float64
}

func (s *Settings) setDefaults() {
	for _, d := range []struct {
		value *time.Duration
		to    time.Duration
	}{
		{&s.DrainTimeout, DefaultDrainTimeout},
		{&s.DrainGrace, DefaultDrainGrace},
		{&s.Margin, DefaultMargin},
		{&s.PollInterval, DefaultPollInterval},
		{&s.ProbeInterval, DefaultProbeInterval},
		{&s.RetryDelay, DefaultRetryDelay},
		{&s.PostponedDelay, DefaultPostponedDelay},
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
	if s.MaxUnavailableFraction <= 0 {
		s.MaxUnavailableFraction = DefaultMaxUnavailableFraction
	}
}

// Log decides the orders of all engines whose leases this node holds. It is not
// safe for concurrent use: one filter owns it.
type Log struct {
	cfg          Settings
	drainTimeout time.Duration    // of the policy in force, or of cfg
	loads        *rate.Limiter    // model loads of all pools
	pools        map[string]*pool // by lease
	poolList     []*pool          // the pools in the order of their plans
	inFlight     int              // number of actions in progress
	actionSerial uint64           // serial number of the last action
	pending      []Output         // outputs of the current Step
}

// pool is the state of one lease's engines.
type pool struct {
	plan       Plan
	authority  tpmessage.Authority
	notBefore  time.Time // no action before: late bodies of a former holder expire first
	engines    map[string]*engine
	engineList []*engine
	startIndex int // index in engineList at which the next tick starts
}

// New returns a log without pools. Pools come with the first InputPlans.
func New(cfg Settings) *Log {
	cfg.setDefaults()
	return &Log{
		cfg:          cfg,
		drainTimeout: cfg.DrainTimeout,
		loads:        rate.NewLimiter(rate.Every(cfg.LoadInterval), cfg.LoadBurst),
		pools:        make(map[string]*pool),
	}
}

// Step processes one input. It appends the resulting outputs to pending and
// returns the extended slice.
func (l *Log) Step(now time.Time, in Input, pending []Output) []Output {
	l.pending = pending
	switch in.Kind {
	case InputTick:
		l.advanceAll(now)
	case InputPlans:
		l.plan(in)
	case InputAuthority:
		l.updateAuthority(now, in.Authority)
	case InputResult:
		l.handleResult(now, in.Result)
	}
	pending, l.pending = l.pending, nil
	return pending
}

// advanceAll advances every engine of the leases that this node holds.
func (l *Log) advanceAll(now time.Time) {
	for _, p := range l.poolList {
		if !p.mayAct(now) {
			continue
		}
		for i := range p.engineList {
			if l.inFlight >= l.cfg.MaxActions {
				// The next tick starts at this engine, so that no engine
				// starves.
				p.startIndex = (p.startIndex + i) % len(p.engineList)
				return
			}
			l.advance(now, p, p.engineList[(p.startIndex+i)%len(p.engineList)])
		}
	}
}

func (p *pool) mayAct(now time.Time) bool {
	return p.authority.Held && now.Before(p.authority.Until) && !now.Before(p.notBefore)
}

// plan replaces all plans. Engines that remain in a plan keep their state.
func (l *Log) plan(in Input) {
	l.drainTimeout = l.cfg.DrainTimeout
	if in.Policy.DrainTimeout > 0 {
		l.drainTimeout = in.Policy.DrainTimeout
	}
	oldPools := l.pools
	l.pools = make(map[string]*pool, len(in.Plans))
	l.poolList = l.poolList[:0]
	for _, plan := range in.Plans {
		if !ExcludesFormerHolder(plan.Type) {
			l.emitEvent(&tpmessage.Event{
				Kind: EventRefused, Lease: plan.Lease,
				Detail: "engine type " + plan.Type.Name + " declares neither checksFencing nor orderReadTimeout",
			})
			continue
		}
		p := &pool{}
		if old, ok := oldPools[plan.Lease]; ok {
			p.authority, p.notBefore = old.authority, old.notBefore
			p.setPlan(plan, old.engines)
		} else {
			p.setPlan(plan, nil)
		}
		l.pools[plan.Lease] = p
		l.poolList = append(l.poolList, p)
	}
}

func (p *pool) setPlan(plan Plan, oldEngines map[string]*engine) {
	p.plan = plan
	p.engines = make(map[string]*engine, len(plan.Engines))
	for _, want := range plan.Engines {
		e, ok := oldEngines[want.Target.Name]
		if !ok {
			e = &engine{}
		}
		if e.desired.State != want.State {
			e.failures = 0
			if !e.record.BlocksNewWork() {
				e.nextActionAt = time.Time{}
			}
		}
		e.desired = want
		p.engines[want.Target.Name] = e
		p.engineList = append(p.engineList, e)
	}
}

// updateAuthority sets the authority over a lease. After a new grant, the
// earlier holder may have changed the records and engines, so they are read
// again. Its late order bodies must expire before that.
func (l *Log) updateAuthority(now time.Time, a tpmessage.Authority) {
	p, ok := l.pools[a.Lease]
	if !ok {
		return
	}
	granted := a.Held && (!p.authority.Held || p.authority.Fencing != a.Fencing)
	raised := a.Held && p.authority.Held && a.Fencing == p.authority.Fencing+1
	p.authority = a
	if !granted || raised {
		// Consecutive fencing numbers show that no other node held the lease in
		// between.
		return
	}
	p.notBefore = now
	if a.Fenced && !p.plan.Type.ChecksFencing {
		p.notBefore = now.Add(p.plan.Type.OrderReadTimeout + l.cfg.Margin)
	}
	for _, e := range p.engineList {
		e.invalidate()
	}
	l.emitEvent(&tpmessage.Event{Kind: EventGranted, Lease: a.Lease})
}

// unavailable returns the number of engines that drain or change.
func (p *pool) unavailable() int {
	n := 0
	for _, e := range p.engineList {
		if e.recordingDrain || e.record.BlocksNewWork() {
			n++
		}
	}
	return n
}

// mayDrainAnother reports whether one more engine may start to drain.
func (l *Log) mayDrainAnother(p *pool) bool {
	return p.unavailable() < max(1, int(l.cfg.MaxUnavailableFraction*float64(len(p.engineList))))
}

func (l *Log) emitAction(p *pool, e *engine, a Action) {
	a.Pool, a.Lease, a.Type, a.Target = p.plan.Pool, p.plan.Lease, p.plan.Type, e.desired.Target
	l.actionSerial++
	l.inFlight++
	a.Serial = l.actionSerial
	e.pending, e.actionSerial = true, l.actionSerial
	l.pending = append(l.pending, Output{Action: &a})
}

func (l *Log) emitEvent(e *tpmessage.Event) { l.pending = append(l.pending, Output{Event: e}) }

func (l *Log) emitOrderEvent(kind string, r *Record) {
	l.emitEvent(&tpmessage.Event{
		Kind: kind, Target: r.Order.Engine, Lease: r.Order.Lease, Order: r.Order.Number, Detail: r.Reason,
	})
}
