package tpmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	fleetStep     = 20 * time.Millisecond
	reportEvery   = 5  // steps
	tickEvery     = 5  // steps
	exchangeEvery = 50 // steps, one second
	maxAttempts   = 4
	poolName      = "language"
)

// Organisation is a caller's party with its arrivals in requests a second.
type Organisation struct {
	Name  string
	Share float64
	Rate  float64
}

// Fault takes an engine out of service at an instant.
type Fault struct {
	At     time.Duration
	Engine int
	Drain  bool // the engine finishes its work; without it the engine is lost
}

// FleetSettings describes one run of a fleet.
type FleetSettings struct {
	Engines       int
	Nodes         int
	Window        int // requests in flight on each node
	PerTarget     int // requests in flight for each engine; zero for no bound
	Lag           time.Duration
	Duration      time.Duration
	Deadline      time.Duration
	PromptTokens  int // mean; sizes vary from a half to twice the mean
	MaxTokens     int // mean
	Organisations []Organisation
	Faults        []Fault
	Seed          uint64
}

// FleetResult is what a run measured.
type FleetResult struct {
	Offered  float64 // cost of all arrivals, in prefilled pieces
	Good     float64 // cost of the requests that ended before their deadline
	Refused  map[tpmessage.RefusalCode]int
	Attempts int
	// FirstToken holds the times to first token by organisation.
	FirstToken map[string][]time.Duration
}

// node is one node's decisions.
type node[Q tpadmission.Queue, P tprouter.RoutePolicy] struct {
	admission *tpadmission.Admission[Q]
	router    *tprouter.Router[P]
}

// fleet is one run.
type fleet[Q tpadmission.Queue, P tprouter.RoutePolicy] struct {
	cfg     FleetSettings
	clock   *tpclock.Fake
	start   time.Time
	rng     *rand.Rand
	engines []*engine
	byName  map[string]*engine
	nodes   []node[Q, P]
	next    []time.Time // arrival of each organisation
	reports []tpmessage.LoadReport
	count   int // arrivals
	sent    int // attempts, the order in which engines serve
	result  FleetResult
}

// RunFleet runs nodes with the given policies before one pool of engines.
func RunFleet[Q tpadmission.Queue, P tprouter.RoutePolicy](
	cfg FleetSettings, queue func() Q, policy func(seed uint64) P,
) FleetResult {
	f := &fleet[Q, P]{
		cfg:    cfg,
		start:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		byName: make(map[string]*engine),
		result: FleetResult{
			Refused:    make(map[tpmessage.RefusalCode]int),
			FirstToken: make(map[string][]time.Duration),
		},
	}
	f.clock = tpclock.NewFake(f.start)
	f.build(queue, policy)
	for step := 1; f.clock.Now().Sub(f.start) < cfg.Duration; step++ {
		f.step(step)
	}
	return f.result
}

func (f *fleet[Q, P]) build(queue func() Q, policy func(seed uint64) P) {
	cfg := tpmessage.Config{Pools: []tpmessage.Pool{{Name: poolName}}}
	for i := range f.cfg.Engines {
		e := &engine{name: fmt.Sprintf("engine-%05d", i), role: tpmessage.RoleMixed}
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
		cfg.Pools[0].Targets = append(cfg.Pools[0].Targets, tpmessage.Target{Name: e.name})
	}
	for _, o := range f.cfg.Organisations {
		cfg.Organisations = append(cfg.Organisations, tpmessage.Organisation{Name: o.Name, Share: o.Share})
		f.next = append(f.next, f.start.Add(f.gap(o.Rate)))
	}
	snapshot := &tpmessage.Snapshot{Config: cfg}
	for i := range f.cfg.Nodes {
		seed := f.cfg.Seed + uint64(i)
		n := node[Q, P]{
			admission: tpadmission.New(tpadmission.Settings{Window: f.cfg.Window, PerTarget: f.cfg.PerTarget}, queue()),
			router:    tprouter.New(tprouter.Settings{Seed: seed}, policy(seed)),
		}
		n.admission.Step(f.start, tpadmission.Input{Kind: tpadmission.InputConfig, Snapshot: snapshot}, nil)
		n.admission.Step(f.start, tpadmission.Input{Kind: tpadmission.InputNodes, Nodes: f.nodeNames()}, nil)
		n.router.Step(f.start, tprouter.Input{Kind: tprouter.InputConfig, Snapshot: snapshot})
		f.nodes = append(f.nodes, n)
	}
}

