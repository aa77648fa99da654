package tpplace

import (
	"maps"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// limitKey identifies a process that may have a limit. Unlike process, it holds
// only what nodes tell each other.
type limitKey struct {
	name      string
	startedMs int64
}

func limitKeyOf(t *tpmessage.RelayTarget) limitKey {
	return limitKey{name: t.Name, startedMs: t.StartedMs}
}

// limitState is what an answer said about the limit of a process.
type limitState struct {
	named     bool
	perSecond float64   // requests that the process takes from all nodes
	at        time.Time // arrival of the answer, at whichever node
}

// limits holds what is known of the limits of processes.
type limits struct {
	observed map[limitKey]limitState // from answers to this node
}

// limit returns the limit of a process, and false if it has none.
func (p *Placer[P]) limit(key limitKey) (limitState, bool) {
	state := p.limits.observed[key]
	return state, state.named
}

// observeLimit records what an answer says about the limit of its target, and
// reports whether that is new. An answer without a limit ends the limit only if
// its request was sent after the limit was last named: answers overtake each
// other.
func (p *Placer[P]) observeLimit(n *Notice) bool {
	key := limitKeyOf(&n.Target)
	known, limited := p.limit(key)
	switch {
	case n.LimitStatement == tpmessage.LimitNamed:
	case n.LimitStatement == tpmessage.LimitAbsent && limited && n.SentAt.After(known.at):
	default:
		return false
	}
	if p.limits.observed == nil {
		p.limits.observed = make(map[limitKey]limitState)
	}
	p.limits.observed[key] = limitState{named: n.LimitStatement == tpmessage.LimitNamed, perSecond: n.Limit, at: n.At}
	p.updateLimited(key)
	return limited != (n.LimitStatement == tpmessage.LimitNamed) || known.perSecond != n.Limit
}

// updateLimited brings the copy of the limited processes for other filters up to
// date with one process.
func (p *Placer[P]) updateLimited(key limitKey) {
	if _, limited := p.limit(key); limited != p.notices.limited[key] {
		m := maps.Clone(p.notices.limited)
		if m == nil {
			m = make(map[limitKey]bool)
		}
		if limited {
			m[key] = true
		} else {
			delete(m, key)
		}
		p.notices.limited = m
	}
}
