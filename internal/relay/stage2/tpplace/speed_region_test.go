package tpplace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	speedTick        = 5 * time.Millisecond
	speedReport      = 100 * time.Millisecond // interval at which the nodes compute their loads
	speedCacheSize   = 60000                  // tokens of prefixes that an engine keeps
	speedEventTokens = 10
	speedHandoverMs  = 17.0 // until the generating engine has the prompt
)

// speedZones are the zones of nodes and engines.
var speedZones = []string{"a", "b", "c"}

// speedKind is a kind of request in the simulated region.
type speedKind struct {
	name                string
	share               float64 // of the requests
	prefixes            uint64  // number of shared prefixes
	shared, own, output int     // tokens; own and output are means
	priority            int
	goal                time.Duration // for the first token
}

var speedKinds = []speedKind{
	{name: "question", share: 0.5, prefixes: 300, shared: 6000, own: 1500, output: 200, priority: 0, goal: 800 * time.Millisecond},
	{name: "document", share: 0.3, own: 15000, output: 300, priority: 1, goal: 1500 * time.Millisecond},
	{name: "summary", share: 0.2, prefixes: 100, shared: 4000, own: 11000, output: 500, priority: 2, goal: 2500 * time.Millisecond},
}

// speedJob is a request at an engine of the simulated region.
type speedJob struct {
	kind    int
	node    int
	req     *tpmessage.RelayRequest
	grant   tpplace.Grant
	sent    time.Time
	workMs  float64 // left to read, at the reference speed
	events  int
	output  float64 // tokens left to generate
	first   time.Time
	streams bool // the engine also generates
}

// speedEngine reads one prompt at a time, the most urgent first, and generates
// for all its runs in steps.
type speedEngine struct {
	speed       float64
	decode      bool
	stalls      bool // works 2.5 times as long in half a second out of four
	stallPhase  time.Duration
	queue, runs []*speedJob
	reading     *speedJob
	cache       []uint64 // latest last
	busyMs      float64
	waiting     float64 // sum over the ticks of the time to read what waits, in milliseconds
}

func (e *speedEngine) rate(now time.Duration) float64 {
	if e.stalls && (now+e.stallPhase)%(4*time.Second) < 500*time.Millisecond {
		return e.speed / 2.5
	}
	return e.speed
}

