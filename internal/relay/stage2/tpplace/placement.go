package tpplace

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// placement is the choice of a target for a step, with the load that the step
// adds and its expected times.
type placement struct {
	target           *target
	runTarget        *target // that would generate from a prompt read by target, as expected now; nil otherwise
	step             Step
	reservation      Reservation
	candidates       int
	cost             float64 // of the policy, in milliseconds
	fetchAddress     string
	queueDelay, read time.Duration // expected queue delay and time to read the prompt
}

// choose returns the best placement for a request. It returns false if no
// target is left.
//
// A prompt that is not expected to be read within the goal of its route gets a
// lower priority, so that it does not delay those that can meet their goals.
func (p *Placer[P]) choose(now time.Time, r *TargetRequest) (placement, bool) {
	req := r.Work.Request
	p.view.Priority, p.view.timeFactor = priority(req, true), p.prefillTimeFactor.value()
	switch {
	case req.Pool.Engine == nil:
		return p.call(now, r)
	case r.HasHandle:
		return p.run(now, r)
	}
	best, found := p.read(now, r)
	if !found || now.Add(best.queueDelay+best.read).Before(req.Arrived.Add(req.Route.LatencyGoal)) {
		return best, found
	}
	p.view.Priority = priority(req, false)
	return p.read(now, r)
}

// read chooses the target that reads a prompt. For StepFirst, it also
// chooses between a separate prefill target and a target that does both.
func (p *Placer[P]) read(now time.Time, r *TargetRequest) (placement, bool) {
	switch r.Step {
	case StepPrefill:
		return p.prefillPlacement(now, r)
	case StepRun:
		return p.direct(now, r)
	}
	direct, found := p.direct(now, r)
	if !found {
		// Without a target that can generate, reading the prompt would be
		// wasted.
		return placement{}, false
	}
	separate, found := p.prefillPlacement(now, r)
	if !found || direct.cost < separate.cost {
		return direct, true
	}
	separate.runTarget = direct.target
	return separate, true
}

// call chooses a plain service.
func (p *Placer[P]) call(now time.Time, r *TargetRequest) (placement, bool) {
	if !p.prepareView(now, r, StepCall) {
		return placement{}, false
	}
	t := p.view.targets[p.policy.Run(&p.view, r.Work.Request)]
	return placement{
		target: t, step: StepCall, reservation: Reservation{Target: t.Name, Runs: 1}, candidates: p.view.candidates,
	}, true
}

// prefillPlacement chooses a target that reads a prompt and hands it over to
// another one.
func (p *Placer[P]) prefillPlacement(now time.Time, r *TargetRequest) (placement, bool) {
	if !p.prepareView(now, r, StepPrefill) {
		return placement{}, false
	}
	index, cost := p.policy.Prefill(&p.view, r.Work.Request)
	return p.promptPlacement(r, StepPrefill, index, cost, 1), true
}

// direct chooses a target that reads a prompt and also generates.
func (p *Placer[P]) direct(now time.Time, r *TargetRequest) (placement, bool) {
	if !p.prepareView(now, r, StepRun) {
		return placement{}, false
	}
	req := r.Work.Request
	index, cost := p.policy.Direct(&p.view, req)
	pl := p.promptPlacement(r, StepRun, index, cost, decodeSlowdown)
	pl.queueDelay += p.slotWait(pl.target, req)
	pl.reservation.Runs, pl.reservation.Tokens = 1, req.PromptTokens+req.MaxOutputTokens
	return pl, true
}

// run chooses a target that generates from a prompt that another target has
// read.
func (p *Placer[P]) run(now time.Time, r *TargetRequest) (placement, bool) {
	if !p.prepareView(now, r, StepRun) {
		return placement{}, false
	}
	req := r.Work.Request
	t := p.view.targets[p.policy.Run(&p.view, req)]
	return placement{
		target: t, step: StepRun, candidates: p.view.candidates, queueDelay: p.slotWait(t, req),
		reservation: Reservation{
			Target: t.Name, Priority: p.view.Priority, Runs: 1, Tokens: req.PromptTokens + req.MaxOutputTokens, BatchSize: t.totalRuns() + 1,
		},
	}, true
}

