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
	fleetStep           = 20 * time.Millisecond
	reportIntervalSteps = 5  // 100 ms
	tickIntervalSteps   = 5  // 100 ms
	usageIntervalSteps  = 50 // 1 s
	maxAttempts         = 4
	poolName            = "language"
)

// Organisation describes the requests of one organisation. They arrive as a
// Poisson process.
type Organisation struct {
	Name              string
	Share             float64 // fraction of the fleet; all shares add up to 1
	RequestsPerSecond float64 // mean arrivals in requests a second
}

// Fault takes an engine out of service.
type Fault struct {
	At     time.Duration // since the start of the run
	Engine int           // index of the engine
	Drain  bool          // the engine finishes its work; if false, the engine crashes
}

// FleetSettings describes one run of a fleet.
type FleetSettings struct {
	Engines       int
	Nodes         int
	Window        int           // maximum number of requests in flight on each node
	PerTarget     int           // maximum number of requests in flight for each engine; zero for no maximum
	ReportLag     time.Duration // age at which load reports reach the nodes
	Duration      time.Duration // of simulated time
	Deadline      time.Duration // from the arrival of a request
	PromptTokens  int           // mean; sizes vary from about half to about twice the mean
	MaxTokens     int           // mean; sizes vary as those of the prompts
	Organisations []Organisation
	Faults        []Fault
	Seed          uint64
}

// FleetResult holds the figures of a run. The costs and the times to first
// token exclude the warm-up, which is the first quarter of the run.
type FleetResult struct {
	OfferedCost float64 // cost of all arrivals, in prefilled pieces
	GoodCost    float64 // cost of the requests that ended before their deadline, in prefilled pieces
	Refused     map[tpmessage.RefusalCode]int
	Attempts    int
	// TimesToFirstToken holds the times to first token by organisation.
	TimesToFirstToken map[string][]time.Duration
}

// node holds the admission and the router of one node.
type node[Q tpadmission.Queue, P tprouter.RoutePolicy] struct {
	admission *tpadmission.Admission[Q]
	router    *tprouter.Router[P]
}

// fleet is the state of one run.
type fleet[Q tpadmission.Queue, P tprouter.RoutePolicy] struct {
	cfg            FleetSettings
	clock          *tpclock.Fake
	start          time.Time
	rng            *rand.Rand
	engines        []*engine
	byName         map[string]*engine
	nodes          []node[Q, P]
	nextArrivals   []time.Time            // by organisation
	pendingReports []tpmessage.LoadReport // oldest first; delivered after the lag
	arrivalCount   int                    // number of requests so far, which is the ID of the last one
	attemptCount   int                    // number of attempts so far, which is the sequence of the last one
	result         FleetResult
}

