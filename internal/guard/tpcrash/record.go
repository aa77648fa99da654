package tpcrash

import (
	"slices"
	"strconv"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Record is a quarantine as the platform stores it, so that it outlasts all
// nodes of a region.
type Record struct {
	Key     string   `json:"key"` // as Name returns it
	Crashes []string `json:"crashes"`
	// At is when the quarantine was recorded, in Unix milliseconds.
	At int64 `json:"at"`
	// Answered is true if the key was answered shortly before, so that requests
	// may pass as trials.
	Answered bool `json:"answered,omitempty"`
}

// Amend returns the records after a change at the time of day now. It removes
// records older than QuarantineTime and bounds their number by MaxReported. It
// returns false if nothing changes.
func Amend(records []Record, now time.Time, c Change) ([]Record, bool) {
	name := Name(c.Key)
	kept := slices.DeleteFunc(slices.Clone(records), func(r Record) bool {
		return r.expired(now) || r.Key == name && (!c.Quarantined || !slices.Equal(r.Crashes, c.Crashes))
	})
	if c.Quarantined && !slices.ContainsFunc(kept, func(r Record) bool { return r.Key == name }) {
		at := now
		if !c.At.IsZero() {
			at = c.At
		}
		kept = append(kept, Record{Key: name, Crashes: c.Crashes, At: at.UnixMilli(), Answered: c.Answered})
	}
	kept = kept[max(0, len(kept)-MaxReported):]
	return kept, !slices.EqualFunc(kept, records, func(a, b Record) bool { return a.Key == b.Key && a.At == b.At })
}

// Suspects returns the evidence in the records that are not too old at the time
// of day now. It skips records whose key cannot be read.
func Suspects(records []Record, now time.Time) []tpmessage.SuspectRequest {
	var list []tpmessage.SuspectRequest
	for _, r := range records {
		key, err := strconv.ParseUint(r.Key, 16, 64)
		if err != nil || r.expired(now) {
			continue
		}
		list = append(list, tpmessage.SuspectRequest{Fingerprint: key, Targets: r.Crashes, Answered: r.Answered})
	}
	return list
}

func (r *Record) expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.At)).Abs() >= QuarantineTime
}
