package tpjournal

import (
	"errors"
	"time"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

// MaxSettleTries bounds the tries of PerCall to record the end of one call.
const MaxSettleTries = 20

// PerCall is the naive scheme: an object for each call, written once for the
// claim and once for the result. Its objects are never removed.
type PerCall struct {
	cfg   Settings
	calls map[string]*call
}

// call is the operations on one key; the first of them is being carried out.
type call struct {
	ops   []Op
	entry Entry  // to be written by the outstanding command
	lost  bool   // an answer to the first operation's update was lost
	tries int    // of the first operation
	name  string // of the object
}

// NewPerCall returns a scheme without operations.
func NewPerCall(cfg Settings) *PerCall {
	cfg.setDefaults()
	return &PerCall{cfg: cfg, calls: make(map[string]*call)}
}

// Step implements Scheme.
func (p *PerCall) Step(now time.Time, in Input, dst []Output) []Output {
	if in.Kind == InputOp {
		c, ok := p.calls[in.Op.Key]
		if !ok {
			c = &call{name: CallName(p.cfg.Region, in.Op.Key)}
			p.calls[in.Op.Key] = c
		}
		c.ops = append(c.ops, in.Op)
		if len(c.ops) > 1 {
			return dst
		}
		return p.begin(c, dst)
	}
	c, ok := p.calls[in.Result.Command.Key]
	if !ok {
		return dst
	}
	if c.ops[0].Kind == OpSettle {
		return p.settle(now, c, in.Result, dst)
	}
	return p.claim(c, in.Result, dst)
}

// begin starts the first operation of a call.
func (p *PerCall) begin(c *call, dst []Output) []Output {
	c.lost, c.tries = false, 0
	op := &c.ops[0]
	if op.Kind == OpSettle {
		return c.get(dst)
	}
	c.entry = Entry{
		Key: op.Key, Attempt: op.Attempt, Organisation: op.Organisation, Fingerprint: op.Fingerprint,
		Pool: op.Pool, State: StateClaimed,
	}
	return c.put(0, dst)
}

// claim takes the end of a command of a claim.
func (p *PerCall) claim(c *call, res CommandResult, dst []Output) []Output {
	if res.Command.Kind == CommandPut {
		switch {
		case res.Err == nil:
			return p.end(c, Answer{State: AnswerCommitted}, dst)
		case errors.Is(res.Err, tpobject.ErrUnavailable):
			return p.end(c, Answer{State: AnswerRefused}, dst)
		case !errors.Is(res.Err, tpobject.ErrConflict):
			c.lost = true
		}
		return c.get(dst)
	}
	if res.Err != nil || len(res.Record.Entries) == 0 {
		state := AnswerRefused
		if c.lost {
			state = AnswerUndetermined
		}
		return p.end(c, Answer{State: state}, dst)
	}
	op, e := &c.ops[0], &res.Record.Entries[0]
	switch {
	case e.Attempt == op.Attempt && e.State == StateClaimed:
		return p.end(c, Answer{State: AnswerCommitted}, dst)
	case e.State == StateNotRun && c.tries < MaxSettleTries:
		c.tries++
		return c.put(res.Version, dst)
	case e.Organisation != op.Organisation || e.Fingerprint != op.Fingerprint:
		return p.end(c, Answer{State: AnswerMismatch}, dst)
	case e.State == StateDone:
		return p.end(c, doneAnswer(e), dst)
	}
	return p.end(c, Answer{State: AnswerUnknown}, dst)
}

// settle takes the end of a command of a settlement.
func (p *PerCall) settle(now time.Time, c *call, res CommandResult, dst []Output) []Output {
	op := &c.ops[0]
	switch {
	case res.Command.Kind == CommandWait:
		return c.get(dst)
	case res.Err == nil && res.Command.Kind == CommandPut, errors.Is(res.Err, tpobject.ErrNotFound):
		return p.end(c, Answer{State: AnswerSettled}, dst)
	case res.Err == nil:
		e := res.Record.Entries[0]
		if e.State != StateClaimed || e.Attempt != op.Attempt {
			return p.end(c, Answer{State: AnswerSettled}, dst)
		}
		c.entry = *settledEntry(e, op)
		return c.put(res.Version, dst)
	case c.tries >= MaxSettleTries:
		return p.end(c, Answer{State: AnswerRefused}, dst)
	}
	c.tries++
	return command(dst, Command{Kind: CommandWait, Until: now.Add(minBackoff), Key: op.Key})
}

// end answers the first operation and starts the next.
func (p *PerCall) end(c *call, a Answer, dst []Output) []Output {
	dst = append(dst, Output{Op: c.ops[0], Answer: a})
	key := c.ops[0].Key
	c.ops = c.ops[1:]
	if len(c.ops) == 0 {
		delete(p.calls, key)
		return dst
	}
	return p.begin(c, dst)
}

func (c *call) get(dst []Output) []Output {
	return command(dst, Command{Kind: CommandGet, Name: c.name, Key: c.ops[0].Key})
}

func (c *call) put(version uint64, dst []Output) []Output {
	return command(dst, Command{
		Kind: CommandPut, Name: c.name, Version: version, Key: c.ops[0].Key,
		Record: Record{Entries: []Entry{c.entry}},
	})
}
