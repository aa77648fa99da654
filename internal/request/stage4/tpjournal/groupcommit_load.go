package tpjournal

import (
	"errors"
	"time"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

// handleLoadResult processes the tail or an archive while the shard is loaded.
func (g *GroupCommit) handleLoadResult(now time.Time, res CommandResult, dst []Output) []Output {
	newShard := errors.Is(res.Err, tpobject.ErrNotFound) && res.Command.Name == g.tailName()
	if res.Err != nil && !newShard {
		// A missing archive was deleted after a later update of the tail, so
		// the tail is read again.
		g.unload()
		g.recordFailure(now)
		return g.refusePendingClaims(dst)
	}
	if res.Command.Name == g.tailName() {
		g.beginLoad(res)
	} else {
		g.archivedEntries = append(g.archivedEntries, res.Record.Entries...)
		g.archivesToLoad = g.archivesToLoad[1:]
	}
	if len(g.archivesToLoad) > 0 {
		g.phase = phaseLoading
		return appendCommand(dst, Command{
			Kind: CommandGet, Name: ArchiveName(g.cfg.Region, g.cfg.Shard, g.archivesToLoad[0]),
		})
	}
	g.finishLoad(now)
	return dst
}

func (g *GroupCommit) beginLoad(res CommandResult) {
	g.unload()
	g.tail = res.Record
	g.version = res.Version
	for _, a := range g.tail.Archives {
		if a.NewestKeyMs < g.tail.DropBefore {
			g.staleArchives = append(g.staleArchives, a)
			continue
		}
		g.archivesToLoad = append(g.archivesToLoad, a)
	}
}

// finishLoad builds the index. A later entry of a key replaces an earlier one.
func (g *GroupCommit) finishLoad(now time.Time) {
	g.needsConfirm = false
	g.confirmedAt = now
	g.recordSuccess()
	g.index = make(map[string]Entry, len(g.archivedEntries)+len(g.tail.Entries))
	for _, e := range g.archivedEntries {
		g.indexEntry(e)
	}
	for _, e := range g.tail.Entries {
		g.indexEntry(e)
	}
	g.archivedEntries = nil
	g.loaded = true
}

func (g *GroupCommit) indexEntry(e Entry) {
	if KeyTime(e.Key) >= g.tail.DropBefore {
		g.index[e.Key] = e
	}
}

// unload discards the state of the shard, which is read again on its next use.
func (g *GroupCommit) unload() {
	g.loaded = false
	g.owned = false
	g.version = 0
	g.tail = Record{}
	g.index = nil
	g.archivesToLoad = nil
	g.archivedEntries = nil
	g.staleArchives = nil
	clear(g.deletedArchives)
}

// checkTail reloads the shard if another holder has changed the tail. If the
// tail cannot be read, the index stays, because AnswerUnknown is always
// allowed.
func (g *GroupCommit) checkTail(now time.Time, res CommandResult, dst []Output) []Output {
	g.needsConfirm = false
	if res.Err != nil && !errors.Is(res.Err, tpobject.ErrNotFound) {
		g.recordFailure(now)
		return dst
	}
	if res.Version != g.version {
		return g.handleLoadResult(now, res, dst)
	}
	g.confirmedAt = now
	return dst
}

// tailFull reports whether the tail has to be archived before the next group.
// Only a holder whose fencing number is committed writes archives, so that no
// other holder ever writes an archive of the same name.
func (g *GroupCommit) tailFull() bool {
	if !g.owned || len(g.pendingOps) == 0 {
		return false
	}
	return len(g.tail.Entries) >= g.cfg.TailEntries || entriesSize(g.tail.Entries) >= g.cfg.TailBytes
}

func entriesSize(entries []Entry) int {
	n := 0
	for i := range entries {
		n += entries[i].size()
	}
	return n
}

// archive writes the tail's entries to an object of their own.
func (g *GroupCommit) archive(dst []Output) []Output {
	g.phase = phaseArchiving
	return appendCommand(dst, Command{
		Kind:   CommandPut,
		Name:   ArchiveName(g.cfg.Region, g.cfg.Shard, g.nextArchive()),
		Record: Record{Entries: g.tail.Entries},
	})
}

// nextArchive returns the identity of the archive for the entries of the
// committed tail.
func (g *GroupCommit) nextArchive() Archive {
	a := Archive{Fencing: g.tail.Fencing, Number: g.tail.Archived + 1}
	for i := range g.tail.Entries {
		a.NewestKeyMs = max(a.NewestKeyMs, KeyTime(g.tail.Entries[i].Key))
	}
	return a
}

// finishArchive empties the tail in memory once its entries are archived. The
// next group commits the empty tail together with the list of archives. Until
// then the platform's tail still holds the entries.
func (g *GroupCommit) finishArchive(now time.Time, res CommandResult, dst []Output) []Output {
	// Only this holder uses the name, and the tail has not changed since the
	// first write. A conflict therefore means that an earlier write took
	// effect.
	if res.Err != nil && !errors.Is(res.Err, tpobject.ErrConflict) {
		g.recordFailure(now)
		return g.refusePendingClaims(dst)
	}
	g.recordSuccess()
	a := g.nextArchive()
	g.tail.Archived++
	g.tail.Archives = append(append([]Archive(nil), g.tail.Archives...), a)
	g.tail.Entries = nil
	return dst
}

// finishDelete processes the result of a deletion. The next group removes the
// archive from the list.
func (g *GroupCommit) finishDelete(now time.Time, res CommandResult) {
	if res.Err != nil && !errors.Is(res.Err, tpobject.ErrNotFound) {
		g.recordFailure(now)
		return
	}
	if len(g.staleArchives) > 0 {
		g.deletedArchives[g.staleArchives[0]] = true
		g.staleArchives = g.staleArchives[1:]
	}
}