// promptPlacement returns the placement for reading a prompt at the target with
// the given index. The target takes slowdown times as long as a target of the
// prefill role.
func (p *Placer[P]) promptPlacement(r *TargetRequest, step Step, index int, cost, slowdown float64) placement {
	t := p.view.targets[index]
	pl := placement{target: t, step: step, cost: cost, candidates: p.view.candidates}
	pl.reservation = Reservation{
		Target: t.Name, Priority: p.view.Priority, Prefill: p.view.unreadTokens[index],
		NoBacklog: step == StepPrefill && t.totalPrefill() == 0, BatchSize: t.totalRuns() + 1,
		ReadsPrefix: p.view.sharedTokens > 0 && p.view.unreadTokens[index] == r.Work.Request.PromptTokens,
	}
	if p.fetchSource != nil && p.fetchSource != t {
		pl.fetchAddress = p.fetchSource.Address
	}
	pl.queueDelay = millis(slowdown * p.view.waitMs(t))
	pl.read = millis(slowdown * p.view.timeFactor * t.factors.read * readMs(pl.reservation.Prefill, r.Work.Request.PromptTokens))
	// updateEstimates compares the observed time with the time at the reference
	// speed, so the estimated time factor is left out here.
	pl.reservation.ReadTime = millis(slowdown * readMs(pl.reservation.Prefill, r.Work.Request.PromptTokens))
	return pl
}

// prepareView sets the view to the candidates for a step and to the tokens that
// each of them has to read. It returns false if there is no candidate.
func (p *Placer[P]) prepareView(now time.Time, r *TargetRequest, step Step) bool {
	v := &p.view
	v.Zone, v.home, v.sharedTokens = p.cfg.Zone, -1, 0
	v.unreadTokens = v.unreadTokens[:0]
	p.fetchSource = nil
	candidates := p.candidates(now, r, step)
	req := r.Work.Request
	v.candidates = len(candidates)
	if len(candidates) == 0 || req.Pool.Engine == nil || r.HasHandle {
		p.sample(now, candidates, func(t *target) bool { return t.allowed })
		return len(candidates) > 0
	}
	sharedTokens, prefix := req.SharedTokens()
	v.sharedTokens = sharedTokens
	homeTarget := home(prefix, candidates)
	holders := p.prefixes.holders[prefix]
	candidates = p.sample(now, candidates, func(t *target) bool {
		return t == homeTarget || t.allowed || holds(now, holders, t.Name)
	})
	v.home = slices.Index(candidates, homeTarget)
	p.fetchSource = p.prefixSource(now, prefix, req.Pool.Name)
	unreadTokens := req.PromptTokens
	if p.fetchSource != nil {
		unreadTokens -= sharedTokens
	}
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
// hold the prefix. A leaving target is no source, because it may exit before or
// during the transfer, and no request is sent there that would reveal it. Nor is
// a target that has asked for a pause or has a limit, because a transfer loads
// it, too.
func (p *Placer[P]) prefixSource(now time.Time, prefix uint64, pool string) *target {
	var source *target
	var weight, maxWeight uint64
	for _, h := range p.prefixes.holders[prefix] {
		t, ok := p.targets[h.target]
		if !ok || t.isLeaving() || t.pauseLeft(now) > 0 || p.isLimited(t) || t.Pool != pool || t.Role != tpmessage.RolePrefill || now.Sub(h.lastUse) >= prefixTTL || t.rank(now) > 1 {
			continue
		}
		if weight = homeWeight(prefix, t); source == nil || weight > maxWeight {
			source, maxWeight = t, weight
		}
	}
	return source
}

// candidates returns the targets of the best rank that can do a step. If all
// that could do it have asked for a pause, it sets shortestPause.
func (p *Placer[P]) candidates(now time.Time, r *TargetRequest, step Step) []*target {
	bestRank, hasUnpaused := -1, false
	p.view.targets, p.shortestPause = p.view.targets[:0], 0
	for _, t := range p.pools[r.Work.Request.Pool.Name] {
		if r.Only != "" && t.Name != r.Only || t.isLeaving() || p.isWithheld(now, t) || !p.fits(now, t, r, step) {
			continue
		}
		if left := t.pauseLeft(now); left > 0 {
			if p.shortestPause == 0 || left < p.shortestPause {
				p.shortestPause = left
			}
			continue
		}
		hasUnpaused = true
		if slices.Contains(r.Exclude, t.Name) {
			continue
		}
		rank := t.rank(now)
		if bestRank >= 0 && rank > bestRank || r.SoundOnly && rank > 0 {
			continue
		}
		if rank != bestRank {
			bestRank = rank
			p.view.targets = p.view.targets[:0]
		}
		t.allowed = p.preferAllowed && p.isAllowed(now, t)
		p.view.targets = append(p.view.targets, t)
	}
	if hasUnpaused {
		p.shortestPause = 0
	}
	p.view.targets = withoutAvoided(p.view.targets, r.Avoid)
	return p.view.targets
}

// withoutAvoided removes the named targets unless no other would be left.
func withoutAvoided(targets []*target, avoid []string) []*target {
	isAvoided := func(t *target) bool { return slices.Contains(avoid, t.Name) }
	if len(avoid) == 0 || !slices.ContainsFunc(targets, func(t *target) bool { return !isAvoided(t) }) {
		return targets
	}
	return slices.DeleteFunc(targets, isAvoided)
}

// fits reports whether a target's role, free KV memory and batch size allow a
// step. A target without runs is never too small for a run.
func (p *Placer[P]) fits(now time.Time, t *target, r *TargetRequest, step Step) bool {
	req := r.Work.Request
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
		return t.totalRuns() == 0 || t.totalRuns() < p.maxRuns(now, t, req) && t.totalTokens()+need <= limit
	}
	return true
}

