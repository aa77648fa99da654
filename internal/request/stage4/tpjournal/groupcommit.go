package tpjournal

import (
	"time"
)

// phase is the outstanding command of a GroupCommit shard. At most one command
// is outstanding, apart from queries to services.
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

// GroupCommit commits the operations of a shard in groups, each by one
// conditional update of the tail. It belongs to one filter and is not safe for
// concurrent use.
type GroupCommit struct {
	cfg   Settings
	phase phase

	loaded          bool             // tail and archives have been read
	version         uint64           // version of the committed tail
	tail            Record           // committed tail
	owned           bool             // the committed tail carries a fencing number of this holder
	index           map[string]Entry // entry of each key, from the tail and its archives
	archivesToLoad  []Archive        // archives still to be read
	archivedEntries []Entry          // entries read from archives so far

	pendingOps      []Op             // operations that wait for a group
	group           *group           // group that is written but not known to be committed; nil if none
	queries         map[string][]Op  // claims that wait for a query, by key
	staleArchives   []Archive        // archives older than DropBefore, to be deleted
	deletedArchives map[Archive]bool // archives that are deleted but still listed
	groupCount      uint64           // number of groups started by this holder

	needsConfirm bool      // the tail has to be read before the next group
	confirmedAt  time.Time // when this holder last found the tail unchanged by others

	nextCallAt time.Time // no platform call before this time
	failing    bool      // the last platform call failed
	backoff    time.Duration
}

// group is the set of operations of one conditional update.
type group struct {
	tail            Record
	expectedVersion uint64           // version that the update expects
	changes         map[string]Entry // entries to write, by key
	claims          []Op
	settlements     []Op
	outcomeUnknown  bool // the answer to an update was lost
	readBack        bool // the tail has to be read before the update is repeated
}

// NewGroupCommit returns the scheme of one shard. It reads the shard from the
// platform on first use.
func NewGroupCommit(cfg Settings) *GroupCommit {
	cfg.setDefaults()
	return &GroupCommit{cfg: cfg, queries: make(map[string][]Op), deletedArchives: make(map[Archive]bool)}
}

// Entries returns the number of keys in the shard's index.
func (g *GroupCommit) Entries() int { return len(g.index) }

// Step implements Scheme.
func (g *GroupCommit) Step(now time.Time, in Input, dst []Output) []Output {
	switch {
	case in.Kind == InputOp:
		dst = g.handleOp(now, in.Op, dst)
	case in.Result.Command.Kind == CommandQuery:
		dst = g.handleQueryResult(in.Result, dst)
	default:
		dst = g.handleResult(now, in.Result, dst)
	}
	return g.advance(now, dst)
}

// handleOp answers an operation from the index, or queues it for a group.
func (g *GroupCommit) handleOp(now time.Time, op Op, dst []Output) []Output {
	if op.Kind == OpSettle {
		if len(g.pendingOps) >= 2*MaxPendingOps {
			return appendAnswer(dst, op, AnswerRefused)
		}
		g.pendingOps = append(g.pendingOps, op)
		return dst
	}
	backingOff := g.failing && now.Before(g.nextCallAt)
	if g.loaded {
		e, ok := g.index[op.Key]
		if ok && e.State == StateClaimed && !backingOff && now.Sub(g.confirmedAt) > ConfirmInterval {
			g.needsConfirm = true
			g.pendingOps = append(g.pendingOps, op)
			return dst
		}
		var answered bool
		if dst, answered = g.answerFromEntry(now, op, e, ok, g.tail.DropBefore, dst); answered {
			return dst
		}
	}
	if backingOff || len(g.pendingOps) >= MaxPendingOps {
		return appendAnswer(dst, op, AnswerRefused)
	}
	g.pendingOps = append(g.pendingOps, op)
	return dst
}

// answerFromEntry answers a claim if the entry of its key decides the answer,
// and reports whether it did. A former holder may answer from an outdated
// entry. That is safe: a recorded result does not change, AnswerUnknown is
// always allowed, and every other claim goes through the conditional update.
func (g *GroupCommit) answerFromEntry(now time.Time, op Op, e Entry, ok bool, dropBefore int64, dst []Output) ([]Output, bool) {
	keyMs := KeyTime(op.Key)
	switch {
	case keyMs < dropBefore:
		return appendAnswer(dst, op, AnswerExpired), true
	case !ok && keyMs > now.Add(MaxFutureSkew).UnixMilli():
		return appendAnswer(dst, op, AnswerKeyInFuture), true
	case !ok || e.State == StateNotRun:
		return dst, false
	case e.Organisation != op.Organisation || e.Fingerprint != op.Fingerprint:
		return appendAnswer(dst, op, AnswerMismatch), true
	case e.State == StateDone:
		return append(dst, Output{Op: op, Answer: doneAnswer(&e)}), true
	}
	return g.queryService(op, dst), true
}

func doneAnswer(e *Entry) Answer {
	if e.Omitted {
		return Answer{State: AnswerResultOmitted}
	}
	return Answer{State: AnswerDone, Status: e.Status, Result: e.Result}
}

