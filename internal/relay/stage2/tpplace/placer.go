package tpplace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// minRetryAfter is the shortest delay before a retry that a refusal
	// advises.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the longest delay before a retry that a refusal advises.
	// Clients accept no more than a third of their timeout.
	maxRetryAfter = time.Second
	// minFirstEventDelay is the shortest time between the end of reading the
	// prompt and the arrival of the first event at the client.
	minFirstEventDelay = 40 * time.Millisecond
	// usualOutputFactor is the fraction of a route's mean output that must fit
	// into the remaining time of a request. It is below 1 because most answers
	// are shorter than the mean.
	usualOutputFactor = 0.6
	// loadMaxAge is the age from which a peer's load is ignored.
	loadMaxAge = 2 * time.Second
	// rateTimeConstant is the time constant of the moving average of the
	// arriving work.
	rateTimeConstant = 3 * time.Second
)

// Settings configures a Placer. Node and Zone are the name and the availability
// zone of this node.
type Settings struct {
	Node   string
	Zone   string
	Budget BudgetSettings
	// Started is the start of the process, or zero if that is long ago or no other
	// was before it. A process before it has used the retry budget, too.
	Started time.Time
}

// Placer assigns steps to targets. It is not safe for concurrent use; one
// filter owns it.
type Placer[P Policy] struct {
	cfg     Settings
	policy  P
	targets map[string]*target
	pools   map[string][]*target // by pool name, each sorted by target name
	// processes holds the targets by processHash. Their observed speeds are sums
	// at the time speedsAt.
	processes map[uint32]*target
	speedsAt  time.Time
	// peerWitnesses is the number of other nodes that have observed that targets
	// differ.
	peerWitnesses int
	means         []speedSum // scratch of one load
	budgets       map[string]*budget
	nodes         int // live nodes of the region, including this one
	mostNodes     nodeCount
	// peerNodes is the number of other nodes whose load counts, and oldestLoad
	// the time of the oldest of these loads.
	peerNodes  int
	oldestLoad time.Time
	// changing names the targets that this node has ordered to another role.
	changing []string
	notices  Notices
	// statements holds what targets have said, by name.
	statements map[string]*statements
	limits     limits
	// withheld holds the targets that were left out of the last placement because
	// of their limits.
	withheld []*target
	// preferAllowed is true for a placement that prefers targets for which the
	// node has an allowance.
	preferAllowed bool
	prefixes      prefixes
	random        *rand.Rand // chooses samples of the targets
	arrivals      rate       // of target requests at this node
	// The demands are the rates at which work arrives, in milliseconds of
	// engine time per second. The time factors estimate the speed of the
	// engines for each kind of work.
	prefillDemand, decodeDemand         rate
	prefillTimeFactor, decodeTimeFactor timeFactor
	meanOutputs                         map[string]float64 // mean tokens of an answer, by route
	// shortestPause is the shortest rest of a pause among the targets that could
	// do the last step, if all of them have asked for one. Otherwise it is zero.
	shortestPause time.Duration
	// view and fetchSource are scratch values of one placement. The chosen
	// target can fetch the prefix of the request from fetchSource, which may be
	// nil.
	view        View
	fetchSource *target
}

// New returns a placer without targets. If cfg.Budget.Window is not positive,
// it is 10 s.
func New[P Policy](cfg Settings, policy P) *Placer[P] {
	if cfg.Budget.Window <= 0 {
		cfg.Budget.Window = 10 * time.Second
	}
	return &Placer[P]{
		cfg: cfg, policy: policy, nodes: 1,
		random:      rand.New(rand.NewPCG(xxh3.HashString(cfg.Node), 0)),
		targets:     make(map[string]*target),
		pools:       make(map[string][]*target),
		processes:   make(map[uint32]*target),
		statements:  make(map[string]*statements),
		budgets:     make(map[string]*budget),
		meanOutputs: make(map[string]float64),
	}
}