// maxRuns returns the number of runs below which a decode target may get one
// more run. While the batch limit is below the slots of the engine, it is that
// limit, because a larger batch would be too slow for the request. Otherwise
// further runs wait at the engine for a slot, as many as are expected to start
// within maxSlotWaitFraction of the remaining time.
func (p *Placer[P]) maxRuns(now time.Time, t *target, req *tpmessage.RelayRequest) int {
	slots := req.Pool.Engine.Slots
	if batch := p.maxBatchSize(now, t, req); batch < slots {
		return batch
	}
	runTime := p.fullBatchRunTime(t, req)
	if runTime <= 0 {
		return slots
	}
	wait := maxSlotWaitFraction * req.Deadline.Sub(now).Seconds()
	waiting := int(wait / runTime.Seconds() * float64(slots))
	return slots + min(max(waiting, 0), maxWaitingPerSlot*slots)
}

// slotWait returns the time that one more run waits for a slot of a decode
// target.
func (p *Placer[P]) slotWait(t *target, req *tpmessage.RelayRequest) time.Duration {
	slots := req.Pool.Engine.Slots
	if slots <= 0 || t.totalRuns() < slots {
		return 0
	}
	return p.fullBatchRunTime(t, req) * time.Duration(t.totalRuns()-slots+1) / time.Duration(slots)
}

// fullBatchRunTime returns the expected time that a run of the request's route
// takes in a full batch of a target. It returns zero if no run of the route has finished.
func (p *Placer[P]) fullBatchRunTime(t *target, req *tpmessage.RelayRequest) time.Duration {
	step := stepMs + stepMsPerRun*float64(req.Pool.Engine.Slots)
	return millis(p.meanOutputs[req.Route.Name] * step * p.decodeTimeFactor.value() * t.factors.stream)
}

// maxBatchSize returns the number of runs below which one more run is expected
// to finish before its deadline. Each token takes longer in a larger batch. The
// result is at least half of the slots, because the expected length of an
// answer is uncertain.
func (p *Placer[P]) maxBatchSize(now time.Time, t *target, req *tpmessage.RelayRequest) int {
	output, known := p.meanOutputs[req.Route.Name]
	if !known {
		return req.Pool.Engine.Slots
	}
	remainingMs := req.Deadline.Sub(now).Seconds() * 1000
	tokenMs := remainingMs / (longOutputFactor * output * p.decodeTimeFactor.value() * t.factors.stream)
	return min(req.Pool.Engine.Slots, max(req.Pool.Engine.Slots/2, int((tokenMs-stepMs)/stepMsPerRun)))
}
