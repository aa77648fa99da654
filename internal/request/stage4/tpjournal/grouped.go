package tpjournal

import (
	"time"
)

// phase tells which command of a Grouped shard is outstanding. At most one is,
// apart from questions to services.
type phase uint8

const (
	phaseIdle phase = iota
	phaseLoading
	phaseArchiving
	phaseCommitting
	phaseReadingBack
	phaseConfirming
	phaseDeleting
	phaseWaiting
)

// Grouped commits the operations of a shard in groups, each by one conditional
// update of the tail.
type Grouped struct {
	cfg   Settings
	phase phase

	loaded  bool
	version uint64 // of the committed tail
	tail    Record // as committed
	owned   bool   // the committed tail has a fencing number of this holder
	index   map[string]Entry
	loading []Archive // archives still to be read
	folded  []Entry   // read from archives so far

	waiting []Op
	group   *group // written, but not known to be committed
	asking  map[string][]Op
	garbage []Archive // below DropBefore, to be deleted
	deleted map[Archive]bool
	groups  uint64 // started by this holder

	confirm   bool      // the tail is to be read before the next group
	confirmed time.Time // when this holder last saw that the tail is its own view

	nextAt  time.Time // no platform call before
	failing bool      // the last platform call failed
	backoff time.Duration
}

// group is a set of operations in one conditional update.
type group struct {
	tail      Record
	expected  uint64 // version that the update expects
	changes   map[string]Entry
	claims    []Op
	settles   []Op
	uncertain bool // an answer to the update was lost
	readBack  bool // the tail is to be read before the update is repeated
}

// NewGrouped returns a shard that is read from the platform on first use.
func NewGrouped(cfg Settings) *Grouped {
	cfg.setDefaults()
	return &Grouped{cfg: cfg, asking: make(map[string][]Op), deleted: make(map[Archive]bool)}
}

// Entries returns the number of keys that the shard remembers.
func (g *Grouped) Entries() int { return len(g.index) }

// Step implements Scheme.
func (g *Grouped) Step(now time.Time, in Input, dst []Output) []Output {
	switch {
	case in.Kind == InputOp:
		dst = g.take(now, in.Op, dst)
	case in.Result.Command.Kind == CommandAsk:
		dst = g.asked(in.Result, dst)
	default:
		dst = g.result(now, in.Result, dst)
	}
	return g.advance(now, dst)
}

// take answers an operation from what is known, or lets it wait for a group.
func (g *Grouped) take(now time.Time, op Op, dst []Output) []Output {
	if op.Kind == OpSettle {
		if len(g.waiting) >= 2*MaxWaiting {
			return reply(dst, op, AnswerRefused)
		}
		g.waiting = append(g.waiting, op)
		return dst
	}
	paused := g.failing && now.Before(g.nextAt)
	if g.loaded {
		e, ok := g.index[op.Key]
		if ok && e.State == StateClaimed && !paused && now.Sub(g.confirmed) > ConfirmFor {
			g.confirm = true
			g.waiting = append(g.waiting, op)
			return dst
		}
		var answered bool
		if dst, answered = g.known(now, op, e, ok, g.tail.DropBefore, dst); answered {
			return dst
		}
	}
	if paused || len(g.waiting) >= MaxWaiting {
		return reply(dst, op, AnswerRefused)
	}
	g.waiting = append(g.waiting, op)
	return dst
}

// known answers a claim that the state of its key decides. A former holder may
// answer from an old state: a result stays true, "unknown" is always allowed,
// and every other claim goes through the conditional update.
func (g *Grouped) known(now time.Time, op Op, e Entry, ok bool, dropBefore int64, dst []Output) ([]Output, bool) {
	at := KeyTime(op.Key)
	switch {
	case at < dropBefore:
		return reply(dst, op, AnswerExpired), true
	case !ok && at > now.Add(MaxAhead).UnixMilli():
		return reply(dst, op, AnswerAhead), true
	case !ok || e.State == StateNotRun:
		return dst, false
	case e.Organisation != op.Organisation || e.Fingerprint != op.Fingerprint:
		return reply(dst, op, AnswerMismatch), true
	case e.State == StateDone:
		return append(dst, Output{Op: op, Answer: doneAnswer(&e)}), true
	}
	return g.ask(op, dst), true
}

func doneAnswer(e *Entry) Answer {
	if e.Omitted {
		return Answer{State: AnswerOmitted}
	}
	return Answer{State: AnswerDone, Status: e.Status, Result: e.Result}
}

