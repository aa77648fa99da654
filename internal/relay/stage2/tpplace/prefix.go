package tpplace

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// prefixLife is how long a target is taken to keep a prefix after its last
	// use. With a dozen engines the memory beside the runs lasts that long.
	prefixLife = 12 * time.Second
	// tellAgain is the age of a peer's knowledge at which a use is told again.
	tellAgain = 4 * time.Second
	// tellFor is how long a use is told in heartbeats, so that it reaches the
	// peers that some of them miss.
	tellFor = time.Second
)

// holder is a target that has read a prefix.
type holder struct {
	target string
	at     time.Time // last use
	told   time.Time // last time that a use was told
}

// prefixes remembers which targets keep which prefixes.
type prefixes struct {
	holders map[uint64][]holder
	telling []tpmessage.HeldPrefix
	since   []time.Time // of telling
}

// used records that a target reads a prefix or has it in use.
func (p *prefixes) used(now time.Time, prefix uint64, target string) {
	if prefix == 0 {
		return
	}
	h := p.holder(prefix, target)
	h.at = now
	if now.Sub(h.told) < tellAgain {
		return
	}
	h.told = now
	p.telling = append(p.telling, tpmessage.HeldPrefix{Prefix: prefix, Target: target})
	p.since = append(p.since, now)
}

// heard records what a peer tells.
func (p *prefixes) heard(now time.Time, list []tpmessage.HeldPrefix) {
	for _, l := range list {
		h := p.holder(l.Prefix, l.Target)
		h.at, h.told = now, now
	}
}

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

// holds reports whether a target is among those that are taken to keep a prefix.
func holds(now time.Time, holders []holder, target string) bool {
	for i := range holders {
		if holders[i].target == target && now.Sub(holders[i].at) < prefixLife {
			return true
		}
	}
	return false
}

// forget drops what a target kept, because its process has ended.
func (p *prefixes) forget(target string) {
	for prefix, list := range p.holders {
		p.holders[prefix] = slices.DeleteFunc(list, func(h holder) bool { return h.target == target })
	}
}

// sweep drops what is no longer kept and returns what peers are to be told.
func (p *prefixes) sweep(now time.Time) []tpmessage.HeldPrefix {
	for prefix, list := range p.holders {
		list = slices.DeleteFunc(list, func(h holder) bool { return now.Sub(h.at) >= prefixLife })
		p.holders[prefix] = list
		if len(list) == 0 {
			delete(p.holders, prefix)
		}
	}
	n := 0
	for n < len(p.since) && now.Sub(p.since[n]) >= tellFor {
		n++
	}
	p.telling, p.since = p.telling[n:], p.since[n:]
	return slices.Clone(p.telling)
}
