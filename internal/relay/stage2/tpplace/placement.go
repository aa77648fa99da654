package tpplace

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// placement is a candidate target for a step, with the load and the expected
// times of the step there.
type placement struct {
	target           *target
	step             Step
	reservation      Reservation
	candidates       int
	cost             float64 // of the policy, in milliseconds
	fetch            string
	queueDelay, read time.Duration // expected times to the start and for reading the prompt
}

// choose returns the best placement for a request. It returns false if no
// target is left.
//
// A prompt that is not expected to be read within the goal of its route gets a
// lower priority, so that it does not delay those that can meet their goals.
func (p *Placer[P]) choose(now time.Time, a *TargetRequest) (placement, bool) {
	req := a.Work.Request
	p.view.Priority, p.view.timeFactor = priority(req, true), p.prefillTimeFactor.value()
	switch {
	case req.Pool.Engine == nil:
		return p.call(now, a)
	case a.HasHandle:
		return p.run(now, a)
	}
	best, found := p.read(now, a)
	if !found || now.Add(best.queueDelay+best.read).Before(req.Arrived.Add(req.Route.LatencyGoal)) {
		return best, found
	}
	p.view.Priority = priority(req, false)
	return p.read(now, a)
}

// read chooses the target that reads a prompt.
func (p *Placer[P]) read(now time.Time, a *TargetRequest) (placement, bool) {
	switch a.Step {
	case StepPrefill:
		return p.prefillPlacement(now, a)
	case StepRun:
		return p.direct(now, a)
	}
	direct, found := p.direct(now, a)
	if !found {
		// Without a target that can generate, reading the prompt would be
		// wasted.
		return placement{}, false
	}
	separate, found := p.prefillPlacement(now, a)
	if !found || direct.cost < separate.cost {
		return direct, true
	}
	return separate, true
}

// call chooses a plain service.
func (p *Placer[P]) call(now time.Time, a *TargetRequest) (placement, bool) {
	if !p.prepareView(now, a, StepCall) {
		return placement{}, false
	}
	t := p.view.targets[p.policy.Run(&p.view, a.Work.Request)]
	return placement{
		target: t, step: StepCall, reservation: Reservation{Target: t.Name, Runs: 1}, candidates: len(p.view.targets),
	}, true
}

// prefillPlacement chooses a target that reads a prompt and hands it over to
// another one.
func (p *Placer[P]) prefillPlacement(now time.Time, a *TargetRequest) (placement, bool) {
	if !p.prepareView(now, a, StepPrefill) {
		return placement{}, false
	}
	index, cost := p.policy.Prefill(&p.view, a.Work.Request)
	return p.promptPlacement(a, StepPrefill, index, cost, 1), true
}

// direct chooses a target that reads a prompt and also generates.
func (p *Placer[P]) direct(now time.Time, a *TargetRequest) (placement, bool) {
	if !p.prepareView(now, a, StepRun) {
		return placement{}, false
	}
	req := a.Work.Request
	index, cost := p.policy.Direct(&p.view, req)
	o := p.promptPlacement(a, StepRun, index, cost, decodeSlowdown)
	o.reservation.Runs, o.reservation.Tokens = 1, req.PromptTokens+req.MaxOutputTokens
	return o, true
}

// run chooses a target that generates from a prompt that another target has
// read.
func (p *Placer[P]) run(now time.Time, a *TargetRequest) (placement, bool) {
	if !p.prepareView(now, a, StepRun) {
		return placement{}, false
	}
	req := a.Work.Request
	t := p.view.targets[p.policy.Run(&p.view, req)]
	return placement{
		target: t, step: StepRun, candidates: len(p.view.targets),
		reservation: Reservation{
			Target: t.Name, Priority: p.view.Priority, Runs: 1, Tokens: req.PromptTokens + req.MaxOutputTokens, Batch: t.totalRuns() + 1,
		},
	}, true
}

// promptPlacement returns the placement for reading a prompt at the target with
// the given index. The target takes slowdown times as long as a target of the
// prefill role.
func (p *Placer[P]) promptPlacement(a *TargetRequest, step Step, index int, cost, slowdown float64) placement {
	t := p.view.targets[index]
	o := placement{target: t, step: step, cost: cost, candidates: len(p.view.targets)}
	o.reservation = Reservation{
		Target: t.Name, Priority: p.view.Priority, Prefill: p.view.unreadTokens[index],
		NoBacklog: step == StepPrefill && t.totalPrefill() == 0, Batch: t.totalRuns() + 1,
	}
	if p.fetchSource != nil && p.fetchSource != t {
		o.fetch = p.fetchSource.Address
	}
	o.queueDelay = millis(slowdown * p.view.waitMs(t))
	o.read = millis(slowdown * p.view.timeFactor * readMs(o.reservation.Prefill, a.Work.Request.PromptTokens))
	// updateEstimates compares the observed time with the time at the reference
	// speed, so the estimated time factor is left out here.
	o.reservation.ReadTime = millis(slowdown * readMs(o.reservation.Prefill, a.Work.Request.PromptTokens))
	return o
}

