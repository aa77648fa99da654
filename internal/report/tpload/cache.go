package tpload

import "teaselpin.example/teaselpin/pkg/tpmessage"

// DefaultCacheSize is the maximum number of recorded prefixes if
// Settings.CacheSize is not positive. They take about 2 MB.
const DefaultCacheSize = 16384

// maxHolders is the maximum number of targets that are recorded for a prefix.
const maxHolders = 2

// holder is a target that presumably holds a prefix. The entry becomes invalid
// when the candidate's cacheEpoch increases.
type holder struct {
	candidate  *Candidate
	cacheEpoch uint32
}

// prefixCache records which targets hold which prefixes. When it is full, a
// new prefix replaces the one that was recorded first.
type prefixCache struct {
	entries        map[uint64][maxHolders]holder
	insertionOrder []uint64 // prefixes in the order in which they were first recorded
	oldest         int      // index in insertionOrder of the next prefix to replace
	capacity       int
}

func newPrefixCache(capacity int) prefixCache {
	if capacity <= 0 {
		capacity = DefaultCacheSize
	}
	return prefixCache{entries: make(map[uint64][maxHolders]holder), capacity: capacity}
}

// store records that target holds prefix. The latest holder is first.
func (c *prefixCache) store(prefix uint64, target *Candidate) {
	entry, known := c.entries[prefix]
	if !known {
		c.addToOrder(prefix)
	}
	if entry[0].candidate != target {
		entry[1] = entry[0]
	}
	entry[0] = holder{candidate: target, cacheEpoch: target.cacheEpoch}
	c.entries[prefix] = entry
}

func (c *prefixCache) addToOrder(prefix uint64) {
	if len(c.insertionOrder) < c.capacity {
		c.insertionOrder = append(c.insertionOrder, prefix)
		return
	}
	delete(c.entries, c.insertionOrder[c.oldest])
	c.insertionOrder[c.oldest] = prefix
	c.oldest = (c.oldest + 1) % c.capacity
}

// evict removes target from the holders of prefix. The entry itself stays, so
// that insertionOrder contains each prefix once.
func (c *prefixCache) evict(prefix uint64, target *Candidate) {
	entry, known := c.entries[prefix]
	if !known {
		return
	}
	for i := range entry {
		if entry[i].candidate == target {
			entry[i] = holder{}
		}
	}
	c.entries[prefix] = entry
}

// Holders returns the candidates that presumably hold prefix. Unused elements
// are nil. All are nil if prefix is 0, which means no prefix.
func (v *View) Holders(prefix uint64) [maxHolders]*Candidate {
	var found [maxHolders]*Candidate
	if prefix == 0 {
		return found
	}
	for i, h := range v.prefixCache.entries[prefix] {
		if h.candidate != nil && h.cacheEpoch == h.candidate.cacheEpoch {
			found[i] = h.candidate
		}
	}
	return found
}

// CacheEvent records a change of a target's cache. A gap in the sequence or a
// restart of it invalidates all that is recorded for the target. Late and
// repeated events are ignored.
func (v *View) CacheEvent(ev tpmessage.CacheEvent) {
	c, ok := v.byName[ev.Target]
	if !ok {
		return
	}
	restarted := ev.Sequence <= 1 && c.cacheSequence > 1
	if ev.Sequence <= c.cacheSequence && !restarted {
		return
	}
	if ev.Sequence != c.cacheSequence+1 {
		c.cacheEpoch++
	}
	c.cacheSequence = ev.Sequence
	if ev.Evicted {
		v.prefixCache.evict(ev.PrefixHash, c)
		return
	}
	v.prefixCache.store(ev.PrefixHash, c)
}
