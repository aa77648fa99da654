package tpscale

import (
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Subject is what an order is about: the targets of one kind in a zone.
type Subject struct {
	Zone string
	Spot bool
}

// Count is the number of targets of a subject.
type Count struct {
	Subject
	Ready    int // registered and not leaving
	Leaving  int // registered and leaving
	Expected int // those that there will be when the orders are carried out
}

// orderState is an order and how long it counts as being carried out, unless the
// targets show before that it was.
type orderState struct {
	count int
	from  int // number of ready targets when the order was given
	until time.Time
}

func (o *orderState) inProgress() bool { return !o.until.IsZero() }

// possibleCount is a number of targets that the platform may have or start for a
// subject, until a time at which targets that have not registered count as void.
type possibleCount struct {
	count   int
	until   time.Time
	assumed bool // of an earlier holder
}

// subject is the state of the targets and of the orders about a Subject.
type subject struct {
	ready, leaving int
	prefill        int       // ready ones with the prefill role
	newest         time.Time // when the newest ready one was first seen
	reclaimed      int       // leaving ones that no order has removed
	removing       int       // leaving ones, at most, that an order has removed
	order          orderState
	previous       orderState // replaced by order if that has no effect
	possible       possibleCount
	possibleBefore possibleCount // replaced by possible if the last order has no effect
	sending        bool
	repeat         *Order // the last order, if its outcome is unknown
	failures       int
	retryAt        time.Time // no order is sent before
	blockedUntil   time.Time // no order for more targets is sent before
}

func (s *subject) inProgress() bool {
	return s.sending || s.repeat != nil || s.order.inProgress()
}

func (s *subject) expected() int {
	if !s.order.inProgress() {
		return s.ready
	}
	return s.order.count
}

// settle ends the order in progress if the targets show that it was carried out,
// or if it is overdue. Targets that did not come in time are not to be had.
func (s *subject) settle(now time.Time) {
	if !s.order.inProgress() && s.leaving == 0 {
		s.removing = 0
	}
	if !s.order.inProgress() || s.sending {
		return
	}
	raised := s.order.count > s.order.from
	done := raised && s.ready >= s.order.count || !raised && s.ready <= s.order.count
	overdue := !now.Before(s.order.until)
	if overdue && raised && !done {
		s.blockedUntil = now.Add(noCapacityDelay)
	}
	if overdue || done {
		s.order = orderState{}
	}
}

// begin records an order that is about to be sent.
func (s *subject) begin(count int, until time.Time) {
	s.previous, s.order = s.order, orderState{count: count, from: s.ready, until: until}
	s.removing += max(0, s.ready-count)
	s.possibleBefore = s.possible
	if until.After(s.possible.until) {
		s.possible.until = until
	}
	s.possible.count = max(s.possible.count, count, s.ready)
}

// accept records that the platform has accepted an order. Its targets may come
// late, which is possible until the given time.
func (s *subject) accept(count int, until, lateUntil time.Time) {
	s.repeat, s.failures, s.retryAt = nil, 0, time.Time{}
	s.order.count, s.order.until = count, until
	s.possible = possibleCount{count: count, until: lateUntil}
}

// cancel records that the last order had no effect. The one before may still be
// carried out.
func (s *subject) cancel() {
	s.removing = max(0, s.removing-max(0, s.order.from-s.order.count))
	s.order, s.previous, s.repeat = s.previous, orderState{}, nil
	s.possible = s.possibleBefore
}

// noteNoCapacity records that there are none to be had for an order. The platform
// has fewer targets than that, also if an earlier holder ordered some.
func (s *subject) noteNoCapacity(count int, until time.Time) {
	s.cancel()
	s.possible.count = min(s.possible.count, count)
	s.blockedUntil = until
}

// noteLeaving finds out whether the platform reclaims targets: spot targets
// leave that no order has removed. More are not to be had there for a while. An
// order also removes targets that registered after it was given.
func (s *subject) noteLeaving(now time.Time, withTime int) {
	switch {
	case s.repeat != nil:
		s.removing = max(s.removing, s.ready+s.leaving-s.repeat.Count)
	case s.order.inProgress():
		s.removing = max(s.removing, s.ready+s.leaving-s.order.count)
	}
	reclaimed := max(0, withTime-s.removing)
	if reclaimed > s.reclaimed {
		s.blockedUntil = now.Add(noCapacityDelay)
		s.previous = orderState{}
		s.possibleBefore = possibleCount{}
		if !s.sending {
			s.order, s.repeat, s.possible = orderState{}, nil, possibleCount{}
		}
	}
	s.reclaimed = reclaimed
}

// pool is the state of a pool that is scaled.
type pool struct {
	cfg      tpmessage.RelayPool
	subjects map[Subject]*subject
	// initial is the largest number of targets that was registered before the
	// first order of this holder. Without a known demand it is not lowered.
	initial    int
	hasOrdered bool
	grewAt     time.Time // when initial last rose
	loweredAt  time.Time // time of the last removal
	needed     int       // as last computed
	hasDecided bool      // this holder has made a decision
}

func newPool(cfg tpmessage.RelayPool) *pool {
	return &pool{cfg: cfg, subjects: make(map[Subject]*subject)}
}

func (p *pool) subject(key Subject) *subject {
	sub, ok := p.subjects[key]
	if !ok {
		sub = &subject{}
		p.subjects[key] = sub
	}
	return sub
}

// mayExceed reports whether an order may be beyond the limit of its zone, because
// an earlier holder may have ordered targets of the other kind there.
func (p *pool) mayExceed(now time.Time, o Order) bool {
	other := p.subject(Subject{Zone: o.Zone, Spot: !o.Spot}).possible
	return other.assumed && now.Before(other.until) && o.Count+other.count > p.cfg.Autoscale.Max
}

func (p *pool) keys() []Subject {
	return slices.SortedFunc(maps.Keys(p.subjects), compareSubjects)
}

func (p *pool) counts() []Count {
	var counts []Count
	for _, key := range p.keys() {
		sub := p.subjects[key]
		counts = append(counts, Count{Subject: key, Ready: sub.ready, Leaving: sub.leaving, Expected: sub.expected()})
	}
	return counts
}

// spotRoles reports whether the spot targets have the roles that are needed to
// replace plain ones: about the same part of them reads prompts as of all
// targets. It also returns the time since the newest was first seen.
func (p *pool) spotRoles(now time.Time) (match bool, age time.Duration) {
	var all, spots, allPrefill, spotPrefill int
	var newest time.Time
	for key, sub := range p.subjects {
		all += sub.ready
		allPrefill += sub.prefill
		if key.Spot {
			spots += sub.ready
			spotPrefill += sub.prefill
			if sub.newest.After(newest) {
				newest = sub.newest
			}
		}
	}
	if spots == 0 {
		return true, 0
	}
	difference := float64(spotPrefill)/float64(spots) - float64(allPrefill)/float64(all)
	return difference <= roleTolerance && difference >= -roleTolerance, now.Sub(newest)
}
