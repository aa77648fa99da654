package tpplace

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpallot"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// minLimitRetryAfter and maxLimitRetryAfter bound the delay before a retry that
	// a refusal because of limits advises. An allowance that a node asks for
	// arrives after several reports, within a second.
	minLimitRetryAfter = time.Second
	maxLimitRetryAfter = 10 * time.Second
	// maxWithheld is the number of targets at their limit that one placement
	// tries. It then leaves out all others.
	maxWithheld = 4
)

// limitAccount is the demand of this node for requests at one target, and its
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

func (l *limits) account(name string) *limitAccount {
	a, ok := l.accounts[name]
	if !ok {
		if l.accounts == nil {
			l.accounts = make(map[string]*limitAccount)
		}
		a = &limitAccount{}
		l.accounts[name] = a
	}
	return a
}

// addAllowances records allowances for this node.
func (p *Placer[P]) addAllowances(now time.Time, list []tpmessage.Allowance) {
	for _, in := range list {
		if in.Granted <= 0 || in.Left <= 0 || !p.notices.limited[in.Target] {
			continue
		}
		a := p.limits.account(in.Target)
		a.allowances = append(a.allowances, allowance{count: in.Granted, until: now.Add(min(in.Left, tpallot.Lifetime))})
		slices.SortFunc(a.allowances, func(a, b allowance) int { return a.until.Compare(b.until) })
	}
}

// TakeSettled returns the allowances that were used or ended without use since
// the last call.
func (p *Placer[P]) TakeSettled(now time.Time) []tpmessage.Allowance {
	var out []tpmessage.Allowance
	for name, a := range p.limits.accounts {
		if a.expire(now); a.returned > 0 || a.used > 0 {
			out = append(out, tpmessage.Allowance{Target: name, StartedMs: p.registeredStart(name), Returned: a.returned, Used: a.used})
			a.returned, a.used = 0, 0
		}
	}
	return out
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
			p.limits.account(t.Name).demand.add(now, 1)
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
	return p.isLimited(t) && p.limits.account(t.Name).held(now) > 0
}

// holdsAllowance reports whether the node has an allowance for a target of a
// pool.
func (p *Placer[P]) holdsAllowance(now time.Time, pool string) bool {
	for name, a := range p.limits.accounts {
		if t, ok := p.targets[name]; ok && t.Pool == pool && a.held(now) > 0 {
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
	a := p.limits.account(t.Name)
	a.expire(now)
	a.use()
}

// limitDelay returns the time until the withheld targets, of which there is at
// least one, are expected to have taken the requests that all nodes want to place
// there, and one more.
func (p *Placer[P]) limitDelay(now time.Time) time.Duration {
	most, perSecond := 0.0, 0.0 // a request counts at each target that it wants
	for _, t := range p.withheld {
		a := p.limits.account(t.Name)
		most = max(most, a.demand.value(now)+a.peerDemand)
		perSecond += max(tpallot.MinPerSecond, p.limit(t.Name).perSecond)
	}
	delay := time.Duration((1 + most) / perSecond * float64(time.Second))
	return min(max(delay, minLimitRetryAfter), maxLimitRetryAfter)
}
