package tpjournal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

// buildGroup builds the next group from the pending operations. It starts no
// group if they change nothing.
func (g *GroupCommit) buildGroup(now time.Time, dst []Output) []Output {
	next := &group{tail: g.nextTail(now), expectedVersion: g.version, changes: make(map[string]Entry)}
	size, consumed := 0, 0
	for _, op := range g.pendingOps {
		if size >= MaxGroupBytes {
			break
		}
		consumed++
		var e *Entry
		e, dst = g.apply(now, next, op, dst)
		if e != nil {
			next.changes[e.Key] = *e
			size += e.size()
		}
	}
	g.pendingOps = append([]Op(nil), g.pendingOps[consumed:]...)
	if len(next.changes) == 0 {
		return dst
	}
	next.merge()
	g.groupCount++
	next.tail.Group = fmt.Sprintf("%s/%d/%d", g.cfg.Holder, g.cfg.Shard, g.groupCount)
	g.group = next
	return dst
}

// nextTail returns the tail on which the next group is based.
func (g *GroupCommit) nextTail(now time.Time) Record {
	t := g.tail
	t.Holder = g.cfg.Holder
	if !g.owned {
		t.Fencing++
		t.Archived = 0
	}
	dropBefore := min(now.UnixMilli(), g.newestClaimMs()) - g.cfg.Retention.Milliseconds()
	if dropBefore-t.DropBefore >= minDropStep.Milliseconds() {
		t.DropBefore = dropBefore
	}
	t.Archives = nil
	for _, a := range g.tail.Archives {
		if !g.deletedArchives[a] {
			t.Archives = append(t.Archives, a)
		}
	}
	t.Entries = make([]Entry, 0, len(g.tail.Entries)+len(g.pendingOps))
	for _, e := range g.tail.Entries {
		if KeyTime(e.Key) >= t.DropBefore {
			t.Entries = append(t.Entries, e)
		}
	}
	return t
}

// newestClaimMs returns the latest time of the keys that wait to be claimed, in
// milliseconds since 1970, or 0 if there is none. It bounds DropBefore.
// Otherwise a holder whose clock is ahead would expire the keys of all callers.
func (g *GroupCommit) newestClaimMs() int64 {
	var newestMs int64
	for i := range g.pendingOps {
		if g.pendingOps[i].Kind == OpClaim {
			newestMs = max(newestMs, KeyTime(g.pendingOps[i].Key))
		}
	}
	return newestMs
}

// apply returns the entry that results from an operation of the group. It
// returns nil if the operation changes nothing; the operation is then answered
// or waits for a query.
func (g *GroupCommit) apply(now time.Time, next *group, op Op, dst []Output) (*Entry, []Output) {
	e, ok := next.changes[op.Key]
	if !ok {
		e, ok = g.index[op.Key]
	}
	if op.Kind == OpSettle {
		if !ok || e.State != StateClaimed || e.Attempt != op.Attempt || KeyTime(op.Key) < next.tail.DropBefore {
			return nil, appendAnswer(dst, op, AnswerSettled)
		}
		next.settlements = append(next.settlements, op)
		return settledEntry(e, &op), dst
	}
	dst, answered := g.answerFromEntry(now, op, e, ok, next.tail.DropBefore, dst)
	if answered {
		return nil, dst
	}
	next.claims = append(next.claims, op)
	return &Entry{
		Key: op.Key, Attempt: op.Attempt, Organisation: op.Organisation, Fingerprint: op.Fingerprint,
		Pool: op.Pool, State: StateClaimed,
	}, dst
}

func settledEntry(e Entry, op *Op) *Entry {
	if op.NotRun {
		e.State = StateNotRun
		return &e
	}
	e.State = StateDone
	e.Status = op.Status
	e.Result = op.Result
	e.Omitted = op.Omitted
	return &e
}

// merge applies the changes to the group's tail. It replaces existing entries
// in place and appends new ones, first those of claims and then those of
// settlements.
func (g *group) merge() {
	remaining := make(map[string]bool, len(g.changes))
	for key := range g.changes {
		remaining[key] = true
	}
	for i := range g.tail.Entries {
		key := g.tail.Entries[i].Key
		if remaining[key] {
			g.tail.Entries[i] = g.changes[key]
			delete(remaining, key)
		}
	}
	for _, ops := range [][]Op{g.claims, g.settlements} {
		for _, op := range ops {
			if remaining[op.Key] {
				g.tail.Entries = append(g.tail.Entries, g.changes[op.Key])
				delete(remaining, op.Key)
			}
		}
	}
}

