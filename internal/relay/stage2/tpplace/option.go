package tpplace

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// option is a target for a step, with what the step takes there.
type option struct {
	target     *target
	step       Step
	charge     Charge
	candidates int
	cost       float64 // by the policy
	fetch      string
	wait, read time.Duration
}

// choose returns the best option for an ask, and false if no target is left.
func (p *Placer[P]) choose(now time.Time, a *Ask) (option, bool) {
	req := a.Work.Request
	p.view.Priority, p.view.pace = priority(req, true), p.prefillPace.value()
	switch {
	case req.Pool.Engine == nil:
		return p.call(now, a)
	case a.Loaded:
		return p.run(now, a)
	}
	best, found := p.read(now, a)
	if !found || now.Add(best.wait+best.read).Before(req.Arrived.Add(req.Route.Goal)) {
		return best, found
	}
	p.view.Priority = priority(req, false)
	return p.read(now, a)
}

// read chooses the target that reads a prompt.
func (p *Placer[P]) read(now time.Time, a *Ask) (option, bool) {
	switch a.Step {
	case StepPrefill:
		return p.prefillOption(now, a)
	case StepRun:
		return p.direct(now, a)
	}
	direct, found := p.direct(now, a)
	if !found {
		// A prompt that no target can go on with would be read in vain.
		return option{}, false
	}
	apart, found := p.prefillOption(now, a)
	if !found || direct.cost < apart.cost {
		return direct, true
	}
	return apart, true
}

// call chooses a plain service.
func (p *Placer[P]) call(now time.Time, a *Ask) (option, bool) {
	if !p.see(now, a, StepCall) {
		return option{}, false
	}
	t := p.view.targets[p.policy.Run(&p.view, a.Work.Request)]
	return option{
		target: t, step: StepCall, charge: Charge{Target: t.Name, Runs: 1}, candidates: len(p.view.targets),
	}, true
}

// prefillOption chooses a target that reads a prompt for another one.
func (p *Placer[P]) prefillOption(now time.Time, a *Ask) (option, bool) {
	if !p.see(now, a, StepPrefill) {
		return option{}, false
	}
	at, cost := p.policy.Prefill(&p.view, a.Work.Request)
	return p.reading(a, StepPrefill, at, cost, 1), true
}

// direct chooses a target that reads a prompt and generates.
func (p *Placer[P]) direct(now time.Time, a *Ask) (option, bool) {
	if !p.see(now, a, StepRun) {
		return option{}, false
	}
	req := a.Work.Request
	at, cost := p.policy.Direct(&p.view, req)
	o := p.reading(a, StepRun, at, cost, decodeSlowdown)
	o.charge.Runs, o.charge.Tokens = 1, req.Prompt+req.MaxOutput
	return o, true
}

// run chooses a target that generates from a prompt that was read elsewhere.
func (p *Placer[P]) run(now time.Time, a *Ask) (option, bool) {
	if !p.see(now, a, StepRun) {
		return option{}, false
	}
	req := a.Work.Request
	t := p.view.targets[p.policy.Run(&p.view, req)]
	return option{
		target: t, step: StepRun, candidates: len(p.view.targets),
		charge: Charge{
			Target: t.Name, Priority: p.view.Priority, Runs: 1, Tokens: req.Prompt + req.MaxOutput, Batch: t.totalRuns() + 1,
		},
	}, true
}

// reading returns the option that a target reads a prompt.
func (p *Placer[P]) reading(a *Ask, step Step, at int, cost, slowdown float64) option {
	t := p.view.targets[at]
	o := option{target: t, step: step, cost: cost, candidates: len(p.view.targets)}
	o.charge = Charge{
		Target: t.Name, Priority: p.view.Priority, Prefill: p.view.unread[at],
		Alone: step == StepPrefill && t.totalPrefill() == 0, Batch: t.totalRuns() + 1,
	}
	if p.source != nil && p.source != t {
		o.fetch = p.source.Address
	}
	o.wait = millis(slowdown * p.view.waitMs(t))
	o.read = millis(slowdown * p.view.pace * readMs(o.charge.Prefill, a.Work.Request.Prompt))
	// The observed time is compared with that at the reference speed.
	o.charge.Read = millis(slowdown * readMs(o.charge.Prefill, a.Work.Request.Prompt))
	return o
}

// see fills the view with the candidates for a step and with what is known of
// the request's prefix. It returns false if there are none.
func (p *Placer[P]) see(now time.Time, a *Ask, step Step) bool {
	v := &p.view
	v.Zone, v.home, v.shared = p.cfg.Zone, -1, 0
	v.unread = v.unread[:0]
	p.source = nil
	candidates := p.candidates(now, a, step)
	req := a.Work.Request
	if len(candidates) == 0 || req.Pool.Engine == nil || a.Loaded {
		return len(candidates) > 0
	}
	shared, prefix := req.SharedTokens()
	v.shared = shared
	v.home = home(prefix, candidates)
	p.source = p.prefixSource(now, prefix, req.Pool.Name)
	unread := req.Prompt
	if p.source != nil {
		unread -= shared
	}
	holders := p.prefixes.holders[prefix]
	for _, t := range candidates {
		left := unread
		if holds(now, holders, t.Name) {
			left = req.Prompt - shared
		}
		v.unread = append(v.unread, left)
	}
	return true
}

// prefixSource returns the target from which others fetch a prefix, or nil: the
// home if it keeps the prefix, else the reading target that used it last.
func (p *Placer[P]) prefixSource(now time.Time, prefix uint64, pool string) *target {
	var source *target
	var weight, most uint64
	for _, h := range p.prefixes.holders[prefix] {
		t, ok := p.targets[h.target]
		if !ok || t.Pool != pool || t.Role != tpmessage.RolePrefill || now.Sub(h.at) >= prefixLife || t.rank(now) > 1 {
			continue
		}
		if weight = homeWeight(prefix, t); source == nil || weight > most {
			source, most = t, weight
		}
	}
	return source
}

// candidates returns the targets of the best rank that can do a step.
func (p *Placer[P]) candidates(now time.Time, a *Ask, step Step) []*target {
	best := -1
	p.view.targets = p.view.targets[:0]
	for _, t := range p.pools[a.Work.Request.Pool.Name] {
		if t.Draining || !p.fits(now, t, a, step) || slices.Contains(a.Exclude, t.Name) {
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

// fits reports whether a target's role, memory and batch allow a step.
func (p *Placer[P]) fits(now time.Time, t *target, a *Ask, step Step) bool {
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
		return t.totalRuns() == 0 || t.totalRuns() < min(e.Slots, p.largestBatch(now, req)) && t.totalTokens()+need <= room
	}
	return true
}

// largestBatch returns the number of runs up to which one more is expected to
// end in its time, since each token takes longer in a larger batch. Half of the
// slots are always used: the lengths of answers are a guess.
func (p *Placer[P]) largestBatch(now time.Time, req *tpmessage.RelayRequest) int {
	output, known := p.outputs[req.Route.Name]
	if !known {
		return req.Pool.Engine.Slots
	}
	left := req.Deadline.Sub(now).Seconds() * 1000
	step := left / (longOutput * output * p.decodePace.value())
	return max(req.Pool.Engine.Slots/2, int((step-stepMs)/stepMsPerRun))
}