// hold records a use of a prefix and reports whether the engine held it.
func (e *speedEngine) hold(prefix uint64, tokens int) bool {
	if prefix == 0 {
		return false
	}
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache)*tokens > speedCacheSize {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

// speedRegion is a region of nodes and engines whose speeds differ.
type speedRegion struct {
	nodes   []*tpplace.Placer[tpplace.Affinity]
	engines map[string]*speedEngine
	names   []string
	random  *rand.Rand
	start   time.Time
	now     time.Time
	counted time.Time         // start of the time whose requests count
	first   [][]time.Duration // times to the first token, by kind
	offered []int
	onTime  []int
	refused int
	// members, collectors and loads hold what the nodes exchange.
	members           []tpmessage.Member
	collectors        []*tpcollect.Collector
	loads             []tpmessage.NodeLoad
	computed, telling int // loads of the nodes, and of these those with speeds
}

type speedSettings struct {
	seed                   uint64
	nodes, prefill, decode int
	perSecond              float64
	speeds                 []float64
	stalls                 bool // every fifth engine works 2.5 times as long for half a second at a time
	equalStreams           bool // generating engines have the speed 1
	learn                  bool
	length                 time.Duration
}

// speedFigures are what callers of the region got after the first quarter of the
// time.
type speedFigures struct {
	median, p95 []time.Duration // to the first token, by kind
	onTime      []float64       // share by kind
	allOnTime   float64
	refused     float64       // share
	busiest     float64       // busy time of the busiest reading engine, relative to the mean
	meanWait    time.Duration // of reading engines for what waits there
	longestWait time.Duration // mean wait at the engine with the longest
	deviating   int           // targets that differ from their pool, as one node estimates at the end
	deviation   float64       // mean deviation of its estimates from the true speeds, relative
	telling     float64       // load reports with speeds by one node in a second
}

func playSpeeds(s speedSettings) speedFigures {
	r := &speedRegion{
		engines: make(map[string]*speedEngine), random: rand.New(rand.NewPCG(s.seed, 7)), start: epoch, now: epoch,
		first: make([][]time.Duration, len(speedKinds)), offered: make([]int, len(speedKinds)), onTime: make([]int, len(speedKinds)),
	}
	list := fleet(s.prefill, s.decode)
	for i, t := range list {
		list[i].Zone = speedZones[i/3%len(speedZones)]
		r.names = append(r.names, t.Name)
		r.engines[t.Name] = &speedEngine{
			speed: map[bool]float64{true: 1, false: s.speeds[i%len(s.speeds)]}[s.equalStreams && t.Role == tpmessage.RoleDecode], decode: t.Role == tpmessage.RoleDecode,
			stalls: s.stalls && i%5 == 1, stallPhase: time.Duration(r.random.Int64N(int64(4 * time.Second))),
		}
	}
	for i := range s.nodes {
		m := tpmessage.Member{Name: fmt.Sprint("node-", i), Address: fmt.Sprint("node-", i), Zone: speedZones[i%len(speedZones)]}
		r.members = append(r.members, m)
		r.collectors, r.loads = append(r.collectors, tpcollect.New(m)), append(r.loads, tpmessage.NodeLoad{Node: m.Name})
		p := tpplace.New(tpplace.Settings{
			Node: m.Name, Zone: m.Zone, Budget: tpplace.BudgetSettings{Ratio: 0.2, Slack: 8, Window: 10 * time.Second},
		}, tpplace.Affinity{})
		p.Step(epoch, tpplace.Input{Kind: tpplace.InputTargets, Targets: list})
		r.nodes = append(r.nodes, p)
	}
	for _, c := range r.collectors {
		c.SetMembers(r.members)
	}
	warm := epoch.Add(s.length / 4)
	for r.now.Before(epoch.Add(s.length)) {
		r.now = r.now.Add(speedTick)
		if r.now.Equal(warm) {
			r.counted = r.now
			for k := range speedKinds {
				r.first[k], r.offered[k], r.onTime[k] = nil, 0, 0
			}
			r.refused, r.computed, r.telling = 0, 0, 0
			for _, e := range r.engines {
				e.busyMs, e.waiting = 0, 0
			}
		}
		r.exchange(s.learn)
		// The nodes have heard of each other before the first requests.
		if r.now.Sub(epoch) >= 10*speedReport {
			for range r.poisson(s.perSecond * speedTick.Seconds()) {
				r.arrive()
			}
		}
		for _, name := range r.names {
			r.work(r.engines[name])
		}
	}
	return r.figures(list)
}

// exchange lets the nodes exchange their loads through the collectors of their
// zones, each node at another time of the interval.
func (r *speedRegion) exchange(learn bool) {
	for i, p := range r.nodes {
		if (r.now.Sub(epoch)-time.Duration(i)*7*speedTick)%speedReport != 0 {
			continue
		}
		c := r.collectors[i]
		load := p.Load(r.now)
		r.computed++
		if len(load.Speeds) > 0 {
			r.telling++
		}
		r.loads[i] = c.SetOwn(load)
		for _, address := range c.Reports(r.now) {
			report := c.Report(r.now, r.loads[i])
			report.Report = true
			k := slices.IndexFunc(r.members, func(m tpmessage.Member) bool { return m.Address == address })
			answer := r.collectors[k].Answer(r.now, r.loads[k], report)
			r.collectors[k].Record(r.now, report)
			c.Record(r.now, answer)
		}
		p.Step(r.now, tpplace.Input{Kind: tpplace.InputLoads, Nodes: len(r.nodes), Loads: c.Loads(r.now)})
		if !learn {
			p.ForgetSpeeds()
		}
	}
}

func (r *speedRegion) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for product := r.random.Float64(); product > p; product *= r.random.Float64() {
		n++
	}
	return n
}

func (r *speedRegion) arrive() {
	k, draw := 0, r.random.Float64()
	for draw > speedKinds[k].share && k < len(speedKinds)-1 {
		draw -= speedKinds[k].share
		k++
	}
	kind := &speedKinds[k]
	prefix := uint64(0)
	if kind.prefixes > 0 {
		// Some prefixes are much more frequent than others.
		prefix = uint64(k+1)<<32 + uint64(math.Pow(r.random.Float64(), 2)*float64(kind.prefixes)) + 1
	}
	req := request(prefix, kind.shared, int(float64(kind.own)*(0.5+r.random.Float64())))
	req.Route.Name, req.Route.Priority, req.Route.LatencyGoal = kind.name, kind.priority, kind.goal
	req.Arrived, req.Deadline = r.now, r.now.Add(20*time.Second)
	req.MaxOutputTokens = 2 * kind.output
	j := &speedJob{kind: k, node: r.random.IntN(len(r.nodes)), req: req}
	j.events = int(float64(kind.output) * (0.5 + r.random.Float64()) / speedEventTokens)
	j.output = float64(j.events-1) * speedEventTokens // after the first event
	r.offered[k]++
	r.place(j, tpplace.StepFirst, false)
}