// prepareView sets the view to the candidates for a step and to the tokens that
// each of them has to read. It returns false if there is no candidate.
func (p *Placer[P]) prepareView(now time.Time, a *TargetRequest, step Step) bool {
	v := &p.view
	v.Zone, v.home, v.sharedTokens = p.cfg.Zone, -1, 0
	v.unreadTokens = v.unreadTokens[:0]
	p.fetchSource = nil
	candidates := p.candidates(now, a, step)
	req := a.Work.Request
	if len(candidates) == 0 || req.Pool.Engine == nil || a.HasHandle {
		return len(candidates) > 0
	}
	sharedTokens, prefix := req.SharedTokens()
	v.sharedTokens = sharedTokens
	v.home = home(prefix, candidates)
	p.fetchSource = p.prefixSource(now, prefix, req.Pool.Name)
	unreadTokens := req.PromptTokens
	if p.fetchSource != nil {
		unreadTokens -= sharedTokens
	}
	holders := p.prefixes.holders[prefix]
	for _, t := range candidates {
		tokens := unreadTokens
		if holds(now, holders, t.Name) {
			tokens = req.PromptTokens - sharedTokens
		}
		v.unreadTokens = append(v.unreadTokens, tokens)
	}
	return true
}

// prefixSource returns the target from which others fetch a prefix, or nil. It
// is the prefill target with the highest rendezvous weight among those that
// hold the prefix.
func (p *Placer[P]) prefixSource(now time.Time, prefix uint64, pool string) *target {
	var source *target
	var weight, maxWeight uint64
	for _, h := range p.prefixes.holders[prefix] {
		t, ok := p.targets[h.target]
		if !ok || t.Pool != pool || t.Role != tpmessage.RolePrefill || now.Sub(h.lastUse) >= prefixTTL || t.rank(now) > 1 {
			continue
		}
		if weight = homeWeight(prefix, t); source == nil || weight > maxWeight {
			source, maxWeight = t, weight
		}
	}
	return source
}

// candidates returns the targets of the best rank that can do a step.
func (p *Placer[P]) candidates(now time.Time, a *TargetRequest, step Step) []*target {
	bestRank := -1
	p.view.targets = p.view.targets[:0]
	for _, t := range p.pools[a.Work.Request.Pool.Name] {
		if t.Draining || !p.fits(now, t, a, step) || slices.Contains(a.Exclude, t.Name) {
			continue
		}
		rank := t.rank(now)
		if bestRank >= 0 && rank > bestRank {
			continue
		}
		if rank != bestRank {
			bestRank = rank
			p.view.targets = p.view.targets[:0]
		}
		p.view.targets = append(p.view.targets, t)
	}
	return p.view.targets
}

// fits reports whether a target's role, free memory and batch size allow a
// step.
func (p *Placer[P]) fits(now time.Time, t *target, a *TargetRequest, step Step) bool {
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
		need := req.PromptTokens + req.MaxOutputTokens
		limit := int(maxKVUtilisation * float64(e.KVTokens))
		return t.totalRuns() == 0 || t.totalRuns() < min(e.Slots, p.maxBatchSize(now, req)) && t.totalTokens()+need <= limit
	}
	return true
}

// maxBatchSize returns the number of runs below which one more run is expected
// to finish before its deadline. Each token takes longer in a larger batch. The
// result is at least half of the slots, because the expected length of an
// answer is uncertain.
func (p *Placer[P]) maxBatchSize(now time.Time, req *tpmessage.RelayRequest) int {
	output, known := p.meanOutputs[req.Route.Name]
	if !known {
		return req.Pool.Engine.Slots
	}
	remainingMs := req.Deadline.Sub(now).Seconds() * 1000
	tokenMs := remainingMs / (longOutputFactor * output * p.decodeTimeFactor.value())
	return max(req.Pool.Engine.Slots/2, int((tokenMs-stepMs)/stepMsPerRun))
}
