package tpplace

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DirectTokens is the longest unread prompt that a generating target reads
	// by itself. Reading it there costs less than a second target's queue.
	DirectTokens = 800
	// minRetryAfter is the least advice given with a refusal.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter keeps the advice within what clients accept, a third of
	// their time.
	maxRetryAfter = time.Second
	// finishTime is the least time that a request needs after its prompt is
	// read to bring its first event to the client.
	finishTime = 40 * time.Millisecond
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
	prefill  rate
	decode   rate
	view     View // scratch
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
		PrefillRate: p.prefill.value(now), DecodeRate: p.decode.value(now),
	}
	for _, pool := range p.pools {
		for _, t := range pool {
			if t.failing && !now.Before(t.avoid) {
				t.failing = false
			}
			if l := t.load(); l.Prefill > 0 || l.Runs > 0 || l.Failing {
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
		p.heardNodes++
		p.markChanging(n.Changing)
		p.prefixes.heard(now, n.Prefixes)
		for _, l := range n.Loads {
			t, ok := p.targets[l.Target]
			if !ok {
				continue
			}
			t.peers.Prefill += l.Prefill
			t.peers.Runs += l.Runs
			t.peers.Tokens += l.Tokens
			t.peers.Failing = t.peers.Failing || l.Failing
		}
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
	if a.Step == StepFirst {
		if !a.Extra {
			p.arrived(now, req)
		}
		g.Step = p.firstStep(req)
	}
	b := p.budget(req.Pool.Name)
	candidates := p.candidates(now, a, g.Step)
	if len(candidates) == 0 {
		g.Refusal = refuse("no target of pool "+req.Pool.Name+" takes new work", minRetryAfter)
		return g
	}
	if a.Extra && !b.take(now, p.nodes) {
		g.Refusal = refuse("the retry budget of pool "+req.Pool.Name+" is used up", maxRetryAfter)
		return g
	}
	t := p.choose(now, a, &g, candidates)
	if ref := p.tooLate(now, req, &g); ref != nil {
		g.Refusal = ref
		return g
	}
	g.Target = t.RelayTarget
	g.Basis = Basis{
		Candidates: len(candidates), Rank: t.rank(now), Runs: t.totalRuns(), Prefill: t.totalPrefill(),
		Nodes: p.heardNodes,
	}
	if p.heardNodes > 0 {
		g.Basis.OldestLoad = now.Sub(p.oldestLoad)
	}
	g.Charge.Target = t.Name
	t.prefill += g.Charge.Prefill
	t.runs += g.Charge.Runs
	t.tokens += g.Charge.Tokens
	if g.Step != StepCall {
		_, prefix := req.SharedTokens()
		p.prefixes.used(now, prefix, t.Name)
	}
	return g
}

// arrived counts a new request.
func (p *Placer[P]) arrived(now time.Time, req *tpmessage.RelayRequest) {
	p.budget(req.Pool.Name).request(now)
	if req.Pool.Engine != nil {
		shared, _ := req.SharedTokens()
		p.prefill.add(now, float64(req.Prompt-shared))
		p.decode.add(now, float64(req.MaxOutput))
	}
}

// firstStep reads long prompts apart from the generation, if there are targets
// for both.
func (p *Placer[P]) firstStep(req *tpmessage.RelayRequest) Step {
	if req.Pool.Engine == nil {
		return StepCall
	}
	shared, _ := req.SharedTokens()
	if req.Prompt-shared <= DirectTokens && shared <= DirectTokens {
		return StepRun
	}
	for _, t := range p.pools[req.Pool.Name] {
		if t.Role == tpmessage.RolePrefill && !t.Draining {
			return StepPrefill
		}
	}
	return StepRun
}

// candidates returns the targets of the best rank that can do a step.
func (p *Placer[P]) candidates(now time.Time, a *Ask, step Step) []*target {
	best := -1
	p.view.targets = p.view.targets[:0]
	for _, t := range p.pools[a.Work.Request.Pool.Name] {
		if t.Draining || !fits(t, a, step) || slices.Contains(a.Exclude, t.Name) {
			continue
		}
		rank := t.rank(now)
		if best >= 0 && rank > best {
			continue
		}
		if rank != best {
			best = rank
			p.view.targets = p.view.targets[:0]
		}
		p.view.targets = append(p.view.targets, t)
	}
	return p.view.targets
}

// fits reports whether a target's role and memory allow a step.
func fits(t *target, a *Ask, step Step) bool {
	req := a.Work.Request
	switch step {
	case StepPrefill:
		return t.Role == tpmessage.RolePrefill
	case StepRun:
		e := req.Pool.Engine
		if e == nil {
			return true
		}
		if t.Role == tpmessage.RolePrefill {
			return false
		}
		need := req.Prompt + req.MaxOutput
		room := int(kvUse * float64(e.KVTokens))
		return t.totalRuns() == 0 || t.totalRuns() < e.Slots && t.totalTokens()+need <= room
	}
	return true
}

// choose sets the charge and the expectations of a grant.
func (p *Placer[P]) choose(now time.Time, a *Ask, g *Grant, candidates []*target) *target {
	req := a.Work.Request
	p.view.Zone = p.cfg.Zone
	p.look(now, req, candidates)
	switch g.Step {
	case StepPrefill:
		at := p.policy.Prefill(&p.view, req)
		t := candidates[at]
		if p.view.source >= 0 && p.view.source != at {
			g.Fetch = candidates[p.view.source].Address
		}
		g.Charge.Prefill = p.view.unread[at]
		g.Wait = millis(float64(t.totalPrefill()) / PrefillTokensPerMs)
		g.Read = millis(float64(g.Charge.Prefill) / PrefillTokensPerMs)
		return t
	case StepRun:
		at := p.policy.Run(&p.view, req, a.Loaded)
		t := candidates[at]
		g.Charge.Runs = 1
		g.Charge.Tokens = req.Prompt + req.MaxOutput
		if !a.Loaded {
			g.Charge.Prefill = req.Prompt
			if p.view.holds[at] {
				g.Charge.Prefill = p.view.unread[at]
			}
			g.Wait = millis(float64(t.totalPrefill()) / DecodeReadTokensPerMs)
			g.Read = millis(float64(g.Charge.Prefill) / DecodeReadTokensPerMs)
		}
		return t
	}
	g.Charge.Runs = 1
	return candidates[p.policy.Run(&p.view, req, true)]
}

// look fills the view with what is known of a request's prefix.
func (p *Placer[P]) look(now time.Time, req *tpmessage.RelayRequest, candidates []*target) {
	v := &p.view
	v.holds, v.unread = v.holds[:0], v.unread[:0]
	v.home, v.source, v.shared = -1, -1, 0
	if req.Pool.Engine == nil {
		return
	}
	shared, prefix := req.SharedTokens()
	v.shared = shared
	v.home = home(prefix, candidates)
	for i, t := range candidates {
		holds := p.prefixes.holds(now, prefix, t.Name)
		v.holds = append(v.holds, holds)
		if holds && (v.source < 0 || i == v.home) {
			v.source = i
		}
	}
	unread := req.Prompt
	if v.source >= 0 {
		unread -= shared
	}
	for range candidates {
		v.unread = append(v.unread, unread)
	}
}

// tooLate refuses a request that has no chance to be served in its time.
func (p *Placer[P]) tooLate(now time.Time, req *tpmessage.RelayRequest, g *Grant) *tpmessage.RelayRefusal {
	if req.Pool.Engine == nil {
		return nil
	}
	left := req.Deadline.Sub(now)
	if g.Wait+g.Read+finishTime <= left {
		return nil
	}
	return refuse(fmt.Sprintf("the prompt cannot be read within %v", left.Round(time.Millisecond)), g.Wait)
}

func refuse(reason string, wait time.Duration) *tpmessage.RelayRefusal {
	return &tpmessage.RelayRefusal{
		Status: tpmessage.StatusUnavailable, Reason: reason,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}
