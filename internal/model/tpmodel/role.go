package tpmodel

import (
	"math/rand/v2"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
)

const (
	roleStep = 100 * time.Millisecond
	// rolePatience is how long work waits in the pool before it is lost, the
	// objective for the first token.
	rolePatience = 1500 * time.Millisecond
	// roleNoise is the largest deviation of a step's demand from its mean.
	roleNoise = 0.2
)

// RoleSettings describes one run of a pool whose roles change.
type RoleSettings struct {
	Split      tprole.Split
	Demand     func(at time.Duration) tprole.Demand // mean
	Duration   time.Duration
	Lag        time.Duration // age of an observation
	ChangeTime time.Duration // time that a change takes an engine out of service
	Seed       uint64
}

// RoleResult is what a run measured, in engine-seconds of work.
type RoleResult struct {
	Offered float64
	Good    float64
	Changes int
}

// Demands returns the demand of each second of a run, as RunRoles draws it.
func Demands(cfg RoleSettings) []tprole.Demand {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	steps := int(time.Second / roleStep)
	seconds := make([]tprole.Demand, int(cfg.Duration/time.Second))
	for i := range seconds {
		for s := range steps {
			d := draw(cfg, rng, time.Duration(i*steps+s)*roleStep)
			seconds[i].Prefill += d.Prefill / float64(steps)
			seconds[i].Decode += d.Decode / float64(steps)
		}
	}
	return seconds
}

func draw(cfg RoleSettings, rng *rand.Rand, at time.Duration) tprole.Demand {
	d := cfg.Demand(at)
	d.Prefill *= 1 + roleNoise*(2*rng.Float64()-1)
	d.Decode *= 1 + roleNoise*(2*rng.Float64()-1)
	return d
}

// rolePool is one run.
type rolePool[P tprole.Policy] struct {
	cfg      RoleSettings
	policy   P
	split    tprole.Split // as ordered
	changing []change
	prefill  backlog
	decode   backlog
	observed []tprole.Demand // by step
	result   RoleResult
}

// change is an engine that is out of service.
type change struct {
	until   time.Duration
	prefill bool // its new role
}

// RunRoles runs a pool under a role policy.
func RunRoles[P tprole.Policy](cfg RoleSettings, policy P) RoleResult {
	p := &rolePool[P]{cfg: cfg, policy: policy, split: cfg.Split}
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	for at := time.Duration(0); at < cfg.Duration; at += roleStep {
		d := draw(cfg, rng, at)
		p.observed = append(p.observed, d)
		p.result.Offered += (d.Prefill + d.Decode) * roleStep.Seconds()
		p.decide(at)
		p.serve(at, d)
	}
	return p.result
}

// decide gives the policy the mean demand of a second that ended a lag ago.
// Observations come with each step, or each second if the lag is longer.
func (p *rolePool[P]) decide(at time.Duration) {
	if at%min(max(p.cfg.Lag, roleStep), time.Second) != 0 {
		return
	}
	end := int((at - p.cfg.Lag) / roleStep)
	if at < p.cfg.Lag || end <= 0 {
		return
	}
	window := p.observed[max(0, end-int(time.Second/roleStep)):end]
	var mean tprole.Demand
	for _, d := range window {
		mean.Prefill += d.Prefill / float64(len(window))
		mean.Decode += d.Decode / float64(len(window))
	}
	want := p.policy.Want(tprole.Observation{At: time.Unix(0, 0).Add(at), Demand: mean, Split: p.split})
	p.change(at, want)
}

// change orders as many changes as the maximum at a time allows.
func (p *rolePool[P]) change(at time.Duration, want int) {
	room := int(tprole.DefaultMaxChanging*float64(p.split.Changeable())) - len(p.changing)
	for ; room > 0 && want != p.split.Prefill; room-- {
		toPrefill := want > p.split.Prefill
		k := p.split.Prefill - 1
		if toPrefill {
			k = p.split.Prefill + 1
		}
		p.split = p.split.With(k)
		p.changing = append(p.changing, change{until: at + p.cfg.ChangeTime, prefill: toPrefill})
		p.result.Changes++
	}
}

func (p *rolePool[P]) serve(at time.Duration, d tprole.Demand) {
	active := p.split
	kept := p.changing[:0]
	for _, c := range p.changing {
		if c.until <= at {
			continue
		}
		kept = append(kept, c)
		if c.prefill {
			active.Prefill--
		} else {
			active.Decode--
		}
	}
	p.changing = kept
	capacity := active.Capacity()
	seconds := roleStep.Seconds()
	p.result.Good += p.prefill.serve(at, d.Prefill*seconds, capacity.Prefill*seconds)
	p.result.Good += p.decode.serve(at, d.Decode*seconds, capacity.Decode*seconds)
}

// backlog holds work that waits, oldest first.
type backlog struct {
	waiting []waitingWork
}

type waitingWork struct {
	at     time.Duration
	amount float64
}

// serve adds work, drops what has waited too long, and returns what was served.
func (b *backlog) serve(at time.Duration, arrived, capacity float64) float64 {
	b.waiting = append(b.waiting, waitingWork{at: at, amount: arrived})
	for at-b.waiting[0].at > rolePatience {
		b.waiting = b.waiting[1:]
	}
	served := 0.0
	for len(b.waiting) > 0 && capacity > 0 {
		w := &b.waiting[0]
		work := min(capacity, w.amount)
		capacity -= work
		served += work
		w.amount -= work
		if w.amount > 0 {
			break
		}
		b.waiting = b.waiting[1:]
	}
	return served
}
