package tplease_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	eraTick     = 10 * time.Millisecond
	eraLength   = 2 * time.Minute // of one run, in simulated time
	eraNodes    = 4
	callTimeout = 1500 * time.Millisecond // of a call to the store
	leaseTerm   = 3 * time.Second
	thawTime    = 300 * time.Millisecond // after a freeze or a cut, in which calls do not count
)

// act is a grant or a call to the duty API, as a history holds it.
type act struct {
	at     time.Time
	holder string
	number uint64
}

// history is what holders did in one run.
type history struct {
	grants, calls []act
	restorations  int
	handovers     int   // calls whose holder differs from that of the call before
	twoAct        error // two holders at the same time, or nil
}

// check returns the first violation of the rules on holders.
func (h *history) check() error {
	slices.SortStableFunc(h.calls, func(a, b act) int { return a.at.Compare(b.at) })
	holders := make(map[uint64]string)
	for _, list := range [][]act{h.grants, h.calls} {
		last := act{}
		lastOf := make(map[string]time.Time)
		for _, a := range list {
			if first, used := holders[a.number]; used && first != a.holder {
				return fmt.Errorf("number %d of %s is used by %s", a.number, first, a.holder)
			}
			holders[a.number] = a.holder
			if a.number < last.number {
				return fmt.Errorf("number %d of %s after %d of %s", a.number, a.holder, last.number, last.holder)
			}
			before, acted := lastOf[a.holder]
			if acted && last.holder != a.holder && a.at.Sub(before) < leaseTerm {
				return fmt.Errorf("%s, %s and %s again act within %v", a.holder, last.holder, a.holder, a.at.Sub(before))
			}
			last = a
			lastOf[a.holder] = a.at
		}
	}
	return h.twoAct
}

// storeState is the content of the simulated store: the version of its last
// write and the lease object.
type storeState struct {
	at      time.Time
	version uint64
	lease   tplease.Snapshot
}

// storeCall is a call to the store on its way. A call that the store has not
// executed stays on its way after the node has given it up.
type storeCall struct {
	action   tplease.Action
	sentAt   time.Time
	arrives  time.Time
	answers  time.Time // zero until it is executed, and if the answer is lost
	snapshot tplease.Snapshot
	era      uint64
	err      error
}

// eraNode is one machine with the lease of its present process.
type eraNode[T tplease.AuthorityPolicy] struct {
	name        string
	incarnation int
	lease       *tplease.Lease[T]
	authority   tpmessage.Authority
	term        tpholder.Term
	era         uint64 // highest era of an answer
	call        *storeCall
	stopping    bool
	downUntil   time.Time // a killed process starts again
	frozenUntil time.Time
	cutUntil    time.Time
}

func (n *eraNode[T]) start(policy T) {
	n.incarnation++
	n.lease = tplease.New(tplease.Settings{
		Name: leaseName, Holder: n.name, Incarnation: fmt.Sprintf("%s.%d", n.name, n.incarnation),
		Term: leaseTerm, RenewInterval: time.Second, Margin: time.Second,
	}, policy)
	n.authority, n.term, n.era, n.call, n.stopping = tpmessage.Authority{}, tpholder.Term{}, 0, nil, false
}

// eraSim runs the leases of several machines with a store that goes back, in
// simulated time.
type eraSim[T tplease.AuthorityPolicy] struct {
	policy    T
	rng       *rand.Rand
	now       time.Time
	nodes     []*eraNode[T]
	onTheWay  []*storeCall
	states    []storeState // oldest first
	era       uint64
	downUntil time.Time // of the store
	restoreAt time.Time // zero if no restoration is due
	history   history
}

