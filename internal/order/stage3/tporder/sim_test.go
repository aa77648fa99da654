package tporder_test

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	simLease      = "lease/nord-ovest/language"
	simEngine     = "engine-0"
	simChangeTime = 700 * time.Millisecond
)

// simStep is a pending step of a node. If nodePaused is nil, it is a step of
// the platform, of the engine or of the network.
type simStep struct {
	nodePaused *bool     // whether the node is paused; the step waits until it is not
	at         time.Time // earliest time
	run        func()
}

// simNode is one node with its lease and its order log.
type simNode[T tplease.AuthorityPolicy] struct {
	paused       bool
	cfg          tplease.Settings
	lease        *tplease.Lease[T]
	log          *tporder.Log
	callInFlight bool // a call for the lease is in progress
}

// sim is a simulation of nodes, one engine and the platform. Messages may be
// reordered, and delayed by several seconds.
type sim[T tplease.AuthorityPolicy] struct {
	rng        *rand.Rand
	policy     T
	engineType tpmessage.EngineType
	now        time.Time
	store      tpobject.Memory
	nodes      []*simNode[T]
	steps      []simStep

	// State of the engine.
	last    tpmessage.Order
	fencing uint64
	busy    int // number of the change in progress; 0 if there is none
	changes int
	state   tpmessage.EngineState
	history []tpenginefake.OrderEvent
}

// simulate runs the interleaving of one seed. It returns the number of orders
// that took effect and the first violation that the checker finds.
func simulate[T tplease.AuthorityPolicy](seed uint64, policy T, engineType tpmessage.EngineType) (int, error) {
	s := &sim[T]{rng: rand.New(rand.NewPCG(seed, 0)), policy: policy, engineType: engineType, now: time.Unix(1000, 0)}
	s.state.Role = tpmessage.RoleMixed
	for i := range 2 {
		cfg := tplease.Settings{
			Name: simLease, Holder: string(rune('a' + i)), Incarnation: string(rune('A' + i)),
			Term: time.Second, RenewInterval: 300 * time.Millisecond, Margin: 300 * time.Millisecond,
		}
		n := &simNode[T]{cfg: cfg, lease: tplease.New(cfg, policy)}
		n.lease.SetRank(i)
		n.log = tporder.New(tporder.Settings{
			Margin: 300 * time.Millisecond, DrainGrace: time.Millisecond, RetryDelay: 100 * time.Millisecond,
			ProbeInterval: 300 * time.Millisecond, LoadInterval: time.Millisecond,
		})
		s.nodes = append(s.nodes, n)
		s.setDesiredRole(n, tpmessage.RoleDecode)
	}
	for range 6000 {
		s.next()
	}
	applied := 0
	for _, e := range s.history {
		if e.Kind == tpenginefake.OrderApplied {
			applied++
		}
	}
	return applied, tphistory.CheckOrders(s.history)
}

// next draws and performs the next step.
func (s *sim[T]) next() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(16) {
	case 0, 1:
		s.now = s.now.Add(time.Duration(s.rng.IntN(80)+1) * time.Millisecond)
	case 2:
		if n.paused && s.oneIn(10) || !n.paused && s.oneIn(40) {
			n.paused = !n.paused
		}
	case 3:
		if s.oneIn(4) {
			roles := []tpmessage.Role{tpmessage.RoleMixed, tpmessage.RolePrefill, tpmessage.RoleDecode}
			s.setDesiredRole(n, roles[s.rng.IntN(len(roles))])
		}
	case 4, 5:
		if !n.paused && !n.callInFlight {
			s.leaseStep(n)
		}
	case 6:
		if !n.paused {
			s.feed(n, tporder.Input{Kind: tporder.InputTick})
		}
	default:
		s.runDueStep()
	}
}

// runDueStep runs one of the pending steps that are due, at random.
func (s *sim[T]) runDueStep() {
	var due []int
	for i, st := range s.steps {
		if (st.nodePaused == nil || !*st.nodePaused) && !s.now.Before(st.at) {
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		return
	}
	i := due[s.rng.IntN(len(due))]
	st := s.steps[i]
	s.steps = append(s.steps[:i:i], s.steps[i+1:]...)
	st.run()
}

// later adds a pending step. One in 40 steps is delayed by up to 6 s.
func (s *sim[T]) later(nodePaused *bool, run func()) {
	st := simStep{nodePaused: nodePaused, at: s.now, run: run}
	if s.oneIn(40) {
		st.at = s.now.Add(time.Duration(s.rng.IntN(6000)+1) * time.Millisecond)
	}
	s.steps = append(s.steps, st)
}

func (s *sim[T]) oneIn(n int) bool { return s.rng.IntN(n) == 0 }

func (s *sim[T]) setDesiredRole(n *simNode[T], role tpmessage.Role) {
	plan := tporder.Plan{Pool: "language", Lease: simLease, Type: s.engineType, Engines: []tporder.DesiredEngine{{
		Target: tpmessage.Target{Name: simEngine}, State: tpmessage.EngineState{Role: role},
	}}}
	s.feed(n, tporder.Input{Kind: tporder.InputPlans, Plans: []tporder.Plan{plan}})
}

// leaseStep starts the lease's next action.
func (s *sim[T]) leaseStep(n *simNode[T]) {
	a := n.lease.Next(s.now)
	switch a.Kind {
	case tplease.ActionRead:
		n.callInFlight = true
		s.later(nil, func() {
			snapshot, err := tplease.Read(context.Background(), &s.store, simLease)
			s.later(&n.paused, func() { n.lease.Read(s.now, snapshot, err); s.updateAuthority(n) })
		})
	case tplease.ActionWrite:
		n.callInFlight = true
		s.write(&n.paused, a.Lease.Name, a.Lease, a.Version, func(version uint64, err error) {
			n.lease.Wrote(s.now, version, err)
			s.updateAuthority(n)
		})
	}
}

func (s *sim[T]) updateAuthority(n *simNode[T]) {
	n.callInFlight = false
	s.feed(n, tporder.Input{Kind: tporder.InputAuthority, Authority: n.lease.Authority()})
}

// write performs a conditional update. Its answer may be lost, and the unknown
// outcome may be reported before or after the update takes effect.
func (s *sim[T]) write(nodePaused *bool, name string, value any, version uint64, done func(uint64, error)) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	lost := s.oneIn(12)
	s.later(nil, func() {
		newVersion, err := s.store.Put(context.Background(), name, data, version)
		if !lost {
			s.later(nodePaused, func() { done(newVersion, err) })
		}
	})
	if lost {
		s.later(nodePaused, func() { done(0, tpobject.ErrOutcomeUnknown) })
	}
}

