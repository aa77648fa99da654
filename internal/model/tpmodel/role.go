package tpmodel

import (
	"math/rand/v2"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
)

const (
	roleStep = 100 * time.Millisecond
	// maxQueueDelay is the time after which waiting work is dropped. It equals
	// the objective for the time to first token.
	maxQueueDelay = 1500 * time.Millisecond
	// demandNoise is the maximum deviation of a step's demand from its mean, as
	// a fraction of the mean.
	demandNoise = 0.2
)

// RoleSettings describes one run of a pool whose engines change roles.
type RoleSettings struct {
	Split          tprole.Split                         // at the start
	Demand         func(at time.Duration) tprole.Demand // mean demand at a time since the start
	Duration       time.Duration                        // of simulated time
	ObservationLag time.Duration                        // age of an observation
	ChangeTime     time.Duration                        // time for which a change takes an engine out of service
	Seed           uint64
}

// RoleResult holds the figures of a run. Work is in engine-seconds.
type RoleResult struct {
	OfferedWork float64 // work that arrived
	GoodWork    float64 // work that was served within the maximum queue delay
	Changes     int     // role changes
}

// DemandPerSecond returns the mean demand of each second of a run. RunRoles
// samples the same demand for the same settings.
func DemandPerSecond(cfg RoleSettings) []tprole.Demand {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	steps := int(time.Second / roleStep)
	seconds := make([]tprole.Demand, int(cfg.Duration/time.Second))
	for i := range seconds {
		for s := range steps {
			d := sampleDemand(cfg, rng, time.Duration(i*steps+s)*roleStep)
			seconds[i].Prefill += d.Prefill / float64(steps)
			seconds[i].Decode += d.Decode / float64(steps)
		}
	}
	return seconds
}

func sampleDemand(cfg RoleSettings, rng *rand.Rand, at time.Duration) tprole.Demand {
	d := cfg.Demand(at)
	d.Prefill *= 1 + demandNoise*(2*rng.Float64()-1)
	d.Decode *= 1 + demandNoise*(2*rng.Float64()-1)
	return d
}

// rolePool is the state of one run.
type rolePool[P tprole.Policy] struct {
	cfg      RoleSettings
	policy   P
	split    tprole.Split // an engine that is changing counts with its new role
	changing []change
	prefill  backlog
	decode   backlog
	demands  []tprole.Demand // by step
	result   RoleResult
}

// change is the role change of an engine, which is out of service meanwhile.
type change struct {
	until   time.Duration // end of the change, since the start of the run
	prefill bool          // the new role is prefill; if false, it is decode
}

// RunRoles simulates a pool whose roles are set by policy.
func RunRoles[P tprole.Policy](cfg RoleSettings, policy P) RoleResult {
	p := &rolePool[P]{cfg: cfg, policy: policy, split: cfg.Split}
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	for at := time.Duration(0); at < cfg.Duration; at += roleStep {
		d := sampleDemand(cfg, rng, at)
		p.demands = append(p.demands, d)
		p.result.OfferedWork += (d.Prefill + d.Decode) * roleStep.Seconds()
		p.decide(at)
		p.serve(at, d)
	}
	return p.result
}

// decide passes the policy the mean demand of the second that ended one
// ObservationLag ago. It does so at intervals of ObservationLag, but of at
// least one step and at most one second.
func (p *rolePool[P]) decide(at time.Duration) {
	if at%min(max(p.cfg.ObservationLag, roleStep), time.Second) != 0 {
		return
	}
	end := int((at - p.cfg.ObservationLag) / roleStep)
	if at < p.cfg.ObservationLag || end <= 0 {
		return
	}
	window := p.demands[max(0, end-int(time.Second/roleStep)):end]
	var mean tprole.Demand
	for _, d := range window {
		mean.Prefill += d.Prefill / float64(len(window))
		mean.Decode += d.Decode / float64(len(window))
	}
	want := p.policy.PrefillEngines(tprole.Observation{At: time.Unix(0, 0).Add(at), Demand: mean, Split: p.split})
	p.change(at, want)
}

// change starts role changes until want engines have the role prefill, or until
// the maximum of simultaneous changes is reached.
func (p *rolePool[P]) change(at time.Duration, want int) {
	allowed := int(tprole.DefaultMaxChangingFraction*float64(p.split.Changeable())) - len(p.changing)
	for ; allowed > 0 && want != p.split.Prefill; allowed-- {
		toPrefill := want > p.split.Prefill
		prefillEngines := p.split.Prefill - 1
		if toPrefill {
			prefillEngines = p.split.Prefill + 1
		}
		p.split = p.split.With(prefillEngines)
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
	p.result.GoodWork += p.prefill.serve(at, d.Prefill*seconds, capacity.Prefill*seconds)
	p.result.GoodWork += p.decode.serve(at, d.Decode*seconds, capacity.Decode*seconds)
}

// backlog holds waiting work, oldest first.
type backlog struct {
	waiting []queuedWork
}

type queuedWork struct {
	at     time.Duration // time of arrival, since the start of the run
	amount float64       // in engine-seconds
}

// serve adds the work that arrived, drops the work that has waited longer than
// maxQueueDelay, and serves the oldest work up to the capacity. It returns the
// served work. All amounts are in engine-seconds.
func (b *backlog) serve(at time.Duration, arrived, capacity float64) float64 {
	b.waiting = append(b.waiting, queuedWork{at: at, amount: arrived})
	for at-b.waiting[0].at > maxQueueDelay {
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
