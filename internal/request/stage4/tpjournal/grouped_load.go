package tpjournal

import (
	"errors"
	"time"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

// read takes the tail or one archive while the shard is loaded.
func (g *Grouped) read(now time.Time, res CommandResult, dst []Output) []Output {
	fresh := errors.Is(res.Err, tpobject.ErrNotFound) && res.Command.Name == g.tailName()
	if res.Err != nil && !fresh {
		// An archive that is missing was deleted after a later update of the
		// tail, so the tail is read again.
		g.unload()
		g.fail(now)
		return g.refuseWaiting(dst)
	}
	if res.Command.Name == g.tailName() {
		g.beginLoad(res)
	} else {
		g.folded = append(g.folded, res.Record.Entries...)
		g.loading = g.loading[1:]
	}
	if len(g.loading) > 0 {
		g.phase = phaseLoading
		return command(dst, Command{
			Kind: CommandGet, Name: ArchiveName(g.cfg.Region, g.cfg.Shard, g.loading[0]),
		})
	}
	g.finishLoad(now)
	return dst
}

func (g *Grouped) beginLoad(res CommandResult) {
	g.unload()
	g.tail = res.Record
	g.version = res.Version
	for _, a := range g.tail.Archives {
		if a.Newest < g.tail.DropBefore {
			g.garbage = append(g.garbage, a)
			continue
		}
		g.loading = append(g.loading, a)
	}
}

// finishLoad builds the index. A later entry of a key replaces an earlier one.
func (g *Grouped) finishLoad(now time.Time) {
	g.confirm = false
	g.confirmed = now
	g.succeed()
	g.index = make(map[string]Entry, len(g.folded)+len(g.tail.Entries))
	for _, e := range g.folded {
		g.remember(e)
	}
	for _, e := range g.tail.Entries {
		g.remember(e)
	}
	g.folded = nil
	g.loaded = true
}

func (g *Grouped) remember(e Entry) {
	if KeyTime(e.Key) >= g.tail.DropBefore {
		g.index[e.Key] = e
	}
}

// unload forgets the shard, which is read again on its next use.
func (g *Grouped) unload() {
	g.loaded = false
	g.owned = false
	g.version = 0
	g.tail = Record{}
	g.index = nil
	g.loading = nil
	g.folded = nil
	g.garbage = nil
	clear(g.deleted)
}

// checkView reads the shard again if another holder has changed it. If the
// tail cannot be read, the view stays, because "unknown" is always allowed.
func (g *Grouped) checkView(now time.Time, res CommandResult, dst []Output) []Output {
	g.confirm = false
	if res.Err != nil && !errors.Is(res.Err, tpobject.ErrNotFound) {
		g.fail(now)
		return dst
	}
	if res.Version != g.version {
		return g.read(now, res, dst)
	}
	g.confirmed = now
	return dst
}

// full reports whether the tail is to be archived first. Only a holder whose
// fencing number is committed archives, so that no other holder ever writes an
// archive of the same name.
func (g *Grouped) full() bool {
	if !g.owned || len(g.waiting) == 0 {
		return false
	}
	return len(g.tail.Entries) >= g.cfg.TailEntries || sizeOf(g.tail.Entries) >= g.cfg.TailBytes
}

func sizeOf(entries []Entry) int {
	n := 0
	for i := range entries {
		n += entries[i].size()
	}
	return n
}

// archive writes the tail's entries to an object of their own.
func (g *Grouped) archive(dst []Output) []Output {
	g.phase = phaseArchiving
	return command(dst, Command{
		Kind:   CommandPut,
		Name:   ArchiveName(g.cfg.Region, g.cfg.Shard, g.nextArchive()),
		Record: Record{Entries: g.tail.Entries},
	})
}

// nextArchive names the archive of the committed tail's entries.
func (g *Grouped) nextArchive() Archive {
	a := Archive{Fencing: g.tail.Fencing, Number: g.tail.Archived + 1}
	for i := range g.tail.Entries {
		a.Newest = max(a.Newest, KeyTime(g.tail.Entries[i].Key))
	}
	return a
}

// archived empties the tail once its entries are in the archive. The next
// group commits the emptied tail together with the list of archives; until
// then the platform's tail still holds the entries.
func (g *Grouped) archived(now time.Time, res CommandResult, dst []Output) []Output {
	// The name is this holder's own and the tail has not changed since the
	// first try, so a conflict means that an earlier write took effect.
	if res.Err != nil && !errors.Is(res.Err, tpobject.ErrConflict) {
		g.fail(now)
		return g.refuseWaiting(dst)
	}
	g.succeed()
	a := g.nextArchive()
	g.tail.Archived++
	g.tail.Archives = append(append([]Archive(nil), g.tail.Archives...), a)
	g.tail.Entries = nil
	return dst
}

// removed takes the end of a deletion. The list of archives shrinks with the
// next group.
func (g *Grouped) removed(now time.Time, res CommandResult) {
	if res.Err != nil && !errors.Is(res.Err, tpobject.ErrNotFound) {
		g.fail(now)
		return
	}
	if len(g.garbage) > 0 {
		g.deleted[g.garbage[0]] = true
		g.garbage = g.garbage[1:]
	}
}