// feed passes an input to a node's log and performs the outputs.
func (s *sim[T]) feed(n *simNode[T], in tporder.Input) {
	for _, out := range n.log.Step(s.now, in, nil) {
		if out.Action != nil {
			s.perform(n, *out.Action)
		}
		if out.RaiseRequest != nil {
			n.lease.RaiseAbove(out.RaiseRequest.Above)
		}
	}
}

func (s *sim[T]) perform(n *simNode[T], a tporder.Action) {
	r := tporder.Result{Action: a}
	done := func() { s.feed(n, tporder.Input{Kind: tporder.InputResult, Result: r}) }
	switch a.Kind {
	case tporder.ActionReadRecord:
		s.later(nil, func() {
			o, err := s.store.Get(context.Background(), tporder.ObjectName(simEngine))
			if err == nil {
				r.Version = o.Version
				r.Err = json.Unmarshal(o.Value, &r.Record)
			} else if !errors.Is(err, tpobject.ErrNotFound) {
				r.Err = err
			}
			s.later(&n.paused, done)
		})
	case tporder.ActionWriteRecord:
		s.write(&n.paused, tporder.ObjectName(simEngine), a.Record, a.Version, func(v uint64, err error) {
			r.Version, r.Err = v, err
			done()
		})
	case tporder.ActionReadStatus:
		s.later(nil, func() {
			r.Status = tporder.Status{State: s.state, Number: s.last.Number, Fencing: s.last.Fencing, Busy: s.busy != 0, Idle: true}
			s.later(&n.paused, done)
		})
	case tporder.ActionSend:
		s.send(n, a.Record.Order, func(err error) { r.Err = err; done() })
	}
}

// send sends an order to the engine by the protocol of tpdispatch.
func (s *sim[T]) send(n *simNode[T], order tpmessage.Order, done func(error)) {
	if s.engineType.ChecksFencing {
		s.later(&n.paused, func() { s.sendBody(n, order, func() bool { return true }, done) })
		return
	}
	s.later(nil, func() { // the engine receives the head and sends 100 Continue
		began := s.now
		s.later(&n.paused, func() { // the node receives 100 Continue and reads the lease again
			s.later(nil, func() {
				snapshot, err := tplease.Read(context.Background(), &s.store, simLease)
				held := err == nil && n.cfg.Owns(snapshot.Lease) && snapshot.Lease.Fencing == order.Fencing
				s.later(&n.paused, func() {
					if s.policy.Fenced() && !held {
						done(tporder.ErrNotSent)
						return
					}
					s.sendBody(n, order, func() bool { return s.now.Sub(began) <= s.engineType.OrderReadTimeout }, done)
				})
			})
		})
	})
}

// sendBody sends an order's body to the engine, which discards it if inTime is
// false. The answer may be lost.
func (s *sim[T]) sendBody(n *simNode[T], order tpmessage.Order, inTime func() bool, done func(error)) {
	lost := s.oneIn(8)
	s.later(nil, func() {
		err := tporder.ErrSendUnknown
		if inTime() {
			err = s.apply(order)
		}
		if !lost {
			s.later(&n.paused, func() { done(err) })
		}
	})
	if lost {
		s.later(&n.paused, func() { done(tporder.ErrSendUnknown) })
	}
}

// apply applies an order by the same rules as the stand-in engine.
func (s *sim[T]) apply(order tpmessage.Order) error {
	if s.engineType.ChecksFencing && order.Fencing < s.fencing {
		return tporder.ErrFenced
	}
	s.fencing = max(s.fencing, order.Fencing)
	e := tpenginefake.OrderEvent{Kind: tpenginefake.OrderRepeat, Order: order, ChangeInProgress: s.busy != 0}
	if order.Number == s.last.Number && order.Want == s.last.Want {
		s.history = append(s.history, e)
		return nil
	}
	e.Kind = tpenginefake.OrderApplied
	s.history = append(s.history, e)
	s.last = order
	s.changes++
	change, crash := s.changes, s.oneIn(10)
	s.busy = change
	s.steps = append(s.steps, simStep{at: s.now.Add(simChangeTime), run: func() {
		if s.busy == change {
			s.busy = 0
		}
		if crash {
			s.last, s.state = tpmessage.Order{}, tpmessage.EngineState{Role: tpmessage.RoleMixed}
			return
		}
		s.state = order.Want
	}})
	return nil
}
