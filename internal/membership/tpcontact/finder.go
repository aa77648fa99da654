package tpcontact

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// maxOwn is the number of nodes that a part of a region stores of itself, and
	// maxContacts that of all.
	maxOwn, maxContacts = 4, 12
	// aloneDelay is the time without a live peer after which a node reads the
	// contacts. At the start of a region the seeds answer earlier.
	aloneDelay = 1500 * time.Millisecond
	// aloneInterval is the time between two reads of a node without a live peer.
	// It doubles up to maxAloneInterval.
	aloneInterval, maxAloneInterval = time.Second, 5 * time.Second
	// partInterval is the time between two reads by the first node of a part.
	partInterval = 3 * time.Second
	// contactTTL is the time after which a contact that is no member is removed.
	contactTTL = time.Minute
	// rankingKey is hashed with the name of each node and distinguishes this
	// ranking of the nodes from others.
	rankingKey = "contact"
)

// Contact is a node of the region that others may contact.
type Contact struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port at which it serves peers
}

// View is what a node knows of the region.
type View struct {
	Members []tpmessage.Member // live, this node first
	// First is true if this node is the first of the ranking among the members
	// that the platform serves. They are a part of the region, or all of it.
	First bool
}

func (v *View) isAlone() bool { return len(v.Members) < 2 }

// Step is what follows a read of the contacts.
type Step struct {
	Addresses []string  // of nodes to contact, which are no members
	Write     []Contact // the contacts to store in place of those read, or nil
}

// Finder decides when a node reads the contacts, which of them it contacts, and
// which it stores. A node reads them as long as it knows no live peer, and
// otherwise if it is the first of its part. It is not safe for concurrent use.
// The zero value has read nothing.
type Finder struct {
	aloneSince time.Time
	interval   time.Duration // between two reads of a node that is alone
	readAt     time.Time     // time of the last read
	reading    bool
	// strangers holds the contacts that are no members, by name.
	strangers map[string]stranger
}

// stranger is a contact that is no member.
type stranger struct {
	since   time.Time // when the node first read it, or found it stored again
	removed bool      // this node has removed it
}

// Due reports whether the contacts are to be read now. Read must be called with
// the result.
func (f *Finder) Due(now time.Time, v *View) bool {
	if !v.isAlone() {
		f.aloneSince, f.interval = time.Time{}, 0
	} else if f.aloneSince.IsZero() {
		f.aloneSince = now
	}
	if f.reading || !f.isDue(now, v) {
		return false
	}
	f.reading, f.readAt = true, now
	return true
}

func (f *Finder) isDue(now time.Time, v *View) bool {
	if v.isAlone() {
		if now.Sub(f.aloneSince) < aloneDelay || now.Sub(f.readAt) < f.interval {
			return false
		}
		f.interval = min(max(aloneInterval, 2*f.interval), maxAloneInterval)
		return true
	}
	return v.First && now.Sub(f.readAt) >= partInterval
}

// Failed records that a read has failed.
func (f *Finder) Failed() { f.reading = false }

// Read returns the step that follows a read of the stored contacts. A node that
// is alone first contacts the stored ones, and stores itself if none of them has
// answered by its next read.
func (f *Finder) Read(now time.Time, v *View, stored []Contact) Step {
	f.reading = false
	var s Step
	known := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		known[m.Name] = true
	}
	wanted := own(v.Members)
	isNew := f.noteStrangers(now, known, stored)
	for _, c := range stored {
		if known[c.Name] {
			continue
		}
		s.Addresses = append(s.Addresses, c.Address)
		if f.isKept(now, c.Name) && len(wanted) < maxContacts {
			wanted = append(wanted, c)
		}
	}
	switch {
	case !v.First && !v.isAlone(): // another node has become the first
	case v.isAlone() && isNew:
	case !sameContacts(wanted, stored):
		s.Write = wanted
		f.markRemoved(wanted, stored)
	}
	return s
}

// noteStrangers updates the strangers, and reports whether one is new.
func (f *Finder) noteStrangers(now time.Time, known map[string]bool, stored []Contact) (isNew bool) {
	before := f.strangers
	f.strangers = make(map[string]stranger)
	for _, c := range stored {
		if known[c.Name] {
			continue
		}
		s, met := before[c.Name]
		if !met || s.removed {
			// A node of the contact's own part has stored it again.
			s, isNew = stranger{since: now}, true
		}
		f.strangers[c.Name] = s
	}
	for name, s := range before {
		if _, isStored := f.strangers[name]; !isStored && s.removed && !known[name] && now.Sub(s.since) < 2*contactTTL {
			f.strangers[name] = s
		}
	}
	return isNew
}

func (f *Finder) isKept(now time.Time, name string) bool {
	return now.Sub(f.strangers[name].since) < contactTTL
}

func (f *Finder) markRemoved(wanted, stored []Contact) {
	for _, c := range stored {
		if s, isStranger := f.strangers[c.Name]; isStranger && !slices.Contains(wanted, c) {
			s.removed = true
			f.strangers[c.Name] = s
		}
	}
}

// own returns the contacts of a part: the first node of the ranking of each
// zone, so that the loss of a zone leaves others, and then the first of all.
func own(members []tpmessage.Member) []Contact {
	ranked := slices.DeleteFunc(slices.Clone(members), func(m tpmessage.Member) bool {
		return m.Address == "" || len(members) > 1 && (m.Leaving || m.Suspect)
	})
	slices.SortFunc(ranked, func(a, b tpmessage.Member) int { return cmp.Compare(weight(&b), weight(&a)) })
	perZone := make(map[string]int)
	round := make(map[string]int, len(ranked)) // number of higher nodes of the zone, by name
	for _, m := range ranked {
		round[m.Name] = perZone[m.Zone]
		perZone[m.Zone]++
	}
	slices.SortStableFunc(ranked, func(a, b tpmessage.Member) int { return cmp.Compare(round[a.Name], round[b.Name]) })
	var list []Contact
	for _, m := range ranked[:min(maxOwn, len(ranked))] {
		list = append(list, Contact{Name: m.Name, Address: m.Address})
	}
	return list
}

// Ranks reports whether a node that can do the work comes before another one.
func Ranks(m, other *tpmessage.Member) bool {
	return !m.Leaving && !m.Suspect && weight(m) > weight(other)
}

func weight(m *tpmessage.Member) uint64 { return xxh3.HashString(rankingKey + m.Name) }

// sameContacts reports whether both lists hold the same contacts, in any order.
func sameContacts(a, b []Contact) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(c Contact) bool { return !slices.Contains(b, c) })
}
