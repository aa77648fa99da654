package tpquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Decision tells whether a copy of a request may run.
type Decision uint8

// Decisions on a copy of a request.
const (
	Free   Decision = iota // not a suspect; any target
	Only                   // a suspect; only at the target that is given
	Wait                   // a suspect; not before a completion
	Refuse                 // quarantined
)

// Place decides on one copy of a request. usable are the targets of its pool
// that take new work, without those that could not be reached; settle is the
// time that suspects wait after a crash. With Only, the copy counts as started.
//
// All nodes rank the targets for a fingerprint in the same way, so that copies
// on several nodes meet at one target, and each suspect of a crash leaves the
// first choices of the ones before it free.
func (q *Quarantine) Place(now time.Time, fingerprint uint64, usable []tpmessage.Target,
	settle time.Duration,
) (Decision, tpmessage.Target) {
	var none tpmessage.Target
	e, ok := q.entries[fingerprint]
	switch {
	case !ok || e.Cleared:
		return Free, none
	case e.Quarantined():
		return Refuse, none
	case len(q.copies[fingerprint]) > 0 || now.Sub(e.crashed) < settle:
		return Wait, none
	}
	group := q.suspectsWith(e)
	taken := q.taken(e)
	for _, withCleared := range []bool{true, false} {
		reserved := q.reserve(e, group, usable, taken, withCleared)
		if target, ok := first(e, usable, taken, reserved); ok {
			e.allowed = target.Name
			q.Start(fingerprint, target.Name)
			return Only, target
		}
	}
	return Wait, none
}

// taken returns the targets on which another suspect of a crash of e still
// runs, or a copy of a quarantined request that had started before.
func (q *Quarantine) taken(e *entry) map[string]bool {
	taken := make(map[string]bool)
	for _, other := range q.entries {
		dangerous := other.Quarantined() || !other.Cleared && share(other.Targets, e.Targets)
		if other == e || !dangerous {
			continue
		}
		for _, target := range q.copies[other.Fingerprint] {
			taken[target] = true
		}
	}
	return taken
}

// reserve returns the first choices of the suspects before e. Those that were
// cleared keep theirs while there is room, so that the choices of the others
// do not move.
func (q *Quarantine) reserve(e *entry, group []*entry, usable []tpmessage.Target,
	taken map[string]bool, withCleared bool,
) map[string]bool {
	reserved := make(map[string]bool, len(group))
	for _, other := range group {
		running := !other.Cleared && len(q.copies[other.Fingerprint]) > 0
		if other.Fingerprint > e.Fingerprint || running || other.Cleared && !withCleared {
			continue
		}
		if t, ok := first(other, usable, taken, reserved); ok {
			reserved[t.Name] = true
		}
	}
	return reserved
}

// Release takes back a placement that was not used.
func (q *Quarantine) Release(fingerprint uint64, target string) {
	q.end(fingerprint, target)
	if e, ok := q.entries[fingerprint]; ok && e.allowed == target {
		e.allowed = ""
	}
}

// suspectsWith returns the other suspects of a crash of e, cleared ones too, by
// fingerprint.
func (q *Quarantine) suspectsWith(e *entry) []*entry {
	var group []*entry
	for _, other := range q.entries {
		if other != e && !other.Quarantined() && share(other.Targets, e.Targets) {
			group = append(group, other)
		}
	}
	slices.SortFunc(group, func(a, b *entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return group
}

// first returns the best ranked target that is neither taken nor reserved. A
// target that has crashed under the request is the last choice.
func first(e *entry, usable []tpmessage.Target, taken, reserved map[string]bool) (tpmessage.Target, bool) {
	var best tpmessage.Target
	var bestWeight uint64
	found, bestLost := false, false
	for _, t := range usable {
		if taken[t.Name] || reserved[t.Name] {
			continue
		}
		lost := slices.Contains(e.Targets, t.Name)
		w := weight(e.Fingerprint, t.Name)
		better := !found || bestLost && !lost || bestLost == lost && w > bestWeight
		if better {
			best, bestWeight, bestLost, found = t, w, lost, true
		}
	}
	return best, found
}

func weight(fingerprint uint64, target string) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], fingerprint)
	return xxh3.HashStringSeed(target, xxh3.Hash(key[:]))
}
