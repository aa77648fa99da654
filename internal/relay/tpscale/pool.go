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

// subject is the state of the targets and of the orders about a Subject.
type subject struct {
	ready, leaving int
	prefill        int       // ready ones with the prefill role
	newest         time.Time // when the newest ready one was first seen
	reclaimed      int       // leaving ones that no order has removed
	removing       int       // leaving ones, at most, that an order has removed
	// ordered is the number of the last order, and orderedFrom that of the ready
	// targets when it was given. The order counts as being carried out until
	// expectedUntil, unless the targets show before that it was.
	ordered, orderedFrom int
	expectedUntil        time.Time
	sending              bool
	repeat               *Order // the last order, if its outcome is unknown
	failures             int
	retryAt              time.Time // no order is sent before
	blockedUntil         time.Time // no order for more targets is sent before
}

func (s *subject) inProgress() bool {
	return s.sending || s.repeat != nil || !s.expectedUntil.IsZero()
}

func (s *subject) expected() int {
	if s.expectedUntil.IsZero() {
		return s.ready
	}
	return s.ordered
}

// settle ends the order in progress if the targets show that it was carried out,
// or if it is overdue. Targets that did not come in time are not to be had.
func (s *subject) settle(now time.Time) {
	if s.expectedUntil.IsZero() && s.leaving == 0 {
		s.removing = 0
	}
	if s.expectedUntil.IsZero() || s.sending {
		return
	}
	raised := s.ordered > s.orderedFrom
	done := raised && s.ready >= s.ordered || !raised && s.ready <= s.ordered
	overdue := !now.Before(s.expectedUntil)
	if overdue && raised && !done {
		s.blockedUntil = now.Add(noCapacityDelay)
	}
	if overdue || done {
		s.expectedUntil = time.Time{}
	}
}

// begin records an order that is about to be sent.
func (s *subject) begin(count int, until time.Time) {
	s.ordered, s.orderedFrom, s.expectedUntil = count, s.ready, until
	s.removing += max(0, s.ready-count)
}

// cancel records that the last order had no effect.
func (s *subject) cancel() {
	s.expectedUntil = time.Time{}
	s.removing = max(0, s.removing-max(0, s.orderedFrom-s.ordered))
}

// noteLeaving finds out whether the platform reclaims targets: spot targets
// leave that no order has removed. More are not to be had there for a while.
func (s *subject) noteLeaving(now time.Time, withTime int) {
	reclaimed := max(0, withTime-s.removing)
	if reclaimed > s.reclaimed {
		s.blockedUntil = now.Add(noCapacityDelay)
		if !s.sending {
			s.expectedUntil, s.repeat = time.Time{}, nil
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
	loweredAt  time.Time // time of the last removal
	needed     int       // as last computed
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

// spotsServe reports whether the spot targets have the roles that are needed to
// replace plain ones: about the same part of them reads prompts as of all
// targets. Targets whose roles stay different replace them all the same after
// roleTimeout.
func (p *pool) spotsServe(now time.Time) bool {
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
	if spots == 0 || now.Sub(newest) >= roleTimeout {
		return true
	}
	difference := float64(spotPrefill)/float64(spots) - float64(allPrefill)/float64(all)
	return difference <= roleTolerance && difference >= -roleTolerance
}
