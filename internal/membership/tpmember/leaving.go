package tpmember

import (
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// LeavingTimeout is the time for which a peer's signal that a target is leaving
// holds without a refresh. It covers several heartbeats, so that a lost
// heartbeat does not send new requests to the target.
const LeavingTimeout = 10 * time.Second

// LeavingTargets determines which targets accept no new requests, from this
// node's own signals and from those of its peers. It belongs to one filter and
// is not safe for concurrent use. The zero value contains no leaving target.
type LeavingTargets struct {
	drains  map[string]bool      // drained by the configuration
	orders  map[string]bool      // drained for an order
	vms     map[string]bool      // leaving by the platform's list
	reports map[string]time.Time // time of the report by target
	peers   map[string]time.Time // time of the peer's signal by target
}

// SetDrained replaces the set of targets that the configuration drains.
func (l *LeavingTargets) SetDrained(names []string) { l.drains = toSet(names) }

// SetDrainedForOrders replaces the set of targets that are drained for an
// order. Every node reads them from the platform, so HeartbeatEntries omits
// them. A peer's signal would keep an engine out of use for LeavingTimeout
// after the end of its order.
func (l *LeavingTargets) SetDrainedForOrders(names []string) { l.orders = toSet(names) }

// SetLeavingVMs replaces the set of targets that the platform's list marks as
// leaving.
func (l *LeavingTargets) SetLeavingVMs(names []string) { l.vms = toSet(names) }

// RecordReport records a target's own report that it is leaving or not. Reports
// older than the recorded one are ignored.
func (l *LeavingTargets) RecordReport(rep tpmessage.LoadReport) {
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

// Merge records the leaving targets in a peer's heartbeat. For each target the
// most recent signal counts.
func (l *LeavingTargets) Merge(now time.Time, entries []tpmessage.LeavingTarget) {
	if l.peers == nil {
		l.peers = make(map[string]time.Time)
	}
	for _, t := range entries {
		signalTime := now.Add(-max(0, t.Age))
		if l.peers[t.Name].Before(signalTime) {
			l.peers[t.Name] = signalTime
		}
	}
}

// HeartbeatEntries returns the leaving targets to send to peers, sorted by
// name. A target that this node's own signals mark has age zero. A signal from
// a peer keeps its age, so that it expires if the target stays in service.
func (l *LeavingTargets) HeartbeatEntries(now time.Time) []tpmessage.LeavingTarget {
	ages := make(map[string]time.Duration)
	for name, signalTime := range l.peers {
		if age := now.Sub(signalTime); age < LeavingTimeout {
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
	entries := make([]tpmessage.LeavingTarget, 0, len(ages))
	for name, age := range ages {
		entries = append(entries, tpmessage.LeavingTarget{Name: name, Age: age})
	}
	slices.SortFunc(entries, func(a, b tpmessage.LeavingTarget) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return entries
}

// Names returns the names of all leaving targets, including those drained for
// orders, sorted.
func (l *LeavingTargets) Names(now time.Time) []string {
	names := make(map[string]bool)
	for _, t := range l.HeartbeatEntries(now) {
		names[t.Name] = true
	}
	maps.Copy(names, l.orders)
	return slices.Sorted(maps.Keys(names))
}

// RetainReports removes the reports of targets that are not in the
// configuration.
func (l *LeavingTargets) RetainReports(configured map[string]bool) {
	for name := range l.reports {
		if !configured[name] {
			delete(l.reports, name)
		}
	}
}

func toSet(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}