// queryService queries the services about a claimed key. It answers
// AnswerUnknown if that is not possible.
func (g *GroupCommit) queryService(op Op, dst []Output) []Output {
	waiters, inFlight := g.queries[op.Key]
	if !op.Queryable || (!inFlight && len(g.queries) >= MaxConcurrentQueries) {
		return appendAnswer(dst, op, AnswerUnknown)
	}
	g.queries[op.Key] = append(waiters, op)
	if inFlight {
		return dst
	}
	return append(dst, Output{Command: &Command{Kind: CommandQuery, Key: op.Key, Pool: op.Pool}})
}

// handleQueryResult answers the waiting claims and records the result of a call
// that the service ran. If the service did not run the call, the claim stays,
// because the claiming attempt may be paused and still send the call.
func (g *GroupCommit) handleQueryResult(res CommandResult, dst []Output) []Output {
	key := res.Command.Key
	waiters := g.queries[key]
	delete(g.queries, key)
	if res.Err != nil || !res.Ran {
		for _, op := range waiters {
			dst = appendAnswer(dst, op, AnswerUnknown)
		}
		return dst
	}
	end := Entry{Status: res.Status, Result: res.Result}
	if len(end.Result) > MaxResultBytes {
		end.Result, end.Omitted = nil, true
	}
	for _, op := range waiters {
		dst = append(dst, Output{Op: op, Answer: doneAnswer(&end)})
	}
	if e, ok := g.index[key]; ok && e.State == StateClaimed {
		g.pendingOps = append(g.pendingOps, Op{
			Kind: OpSettle, Key: key, Attempt: e.Attempt, Status: end.Status, Result: end.Result, Omitted: end.Omitted,
		})
	}
	return dst
}

// advance starts the next command if none is outstanding.
func (g *GroupCommit) advance(now time.Time, dst []Output) []Output {
	for g.phase == phaseIdle {
		if len(g.pendingOps) == 0 && g.group == nil && (len(g.staleArchives) == 0 || g.failing || !g.loaded) {
			return dst
		}
		if now.Before(g.nextCallAt) {
			g.phase = phaseWaiting
			return appendCommand(dst, Command{Kind: CommandWait, Until: g.nextCallAt})
		}
		switch {
		case g.group != nil && g.group.readBack:
			g.phase = phaseReadingBack
			return appendCommand(dst, Command{Kind: CommandGet, Name: g.tailName()})
		case g.group != nil:
			return g.write(now, dst)
		case !g.loaded:
			g.phase = phaseLoading
			return appendCommand(dst, Command{Kind: CommandGet, Name: g.tailName()})
		case g.needsConfirm:
			g.phase = phaseConfirming
			return appendCommand(dst, Command{Kind: CommandGet, Name: g.tailName()})
		case g.tailFull():
			return g.archive(dst)
		case len(g.pendingOps) > 0:
			dst = g.buildGroup(now, dst)
		default:
			g.phase = phaseDeleting
			name := ArchiveName(g.cfg.Region, g.cfg.Shard, g.staleArchives[0])
			return appendCommand(dst, Command{Kind: CommandDelete, Name: name})
		}
	}
	return dst
}

// handleResult processes the result of the outstanding command.
func (g *GroupCommit) handleResult(now time.Time, res CommandResult, dst []Output) []Output {
	finished := g.phase
	g.phase = phaseIdle
	switch finished {
	case phaseLoading:
		return g.handleLoadResult(now, res, dst)
	case phaseArchiving:
		return g.finishArchive(now, res, dst)
	case phaseCommitting:
		return g.handleWriteResult(now, res, dst)
	case phaseReadingBack:
		return g.resolveGroup(now, res, dst)
	case phaseConfirming:
		return g.checkTail(now, res, dst)
	case phaseDeleting:
		g.finishDelete(now, res)
	}
	return dst
}

// recordFailure delays the next platform call, with exponential backoff.
func (g *GroupCommit) recordFailure(now time.Time) {
	g.failing = true
	g.backoff = min(max(2*g.backoff, minBackoff), maxBackoff)
	g.nextCallAt = now.Add(g.backoff)
}

func (g *GroupCommit) recordSuccess() {
	g.failing = false
	g.backoff = 0
}

// refusePendingClaims refuses the pending claims. Pending settlements stay.
func (g *GroupCommit) refusePendingClaims(dst []Output) []Output {
	kept := g.pendingOps[:0]
	for _, op := range g.pendingOps {
		if op.Kind == OpClaim {
			dst = appendAnswer(dst, op, AnswerRefused)
			continue
		}
		kept = append(kept, op)
	}
	g.pendingOps = kept
	return dst
}

func (g *GroupCommit) tailName() string { return TailName(g.cfg.Region, g.cfg.Shard) }

func appendAnswer(dst []Output, op Op, state AnswerState) []Output {
	return append(dst, Output{Op: op, Answer: Answer{State: state}})
}

func appendAnswers(dst []Output, ops []Op, state AnswerState) []Output {
	for _, op := range ops {
		dst = appendAnswer(dst, op, state)
	}
	return dst
}

func appendCommand(dst []Output, c Command) []Output { return append(dst, Output{Command: &c}) }