// runEras returns the history of one run.
func runEras[T tplease.AuthorityPolicy](seed uint64, policy T) *history {
	s := &eraSim[T]{policy: policy, rng: rand.New(rand.NewPCG(seed, 20261206)), now: time.Unix(1000, 0)}
	s.states = []storeState{{at: s.now, version: 1}}
	for i := range eraNodes {
		n := &eraNode[T]{name: fmt.Sprintf("node-%d", i)}
		n.start(policy)
		s.nodes = append(s.nodes, n)
	}
	for end := s.now.Add(eraLength); s.now.Before(end); s.now = s.now.Add(eraTick) {
		s.disturb()
		s.serve()
		acting := 0
		for _, i := range s.rng.Perm(eraNodes) {
			n := s.nodes[i]
			if s.now.Before(n.frozenUntil) || s.now.Before(n.downUntil) {
				continue
			}
			s.step(n)
			s.callDuty(n)
			if n.lease.MayAct(s.now) && !n.stopping {
				acting++
			}
		}
		if acting > 1 && s.history.twoAct == nil {
			s.history.twoAct = fmt.Errorf("%d holders act at once", acting)
		}
	}
	for i := 1; i < len(s.history.calls); i++ {
		if s.history.calls[i].holder != s.history.calls[i-1].holder {
			s.history.handovers++
		}
	}
	return &s.history
}

// chance returns true once in the given time on average.
func (s *eraSim[T]) chance(every time.Duration) bool {
	return s.rng.Int64N(int64(every/eraTick)) == 0
}

// between draws a duration.
func (s *eraSim[T]) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

// disturb draws the faults of one tick. Half of those of nodes hit the holder.
func (s *eraSim[T]) disturb() {
	last := s.states[len(s.states)-1]
	if s.chance(700 * time.Millisecond) { // a write of others
		s.states = append(s.states, storeState{at: s.now, version: last.version + 1, lease: last.lease})
	}
	victim := s.nodes[s.rng.IntN(eraNodes)]
	if s.rng.IntN(2) == 0 {
		for _, n := range s.nodes {
			if n.lease.MayAct(s.now) {
				victim = n
			}
		}
	}
	switch {
	case s.chance(25 * time.Second):
		victim.start(s.policy)
		victim.downUntil = s.now.Add(s.between(100*time.Millisecond, 6*time.Second))
	case s.chance(25 * time.Second):
		victim.stopping = true
		victim.lease.Release()
	case s.chance(12 * time.Second):
		victim.frozenUntil = s.now.Add(s.between(100*time.Millisecond, 8*time.Second))
	case s.chance(12 * time.Second):
		victim.cutUntil = s.now.Add(s.between(100*time.Millisecond, 8*time.Second))
	case s.restoreAt.IsZero() && s.chance(12*time.Second):
		s.restoreAt = s.now
		if s.rng.IntN(2) == 0 { // an outage before
			s.restoreAt = s.now.Add(s.between(100*time.Millisecond, 4*time.Second))
			s.downUntil = s.restoreAt
		}
	}
	if s.restoreAt.IsZero() || s.now.Before(s.restoreAt) {
		return
	}
	copied := s.now.Add(-s.between(100*time.Millisecond, 8*time.Second))
	s.states = slices.DeleteFunc(s.states, func(st storeState) bool { return st.at.After(copied) && st.version > 1 })
	s.restoreAt = time.Time{}
	s.era++
	s.history.restorations++
}

// serve executes the calls that reach the store.
func (s *eraSim[T]) serve() {
	s.onTheWay = slices.DeleteFunc(s.onTheWay, func(c *storeCall) bool {
		if c.arrives.After(s.now) {
			return false
		}
		s.execute(c)
		if s.rng.IntN(20) > 0 { // otherwise the answer is lost
			c.answers = s.now.Add(s.latency())
		}
		return true
	})
}

func (s *eraSim[T]) execute(c *storeCall) {
	c.era = s.era
	last := s.states[len(s.states)-1]
	switch {
	case s.now.Before(s.downUntil):
		c.err = tpobject.ErrUnavailable
	case c.action.Kind == tplease.ActionRead:
		c.snapshot = last.lease
	case c.action.Version != last.lease.Version:
		c.err = tpobject.ErrConflict
	default:
		c.snapshot = tplease.Snapshot{Lease: c.action.Lease, Version: last.version + 1}
		s.states = append(s.states, storeState{at: s.now, version: last.version + 1, lease: c.snapshot})
	}
}

// latency draws the time for which a message is on its way.
func (s *eraSim[T]) latency() time.Duration {
	switch s.rng.IntN(40) {
	case 0:
		return s.between(400*time.Millisecond, 6*time.Second)
	case 1, 2, 3:
		return s.between(20*time.Millisecond, 400*time.Millisecond)
	}
	return s.between(time.Millisecond, 20*time.Millisecond)
}

