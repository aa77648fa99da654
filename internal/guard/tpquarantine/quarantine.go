package tpquarantine

import (
	"cmp"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// entry is what the quarantine knows of one fingerprint.
type entry struct {
	tpmessage.Suspect
	changed time.Time
	crashed time.Time // when this node learned of the latest crash
	allowed string    // target of the one copy that runs under suspicion
}

// Quarantined reports whether the request must not run again.
func (e *entry) Quarantined() bool { return Quarantined(&e.Suspect) }

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
	}
	if c.Outcome == tpmessage.OutcomeDone && !e.Cleared && !e.Quarantined() {
		e.Cleared = true
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
		e = &entry{Suspect: tpmessage.Suspect{Fingerprint: fingerprint}}
		q.add(e)
	}
	if e.Cleared {
		e.Cleared = false
		e.Targets = nil
	}
	// A target that was started again and crashed under the allowed copy
	// counts once more; several streams cut by one crash count once.
	if e.allowed == target || !slices.Contains(e.Targets, target) {
		e.Targets = append(e.Targets, target)
	}
	if e.allowed == target {
		e.allowed = ""
	}
	e.changed = now
	e.crashed = now
}

// Merge takes what a peer or the region's object tells.
func (q *Quarantine) Merge(now time.Time, told []tpmessage.Suspect) {
	for _, s := range told {
		if len(s.Targets) == 0 {
			continue
		}
		e, ok := q.entries[s.Fingerprint]
		switch {
		case !ok && s.Cleared:
		case !ok:
			q.add(&entry{Suspect: tpmessage.Suspect{Fingerprint: s.Fingerprint, Targets: slices.Clone(s.Targets)}, changed: now, crashed: now})
		case s.Cleared:
			if !e.Cleared && !e.Quarantined() && within(e.Targets, s.Targets) {
				e.Cleared = true
				e.changed = now
			}
		case e.Cleared:
			if !within(s.Targets, e.Targets) {
				e.Cleared = false
				e.Targets = slices.Clone(s.Targets)
				e.changed = now
				e.crashed = now
			}
		case !within(s.Targets, e.Targets):
			e.Targets = union(e.Targets, s.Targets)
			e.changed = now
			e.crashed = now
		}
	}
}

// Tell returns the fingerprints that changed lately, for heartbeats.
func (q *Quarantine) Tell(now time.Time) []tpmessage.Suspect {
	return q.list(func(e *entry) bool { return now.Sub(e.changed) < ToldFor })
}

// Quarantined returns the fingerprints that must not run again.
func (q *Quarantine) Quarantined() []tpmessage.Suspect { return q.list((*entry).Quarantined) }

// All returns all fingerprints, cleared ones too.
func (q *Quarantine) All() []tpmessage.Suspect { return q.list(func(*entry) bool { return true }) }

// Expire forgets what has been kept for long enough, and reports whether it
// forgot anything.
func (q *Quarantine) Expire(now time.Time) bool {
	before := len(q.entries)
	for fingerprint, e := range q.entries {
		age := now.Sub(e.changed)
		if e.Cleared && age >= ClearedKept || !e.Quarantined() && age >= SuspectKept {
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
		delete(q.entries, oldest.Fingerprint)
	}
	q.entries[e.Fingerprint] = e
}

// list returns the chosen suspects, sorted by fingerprint.
func (q *Quarantine) list(chosen func(*entry) bool) []tpmessage.Suspect {
	suspects := []tpmessage.Suspect{}
	for _, e := range q.entries {
		if chosen(e) {
			s := e.Suspect
			s.Targets = slices.Clone(e.Targets)
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, func(a, b tpmessage.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return suspects
}
