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

// Registry derives the targets in use from the registrations at the platform.
// It is owned by one filter.
type Registry struct {
	targets     map[string]tpmessage.RelayTarget
	lapsedUntil map[string]time.Time // when each target without a registration is removed
	changed     bool                 // since the last call of Targets
}

// NewRegistry returns a registry without targets.
func NewRegistry() *Registry {
	return &Registry{targets: make(map[string]tpmessage.RelayTarget), lapsedUntil: make(map[string]time.Time)}
}

// Set replaces the registrations. If missing ones may have lapsed, their targets
// stay in use for LapseGrace.
func (r *Registry) Set(now time.Time, list []tpmessage.RelayTarget, mayHaveLapsed bool) {
	present := make(map[string]bool, len(list))
	for _, t := range list {
		present[t.Name] = true
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
		if _, lapsed := r.lapsedUntil[name]; lapsed {
			continue
		}
		if mayHaveLapsed && !t.Draining {
			r.lapsedUntil[name] = now.Add(LapseGrace)
			continue
		}
		r.remove(name)
	}
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
	delete(r.targets, name)
	delete(r.lapsedUntil, name)
	r.changed = true
}
