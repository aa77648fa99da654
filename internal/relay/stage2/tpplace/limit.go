package tpplace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpallot"
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
	// minLimitRetryAfter and maxLimitRetryAfter bound the delay before a retry that
	// a refusal because of limits advises. An allowance that a node asks for
	// arrives after several reports, within a second.
	minLimitRetryAfter = time.Second
	maxLimitRetryAfter = 10 * time.Second
	// maxLimitLoads bounds the limits in a load report, at about 50 bytes each.
	maxLimitLoads = 64
	// maxWithheld is the number of targets at their limit that one placement
	// tries. It then leaves out all others.
	maxWithheld = 4
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

// limitAccount is the demand of this node for requests at one process, and its
// allowances.
type limitAccount struct {
	demand     rate
	peerDemand float64 // requests a second, of the other nodes
	allowances []allowance
	// returned and used count the allowances that ended without use, and those
	// that were used, since the last call of TakeSettled.
	returned, used int
}

// allowance is a number of requests that may be sent until a time.
type allowance struct {
	count int
	until time.Time
}

// held returns the number of allowances that have not ended at a time.
func (a *limitAccount) held(at time.Time) int {
	n := 0
	for _, b := range a.allowances {
		if at.Before(b.until) {
			n += b.count
		}
	}
	return n
}

// expire removes the allowances that have ended.
func (a *limitAccount) expire(now time.Time) {
	a.allowances = slices.DeleteFunc(a.allowances, func(b allowance) bool {
		if now.Before(b.until) {
			return false
		}
		a.returned += b.count
		return true
	})
}

// use uses the allowance that ends first.
func (a *limitAccount) use() {
	if len(a.allowances) == 0 {
		return
	}
	a.used++
	a.allowances[0].count--
	if a.allowances[0].count == 0 {
		a.allowances = a.allowances[1:]
	}
}

func (l *limits) account(key limitKey) *limitAccount {
	a, ok := l.accounts[key]
	if !ok {
		if l.accounts == nil {
			l.accounts = make(map[limitKey]*limitAccount)
		}
		a = &limitAccount{}
		l.accounts[key] = a
	}
	return a
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

// addAllowances records allowances for this node.
func (p *Placer[P]) addAllowances(now time.Time, list []tpmessage.Allowance) {
	for _, in := range list {
		key := limitKey{name: in.Target, startedMs: in.StartedMs}
		if in.Granted <= 0 || in.Left <= 0 || !p.notices.limited[key] {
			continue
		}
		a := p.limits.account(key)
		a.allowances = append(a.allowances, allowance{count: in.Granted, until: now.Add(min(in.Left, tpallot.Lifetime))})
		slices.SortFunc(a.allowances, func(a, b allowance) int { return a.until.Compare(b.until) })
	}
}

// TakeSettled returns the allowances that were used or ended without use since
// the last call.
func (p *Placer[P]) TakeSettled(now time.Time) []tpmessage.Allowance {
	var out []tpmessage.Allowance
	for key, a := range p.limits.accounts {
		if a.expire(now); a.returned > 0 || a.used > 0 {
			out = append(out, tpmessage.Allowance{Target: key.name, StartedMs: key.startedMs, Returned: a.returned, Used: a.used})
			a.returned, a.used = 0, 0
		}
	}
	return out
}

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

// chooseWithinLimits returns the best placement for a request at targets that
// may get it now. Withheld targets are those that would have been chosen but for
// their limit.
//
// The demand for requests at a target is that without any preference. Otherwise
// a target in need could get more requests with its limit than without one.
func (p *Placer[P]) chooseWithinLimits(now time.Time, r *TargetRequest) (best placement, found bool) {
	p.withheld, p.preferAllowed = p.withheld[:0], false
	for {
		if best, found = p.choose(now, r); !found {
			return best, false
		}
		withheld, limited := len(p.withheld), false
		for _, t := range []*target{best.target, best.runTarget} {
			if t == nil || !p.isLimited(t) {
				continue
			}
			limited = true
			p.limits.account(limitKeyOf(&t.RelayTarget)).demand.add(now, 1)
			if !p.isAllowed(now, t) {
				p.withheld = append(p.withheld, t)
			}
		}
		switch {
		case len(p.withheld) > withheld:
		case limited || !p.holdsAllowance(now, r.Work.Request.Pool.Name):
			return best, true
		default:
			return p.chooseAllowed(now, r, best), true
		}
	}
}

// chooseAllowed returns the best placement with a preference for the targets for
// which the node has an allowance, or the given one if that cannot be used.
func (p *Placer[P]) chooseAllowed(now time.Time, r *TargetRequest, best placement) placement {
	p.preferAllowed = true
	preferred, found := p.choose(now, r)
	if !found || !p.isAllowed(now, preferred.target) || preferred.runTarget != nil && p.isLimited(preferred.runTarget) && !p.isAllowed(now, preferred.runTarget) {
		return best
	}
	return preferred
}

// isAllowed reports whether the target has a limit and this node an allowance.
func (p *Placer[P]) isAllowed(now time.Time, t *target) bool {
	return p.isLimited(t) && p.limits.account(limitKeyOf(&t.RelayTarget)).held(now) > 0
}

// holdsAllowance reports whether the node has an allowance for a target of a
// pool.
func (p *Placer[P]) holdsAllowance(now time.Time, pool string) bool {
	for key, a := range p.limits.accounts {
		if t, ok := p.targets[key.name]; ok && t.Pool == pool && a.held(now) > 0 {
			return true
		}
	}
	return false
}

// isWithheld reports whether a target is left out of a placement because of its
// limit.
func (p *Placer[P]) isWithheld(now time.Time, t *target) bool {
	if slices.Contains(p.withheld, t) {
		return true
	}
	return len(p.withheld) >= maxWithheld && p.isLimited(t) && !p.isAllowed(now, t)
}

// useAllowance uses an allowance for a request that is sent to a target.
func (p *Placer[P]) useAllowance(now time.Time, t *target) {
	if !p.isLimited(t) {
		return
	}
	a := p.limits.account(limitKeyOf(&t.RelayTarget))
	a.expire(now)
	a.use()
}

// limitDelay returns the time until the withheld targets, of which there is at
// least one, are expected to have taken the requests that all nodes want to place
// there, and one more.
func (p *Placer[P]) limitDelay(now time.Time) time.Duration {
	most, perSecond := 0.0, 0.0 // a request counts at each target that it wants
	for _, t := range p.withheld {
		key := limitKeyOf(&t.RelayTarget)
		a := p.limits.account(key)
		most = max(most, a.demand.value(now)+a.peerDemand)
		perSecond += max(tpallot.MinPerSecond, p.limits.limit(key).perSecond)
	}
	delay := time.Duration((1 + most) / perSecond * float64(time.Second))
	return min(max(delay, minLimitRetryAfter), maxLimitRetryAfter)
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