// RunFleet simulates nodes that share one pool of engines. It calls queue and
// policy once for each node, and policy with a seed of its own for each.
func RunFleet[Q tpadmission.Queue, P tprouter.RoutePolicy](
	cfg FleetSettings, queue func() Q, policy func(seed uint64) P,
) FleetResult {
	f := &fleet[Q, P]{
		cfg:    cfg,
		start:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		byName: make(map[string]*engine),
		result: FleetResult{
			Refused:           make(map[tpmessage.RefusalCode]int),
			TimesToFirstToken: make(map[string][]time.Duration),
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
		f.nextArrivals = append(f.nextArrivals, f.start.Add(f.interarrivalTime(o.RequestsPerSecond)))
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

// interarrivalTime returns the time to the next arrival of a Poisson process
// with the given rate per second. If rate is not positive, that is after the
// end of the run.
func (f *fleet[Q, P]) interarrivalTime(rate float64) time.Duration {
	if rate <= 0 {
		return f.cfg.Duration * 2
	}
	return time.Duration(-math.Log(1-f.rng.Float64()) / rate * float64(time.Second))
}

// sampleSize returns a log-uniform number with the given mean. The largest is
// four times the smallest.
func (f *fleet[Q, P]) sampleSize(mean int) int {
	return int(float64(mean) * math.Exp2(2*f.rng.Float64()-1) * math.Ln2 / 0.75)
}

// afterWarmUp reports whether the backlogs of the fleet have built up, so that
// arrivals and completions count.
func (f *fleet[Q, P]) afterWarmUp(now time.Time) bool {
	return now.Sub(f.start) >= f.cfg.Duration/4
}

func (f *fleet[Q, P]) step(step int) {
	f.clock.Advance(fleetStep)
	now := f.clock.Now()
	f.applyFaults(now)
	f.processArrivals(now)
	for _, e := range f.engines {
		if e.lost {
			continue
		}
		e.step(now, fleetStep)
		for _, j := range e.finished {
			f.finishJob(now, e, j)
		}
	}
	if step%reportIntervalSteps == 0 {
		f.report(now)
	}
	f.deliverReports(now)
	if step%tickIntervalSteps == 0 {
		for i := range f.nodes {
			f.stepAdmission(now, i, tpadmission.Input{Kind: tpadmission.InputTick})
		}
	}
	if step%usageIntervalSteps == 0 {
		f.exchangeUsage(now)
	}
}

func (f *fleet[Q, P]) processArrivals(now time.Time) {
	for i, o := range f.cfg.Organisations {
		for !f.nextArrivals[i].After(now) {
			at := f.nextArrivals[i]
			f.nextArrivals[i] = at.Add(f.interarrivalTime(o.RequestsPerSecond))
			f.arrivalCount++
			req := tpmessage.Request{
				ID: fmt.Sprint(f.arrivalCount), Organisation: o.Name, Pool: poolName, Idempotent: true,
				PromptTokens: f.sampleSize(f.cfg.PromptTokens), MaxTokens: f.sampleSize(f.cfg.MaxTokens),
				Arrived: at, Deadline: at.Add(f.cfg.Deadline),
			}
			if f.afterWarmUp(now) {
				f.result.OfferedCost += tpadmission.Cost(req.PrefillPieces(), req.DecodePieces())
			}
			nodeIndex := f.rng.IntN(len(f.nodes))
			f.stepAdmission(now, nodeIndex, tpadmission.Input{Kind: tpadmission.InputArrival, Work: tpmessage.Work{Request: req}})
		}
	}
}

// stepAdmission passes an input to the admission of node i, and routes and
// starts the requests that it admits.
func (f *fleet[Q, P]) stepAdmission(now time.Time, i int, in tpadmission.Input) {
	n := &f.nodes[i]
	for _, out := range n.admission.Step(now, in, nil) {
		if out.Refusal != nil {
			f.result.Refused[out.Refusal.Code]++
			continue
		}
		req := out.Work.Request
		j := &job{request: req, node: i}
		j.targets = n.router.Choose(now, &req, nil)
		f.startAttempt(now, j)
	}
}

// startAttempt starts the next attempt of a job at an engine that is up. If the
// job has no attempt left, startAttempt reports it as not sent.
func (f *fleet[Q, P]) startAttempt(now time.Time, j *job) {
	for ; j.attempt < min(len(j.targets), maxAttempts); j.attempt++ {
		f.result.Attempts++
		e := f.byName[j.targets[j.attempt].Name]
		if !e.lost {
			j.remainingPrefill, j.remainingDecode = j.request.PrefillPieces(), j.request.DecodePieces()
			f.attemptCount++
			j.sequence = f.attemptCount
			e.add(j)
			return
		}
		f.reportFailedAttempt(now, j, tpmessage.OutcomeNotSent)
	}
	f.stepAdmission(now, j.node, f.reportCompletion(now, j, tpmessage.Completion{Final: true, Outcome: tpmessage.OutcomeNotSent}))
}

// reportFailedAttempt reports a failed attempt to the router, with the target
// of the next attempt if there is one.
func (f *fleet[Q, P]) reportFailedAttempt(now time.Time, j *job, o tpmessage.Outcome) {
	c := tpmessage.Completion{RequestID: j.request.ID, Target: j.targets[j.attempt].Name, Outcome: o}
	if j.attempt+1 < len(j.targets) {
		c.NextTarget = j.targets[j.attempt+1].Name
	}
	f.nodes[j.node].router.Step(now, tprouter.Input{Kind: tprouter.InputCompletion, Completion: c})
}

// reportCompletion reports the end of a job to the router and returns the input
// that reports it to admission.
func (f *fleet[Q, P]) reportCompletion(now time.Time, j *job, c tpmessage.Completion) tpadmission.Input {
	c.RequestID, c.Organisation, c.At = j.request.ID, j.request.Organisation, now
	f.nodes[j.node].router.Step(now, tprouter.Input{Kind: tprouter.InputCompletion, Completion: c})
	return tpadmission.Input{Kind: tpadmission.InputCompletion, Completion: c}
}

func (f *fleet[Q, P]) finishJob(now time.Time, e *engine, j *job) {
	req := &j.request
	if f.afterWarmUp(now) && now.Before(req.Deadline) {
		f.result.GoodCost += tpadmission.Cost(req.PrefillPieces(), req.DecodePieces())
	}
	if f.afterWarmUp(now) {
		f.result.TimesToFirstToken[req.Organisation] = append(f.result.TimesToFirstToken[req.Organisation], j.firstTokenAt.Sub(req.Arrived))
	}
	f.stepAdmission(now, j.node, f.reportCompletion(now, j, tpmessage.Completion{
		Target: e.name, Final: true, Outcome: tpmessage.OutcomeDone,
		PrefillPieces: req.PrefillPieces(), DecodePieces: req.DecodePieces(),
	}))
}

// report collects a load report from each engine. The reports reach the nodes
// after ReportLag.
func (f *fleet[Q, P]) report(now time.Time) {
	for _, e := range f.engines {
		if !e.lost {
			f.pendingReports = append(f.pendingReports, e.report(now))
		}
	}
}

func (f *fleet[Q, P]) deliverReports(now time.Time) {
	due := 0
	for ; due < len(f.pendingReports) && now.Sub(f.pendingReports[due].At) >= f.cfg.ReportLag; due++ {
		for i := range f.nodes {
			f.nodes[i].router.Step(now, tprouter.Input{Kind: tprouter.InputReport, Report: f.pendingReports[due]})
		}
	}
	f.pendingReports = f.pendingReports[due:]
}

// exchangeUsage passes the usage of each node to all others.
func (f *fleet[Q, P]) exchangeUsage(now time.Time) {
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
				f.stepAdmission(now, i, tpadmission.Input{Kind: tpadmission.InputUsage, Usage: usage[k]})
			}
		}
	}
}

// applyFaults applies the faults that are due.
func (f *fleet[Q, P]) applyFaults(now time.Time) {
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
			f.reportFailedAttempt(now, j, tpmessage.OutcomeInterrupted)
			j.attempt++
			f.startAttempt(now, j)
		}
	}
}
