package tpquarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Decision is the decision whether and where a copy of a request may run.
type Decision uint8

// The decisions on a copy of a request.
const (
	RunAnywhere Decision = iota // not a suspect; may run at any target
	RunAtTarget                 // a suspect; may run only at the returned target
	Wait                        // a suspect; may not run before a completion or the end of a delay
	Refuse                      // quarantined; must not run again
)

// Place decides on one copy of a request. usable are the targets of the
// request's pool that accept new work, without those that could not be reached.
// settle is the time that suspects wait after a crash. If settle is 0, Place
// ignores suspects on other nodes. If the decision is RunAtTarget, the copy
// counts as started.
//
// All nodes that know the same targets choose the same target for a
// fingerprint. Copies on several nodes therefore meet at one target and crash
// only that one. A suspect waits while its target runs another suspect of the
// same crash on this node. For a limited time it also waits for a suspect that
// another node may run there.
func (q *Quarantine) Place(now time.Time, fingerprint uint64, usable []tpmessage.Target,
	settleDelay time.Duration,
) (Decision, tpmessage.Target) {
	var none tpmessage.Target
	e, ok := q.entries[fingerprint]
	switch {
	case !ok || !e.suspect():
		return RunAnywhere, none
	case e.quarantined():
		return Refuse, none
	case len(q.copies[fingerprint]) > 0 || now.Sub(e.crashedAt) < settleDelay:
		return Wait, none
	}
	target, ok := preferredTarget(e, usable)
	if !ok || q.occupied(e)[target.Name] {
		return Wait, none
	}
	if settleDelay > 0 && now.Sub(e.crashedAt) < settleDelay+q.precedingSuspects(e, target, usable)*ContentionTimeout {
		return Wait, none
	}
	e.exclusiveTarget = target.Name
	q.Start(fingerprint, target.Name)
	return RunAtTarget, target
}

// HasCrashed reports whether a target crashed at a suspect.
func (q *Quarantine) HasCrashed(fingerprint uint64, target string) bool {
	e, ok := q.entries[fingerprint]
	return ok && slices.Contains(e.crashes, target)
}

// occupied returns the targets that run another suspect of a crash of e, or a
// copy of a quarantined request that started earlier.
func (q *Quarantine) occupied(e *entry) map[string]bool {
	occupied := make(map[string]bool)
	for _, other := range q.entries {
		if other == e || !other.quarantined() && !intersects(other.crashes, e.crashes) {
			continue
		}
		for _, target := range q.copies[other.fingerprint] {
			occupied[target] = true
		}
	}
	return occupied
}

// precedingSuspects counts the suspects of the same crash that have a lower
// fingerprint and the same preferred target. They run first. The count is a
// Duration so that it can be multiplied by one.
func (q *Quarantine) precedingSuspects(e *entry, target tpmessage.Target, usable []tpmessage.Target) time.Duration {
	var n time.Duration
	for _, other := range q.entries {
		if other.fingerprint >= e.fingerprint || other.quarantined() || !intersects(other.crashes, e.crashes) {
			continue
		}
		if t, ok := preferredTarget(other, usable); ok && t.Name == target.Name {
			n++
		}
	}
	return n
}

// Release reverts a placement by Place that was not used.
func (q *Quarantine) Release(fingerprint uint64, target string) {
	q.removeCopy(fingerprint, target)
	if e, ok := q.entries[fingerprint]; ok && e.exclusiveTarget == target {
		e.exclusiveTarget = ""
	}
}

// preferredTarget returns the target with the highest rank for a fingerprint,
// by rendezvous hashing. Targets that crashed while they ran the request rank
// last.
// It returns false if usable is empty.
func preferredTarget(e *entry, usable []tpmessage.Target) (tpmessage.Target, bool) {
	var best tpmessage.Target
	var bestWeight uint64
	found, bestCrashed := false, false
	for _, t := range usable {
		crashed := slices.Contains(e.crashes, t.Name)
		w := weight(e.fingerprint, t.Name)
		if !found || bestCrashed && !crashed || bestCrashed == crashed && w > bestWeight {
			best, bestWeight, bestCrashed, found = t, w, crashed, true
		}
	}
	return best, found
}

// weight returns the rendezvous weight of a target for a fingerprint.
func weight(fingerprint uint64, target string) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], fingerprint)
	return xxh3.HashStringSeed(target, xxh3.Hash(key[:]))
}
