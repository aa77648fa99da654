package tpjournal

import (
	"errors"
	"time"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

// MaxPerCallRetries bounds the retries of PerCall for one operation.
const MaxPerCallRetries = 20

// PerCall is the baseline scheme. It stores one object for each call and writes
// it twice, for the claim and for the result. It never deletes the objects.
type PerCall struct {
	cfg    Settings
	queues map[string]*callQueue
}

// callQueue is the queue of operations on one key. The first operation is in
// progress.
type callQueue struct {
	ops            []Op
	newEntry       Entry  // entry that the outstanding command writes
	outcomeUnknown bool   // an answer to an update of the first operation was lost
	retries        int    // retries of the first operation
	name           string // name of the object
}

// NewPerCall returns a scheme without outstanding operations.
func NewPerCall(cfg Settings) *PerCall {
	cfg.setDefaults()
	return &PerCall{cfg: cfg, queues: make(map[string]*callQueue)}
}

// Step implements Scheme.
func (p *PerCall) Step(now time.Time, in Input, dst []Output) []Output {
	if in.Kind == InputOp {
		c, ok := p.queues[in.Op.Key]
		if !ok {
			c = &callQueue{name: CallName(p.cfg.Region, in.Op.Key)}
			p.queues[in.Op.Key] = c
		}
		c.ops = append(c.ops, in.Op)
		if len(c.ops) > 1 {
			return dst
		}
		return p.startFirst(c, dst)
	}
	c, ok := p.queues[in.Result.Command.Key]
	if !ok {
		return dst
	}
	if c.ops[0].Kind == OpSettle {
		return p.handleSettleResult(now, c, in.Result, dst)
	}
	return p.handleClaimResult(c, in.Result, dst)
}

// startFirst starts the first operation of a call.
func (p *PerCall) startFirst(c *callQueue, dst []Output) []Output {
	c.outcomeUnknown, c.retries = false, 0
	op := &c.ops[0]
	if op.Kind == OpSettle {
		return c.get(dst)
	}
	c.newEntry = Entry{
		Key: op.Key, Attempt: op.Attempt, Organisation: op.Organisation, Fingerprint: op.Fingerprint,
		Pool: op.Pool, State: StateClaimed,
	}
	return c.put(0, dst)
}

// handleClaimResult processes the result of a command of a claim.
func (p *PerCall) handleClaimResult(c *callQueue, res CommandResult, dst []Output) []Output {
	if res.Command.Kind == CommandPut {
		switch {
		case res.Err == nil:
			return p.finishFirst(c, Answer{State: AnswerCommitted}, dst)
		case errors.Is(res.Err, tpobject.ErrUnavailable):
			return p.finishFirst(c, Answer{State: AnswerRefused}, dst)
		case !errors.Is(res.Err, tpobject.ErrConflict):
			c.outcomeUnknown = true
		}
		return c.get(dst)
	}
	if res.Err != nil || len(res.Record.Entries) == 0 {
		state := AnswerRefused
		if c.outcomeUnknown {
			state = AnswerUndetermined
		}
		return p.finishFirst(c, Answer{State: state}, dst)
	}
	op, e := &c.ops[0], &res.Record.Entries[0]
	switch {
	case e.Attempt == op.Attempt && e.State == StateClaimed:
		return p.finishFirst(c, Answer{State: AnswerCommitted}, dst)
	case e.State == StateNotRun && c.retries < MaxPerCallRetries:
		c.retries++
		return c.put(res.Version, dst)
	case e.Organisation != op.Organisation || e.Fingerprint != op.Fingerprint:
		return p.finishFirst(c, Answer{State: AnswerMismatch}, dst)
	case e.State == StateDone:
		return p.finishFirst(c, doneAnswer(e), dst)
	}
	return p.finishFirst(c, Answer{State: AnswerUnknown}, dst)
}

// handleSettleResult processes the result of a command of a settlement.
func (p *PerCall) handleSettleResult(now time.Time, c *callQueue, res CommandResult, dst []Output) []Output {
	op := &c.ops[0]
	switch {
	case res.Command.Kind == CommandWait:
		return c.get(dst)
	case res.Err == nil && res.Command.Kind == CommandPut, errors.Is(res.Err, tpobject.ErrNotFound):
		return p.finishFirst(c, Answer{State: AnswerSettled}, dst)
	case res.Err == nil:
		e := res.Record.Entries[0]
		if e.State != StateClaimed || e.Attempt != op.Attempt {
			return p.finishFirst(c, Answer{State: AnswerSettled}, dst)
		}
		c.newEntry = *settledEntry(e, op)
		return c.put(res.Version, dst)
	case c.retries >= MaxPerCallRetries:
		return p.finishFirst(c, Answer{State: AnswerRefused}, dst)
	}
	c.retries++
	return appendCommand(dst, Command{Kind: CommandWait, Until: now.Add(minBackoff), Key: op.Key})
}

// finishFirst answers the first operation and starts the next one.
func (p *PerCall) finishFirst(c *callQueue, a Answer, dst []Output) []Output {
	dst = append(dst, Output{Op: c.ops[0], Answer: a})
	key := c.ops[0].Key
	c.ops = c.ops[1:]
	if len(c.ops) == 0 {
		delete(p.queues, key)
		return dst
	}
	return p.startFirst(c, dst)
}

func (c *callQueue) get(dst []Output) []Output {
	return appendCommand(dst, Command{Kind: CommandGet, Name: c.name, Key: c.ops[0].Key})
}

func (c *callQueue) put(version uint64, dst []Output) []Output {
	return appendCommand(dst, Command{
		Kind: CommandPut, Name: c.name, Version: version, Key: c.ops[0].Key,
		Record: Record{Entries: []Entry{c.newEntry}},
	})
}