func (f *fleet[Q, P]) nodeNames() []string {
	names := make([]string, f.cfg.Nodes)
	for i := range names {
		names[i] = fmt.Sprint("node-", i)
	}
	return names
}

// gap returns the time to the next arrival of a Poisson process.
func (f *fleet[Q, P]) gap(rate float64) time.Duration {
	if rate <= 0 {
		return f.cfg.Duration * 2
	}
	return time.Duration(-math.Log(1-f.rng.Float64()) / rate * float64(time.Second))
}

// size returns a number from a half to twice the mean, with that mean.
func (f *fleet[Q, P]) size(mean int) int {
	return int(float64(mean) * math.Exp2(2*f.rng.Float64()-1) * math.Ln2 / 0.75)
}

// measured reports whether the fleet has filled up, so that arrivals and
// completions count.
func (f *fleet[Q, P]) measured(now time.Time) bool {
	return now.Sub(f.start) >= f.cfg.Duration/4
}

func (f *fleet[Q, P]) step(step int) {
	f.clock.Advance(fleetStep)
	now := f.clock.Now()
	f.fail(now)
	f.arrivals(now)
	for _, e := range f.engines {
		if e.lost {
			continue
		}
		e.step(now, fleetStep)
		for _, j := range e.done {
			f.ended(now, e, j)
		}
	}
	if step%reportEvery == 0 {
		f.report(now)
	}
	f.deliver(now)
	if step%tickEvery == 0 {
		for i := range f.nodes {
			f.admit(now, i, tpadmission.Input{Kind: tpadmission.InputTick})
		}
	}
	if step%exchangeEvery == 0 {
		f.exchange(now)
	}
}

func (f *fleet[Q, P]) arrivals(now time.Time) {
	for i, o := range f.cfg.Organisations {
		for !f.next[i].After(now) {
			at := f.next[i]
			f.next[i] = at.Add(f.gap(o.Rate))
			f.count++
			req := tpmessage.Request{
				ID: fmt.Sprint(f.count), Organisation: o.Name, Pool: poolName, Idempotent: true,
				PromptTokens: f.size(f.cfg.PromptTokens), MaxTokens: f.size(f.cfg.MaxTokens),
				Arrived: at, Deadline: at.Add(f.cfg.Deadline),
			}
			if f.measured(now) {
				f.result.Offered += tpadmission.Cost(req.PrefillPieces(), req.DecodePieces())
			}
			to := f.rng.IntN(len(f.nodes))
			f.admit(now, to, tpadmission.Input{Kind: tpadmission.InputArrival, Work: tpmessage.Work{Request: req}})
		}
	}
}

// admit passes an input to a node's admission and what it admits to its router.
func (f *fleet[Q, P]) admit(now time.Time, i int, in tpadmission.Input) {
	n := &f.nodes[i]
	for _, out := range n.admission.Step(now, in, nil) {
		if out.Refusal != nil {
			f.result.Refused[out.Refusal.Code]++
			continue
		}
		req := out.Work.Request
		j := &job{request: req, node: i}
		j.targets = n.router.Choose(now, &req, nil)
		f.send(now, j)
	}
}