// Step processes one input. It returns a grant and true if the input is a
// target request.
func (p *Placer[P]) Step(now time.Time, in Input) (Grant, bool) {
	switch in.Kind {
	case InputTargetRequest:
		return p.grant(now, &in.TargetRequest), true
	case InputStepResult:
		t, ok := p.targets[in.StepResult.Reservation.Target]
		if ok {
			t.applyResult(now, &in.StepResult)
		}
		p.updateEstimates(now, t, &in.StepResult)
	case InputTargets:
		p.setTargets(now, in.Targets)
		p.updateNotices(now)
		p.updateLimits(now)
	case InputLoads:
		p.nodes = max(1, in.Nodes)
		p.mostNodes.add(now, p.nodes)
		p.setLoads(now, in.Loads)
		p.setPeerSpeeds(now, in.Loads)
		p.updateFactors()
	case InputAllowances:
		p.addAllowances(now, in.Allowances)
	case InputRoleChanging:
		p.changing = in.RoleChanging
		p.markChanging(p.changing)
	case InputNotice:
		p.HandleNotice(in.Notice)
	case InputTick, InputStreamBegun, InputSuspects:
	}
	return Grant{}, false
}

// Load returns the outstanding load and the demand of this node, and the
// prefix uses to announce to the peers.
func (p *Placer[P]) Load(now time.Time) tpmessage.NodeLoad {
	p.advanceSpeeds(now)
	n := tpmessage.NodeLoad{
		Node: p.cfg.Node, At: now, Changing: p.changing, Prefixes: p.prefixes.expire(now),
		Limits:        p.limitLoads(now),
		PrefillDemand: p.prefillDemand.value(now) / 1000, DecodeDemand: p.decodeDemand.value(now) / 1000,
	}
	n.Speeds, n.SpeedWitnesses = p.speedLoads()
	for _, pool := range p.pools {
		for _, t := range pool {
			if t.failing && !now.Before(t.avoidUntil) {
				t.failing = false
			}
			if l := t.load(); l.Runs > 0 || l.Failing || l.Prefill != [tpmessage.NumPriorities]int{} {
				n.Loads = append(n.Loads, l)
			}
		}
	}
	return n
}

