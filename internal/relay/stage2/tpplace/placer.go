package tpplace

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// minRetryAfter is the least advice given with a refusal.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter keeps the advice within what clients accept, a third of
	// their time.
	maxRetryAfter = time.Second
	// finishTime is the least time that a request needs after its prompt is
	// read to bring its first event to the client.
	finishTime = 40 * time.Millisecond
	// usualOutput is the part of the mean output of a route that an answer needs
	// time for before it is refused: most answers are shorter than the mean.
	usualOutput = 0.6
	// loadLife is how long a peer's word of its load counts.
	loadLife = 2 * time.Second
	// rateTime is the time over which the arriving tokens are averaged.
	rateTime = 3 * time.Second
)

// Settings configures a Placer.
type Settings struct {
	Node   string
	Zone   string
	Budget BudgetSettings
}

// Placer chooses targets. It belongs to one filter.
type Placer[P Policy] struct {
	cfg     Settings
	policy  P
	targets map[string]*target
	pools   map[string][]*target // sorted by name
	budgets map[string]*budget
	nodes   int
	// heardNodes is the number of other nodes whose load counts, and oldestLoad
	// the instant of the oldest of these loads.
	heardNodes int
	oldestLoad time.Time
	// changing names the targets that this node has ordered to another role.
	changing []string
	prefixes prefixes
	// prefill and decode are the work that arrives, in milliseconds of an
	// engine, and the paces the speeds at which the engines do it.
	prefill, decode         rate
	prefillPace, decodePace pace
	outputs                 map[string]float64 // mean tokens of an answer, by route
	// view and source are scratch of one ask. Source is a target that keeps the
	// prefix of the request.
	view   View
	source *target
}

// New returns a placer without targets.
func New[P Policy](cfg Settings, policy P) *Placer[P] {
	if cfg.Budget.Window <= 0 {
		cfg.Budget.Window = 10 * time.Second
	}
	return &Placer[P]{
		cfg: cfg, policy: policy, nodes: 1,
		targets: make(map[string]*target),
		pools:   make(map[string][]*target),
		budgets: make(map[string]*budget),
		outputs: make(map[string]float64),
	}
}

// Step takes one input. It returns a grant and true for an ask.
func (p *Placer[P]) Step(now time.Time, in Input) (Grant, bool) {
	switch in.Kind {
	case InputAsk:
		return p.ask(now, &in.Ask), true
	case InputDone:
		if t, ok := p.targets[in.Done.Charge.Target]; ok {
			t.settle(now, &in.Done)
		}
		p.learn(&in.Done)
	case InputTargets:
		p.setTargets(in.Targets)
	case InputLoads:
		p.nodes = max(1, in.Nodes)
		p.setLoads(now, in.Loads)
	case InputChanging:
		p.changing = in.Changing
		p.markChanging(p.changing)
	case InputTick:
	}
	return Grant{}, false
}

// Load returns what this node has outstanding.
func (p *Placer[P]) Load(now time.Time) tpmessage.NodeLoad {
	n := tpmessage.NodeLoad{
		Node: p.cfg.Node, At: now, Changing: p.changing, Prefixes: p.prefixes.sweep(now),
		PrefillDemand: p.prefill.value(now) / 1000, DecodeDemand: p.decode.value(now) / 1000,
	}
	for _, pool := range p.pools {
		for _, t := range pool {
			if t.failing && !now.Before(t.avoid) {
				t.failing = false
			}
			if l := t.load(); l.Runs > 0 || l.Failing || l.Prefill != [tpmessage.Priorities]int{} {
				n.Loads = append(n.Loads, l)
			}
		}
	}
	return n
}

