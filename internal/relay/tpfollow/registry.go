package tpfollow

import (
	"cmp"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// LapseGrace is how long a target whose registration vanished while the
// platform was disturbed is still used. A live target registers again within
// two seconds of the platform's return; a target that has left may get no new
// work two seconds later, of which the news takes up to 0.3 s to reach a node.
const LapseGrace = 1700 * time.Millisecond

// Registry turns the registrations that a node has seen into the targets that
// it uses. It belongs to one filter.
type Registry struct {
	targets map[string]tpmessage.RelayTarget
	lapsed  map[string]time.Time // when the target is dropped
	changed bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: make(map[string]tpmessage.RelayTarget), lapsed: make(map[string]time.Time)}
}

// Set takes the present registrations. Disturbed tells whether the platform
// has recently failed.
func (r *Registry) Set(now time.Time, list []tpmessage.RelayTarget, disturbed bool) {
	present := make(map[string]bool, len(list))
	for _, t := range list {
		present[t.Name] = true
		old, known := r.targets[t.Name]
		// A process that announced its end does not take it back; a new one
		// under its name does.
		if known && old.Draining && old.Born == t.Born {
			t.Draining = true
		}
		delete(r.lapsed, t.Name)
		if !known || old != t {
			r.targets[t.Name] = t
			r.changed = true
		}
	}
	for name, t := range r.targets {
		if present[name] {
			continue
		}
		if _, waiting := r.lapsed[name]; waiting {
			continue
		}
		if disturbed && !t.Draining {
			r.lapsed[name] = now.Add(LapseGrace)
			continue
		}
		r.drop(name)
	}
}

// Targets returns the targets in use and whether they have changed since the
// last call.
func (r *Registry) Targets(now time.Time) ([]tpmessage.RelayTarget, bool) {
	for name, until := range r.lapsed {
		if !now.Before(until) {
			r.drop(name)
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

func (r *Registry) drop(name string) {
	delete(r.targets, name)
	delete(r.lapsed, name)
	r.changed = true
}