// setTargets replaces the targets. A target that stays with the same process
// keeps its outstanding load.
func (p *Placer[P]) setTargets(now time.Time, list []tpmessage.RelayTarget) {
	known := p.targets
	p.targets = make(map[string]*target, len(list))
	p.pools = make(map[string][]*target)
	p.processes = make(map[uint32]*target, len(list))
	for _, rt := range list {
		t, ok := known[rt.Name]
		if !ok || t.StartedMs != rt.StartedMs || t.Address != rt.Address {
			t = &target{factors: factors{read: 1, stream: 1}, startsBy: now}
			p.prefixes.dropTarget(rt.Name)
		} else if t.Role != rt.Role {
			t.avoidUntil = time.Time{}
		}
		t.RelayTarget = rt
		p.targets[rt.Name] = t
		p.processes[processHash(&rt)] = t
		p.pools[rt.Pool] = append(p.pools[rt.Pool], t)
	}
	for _, pool := range p.pools {
		slices.SortFunc(pool, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func (p *Placer[P]) setLoads(now time.Time, nodes []tpmessage.NodeLoad) {
	for _, t := range p.targets {
		t.peerLoad = tpmessage.TargetLoad{}
		t.changing = false
	}
	p.markChanging(p.changing)
	p.setReportedLimits(nodes)
	p.peerNodes = 0
	for _, n := range nodes {
		if n.Node == p.cfg.Node || now.Sub(n.At) > loadMaxAge {
			continue
		}
		if p.peerNodes == 0 || n.At.Before(p.oldestLoad) {
			p.oldestLoad = n.At
		}
		p.peerNodes += max(1, n.Nodes)
		p.markChanging(n.Changing)
		p.prefixes.recordPeerUses(now, n.Prefixes)
		for _, l := range n.Loads {
			t, ok := p.targets[l.Target]
			if !ok {
				continue
			}
			for i, tokens := range l.Prefill {
				t.peerLoad.Prefill[i] += tokens
			}
			t.peerLoad.Runs += l.Runs
			t.peerLoad.Tokens += l.Tokens
			t.peerLoad.Failing = t.peerLoad.Failing || l.Failing
		}
	}
	for _, t := range p.targets {
		t.updatePrefillSums()
	}
}

// markChanging marks targets that change their role. They refuse all work
// meanwhile.
func (p *Placer[P]) markChanging(names []string) {
	for _, name := range names {
		if t, ok := p.targets[name]; ok {
			t.changing = true
		}
	}
}

func (p *Placer[P]) budget(pool string) *budget {
	b, ok := p.budgets[pool]
	if !ok {
		b = &budget{cfg: p.cfg.Budget, startedAt: p.cfg.Started, rounding: roundingOf(p.cfg.Node)}
		p.budgets[pool] = b
	}
	return b
}

func (p *Placer[P]) grant(now time.Time, r *TargetRequest) Grant {
	req := r.Work.Request
	g := Grant{Work: r.Work, Step: r.Step}
	p.arrivals.add(now, 1)
	if r.Step == StepFirst && !r.IsRetry {
		p.budget(req.Pool.Name).countRequest(now)
	}
	best, found := p.chooseWithinLimits(now, r)
	if !found && len(p.withheld) > 0 {
		g.Refusal = refuse("every target of pool "+req.Pool.Name+" that could take the request is at its limit", 0)
		g.Refusal.RetryAfter = p.limitDelay(now)
		return g
	}
	if !found && p.shortestPause > 0 {
		g.Refusal = refuse("every target of pool "+req.Pool.Name+" that could take the request has asked for a pause", p.shortestPause)
		return g
	}
	if !found {
		g.Refusal = refuse("no target of pool "+req.Pool.Name+" takes new work", minRetryAfter)
		return g
	}
	if r.Step == StepFirst && !r.IsRetry && req.Pool.Engine != nil {
		p.addDemand(now, req, &best)
	}
	t := best.target
	g.Step, g.Reservation, g.FetchAddress, g.QueueDelay, g.ReadTime = best.step, best.reservation, best.fetchAddress, best.queueDelay, best.read
	if ref := p.refuseIfLate(now, r, &g, t); ref != nil {
		g.Refusal = ref
		return g
	}
	if r.IsRetry && !p.budget(req.Pool.Name).allowRetries(now, p.mostNodes.most(now, p.cfg.Budget.Window), r.retries()) {
		g.Refusal = refuse("the retry budget of pool "+req.Pool.Name+" is used up", maxRetryAfter)
		return g
	}
	p.useAllowance(now, t)
	g.Target = t.RelayTarget
	g.Diagnostics = Diagnostics{
		Candidates: best.candidates, Rank: t.rank(now), Runs: t.totalRuns(), Prefill: t.totalPrefill(),
		Nodes: p.peerNodes, ReadFactor: t.factors.read, StreamFactor: t.factors.stream,
	}
	if p.peerNodes > 0 {
		g.Diagnostics.OldestLoad = now.Sub(p.oldestLoad)
	}
	t.prefill[g.Reservation.Priority] += g.Reservation.Prefill
	t.updatePrefillSums()
	t.runs += g.Reservation.Runs
	t.tokens += g.Reservation.Tokens
	if g.Step != StepCall {
		_, prefix := req.SharedTokens()
		p.prefixes.recordUse(now, prefix, t.Name)
	}
	return g
}

// retries returns the number of retries that a grant counts. The replacement of
// a silent target reserves a second one for the case that it refuses: the silent
// target is then asked for the rest of the answer.
func (r *TargetRequest) retries() float64 {
	if r.SoundOnly && r.Begun {
		return 2
	}
	return 1
}

// refuseIfLate returns a refusal if a request is not expected to be served
// within its timeouts, and nil otherwise.
func (p *Placer[P]) refuseIfLate(now time.Time, r *TargetRequest, g *Grant, t *target) *tpmessage.RelayRefusal {
	req := r.Work.Request
	if req.Pool.Engine == nil {
		return nil
	}
	remaining := req.CompletionDeadline.Sub(now) - p.generationTime(req, g, t)
	if !r.Begun {
		remaining = min(remaining, req.Deadline.Sub(now))
		if firstEventTimeout := req.Route.FirstEventTimeout(); firstEventTimeout > 0 {
			remaining = min(remaining, req.Arrived.Add(firstEventTimeout).Sub(now))
		}
	}
	if g.QueueDelay+g.ReadTime+minFirstEventDelay <= remaining {
		return nil
	}
	return refuse(fmt.Sprintf("the prompt cannot be read within %v", remaining.Round(time.Millisecond)), g.QueueDelay)
}

// generationTime returns the expected time to generate an answer of the route at
// a target, based on usualOutputFactor.
func (p *Placer[P]) generationTime(req *tpmessage.RelayRequest, g *Grant, t *target) time.Duration {
	output := p.meanOutputs[req.Route.Name]
	step := stepMs + stepMsPerRun*float64(max(1, g.Reservation.BatchSize))
	return millis(usualOutputFactor * output * step * p.decodeTimeFactor.value() * t.factors.stream)
}

func refuse(reason string, wait time.Duration) *tpmessage.RelayRefusal {
	return &tpmessage.RelayRefusal{
		Status: tpmessage.StatusUnavailable, Reason: reason,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}