// setTargets replaces the targets. What is outstanding at one that stays is kept.
func (p *Placer[P]) setTargets(list []tpmessage.RelayTarget) {
	known := p.targets
	p.targets = make(map[string]*target, len(list))
	p.pools = make(map[string][]*target)
	for _, rt := range list {
		t, ok := known[rt.Name]
		if !ok || t.Born != rt.Born || t.Address != rt.Address {
			t = &target{}
			p.prefixes.forget(rt.Name)
		} else if t.Role != rt.Role {
			t.avoid = time.Time{}
		}
		t.RelayTarget = rt
		p.targets[rt.Name] = t
		p.pools[rt.Pool] = append(p.pools[rt.Pool], t)
	}
	for _, pool := range p.pools {
		slices.SortFunc(pool, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func (p *Placer[P]) setLoads(now time.Time, nodes []tpmessage.NodeLoad) {
	for _, t := range p.targets {
		t.peers = tpmessage.TargetLoad{}
		t.changing = false
	}
	p.markChanging(p.changing)
	p.heardNodes = 0
	for _, n := range nodes {
		if n.Node == p.cfg.Node || now.Sub(n.At) > loadLife {
			continue
		}
		if p.heardNodes == 0 || n.At.Before(p.oldestLoad) {
			p.oldestLoad = n.At
		}
		p.heardNodes += max(1, n.Nodes)
		p.markChanging(n.Changing)
		p.prefixes.heard(now, n.Prefixes)
		for _, l := range n.Loads {
			t, ok := p.targets[l.Target]
			if !ok {
				continue
			}
			for i, tokens := range l.Prefill {
				t.peers.Prefill[i] += tokens
			}
			t.peers.Runs += l.Runs
			t.peers.Tokens += l.Tokens
			t.peers.Failing = t.peers.Failing || l.Failing
		}
	}
	for _, t := range p.targets {
		t.count()
	}
}

// markChanging marks targets that refuse all work while they change their role.
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
		b = &budget{cfg: p.cfg.Budget}
		p.budgets[pool] = b
	}
	return b
}

func (p *Placer[P]) ask(now time.Time, a *Ask) Grant {
	req := a.Work.Request
	g := Grant{Work: a.Work, Step: a.Step}
	if a.Step == StepFirst && !a.Extra {
		p.budget(req.Pool.Name).request(now)
	}
	best, found := p.choose(now, a)
	if !found {
		g.Refusal = refuse("no target of pool "+req.Pool.Name+" takes new work", minRetryAfter)
		return g
	}
	if a.Extra && !p.budget(req.Pool.Name).take(now, p.nodes) {
		g.Refusal = refuse("the retry budget of pool "+req.Pool.Name+" is used up", maxRetryAfter)
		return g
	}
	if a.Step == StepFirst && !a.Extra && req.Pool.Engine != nil {
		p.demand(now, req, &best)
	}
	t := best.target
	g.Step, g.Charge, g.Fetch, g.Wait, g.Read = best.step, best.charge, best.fetch, best.wait, best.read
	if ref := p.tooLate(now, req, &g); ref != nil {
		g.Refusal = ref
		return g
	}
	g.Target = t.RelayTarget
	g.Basis = Basis{
		Candidates: best.candidates, Rank: t.rank(now), Runs: t.totalRuns(), Prefill: t.totalPrefill(),
		Nodes: p.heardNodes,
	}
	if p.heardNodes > 0 {
		g.Basis.OldestLoad = now.Sub(p.oldestLoad)
	}
	t.prefill[g.Charge.Priority] += g.Charge.Prefill
	t.count()
	t.runs += g.Charge.Runs
	t.tokens += g.Charge.Tokens
	if g.Step != StepCall {
		_, prefix := req.SharedTokens()
		p.prefixes.used(now, prefix, t.Name)
	}
	return g
}

// tooLate refuses a request that has no chance to be served in its time.
func (p *Placer[P]) tooLate(now time.Time, req *tpmessage.RelayRequest, g *Grant) *tpmessage.RelayRefusal {
	if req.Pool.Engine == nil {
		return nil
	}
	left := min(req.Latest.Sub(now)-p.generation(req, g), req.Deadline.Sub(now))
	if patience := req.Route.FirstEventPatience(); patience > 0 {
		left = min(left, req.Arrived.Add(patience).Sub(now))
	}
	if g.Wait+g.Read+finishTime <= left {
		return nil
	}
	return refuse(fmt.Sprintf("the prompt cannot be read within %v", left.Round(time.Millisecond)), g.Wait)
}

// generation returns the time in which most of the answers of a request's route
// are generated.
func (p *Placer[P]) generation(req *tpmessage.RelayRequest, g *Grant) time.Duration {
	output := p.outputs[req.Route.Name]
	step := stepMs + stepMsPerRun*float64(max(1, g.Charge.Batch))
	return millis(usualOutput * output * step * p.decodePace.value())
}

func refuse(reason string, wait time.Duration) *tpmessage.RelayRefusal {
	return &tpmessage.RelayRefusal{
		Status: tpmessage.StatusUnavailable, Reason: reason,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}