// send starts the next attempt of a job, or ends it when none is left.
func (f *fleet[Q, P]) send(now time.Time, j *job) {
	for ; j.attempt < min(len(j.targets), maxAttempts); j.attempt++ {
		f.result.Attempts++
		e := f.byName[j.targets[j.attempt].Name]
		if !e.lost {
			j.prefill, j.decode = j.request.PrefillPieces(), j.request.DecodePieces()
			f.sent++
			j.sequence = f.sent
			e.add(j)
			return
		}
		f.routed(now, j, tpmessage.OutcomeNotSent)
	}
	f.admit(now, j.node, f.completion(now, j, tpmessage.Completion{Final: true, Outcome: tpmessage.OutcomeNotSent}))
}

// routed tells the router of an attempt that failed and is followed by another.
func (f *fleet[Q, P]) routed(now time.Time, j *job, o tpmessage.Outcome) {
	c := tpmessage.Completion{RequestID: j.request.ID, Target: j.targets[j.attempt].Name, Outcome: o}
	if j.attempt+1 < len(j.targets) {
		c.Next = j.targets[j.attempt+1].Name
	}
	f.nodes[j.node].router.Step(now, tprouter.Input{Kind: tprouter.InputCompletion, Completion: c})
}

// completion reports the end of a job to the router and returns the input
// that reports it to admission.
func (f *fleet[Q, P]) completion(now time.Time, j *job, c tpmessage.Completion) tpadmission.Input {
	c.RequestID, c.Organisation, c.At = j.request.ID, j.request.Organisation, now
	f.nodes[j.node].router.Step(now, tprouter.Input{Kind: tprouter.InputCompletion, Completion: c})
	return tpadmission.Input{Kind: tpadmission.InputCompletion, Completion: c}
}

func (f *fleet[Q, P]) ended(now time.Time, e *engine, j *job) {
	req := &j.request
	if f.measured(now) && now.Before(req.Deadline) {
		f.result.Good += tpadmission.Cost(req.PrefillPieces(), req.DecodePieces())
	}
	if f.measured(now) {
		f.result.FirstToken[req.Organisation] = append(f.result.FirstToken[req.Organisation], j.first.Sub(req.Arrived))
	}
	f.admit(now, j.node, f.completion(now, j, tpmessage.Completion{
		Target: e.name, Final: true, Outcome: tpmessage.OutcomeDone,
		PrefillPieces: req.PrefillPieces(), DecodePieces: req.DecodePieces(),
	}))
}

// report lets each engine take a report, which arrives after the lag.
func (f *fleet[Q, P]) report(now time.Time) {
	for _, e := range f.engines {
		if !e.lost {
			f.reports = append(f.reports, e.report(now))
		}
	}
}

func (f *fleet[Q, P]) deliver(now time.Time) {
	due := 0
	for ; due < len(f.reports) && now.Sub(f.reports[due].At) >= f.cfg.Lag; due++ {
		for i := range f.nodes {
			f.nodes[i].router.Step(now, tprouter.Input{Kind: tprouter.InputReport, Report: f.reports[due]})
		}
	}
	f.reports = f.reports[due:]
}

// exchange gives each node the usage of all others.
func (f *fleet[Q, P]) exchange(now time.Time) {
	names := f.nodeNames()
	usage := make([][]tpmessage.Usage, len(f.nodes))
	for i := range f.nodes {
		usage[i] = f.nodes[i].admission.Usage(nil)
		for k := range usage[i] {
			usage[i][k].Node = names[i]
		}
	}
	for i := range f.nodes {
		for k := range usage {
			if k != i {
				f.admit(now, i, tpadmission.Input{Kind: tpadmission.InputUsage, Usage: usage[k]})
			}
		}
	}
}

// fail applies the faults that are due.
func (f *fleet[Q, P]) fail(now time.Time) {
	for i := range f.cfg.Faults {
		fault := &f.cfg.Faults[i]
		e := f.engines[fault.Engine]
		if e.lost || e.leaving || now.Before(f.start.Add(fault.At)) {
			continue
		}
		if fault.Drain {
			e.leaving = true
			continue
		}
		for _, j := range e.crash() {
			f.routed(now, j, tpmessage.OutcomeCut)
			j.attempt++
			f.send(now, j)
		}
	}
}
