package tpplace

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// prefixTTL is the time after its last use for which a target is assumed to
	// hold a prefix. With a dozen engines, the memory that the runs leave free
	// lasts that long.
	prefixTTL = 12 * time.Second
	// announceInterval is the time after which a repeated use is announced to
	// the peers again.
	announceInterval = 4 * time.Second
	// expiryInterval is the time between two removals of old holders. A removal
	// looks at all prefixes, of which a large region has thousands.
	expiryInterval = time.Second
	// announceDuration is the time for which each heartbeat repeats an
	// announcement, because peers miss some heartbeats.
	announceDuration = time.Second
)

// holder is a target that has read or used a prefix.
type holder struct {
	target    string
	lastUse   time.Time
	announced time.Time // last time that a use was announced to or by the peers
}

// prefixes records which targets hold which prefixes.
type prefixes struct {
	holders       map[uint64][]holder
	announcements []tpmessage.CachedPrefix
	announcedAt   []time.Time // time of each announcement
	expiredAt     time.Time   // last removal of old holders
}

// recordUse records that a target reads or uses a prefix.
func (p *prefixes) recordUse(now time.Time, prefix uint64, target string) {
	if prefix == 0 {
		return
	}
	h := p.holder(prefix, target)
	h.lastUse = now
	if now.Sub(h.announced) < announceInterval {
		return
	}
	h.announced = now
	p.announcements = append(p.announcements, tpmessage.CachedPrefix{Prefix: prefix, Target: target})
	p.announcedAt = append(p.announcedAt, now)
}

// recordPeerUses records the uses that a peer has announced.
func (p *prefixes) recordPeerUses(now time.Time, list []tpmessage.CachedPrefix) {
	for _, l := range list {
		h := p.holder(l.Prefix, l.Target)
		h.lastUse, h.announced = now, now
	}
}

// holder returns the entry of a target for a prefix. It adds the entry if there
// is none.
func (p *prefixes) holder(prefix uint64, target string) *holder {
	if p.holders == nil {
		p.holders = make(map[uint64][]holder)
	}
	list := p.holders[prefix]
	i := slices.IndexFunc(list, func(h holder) bool { return h.target == target })
	if i < 0 {
		list = append(list, holder{target: target})
		p.holders[prefix] = list
		i = len(list) - 1
	}
	return &list[i]
}

// holds reports whether a target is assumed to hold the prefix of these
// holders.
func holds(now time.Time, holders []holder, target string) bool {
	for i := range holders {
		if holders[i].target == target && now.Sub(holders[i].lastUse) < prefixTTL {
			return true
		}
	}
	return false
}

// dropTarget removes a target from all prefixes. Its process has ended, and its
// cache with it.
func (p *prefixes) dropTarget(target string) {
	for prefix, list := range p.holders {
		p.holders[prefix] = slices.DeleteFunc(list, func(h holder) bool { return h.target == target })
	}
}

// expire removes holders older than prefixTTL every expiryInterval. It returns
// the uses to announce to the peers.
func (p *prefixes) expire(now time.Time) []tpmessage.CachedPrefix {
	if now.Sub(p.expiredAt) >= expiryInterval {
		p.expiredAt = now
		p.removeOld(now)
	}
	n := 0
	for n < len(p.announcedAt) && now.Sub(p.announcedAt[n]) >= announceDuration {
		n++
	}
	p.announcements, p.announcedAt = p.announcements[n:], p.announcedAt[n:]
	return slices.Clone(p.announcements)
}

// removeOld removes holders older than prefixTTL.
func (p *prefixes) removeOld(now time.Time) {
	for prefix, list := range p.holders {
		list = slices.DeleteFunc(list, func(h holder) bool { return now.Sub(h.lastUse) >= prefixTTL })
		p.holders[prefix] = list
		if len(list) == 0 {
			delete(p.holders, prefix)
		}
	}
}