// step performs the next step of a node that runs.
func (s *eraSim[T]) step(n *eraNode[T]) {
	cut := s.now.Before(n.cutUntil)
	if !cut && !s.now.Before(s.downUntil) && s.chance(700*time.Millisecond) {
		n.era = max(n.era, s.era) // an answer to a read of other objects
	}
	if c := n.call; c != nil {
		err := tpobject.ErrOutcomeUnknown
		answered := !cut && !c.answers.IsZero() && !s.now.Before(c.answers)
		switch {
		case answered && c.era >= n.era:
			n.era, err = c.era, c.err
		case answered: // counts as not received
		case s.now.Sub(c.sentAt) < callTimeout:
			return
		}
		if c.action.Kind == tplease.ActionRead && errors.Is(err, tpobject.ErrOutcomeUnknown) {
			err = tpobject.ErrUnavailable
		}
		n.call = nil
		n.lease.SetEra(s.now, n.era)
		if c.action.Kind == tplease.ActionRead {
			n.lease.Read(s.now, c.snapshot, err)
		} else {
			n.lease.Wrote(s.now, c.snapshot.Version, err)
		}
		s.report(n)
		return
	}
	n.lease.SetRank(s.rank(n))
	n.lease.SetEra(s.now, n.era)
	a := n.lease.Next(s.now)
	s.report(n)
	switch a.Kind {
	case tplease.ActionEnd:
		n.start(s.policy)
		n.downUntil = s.now.Add(s.between(500*time.Millisecond, 3*time.Second))
	case tplease.ActionRead, tplease.ActionWrite:
		n.call = &storeCall{action: a, sentAt: s.now}
		left := s.leave(n, cut)
		n.call.arrives = left.Add(s.latency())
		if !cut || s.rng.IntN(2) == 0 { // otherwise it is lost
			s.onTheWay = append(s.onTheWay, n.call)
		}
	case tplease.ActionWait:
	}
}

// leave returns when a message leaves a machine that decides now to send it. It
// may freeze between both.
func (s *eraSim[T]) leave(n *eraNode[T], cut bool) time.Time {
	left := s.now
	if s.rng.IntN(100) == 0 {
		n.frozenUntil = s.now.Add(s.between(100*time.Millisecond, 8*time.Second))
		left = n.frozenUntil
	}
	if cut && n.cutUntil.After(left) {
		left = n.cutUntil
	}
	return left
}

// rank returns the number of live nodes before this one, without the holder that
// it knows.
func (s *eraSim[T]) rank(n *eraNode[T]) int {
	rank := 0
	for _, other := range s.nodes {
		if other == n {
			break
		}
		if other.name != n.lease.Holder() && !s.now.Before(other.downUntil) && !other.stopping {
			rank++
		}
	}
	return rank
}

// report applies a change of the authority, as the node does.
func (s *eraSim[T]) report(n *eraNode[T]) {
	a := n.lease.Authority()
	if a == n.authority {
		return
	}
	before := n.authority
	n.authority = a
	n.term = n.term.Next(s.now, a, leaseTerm)
	if a.Held && (!before.Held || before.Fencing != a.Fencing) && n.lease.MayAct(s.now) {
		s.history.grants = append(s.history.grants, act{at: s.now, holder: n.name, number: a.Fencing})
	}
}

// callDuty lets the node call the duty API if it may. A call that leaves when a
// freeze or a cut ends does not count.
func (s *eraSim[T]) callDuty(n *eraNode[T]) {
	if s.rng.IntN(10) > 0 || n.stopping || !n.term.MayCall(s.now) {
		return
	}
	cut := s.now.Before(n.cutUntil)
	left := s.leave(n, cut)
	if left.After(s.now) || s.now.Sub(n.frozenUntil) < thawTime || s.now.Sub(n.cutUntil) < thawTime {
		return
	}
	s.history.calls = append(s.history.calls, act{
		at: s.now.Add(s.between(0, tpholder.CallTimeout)), holder: n.name, number: n.term.Authority.Fencing,
	})
}
