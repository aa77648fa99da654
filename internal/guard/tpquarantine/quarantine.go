package tpquarantine

import (
	"cmp"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// entry is the state of one fingerprint. The request is a suspect while crashes
// is not empty.
type entry struct {
	fingerprint     uint64
	crashes         []string  // target of each crash since the last complete answer
	clearedCrashes  []string  // targets of the crashes before the last complete answer
	changedAt       time.Time // time of the last change of crashes or clearedCrashes
	crashedAt       time.Time // when this node learned of the latest crash
	exclusiveTarget string    // target of the only copy that runs while the request is a suspect
}

func (e *entry) suspect() bool     { return len(e.crashes) > 0 }
func (e *entry) quarantined() bool { return len(e.crashes) >= MaxCrashes }

// Quarantine holds the suspects of one node. It belongs to one filter and is
// not safe for concurrent use. The zero value has no suspects.
type Quarantine struct {
	entries map[uint64]*entry
	copies  map[uint64][]string // targets at which this node runs the copies of a fingerprint
}

// Start records the start of an attempt for which Place returned RunAnywhere.
func (q *Quarantine) Start(fingerprint uint64, target string) {
	if q.copies == nil {
		q.copies = make(map[uint64][]string)
	}
	q.copies[fingerprint] = append(q.copies[fingerprint], target)
}

// Complete records the end of an attempt. A crash makes the request a suspect,
// and MaxCrashes crashes quarantine it. A complete answer clears a suspect.
func (q *Quarantine) Complete(now time.Time, c *tpmessage.Completion) {
	q.removeCopy(c.Fingerprint, c.Target)
	if c.Outcome == tpmessage.OutcomeInterrupted && c.Lost {
		q.recordCrash(now, c.Fingerprint, c.Target)
		return
	}
	e, ok := q.entries[c.Fingerprint]
	if !ok {
		return
	}
	if c.Target == e.exclusiveTarget {
		e.exclusiveTarget = ""
		if c.Outcome == tpmessage.OutcomeNotSent {
			// A copy on another node may have crashed the target. The settle
			// time starts again, so that the report of that crash arrives
			// first.
			e.crashedAt = now
		}
	}
	if c.Outcome == tpmessage.OutcomeDone && e.suspect() && !e.quarantined() {
		e.clearedCrashes = union(e.clearedCrashes, e.crashes)
		e.crashes = nil
		e.changedAt = now
	}
}

// removeCopy removes one copy of the fingerprint at the target.
func (q *Quarantine) removeCopy(fingerprint uint64, target string) {
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

func (q *Quarantine) recordCrash(now time.Time, fingerprint uint64, target string) {
	e, ok := q.entries[fingerprint]
	if !ok {
		e = &entry{fingerprint: fingerprint}
		q.add(e)
	}
	// A target that restarted and crashed under the exclusive copy counts
	// again. Several streams that were interrupted by one crash count once.
	if e.exclusiveTarget == target || !slices.Contains(e.crashes, target) {
		e.crashes = append(e.crashes, target)
		e.crashedAt = now
	}
	if e.exclusiveTarget == target {
		e.exclusiveTarget = ""
	}
	e.clearedCrashes = slices.DeleteFunc(e.clearedCrashes, func(name string) bool { return name == target })
	e.changedAt = now
}

// Merge adds the suspects that a peer or the region's object reports. Reports
// of crashes that are already cleared have no effect.
func (q *Quarantine) Merge(now time.Time, suspects []tpmessage.SuspectRequest) {
	for i := range suspects {
		s := &suspects[i]
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

func (e *entry) mergeCleared(now time.Time, clearedCrashes []string) {
	if e.quarantined() || isSubset(clearedCrashes, e.clearedCrashes) {
		return
	}
	e.clearedCrashes = union(e.clearedCrashes, clearedCrashes)
	e.crashes = difference(e.crashes, clearedCrashes)
	e.changedAt = now
}

func (e *entry) mergeCrashes(now time.Time, crashes []string) {
	crashes = difference(crashes, e.clearedCrashes)
	if isSubset(crashes, e.crashes) {
		return
	}
	e.crashes = union(e.crashes, crashes)
	e.changedAt = now
	e.crashedAt = now
}

// RecentChanges returns the recent changes for heartbeats. Cleared crashes come
// before the other crashes of a fingerprint, so that the receiver does not add
// them to a later crash.
func (q *Quarantine) RecentChanges(now time.Time) []tpmessage.SuspectRequest {
	report := []tpmessage.SuspectRequest{}
	for _, e := range q.sorted() {
		if now.Sub(e.changedAt) >= ReportPeriod {
			continue
		}
		if len(e.clearedCrashes) > 0 {
			report = append(report, tpmessage.SuspectRequest{Fingerprint: e.fingerprint, Targets: slices.Clone(e.clearedCrashes), Cleared: true})
		}
		if e.suspect() {
			report = append(report, e.report())
		}
	}
	return report
}

// Quarantined returns the fingerprints that must not run again, in ascending
// order.
func (q *Quarantine) Quarantined() []tpmessage.SuspectRequest {
	list := []tpmessage.SuspectRequest{}
	for _, e := range q.sorted() {
		if e.quarantined() {
			list = append(list, e.report())
		}
	}
	return list
}

// All returns all fingerprints in ascending order. Cleared is set for those
// that are not suspects.
func (q *Quarantine) All() []tpmessage.SuspectRequest {
	list := []tpmessage.SuspectRequest{}
	for _, e := range q.sorted() {
		list = append(list, e.report())
	}
	return list
}

func (e *entry) report() tpmessage.SuspectRequest {
	return tpmessage.SuspectRequest{Fingerprint: e.fingerprint, Targets: slices.Clone(e.crashes), Cleared: !e.suspect()}
}

// Expire removes the entries whose retention has ended, and reports whether it
// removed any.
func (q *Quarantine) Expire(now time.Time) bool {
	before := len(q.entries)
	for fingerprint, e := range q.entries {
		age := now.Sub(e.changedAt)
		if age >= ClearedRetention {
			e.clearedCrashes = nil
		}
		if age >= ClearedRetention && !e.suspect() || age >= SuspectRetention && !e.quarantined() {
			delete(q.entries, fingerprint)
		}
	}
	return len(q.entries) < before
}

// add stores an entry. If the quarantine is full, it replaces the one whose
// last change is oldest.
func (q *Quarantine) add(e *entry) {
	if q.entries == nil {
		q.entries = make(map[uint64]*entry)
	}
	if len(q.entries) >= MaxEntries {
		var oldest *entry
		for _, other := range q.entries {
			if oldest == nil || other.changedAt.Before(oldest.changedAt) {
				oldest = other
			}
		}
		delete(q.entries, oldest.fingerprint)
	}
	q.entries[e.fingerprint] = e
}

// sorted returns the entries in ascending order of fingerprints.
func (q *Quarantine) sorted() []*entry {
	list := make([]*entry, 0, len(q.entries))
	for _, e := range q.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	return list
}
