package tpcrash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// MaxCrashes is the number of crashes without an answer in between after
	// which a key is quarantined. With two, requests that only ran beside the
	// cause would often be quarantined as well.
	MaxCrashes = 3
	// QuarantineTime is the time from the last crash of a key to the end of its
	// quarantine. One further crash then starts it again.
	QuarantineTime = 5 * time.Minute
	// suspectRetention is the time for which crashes are kept that neither an
	// answer nor a further crash follows.
	suspectRetention = 10 * time.Minute
	// clearedRetention exceeds QuarantineTime, so that a node that was cut off
	// cannot bring cleared crashes back.
	clearedRetention = QuarantineTime + time.Minute
	// maxEntries bounds the keys that are kept.
	maxEntries = 4096
	// maxCrashIDs and maxClearedIDs bound the crashes that are kept for a key.
	maxCrashIDs   = 16
	maxClearedIDs = 32
	// maxReportedIDs bounds the crashes and the cleared crashes that a report
	// holds for a key.
	maxReportedIDs = 16
	// MaxReported bounds the entries of one report to peers, and what is
	// accepted from one.
	MaxReported = 128
	// maxIDBytes bounds a crash ID that a peer reports.
	maxIDBytes = 256
	// maxSharedBodyBytes is the size up to which the body of an answered request
	// is hashed although there is no evidence. Many clients may send the same
	// small body, or none, to one path.
	maxSharedBodyBytes = 4 << 10
	// trialInterval is the time between two requests that pass a quarantine as
	// a trial, and failedTrialInterval that after a trial that has crashed its
	// target.
	trialInterval       = 500 * time.Millisecond
	failedTrialInterval = 30 * time.Second
	// ownGrace and peerGrace are the times after the begin of a quarantine in
	// which the crashes of one outage become known to this node. Evidence of
	// peers takes up to two seconds in a large region.
	ownGrace  = 400 * time.Millisecond
	peerGrace = 2 * time.Second
)

// Change is the begin or the end of a quarantine.
type Change struct {
	Key         uint64
	Quarantined bool
	Own         bool     // a crash or an answer at this node caused it
	Expired     bool     // the quarantine ended by time
	Crashes     []string // at the begin of the quarantine
	Answered    bool     // this node has lately seen answers to requests with the key
	// At is the time of the change in a result of LastChanges, or zero.
	At time.Time
}

// Guard holds the evidence of one node. It belongs to one filter and is not
// safe for concurrent use. The zero value has no evidence.
//
// Answers clear the keys of a popular part at once as long as requests with it
// are answered. Two rules free it if none is answered, as when all targets
// crash together: a key whose crashes are all those of another quarantined key,
// which a request does not carry, does not stop that request; and a key that
// was answered shortly before lets a single request pass from time to time.
type Guard struct {
	// TrialDelay is the time without a trial of this node after the begin of a
	// quarantine that rests on silent crashes. Nodes have different delays,
	// because the failure of such a trial becomes known late.
	TrialDelay time.Duration

	entries          map[uint64]*entry
	quarantinedCount int
	// begun holds the keys of which an answer has lately begun at this node, and
	// completed those of which one was completed.
	begun, completed answers
	changes          []Change
	// processes holds the registered processes by target, and ended those that
	// have lately ended, oldest first. silenceCount counts the silences of the
	// former.
	processes    map[string]*process
	ended        []*process
	silenceCount int
	// soleEnds holds the unplanned ends of processes without another one in
	// their pool, oldest first.
	soleEnds []soleEnd
}

// RecordCrash records that a target ended an exchange before any part of the
// answer arrived. ID is the result of CrashID.
func (g *Guard) RecordCrash(now time.Time, req *tpmessage.RelayRequest, id string) {
	for _, key := range Keys(req) {
		e := g.entry(now, key)
		e.noteTrial(now, ownGrace)
		if len(e.addCrashes(now, []string{id})) > 0 {
			g.update(now, e, Change{Own: true})
		}
	}
}

// RecordBegin records that a target has begun to stream an answer. It clears the
// keys of the request of all crashes known so far, except for those in the
// middle of an answer.
func (g *Guard) RecordBegin(now time.Time, req *tpmessage.RelayRequest) {
	keys := g.answeredKeys(req)
	g.begun.record(now, now, keys)
	g.clearKeys(now, keys, func(id string) bool { return !isBegun(id) })
}

// RecordAnswer records that a target has completed an answer with success. It
// clears the keys of the request of all crashes known so far.
func (g *Guard) RecordAnswer(now time.Time, req *tpmessage.RelayRequest) {
	keys := g.answeredKeys(req)
	g.begun.record(now, now, keys)
	g.completed.record(now, now, keys)
	g.clearKeys(now, keys, func(string) bool { return true })
}

