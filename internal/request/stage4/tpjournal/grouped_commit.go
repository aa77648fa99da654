package tpjournal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

// build makes the next group of the waiting operations. It makes none if they
// change nothing.
func (g *Grouped) build(now time.Time, dst []Output) []Output {
	next := &group{tail: g.nextTail(now), expected: g.version, changes: make(map[string]Entry)}
	size, taken := 0, 0
	for _, op := range g.waiting {
		if size >= MaxGroupBytes {
			break
		}
		taken++
		var e *Entry
		e, dst = g.apply(now, next, op, dst)
		if e != nil {
			next.changes[e.Key] = *e
			size += e.size()
		}
	}
	g.waiting = append([]Op(nil), g.waiting[taken:]...)
	if len(next.changes) == 0 {
		return dst
	}
	next.merge()
	g.groups++
	next.tail.Group = fmt.Sprintf("%s/%d/%d", g.cfg.Holder, g.cfg.Shard, g.groups)
	g.group = next
	return dst
}

// nextTail returns the tail that the next group starts from.
func (g *Grouped) nextTail(now time.Time) Record {
	t := g.tail
	t.Holder = g.cfg.Holder
	if !g.owned {
		t.Fencing++
		t.Archived = 0
	}
	drop := min(now.UnixMilli(), g.newestClaim()) - g.cfg.Retention.Milliseconds()
	if drop-t.DropBefore >= dropStep.Milliseconds() {
		t.DropBefore = drop
	}
	t.Archives = nil
	for _, a := range g.tail.Archives {
		if !g.deleted[a] {
			t.Archives = append(t.Archives, a)
		}
	}
	t.Entries = make([]Entry, 0, len(g.tail.Entries)+len(g.waiting))
	for _, e := range g.tail.Entries {
		if KeyTime(e.Key) >= t.DropBefore {
			t.Entries = append(t.Entries, e)
		}
	}
	return t
}

// newestClaim returns the latest time of the keys that wait to be claimed, or
// 0. It bounds DropBefore, because a holder whose clock is ahead would
// otherwise make the keys of all callers expire.
func (g *Grouped) newestClaim() int64 {
	var newest int64
	for i := range g.waiting {
		if g.waiting[i].Kind == OpClaim {
			newest = max(newest, KeyTime(g.waiting[i].Key))
		}
	}
	return newest
}

