package tpfollow

import (
	"cmp"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// LapseGrace is the grace period for a target whose registration disappeared
// while the platform was disturbed. A live target registers again within 2 s of
// the platform's return. A target that has left must get no new work after 2 s,
// and the notification takes up to 0.35 s to reach a node.
const LapseGrace = 1650 * time.Millisecond

// maxRemovals is the number of removed targets after which the older half of
// them is forgotten. It exceeds the targets of one availability zone of the
// largest region, which may be lost together.
const maxRemovals = 8192

// Registry derives the targets in use from the registrations at the platform.
// It is owned by one filter.
type Registry struct {
	targets     map[string]tpmessage.RelayTarget
	lapsedUntil map[string]time.Time // when each target without a registration is removed
	changed     bool                 // since the last call of Targets
	era         uint64
	eraBegins   bool // the next call of Set has the first view of the era
	// removals and removalsBefore hold the start of the process of each target
	// that was removed lately, in Unix milliseconds.
	removals, removalsBefore map[string]int64
	// restored holds, by target, the entry of the era's first view that may be
	// older than what the node knew of the target. It has no effect.
	restored map[string]tpmessage.RelayTarget
}

// NewRegistry returns a registry without targets.
func NewRegistry() *Registry {
	return &Registry{
		targets: make(map[string]tpmessage.RelayTarget), lapsedUntil: make(map[string]time.Time),
		removals: make(map[string]int64), restored: make(map[string]tpmessage.RelayTarget),
	}
}

// SetEra sets the era of the registrations that the next call of Set has. The
// platform's copy may be older than what the node knows. So in the first view of
// an era, an entry of a target that was removed or was missing, or of an earlier
// process of a known one, has no effect until the entry changes. Missing targets
// stay in use for LapseGrace.
func (r *Registry) SetEra(era uint64) {
	if era > r.era {
		r.era, r.eraBegins = era, true
	}
}

// Set replaces the registrations. If missing ones may have lapsed, their targets
// stay in use for LapseGrace.
func (r *Registry) Set(now time.Time, list []tpmessage.RelayTarget, mayHaveLapsed bool) {
	eraBegins := r.eraBegins
	r.eraBegins = false
	restoredBefore := r.restored
	r.restored = make(map[string]tpmessage.RelayTarget)
	present := make(map[string]bool, len(list))
	for _, t := range list {
		if r.isRestored(t, restoredBefore, eraBegins) {
			r.restored[t.Name] = t
			continue
		}
		present[t.Name] = true
		delete(r.removals, t.Name)
		delete(r.removalsBefore, t.Name)
		old, known := r.targets[t.Name]
		// A process that has announced that it drains cannot revoke it. A new
		// process with the same name starts without the mark.
		if known && old.Draining && old.StartedMs == t.StartedMs {
			t.Draining = true
		}
		delete(r.lapsedUntil, t.Name)
		if !known || old != t {
			r.targets[t.Name] = t
			r.changed = true
		}
	}
	for name, t := range r.targets {
		if present[name] {
			continue
		}
		if _, lapsed := r.lapsedUntil[name]; lapsed && !eraBegins {
			continue
		}
		if eraBegins || mayHaveLapsed && !t.Draining {
			r.lapsedUntil[name] = now.Add(LapseGrace)
			continue
		}
		r.remove(name)
	}
}

// isRestored reports whether an entry is older than what the node knew before
// the platform was restored: the target was removed, its registration had
// disappeared, or it had a later process, and the entry is the one of the era's
// first view. A live target writes its entry again.
func (r *Registry) isRestored(t tpmessage.RelayTarget, restoredBefore map[string]tpmessage.RelayTarget, eraBegins bool) bool {
	before, wasRestored := restoredBefore[t.Name]
	if !eraBegins {
		return wasRestored && before == t
	}
	if wasRestored && t.StartedMs <= before.StartedMs {
		return true
	}
	if known, ok := r.targets[t.Name]; ok {
		_, lapsed := r.lapsedUntil[t.Name]
		return t.StartedMs < known.StartedMs || lapsed && t.StartedMs == known.StartedMs
	}
	startedMs, ok := r.removals[t.Name]
	if !ok {
		startedMs, ok = r.removalsBefore[t.Name]
	}
	return ok && t.StartedMs <= startedMs
}

// Targets returns the targets in use, sorted by name, and true if they have
// changed since the last call. Otherwise it returns nil and false.
func (r *Registry) Targets(now time.Time) ([]tpmessage.RelayTarget, bool) {
	for name, until := range r.lapsedUntil {
		if !now.Before(until) {
			r.remove(name)
		}
	}
	changed := r.changed
	r.changed = false
	if !changed {
		return nil, false
	}
	list := make([]tpmessage.RelayTarget, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b tpmessage.RelayTarget) int { return cmp.Compare(a.Name, b.Name) })
	return list, true
}

func (r *Registry) remove(name string) {
	if len(r.removals) >= maxRemovals/2 {
		r.removals, r.removalsBefore = make(map[string]int64), r.removals
	}
	r.removals[name] = r.targets[name].StartedMs
	delete(r.targets, name)
	delete(r.lapsedUntil, name)
	r.changed = true
}
