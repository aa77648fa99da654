package tpplace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// limitStatementTTL is the time for which a node tells the others that a
	// limit has ended. They have heard of it after a few reports.
	limitStatementTTL = 30 * time.Second
	// allowanceTime is the time for whose expected requests a node asks for
	// allowances.
	allowanceTime = 1500 * time.Millisecond
	// allowanceRenewal is the time before the end of an allowance at which a node
	// asks for the next one. It takes a few reports to arrive.
	allowanceRenewal = 600 * time.Millisecond
	// minLimitDemand is the demand, in requests a second, below which a node
	// asks for no allowance. The demand of one request falls below it in 10 s.
	minLimitDemand = 0.01
	// maxLimitLoads bounds the limits in a load report, at about 50 bytes each.
	maxLimitLoads = 64
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

// limits holds what is known of the limits of processes, and the allowances of
// this node. The zero value holds nothing.
type limits struct {
	observed map[limitKey]limitState // from answers to this node
	reported map[limitKey]limitState // the latest from other nodes
	accounts map[limitKey]*limitAccount
}

// limit returns what is known of the limit of a process.
func (l *limits) limit(key limitKey) limitState {
	observed, reported := l.observed[key], l.reported[key]
	if reported.at.After(observed.at) {
		return reported
	}
	return observed
}

// observeLimit records what an answer says about the limit of its target, and
// reports whether that is new. An answer without a limit ends the limit only if
// its request was sent after the limit was last named: answers overtake each
// other.
func (p *Placer[P]) observeLimit(n *Notice) bool {
	key := limitKeyOf(&n.Target)
	known := p.limits.limit(key)
	named := n.LimitStatement == tpmessage.LimitNamed
	if !named && (n.LimitStatement == tpmessage.LimitUnstated || !known.named || !n.SentAt.After(known.at)) {
		return false
	}
	if p.limits.observed == nil {
		p.limits.observed = make(map[limitKey]limitState)
	}
	p.limits.observed[key] = limitState{named: named, perSecond: n.Limit, at: n.At}
	p.updateLimited(key, known)
	return named != known.named || known.perSecond != n.Limit
}

// setReportedLimits records what other nodes know of limits. A statement is kept
// until a later one replaces it, also when the nodes that made it are gone.
func (p *Placer[P]) setReportedLimits(loads []tpmessage.NodeLoad) {
	for _, a := range p.limits.accounts {
		a.peerDemand = 0
	}
	for i := range loads {
		for _, l := range loads[i].Limits {
			key := limitKey{name: l.Target, startedMs: l.StartedMs}
			if l.Demand > 0 {
				p.limits.account(key).peerDemand += l.Demand
			}
			at := loads[i].At.Add(-l.Age)
			if l.Statement == tpmessage.LimitUnstated || !at.After(p.limits.reported[key].at) {
				continue
			}
			if p.limits.reported == nil {
				p.limits.reported = make(map[limitKey]limitState)
			}
			known := p.limits.limit(key)
			p.limits.reported[key] = limitState{named: l.Statement == tpmessage.LimitNamed, perSecond: l.PerSecond, at: at}
			p.updateLimited(key, known)
		}
	}
}

// updateLimited brings the copy of the limited processes for other filters up to
// date with one process, of which another state was known before. If its limit
// is lower now, the allowances of the node end.
func (p *Placer[P]) updateLimited(key limitKey, before limitState) {
	state := p.limits.limit(key)
	if a, ok := p.limits.accounts[key]; ok && before.named && (!state.named || state.perSecond < before.perSecond) {
		for _, b := range a.allowances {
			a.returned += b.count
		}
		a.allowances = nil
	}
	limited := state.named
	if limited == p.notices.limited[key] {
		return
	}
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

// isLimited reports whether the target's process has a limit.
func (p *Placer[P]) isLimited(t *target) bool { return p.notices.limited[limitKeyOf(&t.RelayTarget)] }

// limitLoads returns what the node knows of limits at first hand, and its
// demand, for the targets with the highest demand.
func (p *Placer[P]) limitLoads(now time.Time) []tpmessage.TargetLimit {
	var out []tpmessage.TargetLimit
	for key, state := range p.limits.observed {
		l := tpmessage.TargetLimit{
			Target: key.name, StartedMs: key.startedMs, Statement: tpmessage.LimitAbsent, PerSecond: state.perSecond, Age: now.Sub(state.at),
		}
		if state.named {
			l.Statement = tpmessage.LimitNamed
		}
		p.setDemand(now, key, &l)
		out = append(out, l)
	}
	for key := range p.limits.accounts {
		if _, observed := p.limits.observed[key]; observed {
			continue
		}
		l := tpmessage.TargetLimit{Target: key.name, StartedMs: key.startedMs, Statement: tpmessage.LimitUnstated}
		if p.setDemand(now, key, &l); l.Demand > 0 {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b tpmessage.TargetLimit) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Target, b.Target), cmp.Compare(a.StartedMs, b.StartedMs))
	})
	return out[:min(len(out), maxLimitLoads)]
}

// setDemand sets the demand for requests at a process that has a limit.
func (p *Placer[P]) setDemand(now time.Time, key limitKey, l *tpmessage.TargetLimit) {
	a, ok := p.limits.accounts[key]
	if !ok || !p.notices.limited[key] {
		return
	}
	if demand := a.demand.value(now); demand >= minLimitDemand {
		l.Demand = demand
		l.Room = max(0, int(math.Ceil(demand*allowanceTime.Seconds()))-a.held(now.Add(allowanceRenewal)))
	}
}

// expireLimits forgets what is known of the limits of processes that are no
// longer registered, and of limits that ended long ago.
func (p *Placer[P]) expireLimits(now time.Time) {
	isOld := func(key limitKey, state limitState) bool {
		age := now.Sub(state.at)
		if t, ok := p.targets[key.name]; ok && t.StartedMs == key.startedMs {
			return !state.named && age >= limitStatementTTL
		}
		return age >= noticeTTL
	}
	maps.DeleteFunc(p.limits.observed, isOld)
	maps.DeleteFunc(p.limits.reported, isOld)
	for key := range p.notices.limited {
		p.updateLimited(key, p.limits.limit(key))
	}
	maps.DeleteFunc(p.limits.accounts, func(key limitKey, _ *limitAccount) bool { return !p.notices.limited[key] })
}
