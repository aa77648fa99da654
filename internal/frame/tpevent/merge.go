package tpevent

import (
	"slices"
	"strings"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Filter selects the events whose fields equal those of the filter. An empty
// field matches every event.
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

// Merge returns the selected events of several processes in causal order, as
// defined by Compare. An event that several timelines contain appears once.
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

// Compare orders events by hybrid time, then by process name, then by sequence
// number. It returns -1 if a comes before b, 1 if it comes after b, and 0 if
// all three are equal.
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
