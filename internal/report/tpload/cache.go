package tpload

import "teaselpin.example/teaselpin/pkg/tpmessage"

// DefaultCacheSize is the number of prefixes that are remembered if Settings
// say none, which takes about 2 MB.
const DefaultCacheSize = 16384

// holders is the number of targets that are remembered for a prefix.
const holders = 2

// holder is a target that is believed to hold a prefix. The belief ends when
// the epoch of the candidate has moved on.
type holder struct {
	candidate *Candidate
	epoch     uint32
}

// cache remembers which targets hold which prefixes. When it is full, the
// prefix that was stored first is forgotten.
type cache struct {
	entries map[uint64][holders]holder
	order   []uint64 // prefixes in the order of their first store
	next    int      // place in order that is replaced next
	size    int
}

func newCache(size int) cache {
	if size <= 0 {
		size = DefaultCacheSize
	}
	return cache{entries: make(map[uint64][holders]holder), size: size}
}

// store remembers that a candidate holds a prefix. The newest holder is first.
func (c *cache) store(prefix uint64, by *Candidate) {
	entry, known := c.entries[prefix]
	if !known {
		c.makeRoom(prefix)
	}
	if entry[0].candidate != by {
		entry[1] = entry[0]
	}
	entry[0] = holder{candidate: by, epoch: by.epoch}
	c.entries[prefix] = entry
}

func (c *cache) makeRoom(prefix uint64) {
	if len(c.order) < c.size {
		c.order = append(c.order, prefix)
		return
	}
	delete(c.entries, c.order[c.next])
	c.order[c.next] = prefix
	c.next = (c.next + 1) % c.size
}

// evict forgets that a candidate holds a prefix. The entry keeps its place, so
// that order names each prefix once.
func (c *cache) evict(prefix uint64, by *Candidate) {
	entry, known := c.entries[prefix]
	if !known {
		return
	}
	for i := range entry {
		if entry[i].candidate == by {
			entry[i] = holder{}
		}
	}
	c.entries[prefix] = entry
}

// Holders returns the candidates that are believed to hold a prefix; unused
// places are nil.
func (v *View) Holders(prefix uint64) [holders]*Candidate {
	var found [holders]*Candidate
	if prefix == 0 {
		return found
	}
	for i, h := range v.cache.entries[prefix] {
		if h.candidate != nil && h.epoch == h.candidate.epoch {
			found[i] = h.candidate
		}
	}
	return found
}

// CacheEvent takes a target's event. A gap in the sequence, or a sequence
// that starts again, forgets all that is known of the target's cache. An
// event that comes late or twice is ignored.
func (v *View) CacheEvent(ev tpmessage.CacheEvent) {
	c, ok := v.byName[ev.Target]
	if !ok {
		return
	}
	restarted := ev.Sequence <= 1 && c.sequence > 1
	if ev.Sequence <= c.sequence && !restarted {
		return
	}
	if ev.Sequence != c.sequence+1 {
		c.epoch++
	}
	c.sequence = ev.Sequence
	if ev.Evicted {
		v.cache.evict(ev.PrefixHash, c)
		return
	}
	v.cache.store(ev.PrefixHash, c)
}