// answeredKeys returns the keys of an answered request that are kept.
func (g *Guard) answeredKeys(req *tpmessage.RelayRequest) []uint64 {
	if len(g.entries) > 0 || g.silenceCount > 0 || len(req.Body) <= maxSharedBodyBytes {
		return Keys(req)
	}
	return PartKeys(req)
}

// clearKeys clears the keys of the crashes for which isCleared returns true.
func (g *Guard) clearKeys(now time.Time, keys []uint64, isCleared func(id string) bool) {
	for _, key := range keys {
		e, known := g.entries[key]
		if !known {
			continue
		}
		ids := slices.DeleteFunc(slices.Clone(e.crashes), func(id string) bool { return !isCleared(id) })
		if e.clear(now, ids) {
			g.update(now, e, Change{Own: true})
		}
	}
}

// recentlyAnswered reports whether requests with the key of e were lately
// answered. With a crash in the middle of an answer, only whole answers count.
func (g *Guard) recentlyAnswered(e *entry) bool {
	if slices.ContainsFunc(e.crashes, isBegun) {
		return g.completed.has(e.key)
	}
	return g.begun.has(e.key)
}

// isExcused reports whether a request with the key was answered since the
// request of a crash was sent: with a whole answer, if the crash came in the
// middle of one.
func (g *Guard) isExcused(key uint64, id *parsedID) bool {
	if id.begun {
		return g.completed.after(key, id.sentAt)
	}
	return g.begun.after(key, id.sentAt)
}

// Check reports whether a request must not be sent to a target, and the
// quarantined key for which it is refused.
func (g *Guard) Check(now time.Time, req *tpmessage.RelayRequest) (key uint64, refused bool) {
	if g.quarantinedCount == 0 {
		return 0, false
	}
	keys := Keys(req)
	var passed []*entry
	for _, key := range keys {
		e, known := g.entries[key]
		if !known || !e.quarantined || g.explained(e, keys) {
			continue
		}
		if !g.allowsTrial(now, e) {
			return key, true
		}
		passed = append(passed, e)
	}
	for _, e := range passed {
		e.triedAt = now
	}
	return 0, false
}

// explained reports whether a quarantined key that is not among keys explains
// the crashes of e.
func (g *Guard) explained(e *entry, keys []uint64) bool {
	for _, other := range g.entries {
		if !other.quarantined || slices.Contains(keys, other.key) || !other.explains(e) {
			continue
		}
		// At an outage, the ends of silent processes alone don't tell a popular key
		// from the cause.
		if !other.restsOnSilence() || !g.recentlyAnswered(other) {
			return true
		}
	}
	return false
}

// allowsTrial reports whether a request may pass although it carries the
// quarantined key of e.
func (g *Guard) allowsTrial(now time.Time, e *entry) bool {
	if !g.recentlyAnswered(e) || now.Before(e.heldUntil) {
		return false
	}
	if e.restsOnSilence() && now.Sub(e.quarantinedAt) < g.TrialDelay {
		return false
	}
	if e.trialFailed {
		return now.Sub(e.triedAt) >= failedTrialInterval
	}
	return now.Sub(e.triedAt) >= trialInterval
}

// Merge adds the evidence that a peer reports. Crashes that are already cleared
// do not count; the clearance is then reported again.
func (g *Guard) Merge(now time.Time, reports []tpmessage.SuspectRequest) {
	for i := range reports[:min(len(reports), 2*MaxReported)] {
		r := &reports[i]
		ids := acceptableIDs(r.Targets)
		if len(ids) == 0 {
			continue
		}
		e := g.entry(now, r.Fingerprint)
		if r.Cleared {
			if e.clear(now, ids) {
				g.update(now, e, Change{})
			}
			continue
		}
		if r.Answered {
			g.begun.record(now, time.Time{}, []uint64{r.Fingerprint})
			g.completed.record(now, time.Time{}, []uint64{r.Fingerprint})
		}
		if answered := g.answeredSilences(r.Fingerprint, ids); len(answered) > 0 && e.clear(now, answered) {
			g.update(now, e, Change{Own: true})
		}
		e.repeatClearance(now, ids)
		if added := e.addCrashes(now, ids); len(added) > 0 {
			g.notePeerTrials(now, e, added)
			g.update(now, e, Change{})
		}
	}
}

// notePeerTrials marks the trials of a key as failed if one of the crashes that
// a peer reports followed the begin of the quarantine.
func (g *Guard) notePeerTrials(now time.Time, e *entry, ids []string) {
	for _, id := range ids {
		if parsed := parseCrashID(id); parsed.silent {
			e.noteSilentTrial(parsed.sentAt, peerGrace)
		} else {
			e.noteTrial(now, peerGrace)
		}
	}
}

