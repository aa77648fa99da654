package tpcrash

import (
	"slices"
	"time"
)

// entry is the evidence about one key.
type entry struct {
	key         uint64
	crashes     []string // IDs of the crashes since the last answer, oldest first
	cleared     []string // IDs of crashes that do not count, oldest first
	changedAt   time.Time
	announcedAt time.Time // from when the entry is reported to peers for announcePeriod
	crashedAt   time.Time // when this node learned of the latest crash
	suspectedAt time.Time // no crash is older; not set without crashes
	quarantined bool
	// quarantinedAt is the begin of the quarantine, and triedAt the time of the
	// last trial or of the begin.
	quarantinedAt, triedAt time.Time
	trialFailed            bool      // a crash followed the begin of the quarantine
	heldUntil              time.Time // until then there is no trial, because one is unanswered
	lastChange             Change    // the last begin or end of a quarantine
}

// addCrashes adds the crashes that are new, and returns them.
func (e *entry) addCrashes(now time.Time, ids []string) []string {
	var added []string
	isFirst := len(e.crashes) == 0
	for _, id := range ids {
		if !e.addCrash(id) {
			continue
		}
		added = append(added, id)
		at := now.Add(-peerGrace)
		if parsed := parseCrashID(id); parsed.silent {
			at = parsed.sentAt
		}
		if isFirst || at.Before(e.suspectedAt) {
			e.suspectedAt, isFirst = at, false
		}
	}
	if len(added) > 0 {
		e.changedAt, e.announcedAt, e.crashedAt = now, now, now
	}
	return added
}

// addCrash returns false if the crash is known, cleared or one too many. A reset
// replaces the silence of the same process, and a silence that is no outage's one
// that may be.
func (e *entry) addCrash(id string) bool {
	if indexProcess(e.cleared, id) >= 0 {
		return false
	}
	if i := indexProcess(e.crashes, id); i >= 0 {
		added, known := parseCrashID(id), parseCrashID(e.crashes[i])
		if !known.silent || added.silent && (known.separate || !added.separate) {
			return false
		}
		e.crashes[i] = id
		return true
	}
	// One outage may end more processes than there is room for.
	if len(e.crashes) >= maxCrashIDs || len(e.crashes) >= maxCrashIDs/2 && e.knowsOutage(id) {
		return false
	}
	e.crashes = append(e.crashes, id)
	return true
}

// knowsOutage reports whether one event may have caused a silent crash and one
// that is known.
func (e *entry) knowsOutage(id string) bool {
	parsed := parseCrashID(id)
	return parsed.silent && slices.ContainsFunc(e.crashes, func(known string) bool {
		other := parseCrashID(known)
		return other.silent && parsed.sameOutage(&other)
	})
}

// noteTrial marks the trials of a quarantined key as failed if a crash follows
// the begin of the quarantine by more than grace: those before it may belong to
// the same outage.
func (e *entry) noteTrial(now time.Time, grace time.Duration) {
	e.trialFailed = e.trialFailed || e.quarantined && now.Sub(e.quarantinedAt) > grace
}

// noteSilentTrial is noteTrial for a silent crash. The end of its process
// becomes known long after the request was sent at sentAt.
func (e *entry) noteSilentTrial(sentAt time.Time, grace time.Duration) {
	e.trialFailed = e.trialFailed || e.quarantined && sentAt.Sub(e.quarantinedAt) > grace
}

// clear makes crashes count no longer, whether they are known or not. It
// returns false if nothing changes.
func (e *entry) clear(now time.Time, ids []string) bool {
	changed := false
	for _, id := range ids {
		if indexProcess(e.cleared, id) < 0 {
			e.cleared = append(e.cleared, id)
			changed = true
		}
	}
	if !changed {
		return false
	}
	e.cleared = e.cleared[max(0, len(e.cleared)-maxClearedIDs):]
	e.crashes = slices.DeleteFunc(e.crashes, func(id string) bool { return indexProcess(ids, id) >= 0 })
	e.changedAt, e.announcedAt = now, now
	return true
}

// repeatClearance reports the clearance of crashes again that a peer still
// counts.
func (e *entry) repeatClearance(now time.Time, ids []string) {
	for _, id := range ids {
		if i := indexProcess(e.cleared, id); i >= 0 {
			// Reports hold the newest IDs only, so the ID moves to the end.
			e.cleared = append(slices.Delete(e.cleared, i, i+1), id)
			e.announcedAt = now
		}
	}
}

// explains reports whether each crash of other is also one of e.
func (e *entry) explains(other *entry) bool {
	return !slices.ContainsFunc(other.crashes, func(id string) bool { return indexProcess(e.crashes, id) < 0 })
}

// restsOnSilence reports whether resets alone would not quarantine the key.
func (e *entry) restsOnSilence() bool {
	resets := 0
	for _, id := range e.crashes {
		if !isSilent(id) {
			resets++
		}
	}
	return resets < MaxCrashes
}

// evictionRank orders the entries of a full table: those with the lowest rank
// are removed first.
func (e *entry) evictionRank() int {
	switch {
	case e.quarantined:
		return 2
	case len(e.crashes) > 0:
		return 1
	}
	return 0
}

// retention returns the time after the last change at which the entry is
// removed.
func (e *entry) retention() time.Duration {
	if len(e.crashes) == 0 {
		return clearedRetention
	}
	return suspectRetention
}
