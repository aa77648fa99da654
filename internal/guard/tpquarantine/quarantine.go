package tpquarantine

import (
	"cmp"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// entry is what the quarantine knows of one fingerprint. The request is a
// suspect while there are crashes.
type entry struct {
	fingerprint uint64
	crashes     []string // target of each crash since the last whole answer
	cleared     []string // targets of the crashes before it
	changed     time.Time
	crashed     time.Time // when this node learned of the latest crash
	allowed     string    // target of the one copy that runs under suspicion
}

func (e *entry) suspect() bool     { return len(e.crashes) > 0 }
func (e *entry) quarantined() bool { return len(e.crashes) >= MaxCrashes }

// Quarantine holds the suspects of one node. It belongs to one filter. The
// zero value has none.
type Quarantine struct {
	entries map[uint64]*entry
	copies  map[uint64][]string // targets on which this node runs a fingerprint
}

// Start takes the begin of an attempt that Place has left free.
func (q *Quarantine) Start(fingerprint uint64, target string) {
	if q.copies == nil {
		q.copies = make(map[uint64][]string)
	}
	q.copies[fingerprint] = append(q.copies[fingerprint], target)
}

// Complete takes the end of an attempt. A crash makes the request a suspect, a
// second one quarantines it, and a whole answer clears it.
func (q *Quarantine) Complete(now time.Time, c *tpmessage.Completion) {
	q.end(c.Fingerprint, c.Target)
	if c.Outcome == tpmessage.OutcomeCut && c.Lost {
		q.crash(now, c.Fingerprint, c.Target)
		return
	}
	e, ok := q.entries[c.Fingerprint]
	if !ok {
		return
	}
	if c.Target == e.allowed {
		e.allowed = ""
		if c.Outcome == tpmessage.OutcomeNotSent {
			// A copy on another node may have crashed the target. The time to
			// settle begins again, so that word of it comes first.
			e.crashed = now
		}
	}
	if c.Outcome == tpmessage.OutcomeDone && e.suspect() && !e.quarantined() {
		e.cleared = union(e.cleared, e.crashes)
		e.crashes = nil
		e.changed = now
	}
}

// end takes one copy off the record.
func (q *Quarantine) end(fingerprint uint64, target string) {
	targets := q.copies[fingerprint]
	i := slices.Index(targets, target)
	if i < 0 {
		return
	}
	if len(targets) == 1 {
		delete(q.copies, fingerprint)
		return
	}
	q.copies[fingerprint] = slices.Delete(targets, i, i+1)
}

func (q *Quarantine) crash(now time.Time, fingerprint uint64, target string) {
	e, ok := q.entries[fingerprint]
	if !ok {
		e = &entry{fingerprint: fingerprint}
		q.add(e)
	}
	// A target that was started again and crashed under the allowed copy
	// counts once more; several streams cut by one crash count once.
	if e.allowed == target || !slices.Contains(e.crashes, target) {
		e.crashes = append(e.crashes, target)
		e.crashed = now
	}
	if e.allowed == target {
		e.allowed = ""
	}
	e.cleared = slices.DeleteFunc(e.cleared, func(name string) bool { return name == target })
	e.changed = now
}

// Merge takes what a peer or the region's object tells. Word of crashes that
// are known to be cleared has no effect.
func (q *Quarantine) Merge(now time.Time, told []tpmessage.Suspect) {
	for i := range told {
		s := &told[i]
		e, known := q.entries[s.Fingerprint]
		switch {
		case len(s.Targets) == 0 || !known && s.Cleared:
		case s.Cleared:
			e.mergeCleared(now, s.Targets)
		case !known:
			e = &entry{fingerprint: s.Fingerprint}
			q.add(e)
			e.mergeCrashes(now, s.Targets)
		default:
			e.mergeCrashes(now, s.Targets)
		}
	}
}

func (e *entry) mergeCleared(now time.Time, cleared []string) {
	if e.quarantined() || within(cleared, e.cleared) {
		return
	}
	e.cleared = union(e.cleared, cleared)
	e.crashes = without(e.crashes, cleared)
	e.changed = now
}

func (e *entry) mergeCrashes(now time.Time, crashes []string) {
	crashes = without(crashes, e.cleared)
	if within(crashes, e.crashes) {
		return
	}
	e.crashes = union(e.crashes, crashes)
	e.changed = now
	e.crashed = now
}

// Tell returns what changed lately, for heartbeats. What is cleared comes
// first, so that it does not count with a later crash.
func (q *Quarantine) Tell(now time.Time) []tpmessage.Suspect {
	told := []tpmessage.Suspect{}
	for _, e := range q.sorted() {
		if now.Sub(e.changed) >= ToldFor {
			continue
		}
		if len(e.cleared) > 0 {
			told = append(told, tpmessage.Suspect{Fingerprint: e.fingerprint, Targets: slices.Clone(e.cleared), Cleared: true})
		}
		if e.suspect() {
			told = append(told, e.told())
		}
	}
	return told
}

// Quarantined returns the fingerprints that must not run again.
func (q *Quarantine) Quarantined() []tpmessage.Suspect {
	list := []tpmessage.Suspect{}
	for _, e := range q.sorted() {
		if e.quarantined() {
			list = append(list, e.told())
		}
	}
	return list
}

// All returns all remembered fingerprints. Those that are no suspects have
// Cleared set.
func (q *Quarantine) All() []tpmessage.Suspect {
	list := []tpmessage.Suspect{}
	for _, e := range q.sorted() {
		list = append(list, e.told())
	}
	return list
}

func (e *entry) told() tpmessage.Suspect {
	return tpmessage.Suspect{Fingerprint: e.fingerprint, Targets: slices.Clone(e.crashes), Cleared: !e.suspect()}
}

// Expire forgets what has been kept for long enough, and reports whether it
// forgot anything.
func (q *Quarantine) Expire(now time.Time) bool {
	before := len(q.entries)
	for fingerprint, e := range q.entries {
		age := now.Sub(e.changed)
		if age >= ClearedKept {
			e.cleared = nil
		}
		if age >= ClearedKept && !e.suspect() || age >= SuspectKept && !e.quarantined() {
			delete(q.entries, fingerprint)
		}
	}
	return len(q.entries) < before
}

// add stores an entry, in place of the one that has not changed for longest if
// there is no room.
func (q *Quarantine) add(e *entry) {
	if q.entries == nil {
		q.entries = make(map[uint64]*entry)
	}
	if len(q.entries) >= MaxKept {
		var oldest *entry
		for _, other := range q.entries {
			if oldest == nil || other.changed.Before(oldest.changed) {
				oldest = other
			}
		}
		delete(q.entries, oldest.fingerprint)
	}
	q.entries[e.fingerprint] = e
}

// sorted returns the entries by fingerprint.
func (q *Quarantine) sorted() []*entry {
	list := make([]*entry, 0, len(q.entries))
	for _, e := range q.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	return list
}