// ask asks the service about a claimed key, or answers "unknown".
func (g *Grouped) ask(op Op, dst []Output) []Output {
	askers, asked := g.asking[op.Key]
	if !op.CanAsk || (!asked && len(g.asking) >= MaxAsks) {
		return reply(dst, op, AnswerUnknown)
	}
	g.asking[op.Key] = append(askers, op)
	if asked {
		return dst
	}
	return append(dst, Output{Command: &Command{Kind: CommandAsk, Key: op.Key, Pool: op.Pool}})
}

// asked records the result of a call that the service says it ran. The
// service's "not run" releases nothing, because the claiming attempt may be
// paused and still send the call.
func (g *Grouped) asked(res CommandResult, dst []Output) []Output {
	key := res.Command.Key
	askers := g.asking[key]
	delete(g.asking, key)
	if res.Err != nil || !res.Ran {
		for _, op := range askers {
			dst = reply(dst, op, AnswerUnknown)
		}
		return dst
	}
	end := Entry{Status: res.Status, Result: res.Result}
	if len(end.Result) > MaxResultBytes {
		end.Result, end.Omitted = nil, true
	}
	for _, op := range askers {
		dst = append(dst, Output{Op: op, Answer: doneAnswer(&end)})
	}
	if e, ok := g.index[key]; ok && e.State == StateClaimed {
		g.waiting = append(g.waiting, Op{
			Kind: OpSettle, Key: key, Attempt: e.Attempt, Status: end.Status, Result: end.Result, Omitted: end.Omitted,
		})
	}
	return dst
}

// advance starts the next command if none is outstanding.
func (g *Grouped) advance(now time.Time, dst []Output) []Output {
	for g.phase == phaseIdle {
		if len(g.waiting) == 0 && g.group == nil && (len(g.garbage) == 0 || g.failing || !g.loaded) {
			return dst
		}
		if now.Before(g.nextAt) {
			g.phase = phaseWaiting
			return command(dst, Command{Kind: CommandWait, Until: g.nextAt})
		}
		switch {
		case g.group != nil && g.group.readBack:
			g.phase = phaseReadingBack
			return command(dst, Command{Kind: CommandGet, Name: g.tailName()})
		case g.group != nil:
			return g.write(now, dst)
		case !g.loaded:
			g.phase = phaseLoading
			return command(dst, Command{Kind: CommandGet, Name: g.tailName()})
		case g.confirm:
			g.phase = phaseConfirming
			return command(dst, Command{Kind: CommandGet, Name: g.tailName()})
		case g.full():
			return g.archive(dst)
		case len(g.waiting) > 0:
			dst = g.build(now, dst)
		default:
			g.phase = phaseDeleting
			name := ArchiveName(g.cfg.Region, g.cfg.Shard, g.garbage[0])
			return command(dst, Command{Kind: CommandDelete, Name: name})
		}
	}
	return dst
}

// result takes the end of the outstanding command.
func (g *Grouped) result(now time.Time, res CommandResult, dst []Output) []Output {
	was := g.phase
	g.phase = phaseIdle
	switch was {
	case phaseLoading:
		return g.read(now, res, dst)
	case phaseArchiving:
		return g.archived(now, res, dst)
	case phaseCommitting:
		return g.written(now, res, dst)
	case phaseReadingBack:
		return g.settleGroup(now, res, dst)
	case phaseConfirming:
		return g.checkView(now, res, dst)
	case phaseDeleting:
		g.removed(now, res)
	}
	return dst
}

// fail delays the next platform call.
func (g *Grouped) fail(now time.Time) {
	g.failing = true
	g.backoff = min(max(2*g.backoff, minBackoff), maxBackoff)
	g.nextAt = now.Add(g.backoff)
}

func (g *Grouped) succeed() {
	g.failing = false
	g.backoff = 0
}

// refuseWaiting refuses the waiting claims. The ends of calls keep waiting.
func (g *Grouped) refuseWaiting(dst []Output) []Output {
	kept := g.waiting[:0]
	for _, op := range g.waiting {
		if op.Kind == OpClaim {
			dst = reply(dst, op, AnswerRefused)
			continue
		}
		kept = append(kept, op)
	}
	g.waiting = kept
	return dst
}

func (g *Grouped) tailName() string { return TailName(g.cfg.Region, g.cfg.Shard) }

func reply(dst []Output, op Op, state AnswerState) []Output {
	return append(dst, Output{Op: op, Answer: Answer{State: state}})
}

func replyAll(dst []Output, ops []Op, state AnswerState) []Output {
	for _, op := range ops {
		dst = reply(dst, op, state)
	}
	return dst
}

func command(dst []Output, c Command) []Output { return append(dst, Output{Command: &c}) }
