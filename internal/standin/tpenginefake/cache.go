package tpenginefake

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// cacheEventsKept is the number of cache events that can still be read.
const cacheEventsKept = 4096

// prefixCache holds the most recently used prompt prefixes.
type prefixCache struct {
	max      int
	prefixes []uint64 // least recently used first
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event tpmessage.CacheEvent
}

func (c *prefixCache) free() int { return c.max - len(c.prefixes) }

// hit reports whether a prefix is held, and marks it as used.
func (c *prefixCache) hit(hash uint64) bool {
	i := slices.Index(c.prefixes, hash)
	if i < 0 {
		return false
	}
	c.prefixes = append(slices.Delete(c.prefixes, i, i+1), hash)
	return true
}

// store adds a prefix and evicts the least recently used one if there is no room.
func (c *prefixCache) store(hash uint64, now time.Time) {
	if c.hit(hash) {
		return
	}
	if len(c.prefixes) >= c.max {
		c.tell(now, c.prefixes[0], true)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	c.prefixes = append(c.prefixes, hash)
	c.tell(now, hash, false)
}

func (c *prefixCache) tell(now time.Time, hash uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, timedEvent{at: now, event: tpmessage.CacheEvent{
		Sequence: c.sequence, PrefixHash: hash, Evicted: evicted,
	}})
	if len(c.events) > cacheEventsKept {
		c.events = slices.Delete(c.events, 0, len(c.events)-cacheEventsKept)
	}
}

// cacheQuery asks for the events above a sequence number.
type cacheQuery struct {
	after  uint64
	target string
	reply  *tpring.Ring[[]tpmessage.CacheEvent]
}

// answer tells the events that are old enough and not lost by the fault.
func (q *cacheQuery) answer(c *prefixCache, now time.Time, f *Faults) {
	events := []tpmessage.CacheEvent{}
	for _, e := range c.events {
		lost := f.CacheGap > 0 && e.event.Sequence%uint64(f.CacheGap) == 0
		if e.event.Sequence <= q.after || lost || now.Sub(e.at) < f.CacheLag {
			continue
		}
		e.event.Target = q.target
		events = append(events, e.event)
	}
	_ = q.reply.Put(events)
}

// CacheEvents returns the cache events above a sequence number, late and with
// gaps as the faults say.
func (e *Engine) CacheEvents(after uint64) ([]tpmessage.CacheEvent, error) {
	q := &cacheQuery{
		after:  after,
		target: e.cfg.Name,
		reply:  tpring.New[[]tpmessage.CacheEvent](tpring.Settings{Capacity: 1}),
	}
	if err := e.in.Put(input{cache: q}); err != nil {
		return nil, err
	}
	return q.reply.Take()
}