// write sends the group's conditional update. A retry sends the same content
// with the same expected version, so at most one of them takes effect.
func (g *GroupCommit) write(now time.Time, dst []Output) []Output {
	g.phase = phaseCommitting
	g.nextCallAt = now.Add(g.cfg.Interval)
	return appendCommand(dst, Command{
		Kind: CommandPut, Name: g.tailName(), Version: g.group.expectedVersion, Record: g.group.tail,
	})
}

// handleWriteResult processes the result of the conditional update.
func (g *GroupCommit) handleWriteResult(now time.Time, res CommandResult, dst []Output) []Output {
	n := g.group
	switch {
	case res.Err == nil:
		return g.finishCommit(now, res.Version, dst)
	case n.outcomeUnknown:
		// An earlier write may have taken effect, whatever the result of this
		// one.
		n.readBack = true
		if errors.Is(res.Err, tpobject.ErrUnavailable) {
			g.recordFailure(now)
		}
		return dst
	case errors.Is(res.Err, tpobject.ErrUnavailable):
		g.recordFailure(now)
		g.group = nil
		g.pendingOps = append(n.settlements, g.pendingOps...)
		dst = appendAnswers(dst, n.claims, AnswerRefused)
		return g.refusePendingClaims(dst)
	case errors.Is(res.Err, tpobject.ErrConflict), errors.Is(res.Err, tpobject.ErrTooLarge):
		return g.loseShard(AnswerNotHolder, dst)
	}
	n.outcomeUnknown = true
	n.readBack = true
	// The read starts at once. The interval applies only between updates.
	g.nextCallAt = now
	return dst
}

// resolveGroup finds out whether an update whose answer was lost took effect.
// It compares the group's identity with that of the tail.
func (g *GroupCommit) resolveGroup(now time.Time, res CommandResult, dst []Output) []Output {
	n := g.group
	noTail := errors.Is(res.Err, tpobject.ErrNotFound)
	switch {
	case res.Err != nil && !noTail:
		g.recordFailure(now)
		dst = appendAnswers(dst, n.claims, AnswerUndetermined)
		n.claims = nil
		return g.refusePendingClaims(dst)
	case !noTail && res.Record.Group == n.tail.Group:
		return g.finishCommit(now, res.Version, dst)
	case res.Version == n.expectedVersion:
		// The update has not taken effect, but may still do so.
		n.readBack = false
		return dst
	}
	// Another holder updated the tail, possibly after this update took effect.
	return g.loseShard(AnswerUndetermined, dst)
}

// loseShard unloads the shard and discards its group after an update by another
// holder. It answers the group's claims with the state claims, and the
// settlements and pending operations with AnswerNotHolder.
func (g *GroupCommit) loseShard(claims AnswerState, dst []Output) []Output {
	n := g.group
	g.group = nil
	g.unload()
	dst = appendAnswers(dst, n.claims, claims)
	dst = appendAnswers(dst, n.settlements, AnswerNotHolder)
	pendingOps := g.pendingOps
	g.pendingOps = nil
	return appendAnswers(dst, pendingOps, AnswerNotHolder)
}

// finishCommit makes the group's tail the committed one and answers the group's
// operations.
func (g *GroupCommit) finishCommit(now time.Time, version uint64, dst []Output) []Output {
	n := g.group
	g.group = nil
	g.recordSuccess()
	dropped := n.tail.DropBefore > g.tail.DropBefore
	if !g.owned && g.tail.Fencing > 0 {
		// The former holder may have written an archive that it could no longer
		// list. Its fencing number prevents it from listing the archive later.
		g.staleArchives = append(g.staleArchives, Archive{Fencing: g.tail.Fencing, Number: g.tail.Archived + 1})
	}
	g.tail = n.tail
	g.version = version
	g.owned = true
	g.confirmedAt = now
	for key, e := range n.changes {
		g.index[key] = e
	}
	if dropped {
		g.dropExpired()
	}
	for _, op := range n.claims {
		e := n.changes[op.Key]
		state := AnswerCommitted
		if e.Attempt != op.Attempt || e.State != StateClaimed {
			// A later operation of the group ended this claim.
			state = AnswerUnknown
		}
		dst = appendAnswer(dst, op, state)
	}
	return appendAnswers(dst, n.settlements, AnswerSettled)
}

// dropExpired removes the keys before the committed DropBefore from the index
// and marks their archives for deletion.
func (g *GroupCommit) dropExpired() {
	for key := range g.index {
		if KeyTime(key) < g.tail.DropBefore {
			delete(g.index, key)
		}
	}
	for _, a := range g.tail.Archives {
		if a.NewestKeyMs < g.tail.DropBefore && !g.deletedArchives[a] && !slices.Contains(g.staleArchives, a) {
			g.staleArchives = append(g.staleArchives, a)
		}
	}
}
