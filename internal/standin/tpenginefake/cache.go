package tpenginefake

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// maxCacheEvents is the number of cache events that are retained for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefixes, identified by their hashes.
// It logs each insertion and eviction.
type prefixCache struct {
	max      int      // capacity in prefixes
	prefixes []uint64 // least recently used first
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event tpmessage.CacheEvent
}

func (c *prefixCache) free() int { return c.max - len(c.prefixes) }

// lookup reports whether a prefix is cached, and marks it as most recently
// used.
func (c *prefixCache) lookup(hash uint64) bool {
	i := slices.Index(c.prefixes, hash)
	if i < 0 {
		return false
	}
	c.prefixes = append(slices.Delete(c.prefixes, i, i+1), hash)
	return true
}

// store adds a prefix. If the cache is full, it evicts the least recently used
// prefix.
func (c *prefixCache) store(hash uint64, now time.Time) {
	if c.lookup(hash) {
		return
	}
	if len(c.prefixes) >= c.max {
		c.recordEvent(now, c.prefixes[0], true)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	c.prefixes = append(c.prefixes, hash)
	c.recordEvent(now, hash, false)
}

func (c *prefixCache) recordEvent(now time.Time, hash uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, timedEvent{at: now, event: tpmessage.CacheEvent{
		Sequence: c.sequence, PrefixHash: hash, Evicted: evicted,
	}})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// cacheQuery requests the events above a sequence number.
type cacheQuery struct {
	after  uint64
	target string
	reply  *tpring.Ring[[]tpmessage.CacheEvent]
}

// sendEvents replies with the requested events. It leaves out events that are
// younger than the fault CacheLag or that the fault CacheGap drops.
func (q *cacheQuery) sendEvents(c *prefixCache, now time.Time, f *Faults) {
	events := []tpmessage.CacheEvent{}
	for _, e := range c.events {
		dropped := f.CacheGap > 0 && e.event.Sequence%uint64(f.CacheGap) == 0
		if e.event.Sequence <= q.after || dropped || now.Sub(e.at) < f.CacheLag {
			continue
		}
		e.event.Target = q.target
		events = append(events, e.event)
	}
	_ = q.reply.Put(events)
}

// CacheEvents returns the retained cache events with a sequence number above
// after. The faults CacheLag and CacheGap delay and drop events. CacheEvents
// returns an error if the engine has stopped.
func (e *Engine) CacheEvents(after uint64) ([]tpmessage.CacheEvent, error) {
	q := &cacheQuery{
		after:  after,
		target: e.cfg.Name,
		reply:  tpring.New[[]tpmessage.CacheEvent](tpring.Settings{Capacity: 1}),
	}
	if err := e.inputs.Put(input{cache: q}); err != nil {
		return nil, err
	}
	return q.reply.Take()
}
