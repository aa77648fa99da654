package tpmember

import (
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// LeavingKept is the time for which a peer's word that a target is leaving
// holds without being refreshed. It outlasts several heartbeats, so that a
// lost one does not bring new work to the target.
const LeavingKept = 10 * time.Second

// LeavingTargets decides which targets take no new work, from this node's own signals
// and from those of its peers. It belongs to one filter. The zero value knows
// no leaving target.
type LeavingTargets struct {
	drains  map[string]bool
	orders  map[string]bool
	vms     map[string]bool
	reports map[string]time.Time // to the time of the report
	peers   map[string]time.Time // to the time of the peer's signal
}

// Drain replaces the targets that the configuration drains.
func (l *LeavingTargets) Drain(names []string) { l.drains = set(names) }

// Orders replaces the targets that are drained for an order. Every node reads
// them from the platform, so peers are not told; their word would keep an
// engine out of use for LeavingKept after its order has ended.
func (l *LeavingTargets) Orders(names []string) { l.orders = set(names) }

// VMs replaces the targets that the platform's list shows as leaving.
func (l *LeavingTargets) VMs(names []string) { l.vms = set(names) }

// Report takes a target's own word. The latest report counts.
func (l *LeavingTargets) Report(rep tpmessage.LoadReport) {
	if l.reports == nil {
		l.reports = make(map[string]time.Time)
	}
	at, known := l.reports[rep.Target]
	switch {
	case rep.Leaving && at.Before(rep.At):
		l.reports[rep.Target] = rep.At
	case known && !rep.Leaving && at.Before(rep.At):
		delete(l.reports, rep.Target)
	}
}

// Merge takes the word of a peer.
func (l *LeavingTargets) Merge(now time.Time, told []tpmessage.LeavingTarget) {
	if l.peers == nil {
		l.peers = make(map[string]time.Time)
	}
	for _, t := range told {
		seen := now.Add(-max(0, t.Age))
		if l.peers[t.Name].Before(seen) {
			l.peers[t.Name] = seen
		}
	}
}

// Tell returns what peers are to be told, sorted by name. A signal of this
// node's own has age zero; what peers told keeps its age, so that word of a
// target that stays dies out.
func (l *LeavingTargets) Tell(now time.Time) []tpmessage.LeavingTarget {
	ages := make(map[string]time.Duration)
	for name, seen := range l.peers {
		if age := now.Sub(seen); age < LeavingKept {
			ages[name] = age
			continue
		}
		delete(l.peers, name)
	}
	for name := range l.reports {
		ages[name] = 0
	}
	for name := range l.vms {
		ages[name] = 0
	}
	for name := range l.drains {
		ages[name] = 0
	}
	told := make([]tpmessage.LeavingTarget, 0, len(ages))
	for name, age := range ages {
		told = append(told, tpmessage.LeavingTarget{Name: name, Age: age})
	}
	slices.SortFunc(told, func(a, b tpmessage.LeavingTarget) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return told
}

// Names returns the names of all leaving targets, sorted.
func (l *LeavingTargets) Names(now time.Time) []string {
	names := make(map[string]bool)
	for _, t := range l.Tell(now) {
		names[t.Name] = true
	}
	maps.Copy(names, l.orders)
	return slices.Sorted(maps.Keys(names))
}

// Keep forgets the reports of targets that are not in the configuration.
func (l *LeavingTargets) Keep(configured map[string]bool) {
	for name := range l.reports {
		if !configured[name] {
			delete(l.reports, name)
		}
	}
}

func set(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}