// place sends the next step of a request to an engine.
func (r *speedRegion) place(j *speedJob, step tpplace.Step, hasHandle bool) {
	in := targetRequest(j.req, step)
	in.TargetRequest.HasHandle = hasHandle
	g, _ := r.nodes[j.node].Step(r.now, in)
	if g.Refusal != nil {
		r.refused++
		return
	}
	j.grant, j.sent, j.streams = g, r.now, g.Step == tpplace.StepRun
	e := r.engines[g.Target.Name]
	if hasHandle {
		e.runs = append(e.runs, j)
		return
	}
	shared, prefix := j.req.SharedTokens()
	unread := j.req.PromptTokens
	if g.FetchAddress != "" || slices.Contains(e.cache, prefix) {
		unread -= shared
	}
	j.workMs = float64(unread)/48 + float64(unread)*(float64(j.req.PromptTokens)-float64(unread)/2)*0.25e-6
	if e.decode {
		j.workMs *= 2
	}
	e.hold(prefix, shared)
	e.queue = append(e.queue, j)
}

// work lets an engine work for one tick.
func (r *speedRegion) work(e *speedEngine) {
	left := float64(speedTick.Milliseconds()) * e.rate(r.now.Sub(r.start))
	for _, j := range e.queue {
		e.waiting += j.workMs / e.speed
	}
	total, read := left, 0.0
	for left > 0 {
		if e.reading == nil {
			if len(e.queue) == 0 {
				break
			}
			i := 0
			for k, j := range e.queue {
				if j.grant.Reservation.Priority < e.queue[i].grant.Reservation.Priority {
					i = k
				}
			}
			e.reading = e.queue[i]
			e.queue = slices.Delete(e.queue, i, i+1)
		}
		did := min(left, e.reading.workMs)
		e.reading.workMs -= did
		left -= did
		read += did
		if e.reading.workMs > 0 {
			break
		}
		j := e.reading
		e.reading = nil
		r.wasRead(e, j, speedTick.Seconds()*1000*left/total)
	}
	if !e.decode {
		e.busyMs += read / total * float64(speedTick.Milliseconds())
		return
	}
	// Chunks of prompts are read between the steps of the runs.
	share := 1 - read/total/2
	runs := e.runs
	for _, j := range runs {
		if j.first.IsZero() {
			j.first = r.now
			r.begun(j)
		}
		j.output -= share * total / (2.6 + 0.12*float64(min(len(runs), engines.Engine.Slots)))
	}
	e.runs = slices.DeleteFunc(runs, func(j *speedJob) bool {
		if j.output > 0 {
			return false
		}
		r.report(j, tpplace.StepResult{Events: j.events, EventTokens: speedEventTokens, Streamed: r.now.Sub(j.first)})
		return true
	})
}

// wasRead continues a request whose prompt an engine has read, early milliseconds
// before the end of the tick.
func (r *speedRegion) wasRead(e *speedEngine, j *speedJob, early float64) {
	if j.streams {
		e.runs = append(e.runs, j)
		return
	}
	elapsed := r.now.Sub(j.sent) + time.Duration((speedHandoverMs-early)*float64(time.Millisecond))
	r.report(j, tpplace.StepResult{Elapsed: elapsed})
	r.place(j, tpplace.StepRun, true)
}

func (r *speedRegion) begun(j *speedJob) {
	if j.req.Arrived.Before(r.counted) {
		return
	}
	took := r.now.Sub(j.req.Arrived)
	r.first[j.kind] = append(r.first[j.kind], took)
	if took <= speedKinds[j.kind].goal {
		r.onTime[j.kind]++
	}
}

func (r *speedRegion) report(j *speedJob, res tpplace.StepResult) {
	res.Reservation, res.Route = j.grant.Reservation, j.req.Route.Name
	r.nodes[j.node].Step(r.now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: res})
}

func (r *speedRegion) figures(list []tpmessage.RelayTarget) speedFigures {
	var f speedFigures
	offered, onTime := 0, 0
	for k := range speedKinds {
		slices.Sort(r.first[k])
		n := len(r.first[k])
		f.median = append(f.median, r.first[k][n/2])
		f.p95 = append(f.p95, r.first[k][n*95/100])
		f.onTime = append(f.onTime, float64(r.onTime[k])/float64(r.offered[k]))
		offered += r.offered[k]
		onTime += r.onTime[k]
	}
	f.allOnTime, f.refused = float64(onTime)/float64(offered), float64(r.refused)/float64(offered)
	f.telling = float64(r.telling) / float64(r.computed)
	busy, longestBusy, wait, longestWait, meanSpeed, readers := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for _, t := range list {
		e := r.engines[t.Name]
		meanSpeed += e.speed / float64(len(list))
		if !e.decode {
			busy, longestBusy, readers = busy+e.busyMs, max(longestBusy, e.busyMs), readers+1
			wait, longestWait = wait+e.waiting, max(longestWait, e.waiting)
		}
	}
	ticks := float64(r.now.Sub(r.counted) / speedTick)
	f.busiest = longestBusy * readers / busy
	f.meanWait = time.Duration(wait / readers / ticks * float64(time.Millisecond))
	f.longestWait = time.Duration(longestWait / ticks * float64(time.Millisecond))
	for _, t := range list {
		e := r.engines[t.Name]
		factor, stream := r.nodes[0].Factors(t.Name)
		if e.decode {
			factor = stream
		}
		if factor != 1 {
			f.deviating++
		}
		f.deviation += math.Abs(factor*e.speed/meanSpeed-1) / float64(len(list))
	}
	return f
}

