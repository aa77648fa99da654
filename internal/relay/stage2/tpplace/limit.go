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

// limitState is what an answer said about the limit of a process.
type limitState struct {
	named     bool
	perSecond float64   // requests that the process takes from all nodes
	at        time.Time // arrival of the answer, at whichever node
	saidAt    time.Time // when the process that answered was running
}

// limits holds what is known of the limits of targets by name, and the allowances
// of this node. The zero value holds nothing.
type limits struct {
	observed map[string]limitState // from answers to this node
	reported map[string]limitState // the latest from other nodes
	accounts map[string]*limitAccount
}

// limit returns what is known of the limit of the registered process of a target.
// The limit of a process before it has ended.
func (p *Placer[P]) limit(name string) limitState {
	state, reported := p.limits.observed[name], p.limits.reported[name]
	if reported.at.After(state.at) {
		state = reported
	}
	if !isSince(state.saidAt, p.startOf(name), clockTolerance) {
		return limitState{}
	}
	return state
}

// observeLimit records what an answer says about the limit of its target, and
// reports whether that is new. An answer without a limit ends the limit only if
// its request was sent after the limit was last named: answers overtake each
// other.
func (p *Placer[P]) observeLimit(n *Notice) bool {
	name := n.Target.Name
	if !isSince(n.saidAt(), p.startOf(name), clockTolerance) {
		return false // of a process that has ended
	}
	known := p.limit(name)
	named := n.LimitStatement == tpmessage.LimitNamed
	if !named && (n.LimitStatement == tpmessage.LimitUnstated || !known.named || !n.SentAt.After(known.at)) {
		return false
	}
	if p.limits.observed == nil {
		p.limits.observed = make(map[string]limitState)
	}
	p.limits.observed[name] = limitState{named: named, perSecond: n.Limit, at: n.At, saidAt: n.saidAt()}
	p.updateLimited(name, known)
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
			if l.Demand > 0 {
				p.limits.account(l.Target).peerDemand += l.Demand
			}
			at := loads[i].At.Add(-l.Age)
			if l.Statement == tpmessage.LimitUnstated || !at.After(p.limits.reported[l.Target].at) {
				continue
			}
			if p.limits.reported == nil {
				p.limits.reported = make(map[string]limitState)
			}
			known := p.limit(l.Target)
			p.limits.reported[l.Target] = limitState{named: l.Statement == tpmessage.LimitNamed, perSecond: l.PerSecond, at: at, saidAt: at}
			p.updateLimited(l.Target, known)
		}
	}
}

// updateLimited brings the copy of the limited targets for other filters up to
// date with one target, of which another state was known before. If its limit is
// lower now, the allowances of the node end.
func (p *Placer[P]) updateLimited(name string, before limitState) {
	state := p.limit(name)
	if a, ok := p.limits.accounts[name]; ok && before.named && (!state.named || state.perSecond < before.perSecond) {
		for _, b := range a.allowances {
			a.returned += b.count
		}
		a.allowances = nil
	}
	limited := state.named
	if limited == p.notices.limited[name] {
		return
	}
	m := maps.Clone(p.notices.limited)
	if m == nil {
		m = make(map[string]bool)
	}
	if limited {
		m[name] = true
	} else {
		delete(m, name)
	}
	p.notices.limited = m
}

// isLimited reports whether the target's process has a limit.
func (p *Placer[P]) isLimited(t *target) bool { return p.notices.limited[t.Name] }

// limitLoads returns what the node knows of limits at first hand, and its
// demand, for the targets with the highest demand.
func (p *Placer[P]) limitLoads(now time.Time) []tpmessage.TargetLimit {
	var out []tpmessage.TargetLimit
	for name := range p.limits.observed {
		state := p.limits.observed[name]
		if !isSince(state.saidAt, p.startOf(name), clockTolerance) {
			continue
		}
		l := tpmessage.TargetLimit{
			Target: name, StartedMs: p.registeredStart(name), Statement: tpmessage.LimitAbsent, PerSecond: state.perSecond, Age: now.Sub(state.at),
		}
		if state.named {
			l.Statement = tpmessage.LimitNamed
		}
		p.setDemand(now, &l)
		out = append(out, l)
	}
	for name := range p.limits.accounts {
		if state, observed := p.limits.observed[name]; observed && isSince(state.saidAt, p.startOf(name), clockTolerance) {
			continue
		}
		l := tpmessage.TargetLimit{Target: name, StartedMs: p.registeredStart(name), Statement: tpmessage.LimitUnstated}
		if p.setDemand(now, &l); l.Demand > 0 {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b tpmessage.TargetLimit) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxLimitLoads)]
}

// setDemand sets the demand for requests at a target that has a limit.
func (p *Placer[P]) setDemand(now time.Time, l *tpmessage.TargetLimit) {
	a, ok := p.limits.accounts[l.Target]
	if !ok || !p.notices.limited[l.Target] {
		return
	}
	if demand := a.demand.value(now); demand >= minLimitDemand {
		l.Demand = demand
		l.Room = max(0, int(math.Ceil(demand*allowanceTime.Seconds()))-a.held(now.Add(allowanceRenewal)))
	}
}

// updateLimits brings the limits up to date with the registered processes. It
// forgets what is known of targets that are no longer registered, and of limits
// that ended long ago.
func (p *Placer[P]) updateLimits(now time.Time) {
	isOld := func(name string, state limitState) bool {
		age := now.Sub(state.at)
		if _, ok := p.targets[name]; ok {
			return !state.named && age >= limitStatementTTL
		}
		return age >= noticeTTL
	}
	maps.DeleteFunc(p.limits.observed, isOld)
	maps.DeleteFunc(p.limits.reported, isOld)
	for _, states := range []map[string]limitState{p.limits.observed, p.limits.reported} {
		for name := range states {
			p.updateLimited(name, p.limit(name))
		}
	}
	for name := range p.notices.limited {
		p.updateLimited(name, p.limit(name))
	}
	maps.DeleteFunc(p.limits.accounts, func(name string, _ *limitAccount) bool { return !p.notices.limited[name] })
}
