package tpquarantine

import (
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
// The place of a fingerprint is the same on all nodes that know the same
// targets, so that copies on several nodes meet at one target and take down
// one. A suspect waits while its place is taken by another suspect of the
// crash, here or, for a time, by one that another node may run there.
func (q *Quarantine) Place(now time.Time, fingerprint uint64, usable []tpmessage.Target,
	settle time.Duration,
) (Decision, tpmessage.Target) {
	var none tpmessage.Target
	e, ok := q.entries[fingerprint]
	switch {
	case !ok || !e.suspect():
		return Free, none
	case e.quarantined():
		return Refuse, none
	case len(q.copies[fingerprint]) > 0 || now.Sub(e.crashed) < settle:
		return Wait, none
	}
	target, ok := first(e, usable)
	if !ok || q.taken(e)[target.Name] {
		return Wait, none
	}
	if settle > 0 && now.Sub(e.crashed) < settle+q.contenders(e, target, usable)*ContestFor {
		return Wait, none
	}
	e.allowed = target.Name
	q.Start(fingerprint, target.Name)
	return Only, target
}

// taken returns the targets on which another suspect of a crash of e still
// runs, or a copy of a quarantined request that had started before.
func (q *Quarantine) taken(e *entry) map[string]bool {
	taken := make(map[string]bool)
	for _, other := range q.entries {
		if other == e || !other.quarantined() && !share(other.crashes, e.crashes) {
			continue
		}
		for _, target := range q.copies[other.fingerprint] {
			taken[target] = true
		}
	}
	return taken
}

// contenders counts the suspects of the same crash with a lower fingerprint
// whose place is the same target. They go first.
func (q *Quarantine) contenders(e *entry, target tpmessage.Target, usable []tpmessage.Target) time.Duration {
	var n time.Duration
	for _, other := range q.entries {
		if other.fingerprint >= e.fingerprint || other.quarantined() || !share(other.crashes, e.crashes) {
			continue
		}
		if t, ok := first(other, usable); ok && t.Name == target.Name {
			n++
		}
	}
	return n
}

// Release takes back a placement that was not used.
func (q *Quarantine) Release(fingerprint uint64, target string) {
	q.end(fingerprint, target)
	if e, ok := q.entries[fingerprint]; ok && e.allowed == target {
		e.allowed = ""
	}
}

// first returns the best ranked target of a fingerprint. A target that has
// crashed under the request is the last choice.
func first(e *entry, usable []tpmessage.Target) (tpmessage.Target, bool) {
	var best tpmessage.Target
	var bestWeight uint64
	found, bestLost := false, false
	for _, t := range usable {
		lost := slices.Contains(e.crashes, t.Name)
		w := weight(e.fingerprint, t.Name)
		if !found || bestLost && !lost || bestLost == lost && w > bestWeight {
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