// Guards against waits that are computed with one speed for all engines of a
// pool, so that prompts wait at slow engines while fast ones are idle, and against
// a worse choice where the engines are equally fast.
func TestSpeedsOfTargetsAreLearned(t *testing.T) {
	play := func(learn bool, speeds ...float64) speedFigures {
		return playSpeeds(speedSettings{
			seed: 11, nodes: 24, prefill: 30, decode: 15, perSecond: 110, speeds: speeds, stalls: true, learn: learn, length: 32 * time.Second,
		})
	}
	learned, naive := play(true, 0.6, 1, 1.6), play(false, 0.6, 1, 1.6)
	t.Logf("different speeds, learned and not: %+v, %+v", learned, naive)
	if got, want := learned.deviation, 0.6*naive.deviation; got > want {
		t.Errorf("deviation of the estimates from the speeds: got %.3f, want at most %.3f", got, want)
	}
	if got, want := 1-learned.allOnTime, 0.85*(1-naive.allOnTime); got > want {
		t.Errorf("share of the prompts that were late: got %.4f, want at most %.4f", got, want)
	}
	equal, equalNaive := play(true, 1), play(false, 1)
	t.Logf("equal speeds, learned and not: %+v, %+v", equal, equalNaive)
	if got, want := equal.deviating, 3; got > want {
		t.Errorf("equal engines that seem to differ: got %d, want at most %d", got, want)
	}
	if got, want := equal.telling, 0.05; got > want {
		t.Errorf("share of the loads that tell speeds, equal engines: got %.3f, want at most %.3f", got, want)
	}
	if got, want := equal.allOnTime, equalNaive.allOnTime-0.01; got < want {
		t.Errorf("share of the prompts in time with equal engines: got %.4f, want at least %.4f", got, want)
	}
}

// BenchmarkSpeeds plays a region of 58 nodes and 90 engines for 40 s, with three
// seeds.
func BenchmarkSpeeds(b *testing.B) {
	for _, test := range []speedSettings{
		{speeds: []float64{1}},
		{speeds: []float64{1}, stalls: true},
		{speeds: []float64{0.6, 1, 1.6}},
		{speeds: []float64{0.6, 1, 1.6}, stalls: true},
		{speeds: []float64{0.6, 1, 1.6}, stalls: true, equalStreams: true},
		{speeds: []float64{1, 1, 1, 1, 0.6}, stalls: true},
	} {
		for _, learn := range []bool{false, true} {
			test.nodes, test.prefill, test.decode, test.perSecond, test.length, test.learn = 58, 60, 30, 240, 40*time.Second, learn
			b.Run(fmt.Sprintf("speeds=%v/stalls=%v/equalStreams=%v/learn=%v", test.speeds, test.stalls, test.equalStreams, learn), func(b *testing.B) {
				const seeds = 3
				sums, units := make(map[string]float64), []string(nil)
				report := func(unit string, v float64) {
					if _, ok := sums[unit]; !ok {
						units = append(units, unit)
					}
					sums[unit] += v
				}
				for b.Loop() {
					clear(sums)
					for seed := range uint64(seeds) {
						test.seed = seed
						f := playSpeeds(test)
						for k := range speedKinds {
							report(speedKinds[k].name+"-ms", float64(f.median[k].Milliseconds()))
							report(speedKinds[k].name+"-p95-ms", float64(f.p95[k].Milliseconds()))
							report(speedKinds[k].name+"-on-time", f.onTime[k])
						}
						report("on-time", f.allOnTime)
						report("refused", f.refused)
						report("busiest", f.busiest)
						report("wait-ms", float64(f.meanWait.Milliseconds()))
						report("longest-wait-ms", float64(f.longestWait.Milliseconds()))
						report("deviation", f.deviation)
						report("deviating", float64(f.deviating))
						report("telling", f.telling)
					}
				}
				for _, unit := range units {
					b.ReportMetric(sums[unit]/seeds, unit)
				}
			})
		}
	}
}
