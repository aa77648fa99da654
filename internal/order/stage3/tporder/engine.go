package tporder

import (
	"errors"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// engine is what the log knows of one engine.
type engine struct {
	wanted     Wanted
	out        bool   // an action is in progress
	serial     uint64 // of that action
	taking     bool   // that action records a new drain
	stale      bool   // the action in progress began under an earlier grant
	known      bool   // record and version are what the platform showed last
	record     Record
	version    uint64
	status     Status
	fresh      bool // status was read after the last change
	nextAt     time.Time
	drainSince time.Time
	retryAt    time.Time // no new order before
	raise      uint64    // nothing is sent before the fencing number is above it
	failures   int       // orders in a row that did not bring the wanted state
}

// forget drops what was learned under an earlier grant.
func (e *engine) forget() {
	e.known, e.fresh, e.nextAt = false, false, time.Time{}
	e.stale = e.out
}

// advance begins the engine's next action if one is due.
func (l *Log) advance(now time.Time, p *pool, e *engine) {
	if e.out || now.Before(e.nextAt) || l.inFlight >= l.cfg.MaxActions || !p.acts(now) {
		return
	}
	switch {
	case !e.known:
		l.emit(p, e, Action{Kind: ActionReadRecord})
	case !e.fresh:
		l.emit(p, e, Action{Kind: ActionReadStatus, Load: e.record.Phase == PhaseDraining})
	default:
		e.fresh = false
		l.decide(now, p, e)
	}
}

// decide chooses the next step of an engine whose status was just read.
func (l *Log) decide(now time.Time, p *pool, e *engine) {
	switch e.record.Phase {
	case PhaseDraining:
		l.drained(now, p, e)
	case PhaseSending:
		l.settle(now, p, e)
	default:
		l.begin(now, p, e)
	}
}

// begin records a new order if the engine is not in the wanted state.
func (l *Log) begin(now time.Time, p *pool, e *engine) {
	want := e.wants()
	if e.status.Busy {
		e.nextAt = now.Add(l.cfg.Poll)
		return
	}
	if want == e.status.State {
		e.failures = 0
		e.nextAt = now.Add(l.cfg.Probe)
		return
	}
	if now.Before(e.retryAt) {
		e.nextAt = e.retryAt
		return
	}
	if !l.mayTakeOut(p) || e.loads(want) && !l.loads.AllowN(now, 1) {
		e.nextAt = now.Add(l.cfg.Retry)
		return
	}
	e.taking = true
	l.write(p, e, Record{Phase: PhaseDraining, Order: tpmessage.Order{
		Engine: e.wanted.Target.Name,
		Number: max(e.record.Order.Number, e.status.Number) + 1,
		Want:   want,
	}})
}

// wants returns the wanted state, with the engine's own model where none is
// wanted.
func (e *engine) wants() tpmessage.EngineState {
	want := e.wanted.State
	if want.Model == "" {
		want.Model, want.Version, want.Adapter = e.status.State.Model, e.status.State.Version, e.status.State.Adapter
	}
	if want.Role == "" {
		want.Role = e.status.State.Role
	}
	return want
}

// loads reports whether a state needs a load from the weight store.
func (e *engine) loads(want tpmessage.EngineState) bool {
	want.Role = e.status.State.Role
	return want != e.status.State
}

// drained moves an order on from its drain.
func (l *Log) drained(now time.Time, p *pool, e *engine) {
	next := e.record
	switch {
	case e.record.Order.Fencing != p.authority.Fencing:
		// A former holder began the drain; this one bounds it by its own clock.
		e.drainSince = now
	case e.wants() == e.status.State:
		next.Phase, next.Reason = PhasePostponed, "the engine is in the wanted state"
	case e.wants() != e.record.Order.Want:
		next.Order.Want = e.wants()
		next.Order.Number++
	case e.status.Idle && !e.status.Busy && now.Sub(e.drainSince) >= l.cfg.DrainGrace:
		next.Phase = PhaseSending
	case now.Sub(e.drainSince) >= l.drain:
		next.Phase, next.Reason = PhasePostponed, "streams did not finish within "+l.drain.String()
	default:
		e.nextAt = now.Add(l.cfg.Poll)
		return
	}
	l.write(p, e, next)
}

// settle finishes an order that may have reached the engine.
func (l *Log) settle(now time.Time, p *pool, e *engine) {
	next := e.record
	switch {
	case e.status.Number >= e.record.Order.Number && e.status.Busy:
		e.nextAt = now.Add(l.cfg.Poll)
	case e.status.Number >= e.record.Order.Number:
		next.Phase = PhaseSettled
		l.write(p, e, next)
	case e.record.Order.Fencing != p.authority.Fencing:
		// The repeat carries this holder's fencing number, and the write
		// keeps the former holder from recording anything more.
		l.write(p, e, next)
	case e.raise >= p.authority.Fencing:
		l.out = append(l.out, Output{Raise: &Raise{Lease: p.plan.Lease, Above: e.raise}})
		e.nextAt = now.Add(l.cfg.Retry)
	default:
		l.emit(p, e, Action{Kind: ActionSend, Record: e.record})
	}
}

func (l *Log) write(p *pool, e *engine, r Record) {
	r.Order.Fencing = p.authority.Fencing
	r.Order.Lease = p.plan.Lease
	l.emit(p, e, Action{Kind: ActionWriteRecord, Record: r, Version: e.version})
}

// result takes the end of an action and begins the next one.
func (l *Log) result(now time.Time, r Result) {
	l.inFlight--
	p, ok := l.pools[r.Action.Lease]
	if !ok {
		return
	}
	e, ok := p.engines[r.Action.Target.Name]
	if !ok || !e.out || e.serial != r.Action.Serial {
		return
	}
	e.out, e.taking = false, false
	if e.stale {
		// What an earlier grant of this node learned or wrote is read anew.
		e.stale = false
		l.advance(now, p, e)
		return
	}
	switch r.Action.Kind {
	case ActionReadRecord:
		l.recordRead(now, e, r)
	case ActionWriteRecord:
		l.recordWritten(now, p, e, r)
	case ActionReadStatus:
		e.status, e.fresh = r.Status, r.Err == nil
		if r.Err != nil {
			e.nextAt = now.Add(l.cfg.Retry)
		}
	case ActionSend:
		l.sent(now, p, e, r)
	}
	l.advance(now, p, e)
}

func (l *Log) recordRead(now time.Time, e *engine, r Result) {
	if r.Err != nil {
		e.nextAt = now.Add(l.cfg.Retry)
		return
	}
	if e.drainSince.IsZero() || r.Record != e.record {
		e.drainSince = now
	}
	e.record, e.version, e.known = r.Record, r.Version, true
}

func (l *Log) recordWritten(now time.Time, p *pool, e *engine, r Result) {
	switch {
	case errors.Is(r.Err, tpobject.ErrConflict), errors.Is(r.Err, tpobject.ErrOutcomeUnknown):
		e.known = false
		return
	case r.Err != nil:
		e.nextAt = now.Add(l.cfg.Retry)
		return
	}
	was := e.record
	e.record, e.version = r.Action.Record, r.Version
	switch e.record.Phase {
	case PhaseDraining:
		if was.Phase != PhaseDraining {
			e.drainSince = now
		}
		l.report(EventDrainBegun, &e.record)
	case PhaseSending:
		if p.acts(now) && e.raise < e.record.Order.Fencing {
			l.emit(p, e, Action{Kind: ActionSend, Record: e.record})
		}
	case PhaseSettled:
		l.settled(now, e)
	case PhasePostponed:
		e.retryAt = now.Add(l.cfg.Postponed)
		l.report(EventPostponed, &e.record)
	}
}

// settled counts an order that did not bring the state it asked for, so that
// an order which an engine cannot carry out is repeated ever more rarely.
func (l *Log) settled(now time.Time, e *engine) {
	l.report(EventSettled, &e.record)
	if e.status.State == e.record.Order.Want {
		e.failures = 0
		return
	}
	e.failures++
	e.retryAt = now.Add(min(time.Second<<min(e.failures, maxFailureDelayShift), maxFailureDelay))
}

func (l *Log) sent(now time.Time, p *pool, e *engine, r Result) {
	switch {
	case r.Err == nil:
		l.report(EventSent, &e.record)
	case errors.Is(r.Err, ErrRefused):
		next := e.record
		next.Phase, next.Reason = PhaseSettled, r.Err.Error()
		if p.acts(now) {
			l.write(p, e, next)
		}
	case errors.Is(r.Err, ErrSendUnknown) && !p.plan.Type.ChecksFencing:
		// The engine has read or discarded the body by then.
		e.nextAt = now.Add(p.plan.Type.OrderReadTimeout + l.cfg.Margin)
	case errors.Is(r.Err, ErrSendUnknown) && p.authority.Fenced:
		// The body may arrive at any later time. A repeat under a higher
		// fencing number leaves it without effect.
		e.raise = r.Action.Record.Order.Fencing
		e.nextAt = now.Add(l.cfg.Retry)
	default:
		e.nextAt = now.Add(l.cfg.Retry)
	}
}
