package tpusage

import "teaselpin.example/teaselpin/pkg/tpmessage"

// ObjectPrefix is the prefix of the name of the object that holds the Record of
// a region. The name of the region follows.
const ObjectPrefix = "usage/"

// recordedWindows is the number of windows in a Record. A window that is not
// sent while that many follow it is missed.
const recordedWindows = 4

// Record holds the windows whose counts are fixed, oldest first.
type Record struct {
	Windows []Entry `json:"windows"`
}

// Entry is a window whose counts are fixed. Entries with the same era and window
// have the same counts, except that those of a settled one are left out.
type Entry struct {
	Window int64  `json:"window"`
	Era    uint64 `json:"era,omitempty"` // of the store in which it was fixed
	// Settled is true if the report was sent or given up.
	Settled bool              `json:"settled,omitempty"`
	Counts  map[string]uint64 `json:"counts,omitempty"` // by organisation
}

// report returns the report of the entry.
func (e *Entry) report() tpmessage.UsageReport {
	r := tpmessage.UsageReport{Window: e.Window}
	for organisation, n := range e.Counts {
		r.Counts = append(r.Counts, tpmessage.OrganisationCount{Organisation: organisation, Requests: n})
	}
	return r
}