// answeredSilences returns the silent crashes among ids since whose request was
// sent this node has seen an answer to the key.
func (g *Guard) answeredSilences(key uint64, ids []string) []string {
	if !g.begun.has(key) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		parsed := parseCrashID(id)
		return !parsed.silent || !g.isExcused(key, &parsed)
	})
}

func acceptableIDs(ids []string) []string {
	ids = ids[:min(len(ids), maxReportedIDs)]
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == "" || len(id) > maxIDBytes })
}

// Report returns the evidence for peers: all quarantined keys and the changes
// within period, at most MaxReported keys, with the newest changes first. The
// clearances of a key come before its crashes.
func (g *Guard) Report(now time.Time, period time.Duration) []tpmessage.SuspectRequest {
	var due []*entry
	for _, e := range g.entries {
		if e.quarantined || now.Sub(e.announcedAt) < period {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(b.evictionRank()/2-a.evictionRank()/2, b.announcedAt.Compare(a.announcedAt), cmp.Compare(a.key, b.key))
	})
	var reports []tpmessage.SuspectRequest
	for _, e := range due[:min(len(due), MaxReported)] {
		if len(e.cleared) > 0 {
			newest := e.cleared[max(0, len(e.cleared)-maxReportedIDs):]
			reports = append(reports, tpmessage.SuspectRequest{Fingerprint: e.key, Targets: slices.Clone(newest), Cleared: true})
		}
		if len(e.crashes) > 0 {
			reports = append(reports, tpmessage.SuspectRequest{Fingerprint: e.key, Targets: slices.Clone(e.crashes)})
		}
	}
	return reports
}

// Expire ends quarantines and removes evidence by time.
func (g *Guard) Expire(now time.Time) {
	g.expireSilences(now)
	for key, e := range g.entries {
		if !e.quarantined && g.separateCrashes(now, e) {
			g.update(now, e, Change{Own: true})
		}
		switch {
		case e.quarantined && now.Sub(e.crashedAt) >= QuarantineTime:
			e.clear(now, slices.Clone(e.crashes[:len(e.crashes)-MaxCrashes+1]))
			g.update(now, e, Change{Expired: true})
		case !e.quarantined && now.Sub(e.changedAt) >= e.retention():
			delete(g.entries, key)
		}
	}
}

// TakeChanges returns the begins and ends of quarantines since the last call.
func (g *Guard) TakeChanges() []Change {
	changes := g.changes
	g.changes = nil
	return changes
}

// LastChanges returns, oldest first, the begins of the present quarantines and
// the ends of those that did not end by time, as far as the evidence is kept. A
// platform that has lost what was stored of them gets it again.
func (g *Guard) LastChanges() []Change {
	var changes []Change
	for _, e := range g.entries {
		if !e.lastChange.At.IsZero() && !e.lastChange.Expired {
			changes = append(changes, e.lastChange)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// update begins or ends the quarantine of an entry whose crashes have changed.
// Cause holds the Own and Expired fields of the change.
func (g *Guard) update(now time.Time, e *entry, cause Change) {
	quarantined := g.countCrashes(e) >= MaxCrashes
	if quarantined == e.quarantined {
		return
	}
	e.quarantined, e.quarantinedAt, e.triedAt, e.trialFailed = quarantined, now, now, false
	e.heldUntil = time.Time{}
	cause.Key, cause.Quarantined = e.key, quarantined
	if quarantined {
		g.quarantinedCount++
		cause.Crashes = slices.Clone(e.crashes)
		cause.Answered = g.recentlyAnswered(e)
	} else {
		g.quarantinedCount--
	}
	g.changes = append(g.changes, cause)
	e.lastChange = cause
	e.lastChange.At = now
}

// entry returns the entry of a key. If the table is full, a new entry replaces
// the oldest ones of the lowest eviction rank.
func (g *Guard) entry(now time.Time, key uint64) *entry {
	if e, known := g.entries[key]; known {
		return e
	}
	if g.entries == nil {
		g.entries = make(map[uint64]*entry)
	}
	if len(g.entries) >= maxEntries {
		g.evict(now)
	}
	e := &entry{key: key, changedAt: now}
	g.entries[key] = e
	return e
}

// evict removes an eighth of the entries, so that the table is sorted rarely.
func (g *Guard) evict(now time.Time) {
	list := slices.Collect(maps.Values(g.entries))
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.evictionRank(), b.evictionRank()), a.changedAt.Compare(b.changedAt))
	})
	for _, e := range list[:len(list)/8] {
		if e.quarantined {
			e.crashes = nil
			g.update(now, e, Change{Expired: true})
		}
		delete(g.entries, e.key)
	}
}
