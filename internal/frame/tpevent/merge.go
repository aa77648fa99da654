package tpevent

import (
	"slices"
	"strings"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Filter selects events by identity. A zero field selects every event.
type Filter struct {
	Request      string
	Target       string
	Organisation string
	Lease        string
	Kind         string
}

// Match reports whether the filter selects the event.
func (f *Filter) Match(e *tpmessage.Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.Target, e.Target) &&
		matches(f.Organisation, e.Organisation) &&
		matches(f.Lease, e.Lease) &&
		matches(f.Kind, e.Kind)
}

func matches(want, got string) bool { return want == "" || want == got }

// Merge returns the selected events of several processes in causal order: the
// order of their hybrid times, and for equal times that of the process name
// and sequence. An event that two timelines hold appears once.
func Merge(f Filter, timelines ...[]tpmessage.Event) []tpmessage.Event {
	var all []tpmessage.Event
	for _, events := range timelines {
		for i := range events {
			if f.Match(&events[i]) {
				all = append(all, events[i])
			}
		}
	}
	slices.SortFunc(all, Compare)
	return slices.CompactFunc(all, func(a, b tpmessage.Event) bool {
		return a.Process == b.Process && a.Sequence == b.Sequence && a.Time == b.Time
	})
}

// Compare orders two events for a merged timeline.
func Compare(a, b tpmessage.Event) int {
	switch {
	case a.Time.Before(b.Time):
		return -1
	case b.Time.Before(a.Time):
		return 1
	}
	if c := strings.Compare(a.Process, b.Process); c != 0 {
		return c
	}
	switch {
	case a.Sequence < b.Sequence:
		return -1
	case a.Sequence > b.Sequence:
		return 1
	}
	return 0
}
