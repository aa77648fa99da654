package tporder

import (
	"errors"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// engine is the order state of one engine.
type engine struct {
	desired        DesiredEngine
	pending        bool   // one of its actions is in progress
	actionSerial   uint64 // serial number of the latest action
	recordingDrain bool   // the action in progress records a new drain
	actionOutdated bool   // the action in progress began under an earlier grant of the lease
	recordKnown    bool   // record and version match the platform's latest answer
	record         Record
	version        uint64
	status         Status
	statusCurrent  bool // status was read after the last decision
	nextActionAt   time.Time
	drainStartedAt time.Time
	nextOrderAt    time.Time // earliest time of the next order
	raiseAbove     uint64    // orders are sent only with a fencing number above this one
	failures       int       // consecutive settled orders that did not reach the desired state
}

// invalidate marks the record and status read under an earlier grant as
// outdated.
func (e *engine) invalidate() {
	e.recordKnown, e.statusCurrent, e.nextActionAt = false, false, time.Time{}
	e.actionOutdated = e.pending
}

// advance starts the engine's next action if one is due.
func (l *Log) advance(now time.Time, p *pool, e *engine) {
	if e.pending || now.Before(e.nextActionAt) || l.inFlight >= l.cfg.MaxActions || !p.mayAct(now) {
		return
	}
	switch {
	case !e.recordKnown:
		l.emitAction(p, e, Action{Kind: ActionReadRecord})
	case !e.statusCurrent:
		l.emitAction(p, e, Action{Kind: ActionReadStatus, Load: e.record.Phase == PhaseDraining})
	default:
		e.statusCurrent = false
		l.decide(now, p, e)
	}
}

// decide chooses the next step of an engine whose status was just read.
func (l *Log) decide(now time.Time, p *pool, e *engine) {
	switch e.record.Phase {
	case PhaseDraining:
		l.advanceDrain(now, p, e)
	case PhaseSending:
		l.settle(now, p, e)
	default:
		l.beginOrder(now, p, e)
	}
}

// beginOrder records a new order if the engine is not in the desired state.
func (l *Log) beginOrder(now time.Time, p *pool, e *engine) {
	want := e.desiredState()
	if e.status.Busy {
		e.nextActionAt = now.Add(l.cfg.PollInterval)
		return
	}
	if want == e.status.State {
		e.failures = 0
		e.nextActionAt = now.Add(l.cfg.ProbeInterval)
		return
	}
	if now.Before(e.nextOrderAt) {
		e.nextActionAt = e.nextOrderAt
		return
	}
	if !l.mayDrainAnother(p) || e.loads(want) && !l.loads.AllowN(now, 1) {
		e.nextActionAt = now.Add(l.cfg.RetryDelay)
		return
	}
	e.recordingDrain = true
	l.writeRecord(p, e, Record{Phase: PhaseDraining, Order: tpmessage.Order{
		Engine: e.desired.Target.Name,
		Number: max(e.record.Order.Number, e.status.Number) + 1,
		Want:   want,
	}})
}

// desiredState returns the desired state. If the plan has no model, the engine
// keeps its model, version and adapter. If the plan has no role, it keeps its
// role.
func (e *engine) desiredState() tpmessage.EngineState {
	want := e.desired.State
	if want.Model == "" {
		want.Model, want.Version, want.Adapter = e.status.State.Model, e.status.State.Version, e.status.State.Adapter
	}
	if want.Role == "" {
		want.Role = e.status.State.Role
	}
	return want
}

// loads reports whether a change to a state loads weights from the weight
// store. A change of the role alone does not.
func (e *engine) loads(want tpmessage.EngineState) bool {
	want.Role = e.status.State.Role
	return want != e.status.State
}

// advanceDrain adopts, changes, sends or postpones an order whose drain is
// recorded, or waits for the end of the drain.
func (l *Log) advanceDrain(now time.Time, p *pool, e *engine) {
	next := e.record
	switch {
	case e.record.Order.Fencing != p.authority.Fencing:
		// A former holder started the drain. The timeout counts anew on
		// this holder's clock.
		e.drainStartedAt = now
	case e.desiredState() == e.status.State:
		next.Phase, next.Reason = PhasePostponed, "the engine is in the wanted state"
	case e.desiredState() != e.record.Order.Want:
		next.Order.Want = e.desiredState()
		next.Order.Number++
	case e.status.Idle && !e.status.Busy && now.Sub(e.drainStartedAt) >= l.cfg.DrainGrace:
		next.Phase = PhaseSending
	case now.Sub(e.drainStartedAt) >= l.drainTimeout:
		next.Phase, next.Reason = PhasePostponed, "streams did not finish within "+l.drainTimeout.String()
	default:
		e.nextActionAt = now.Add(l.cfg.PollInterval)
		return
	}
	l.writeRecord(p, e, next)
}

// settle settles an order that may have reached the engine if the engine's
// status shows its outcome. Otherwise it waits or sends the order again.
func (l *Log) settle(now time.Time, p *pool, e *engine) {
	next := e.record
	switch {
	case e.status.Number >= e.record.Order.Number && e.status.Busy:
		e.nextActionAt = now.Add(l.cfg.PollInterval)
	case e.status.Number >= e.record.Order.Number:
		next.Phase = PhaseSettled
		l.writeRecord(p, e, next)
	case e.record.Order.Fencing != p.authority.Fencing:
		// The order is sent again under this holder's fencing number. The
		// write makes any later conditional update by the former holder fail.
		l.writeRecord(p, e, next)
	case e.raiseAbove >= p.authority.Fencing:
		l.pending = append(l.pending, Output{RaiseRequest: &RaiseRequest{Lease: p.plan.Lease, Above: e.raiseAbove}})
		e.nextActionAt = now.Add(l.cfg.RetryDelay)
	default:
		l.emitAction(p, e, Action{Kind: ActionSend, Record: e.record})
	}
}

func (l *Log) writeRecord(p *pool, e *engine, r Record) {
	r.Order.Fencing = p.authority.Fencing
	r.Order.Lease = p.plan.Lease
	l.emitAction(p, e, Action{Kind: ActionWriteRecord, Record: r, Version: e.version})
}

// handleResult processes the result of an action and starts the engine's next
// action if one is due.
func (l *Log) handleResult(now time.Time, r Result) {
	l.inFlight--
	p, ok := l.pools[r.Action.Lease]
	if !ok {
		return
	}
	e, ok := p.engines[r.Action.Target.Name]
	if !ok || !e.pending || e.actionSerial != r.Action.Serial {
		return
	}
	e.pending, e.recordingDrain = false, false
	if e.actionOutdated {
		// The action began under an earlier grant of this node. The record
		// and the status are read again.
		e.actionOutdated = false
		l.advance(now, p, e)
		return
	}
	switch r.Action.Kind {
	case ActionReadRecord:
		l.onRecordRead(now, e, r)
	case ActionWriteRecord:
		l.onRecordWritten(now, p, e, r)
	case ActionReadStatus:
		e.status, e.statusCurrent = r.Status, r.Err == nil
		if r.Err != nil {
			e.nextActionAt = now.Add(l.cfg.RetryDelay)
		}
	case ActionSend:
		l.onSent(now, p, e, r)
	}
	l.advance(now, p, e)
}

func (l *Log) onRecordRead(now time.Time, e *engine, r Result) {
	if r.Err != nil {
		e.nextActionAt = now.Add(l.cfg.RetryDelay)
		return
	}
	if e.drainStartedAt.IsZero() || r.Record != e.record {
		e.drainStartedAt = now
	}
	e.record, e.version, e.recordKnown = r.Record, r.Version, true
}

func (l *Log) onRecordWritten(now time.Time, p *pool, e *engine, r Result) {
	switch {
	case errors.Is(r.Err, tpobject.ErrConflict), errors.Is(r.Err, tpobject.ErrOutcomeUnknown):
		e.recordKnown = false
		return
	case r.Err != nil:
		e.nextActionAt = now.Add(l.cfg.RetryDelay)
		return
	}
	previous := e.record
	e.record, e.version = r.Action.Record, r.Version
	switch e.record.Phase {
	case PhaseDraining:
		if previous.Phase != PhaseDraining {
			e.drainStartedAt = now
		}
		l.emitOrderEvent(EventDrainBegun, &e.record)
	case PhaseSending:
		if p.mayAct(now) && e.raiseAbove < e.record.Order.Fencing {
			l.emitAction(p, e, Action{Kind: ActionSend, Record: e.record})
		}
	case PhaseSettled:
		l.onSettled(now, e)
	case PhasePostponed:
		e.nextOrderAt = now.Add(l.cfg.PostponedDelay)
		l.emitOrderEvent(EventPostponed, &e.record)
	}
}

// onSettled delays the next order exponentially while settled orders do not
// reach the desired state, so that an order which an engine cannot carry out is
// rarely repeated.
func (l *Log) onSettled(now time.Time, e *engine) {
	l.emitOrderEvent(EventSettled, &e.record)
	if e.status.State == e.record.Order.Want {
		e.failures = 0
		return
	}
	e.failures++
	e.nextOrderAt = now.Add(min(time.Second<<min(e.failures, maxFailureDelayShift), maxFailureDelay))
}

func (l *Log) onSent(now time.Time, p *pool, e *engine, r Result) {
	switch {
	case r.Err == nil:
		l.emitOrderEvent(EventSent, &e.record)
	case errors.Is(r.Err, ErrRefused):
		next := e.record
		next.Phase, next.Reason = PhaseSettled, r.Err.Error()
		if p.mayAct(now) {
			l.writeRecord(p, e, next)
		}
	case errors.Is(r.Err, ErrSendUnknown) && !p.plan.Type.ChecksFencing:
		// After this delay the engine has read or discarded the body.
		e.nextActionAt = now.Add(p.plan.Type.OrderReadTimeout + l.cfg.Margin)
	case errors.Is(r.Err, ErrSendUnknown) && p.authority.Fenced:
		// The body may arrive at any later time. Once the order is sent again
		// under a higher fencing number, the engine rejects the late body.
		e.raiseAbove = r.Action.Record.Order.Fencing
		e.nextActionAt = now.Add(l.cfg.RetryDelay)
	default:
		e.nextActionAt = now.Add(l.cfg.RetryDelay)
	}
}