// apply returns the entry that an operation of the group leads to, or nil if
// it changes nothing and was answered.
func (g *Grouped) apply(now time.Time, next *group, op Op, dst []Output) (*Entry, []Output) {
	e, ok := next.changes[op.Key]
	if !ok {
		e, ok = g.index[op.Key]
	}
	if op.Kind == OpSettle {
		if !ok || e.State != StateClaimed || e.Attempt != op.Attempt || KeyTime(op.Key) < next.tail.DropBefore {
			return nil, reply(dst, op, AnswerSettled)
		}
		next.settles = append(next.settles, op)
		return settledEntry(e, &op), dst
	}
	dst, answered := g.known(now, op, e, ok, next.tail.DropBefore, dst)
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

// merge puts the changes into the group's tail. The order of new entries is
// that of the operations.
func (n *group) merge() {
	left := make(map[string]bool, len(n.changes))
	for key := range n.changes {
		left[key] = true
	}
	for i := range n.tail.Entries {
		key := n.tail.Entries[i].Key
		if left[key] {
			n.tail.Entries[i] = n.changes[key]
			delete(left, key)
		}
	}
	for _, ops := range [][]Op{n.claims, n.settles} {
		for _, op := range ops {
			if left[op.Key] {
				n.tail.Entries = append(n.tail.Entries, n.changes[op.Key])
				delete(left, op.Key)
			}
		}
	}
}

// write sends the group's conditional update. A repeat sends the same content
// with the same expected version, so at most one of them takes effect.
func (g *Grouped) write(now time.Time, dst []Output) []Output {
	g.phase = phaseCommitting
	g.nextAt = now.Add(g.cfg.Interval)
	return command(dst, Command{
		Kind: CommandPut, Name: g.tailName(), Version: g.group.expected, Record: g.group.tail,
	})
}

// written takes the answer to the update.
func (g *Grouped) written(now time.Time, res CommandResult, dst []Output) []Output {
	n := g.group
	switch {
	case res.Err == nil:
		return g.committed(now, res.Version, dst)
	case n.uncertain:
		// An earlier try may have taken effect, whatever this one says.
		n.readBack = true
		if errors.Is(res.Err, tpobject.ErrUnavailable) {
			g.fail(now)
		}
		return dst
	case errors.Is(res.Err, tpobject.ErrUnavailable):
		g.fail(now)
		g.group = nil
		g.waiting = append(n.settles, g.waiting...)
		dst = replyAll(dst, n.claims, AnswerRefused)
		return g.refuseWaiting(dst)
	case errors.Is(res.Err, tpobject.ErrConflict), errors.Is(res.Err, tpobject.ErrTooLarge):
		return g.lose(AnswerNotHolder, dst)
	}
	n.uncertain = true
	n.readBack = true
	// The read follows at once; only repeated updates keep the interval.
	g.nextAt = now
	return dst
}

// settleGroup finds out by the group's identity whether a lost answer belonged
// to an update that took effect.
func (g *Grouped) settleGroup(now time.Time, res CommandResult, dst []Output) []Output {
	n := g.group
	missing := errors.Is(res.Err, tpobject.ErrNotFound)
	switch {
	case res.Err != nil && !missing:
		g.fail(now)
		dst = replyAll(dst, n.claims, AnswerUndetermined)
		n.claims = nil
		return g.refuseWaiting(dst)
	case !missing && res.Record.Group == n.tail.Group:
		return g.committed(now, res.Version, dst)
	case res.Version == n.expected:
		// The update has not taken effect, but may still be on its way.
		n.readBack = false
		return dst
	}
	// Another holder took the shard, perhaps after this update took effect.
	return g.lose(AnswerUndetermined, dst)
}

// lose gives up the shard and the group after another holder's update.
func (g *Grouped) lose(claims AnswerState, dst []Output) []Output {
	n := g.group
	g.group = nil
	g.unload()
	dst = replyAll(dst, n.claims, claims)
	dst = replyAll(dst, n.settles, AnswerNotHolder)
	waiting := g.waiting
	g.waiting = nil
	return replyAll(dst, waiting, AnswerNotHolder)
}

// committed takes over the group's tail and answers its operations.
func (g *Grouped) committed(now time.Time, version uint64, dst []Output) []Output {
	n := g.group
	g.group = nil
	g.succeed()
	dropped := n.tail.DropBefore > g.tail.DropBefore
	if !g.owned && g.tail.Fencing > 0 {
		// The former holder may have written an archive that it could not list
		// any more. Its fencing number keeps it from listing it later.
		g.garbage = append(g.garbage, Archive{Fencing: g.tail.Fencing, Number: g.tail.Archived + 1})
	}
	g.tail = n.tail
	g.version = version
	g.owned = true
	g.confirmed = now
	for key, e := range n.changes {
		g.index[key] = e
	}
	if dropped {
		g.drop()
	}
	for _, op := range n.claims {
		e := n.changes[op.Key]
		state := AnswerCommitted
		if e.Attempt != op.Attempt || e.State != StateClaimed {
			// A later operation of the group ended this claim.
			state = AnswerUnknown
		}
		dst = reply(dst, op, state)
	}
	return replyAll(dst, n.settles, AnswerSettled)
}

// drop forgets what lies before DropBefore, which is committed.
func (g *Grouped) drop() {
	for key := range g.index {
		if KeyTime(key) < g.tail.DropBefore {
			delete(g.index, key)
		}
	}
	for _, a := range g.tail.Archives {
		if a.Newest < g.tail.DropBefore && !g.deleted[a] && !slices.Contains(g.garbage, a) {
			g.garbage = append(g.garbage, a)
		}
	}
}
