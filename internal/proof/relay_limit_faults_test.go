package proof_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

var limitDuration = flag.Duration("limit.duration", 12*time.Second, "duration of the faults of the soak of limits")

const (
	// limitNewNodes is the number of nodes that join during the soak.
	limitNewNodes = 2
	// limitExcuse is the time from the end of a fault until the node counts
	// again.
	limitExcuse = 3 * time.Second
	// limitRecovery is the time from the end of all faults and limits until each
	// server gets its part of the requests again.
	limitRecovery = 6 * time.Second
	// minLimitUseInFaults is the part of its limit that a server gets in the
	// soak.
	minLimitUseInFaults = 0.25
)

// limitFault is a fault of a node, or a change without a node.
type limitFault struct {
	name       string
	node       int
	start, end time.Time
}

// limitSoak is the run for one seed.
type limitSoak struct {
	*limitFleet
	seed    uint64
	rng     *rand.Rand
	mesh    *peerMesh
	stores  []*tpguestfake.Proxy // by node
	load    *limitLoad
	active  sync.WaitGroup
	started int64 // start time of the newest server, in milliseconds

	mu     sync.Mutex
	faults []limitFault
}

// limitSoakKinds are the servers of the soak. Those with a limit name it all the
// time, those of limitSoakVaried change theirs, and limitSoakRestarted restarts
// under its name.
var (
	limitSoakKinds = []limitServer{
		{"p0", "llm", "prefill", "2.2"},
		{"p1", "llm", "prefill", ""},
		{"p2", "llm", "prefill", ""},
		{"d0", "llm", "decode", "2.2"},
		{"d1", "llm", "decode", ""},
		{"d2", "llm", "decode", ""},
		{"d3", "llm", "decode", "0"},
		{"a0", "app", "", "2.9"},
		{"a1", "app", "", ""},
		{"a2", "app", "", ""},
		{"a3", "app", "", "0"},
		{"a4", "app", "", ""},
	}
	limitSoakVaried = []string{"p1", "d1", "a1", "a2"}
)

const limitSoakRestarted = "a2"

// Guards against limits that are exceeded, or outlast their end, while nodes fail and limits change.
func TestLimitsInFaults(t *testing.T) {
	for i := range *limitSeeds {
		seed := *limitSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLimitSoak(t, seed) })
	}
}

func runLimitSoak(t *testing.T, seed uint64) {
	s := &limitSoak{
		limitFleet: newLimitPlatform(t, *limitNodes+limitNewNodes, limitSoakKinds),
		seed:       seed, rng: rand.New(rand.NewPCG(seed, 1<<32)), started: 1,
	}
	s.mesh = newPeerMesh(t, s.peers)
	for range s.peers {
		s.stores = append(s.stores, tpguestfake.NewProxy(t, s.address))
	}
	for i := range *limitNodes {
		s.join(i)
	}
	s.waitReady(t)
	s.load = s.startLoad(seed, *limitRate, "draft", "swap", "view")
	time.Sleep(2 * time.Second) // load without any limit
	for _, k := range limitSoakKinds {
		if k.limit != "" {
			s.server(k.id).SetLimit(k.limit)
		}
	}
	time.Sleep(limitSettled + time.Second)
	steadyAt := time.Now()
	for end := steadyAt.Add(*limitDuration); time.Now().Before(end); {
		s.injectFault()
		time.Sleep(time.Duration(100+s.rng.IntN(1200)) * time.Millisecond) // faults overlap
	}
	s.active.Wait()
	endedAt := time.Now()
	for _, server := range s.servers {
		server.SetLimit()
	}
	time.Sleep(limitRecovery + 4*time.Second)
	calls := s.load.stop()
	s.verify(calls, steadyAt, endedAt)
	if t.Failed() {
		for _, f := range s.faults {
			t.Logf("%s to %s: %s", f.start.Format("05.000"), f.end.Format("05.000"), f.name)
		}
	}
}

// join starts a node that knows another one as its seed.
func (s *limitSoak) join(i int) {
	seed := s.peers[0]
	if i > 0 {
		seed = s.mesh.links[i][0].address
	}
	s.addNode(i, s.stores[i].Address, seed)
}

// begin records the start of a fault of a node and returns the function that
// ends it. Changes have node -1.
func (s *limitSoak) begin(node int, format string, args ...any) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.faults)
	s.faults = append(s.faults, limitFault{name: fmt.Sprintf(format, args...), node: node, start: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults[i].end = time.Now()
	}
}

func (s *limitSoak) injectFault() {
	i := s.rng.IntN(len(s.nodes))
	n := s.nodes[i]
	length := time.Duration(200+s.rng.IntN(3000)) * time.Millisecond
	kind, choice := s.rng.IntN(10), s.rng.IntN(4)
	switch {
	case kind < 4:
		s.changeLimit()
	case kind == 4 && len(s.nodes) < len(s.peers):
		i = len(s.nodes)
		end := s.begin(i, "node %d joins", i)
		s.join(i)
		s.load.startNode(i, s.seed, "draft", "swap", "view")
		end()
	case kind <= 5:
		s.restartServer()
	case !n.claimForFault():
	case kind == 6:
		end := s.begin(i, "node %d: SIGSTOP", i)
		n.process.Signal(s.t, syscall.SIGSTOP)
		s.endAfter(length, n, func() { n.process.Signal(s.t, syscall.SIGCONT) }, end)
	case kind == 7:
		end := s.begin(i, "node %d: SIGKILL", i)
		n.process.Kill()
		s.endAfter(length/2, n, func() { n.restartWith(s.t, *limitProgram) }, end)
	case kind == 8 && choice == 0:
		end := s.begin(i, "node %d: planned stop", i)
		s.endAfter(0, n, func() {
			if err := n.process.Stop(s.t, 20*time.Second); err != nil {
				s.t.Errorf("planned stop of node %d: %v", i, err)
			}
			n.restartWith(s.t, *limitProgram)
		}, end)
	default:
		from, to, stalls := choice != 1, choice != 2, s.rng.IntN(2) == 0
		end := s.begin(i, "node %d: cut, calls from it %v, to it %v, stalls %v, store %v", i, from, to, stalls, choice == 3)
		restore := s.mesh.cut(i, from, to, stalls)
		if choice == 3 {
			s.stores[i].SetMode(tpguestfake.ModeReset)
		}
		s.endAfter(length, n, func() {
			restore()
			s.stores[i].SetMode(tpguestfake.ModePass)
		}, end)
	}
}

// endAfter ends a fault of a node after a time.
func (s *limitSoak) endAfter(d time.Duration, n *relayNode, repair, end func()) {
	s.active.Go(func() {
		defer n.releaseFromFault()
		defer end()
		time.Sleep(d)
		repair()
	})
}

// changeLimit has a server name another limit, none, or something malformed.
func (s *limitSoak) changeLimit() {
	id := limitSoakVaried[s.rng.IntN(len(limitSoakVaried))]
	values := [][]string{
		{"0"},
		{"0.4"},
		{"1"},
		{"2.2"},
		{"6"},
		{"6"},
		{"1.5", "2"},
		{"2", "soon"},
		nil, nil,
		{""},
		{"NaN"},
		{"Inf"},
		{"-2"},
		{"soon"},
		{"1e300"},
	}
	chosen := values[s.rng.IntN(len(values))]
	s.begin(-1, "%s names %q", id, chosen)()
	s.server(id).SetLimit(chosen...)
}

// restartServer starts another process of a server, which names no limit, at
// another address. The old one refuses all requests.
func (s *limitSoak) restartServer() {
	i := slices.IndexFunc(limitSoakKinds, func(k limitServer) bool { return k.id == limitSoakRestarted })
	s.begin(-1, "%s restarts", limitSoakRestarted)()
	s.started++
	old := s.server(limitSoakRestarted)
	s.addServer(limitSoakKinds[i], "z0", s.started).SetLimit()
	old.SetRetryAfter("1")
}

// excused reports whether a fault excuses what a node sent at a time.
func (s *limitSoak) excused(a limitArrival) bool {
	return slices.ContainsFunc(s.faults, func(f limitFault) bool {
		return f.node == a.node && !a.at.Before(f.start) && a.at.Before(f.end.Add(limitExcuse))
	})
}

// limitStep is the limit that a server names from a time on. It is infinite if
// the server names none that is well-formed.
type limitStep struct {
	from  time.Time
	limit float64
}

// steps returns the limits that a server has named, oldest first. A limit counts
// from the first answer that names it.
func (f *limitFleet) steps(id string) []limitStep {
	var steps []limitStep
	for _, server := range f.servers {
		if server.ID != id {
			continue
		}
		changes := server.LimitChanges()
		for i, c := range changes {
			step := limitStep{from: c.At, limit: namedLimit(c.Values)}
			if !math.IsInf(step.limit, 1) {
				step.from = server.FirstNamed(c.At)
			}
			if step.from.IsZero() || i+1 < len(changes) && !step.from.Before(changes[i+1].At) {
				continue // no answer has named it
			}
			steps = append(steps, step)
		}
	}
	return steps
}

// namedLimit returns the limit that the values of a header name. Of several, the
// greatest counts here: a node may use another one.
func namedLimit(values []string) float64 {
	limit := math.Inf(-1)
	for _, text := range values {
		if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0 && v < 1e5 {
			limit = max(limit, v)
		}
	}
	if limit < 0 {
		return math.Inf(1)
	}
	return limit
}

// allowedFrom returns what a server that has named these limits may get in the
// window from a time on. Limits of the limitSettled before count, too.
func allowedFrom(steps []limitStep, from time.Time) float64 {
	const sample = 50 * time.Millisecond
	total := 0.0
	for at := from; at.Before(from.Add(limitWindow)); at = at.Add(sample) {
		limit := math.Inf(1)
		for i, s := range steps {
			inForceUntil := at
			if i+1 < len(steps) {
				inForceUntil = steps[i+1].from
			}
			switch {
			case s.from.After(at):
			case !s.from.After(at.Add(-limitSettled)): // the steps before are over
				limit = s.limit
			case !inForceUntil.Before(at.Add(-limitSettled)):
				limit = max(limit, s.limit)
			}
		}
		total += limit * sample.Seconds()
	}
	return limitFactor*total + limitBurst
}

// verify checks what the servers got in the soak.
func (s *limitSoak) verify(calls []limitCall, steadyAt, endedAt time.Time) {
	arrivals := s.arrivals()
	for _, k := range limitSoakKinds {
		steps := s.steps(k.id)
		if len(steps) == 0 {
			continue
		}
		told := firstTold(calls, k.id, arrivals[k.id])
		var counted []limitArrival
		for _, a := range arrivals[k.id] {
			if at, ok := told[a.node]; ok && a.at.After(at.Add(limitTold)) && !s.excused(a) {
				counted = append(counted, a)
			}
		}
		worst, worstAllowed, worstAt := s.worst(steps, counted, endedAt)
		all, allAllowed, _ := s.worst(steps, arrivals[k.id], endedAt)
		use := ""
		if limit := namedLimit([]string{k.limit}); k.limit != "" && limit > 0 {
			share := float64(countBetween(arrivals[k.id], steadyAt, endedAt)) / (limit * endedAt.Sub(steadyAt).Seconds())
			use = fmt.Sprintf("; use of the limit %.2f", share)
			if share < minLimitUseInFaults {
				s.t.Errorf("%s: got %.2f of its limit, want at least %v", k.id, share, minLimitUseInFaults)
			}
		}
		s.t.Logf("%s: worst %v: %d of %.1f; with nodes in faults or not told %d of %.1f%s", k.id, limitWindow, worst, worstAllowed, all, allAllowed, use)
		if float64(worst) > worstAllowed {
			s.t.Errorf("%s: got %d requests of sound nodes within %v from %s on, want at most %.1f",
				k.id, worst, limitWindow, worstAt.Format("05.000"), worstAllowed)
		}
	}
	s.checkRecovery(arrivals, endedAt)
	s.checkSound(calls)
	s.checkMesh()
}

// worst returns the requests in the window that exceeds what is allowed by most.
func (s *limitSoak) worst(steps []limitStep, arrivals []limitArrival, endedAt time.Time) (count int, allowed float64, at time.Time) {
	excess := math.Inf(-1)
	for i, a := range arrivals {
		may := allowedFrom(steps, a.at)
		if math.IsInf(may, 1) || a.at.Add(limitWindow).After(endedAt) {
			continue
		}
		n := countBetween(arrivals[i:], a.at, a.at.Add(limitWindow))
		if e := float64(n) - may; e > excess {
			excess, count, allowed, at = e, n, may, a.at
		}
	}
	return count, allowed, at
}

// checkRecovery checks that each server gets its part again after all faults and
// limits.
func (s *limitSoak) checkRecovery(arrivals map[string][]limitArrival, endedAt time.Time) {
	from := endedAt.Add(limitRecovery)
	got, total := make(map[string]int), make(map[string]int)
	for _, k := range limitSoakKinds {
		got[k.id] = countBetween(arrivals[k.id], from, from.Add(4*time.Second))
		total[k.service+k.stage] += got[k.id]
	}
	s.t.Logf("requests in 4 s after all faults and limits: %v", got)
	for _, k := range limitSoakKinds {
		others := 0
		for _, o := range limitSoakKinds {
			if o.service == k.service && o.stage == k.stage {
				others++
			}
		}
		if mean := float64(total[k.service+k.stage]) / float64(others); float64(got[k.id]) < mean/4 {
			s.t.Errorf("%s: got %d requests in 4 s from %v after all faults and limits, want a quarter of the mean of %.1f", k.id, got[k.id], limitRecovery, mean)
		}
	}
}

// checkSound checks that the other servers serve the requests at nodes without a
// fault, and that no node has ended by itself.
func (s *limitSoak) checkSound(calls []limitCall) {
	sent, served := 0, 0
	for _, c := range calls {
		if s.excused(limitArrival{at: c.sentAt, node: c.node}) {
			continue
		}
		sent++
		if c.err == nil && c.status == 200 {
			served++
		}
	}
	s.t.Logf("served %d of %d requests at nodes without a fault", served, sent)
	if float64(served) < minServed*float64(sent) {
		s.t.Errorf("served %d of %d requests at nodes without a fault, want at least %v", served, sent, minServed)
	}
	for i, n := range s.nodes {
		tpprocess.Eventually(s.t, fmt.Sprintf("node %d is ready after the soak", i), n.isReady)
		if strings.Contains(n.process.Output(), "panic") {
			s.t.Errorf("node %d: its output has a panic", i)
		}
	}
}

// checkMesh checks that the nodes have talked through the mesh alone, so that
// cuts were cuts.
func (s *limitSoak) checkMesh() {
	joined, suspected := 0, 0
	for i, n := range s.nodes {
		output := n.process.Output()
		joined += strings.Count(output, `"memberJoined"`)
		suspected += strings.Count(output, `"memberSuspected"`)
		for j, address := range s.peers {
			if i != j && strings.Contains(output, address) {
				s.t.Errorf("node %d: learnt the address of node %d beside the mesh", i, j)
			}
		}
	}
	var calls int64
	for _, links := range s.mesh.links {
		for _, l := range links {
			if l != nil {
				calls += l.calls.Load()
			}
		}
	}
	s.t.Logf("%d calls between nodes, %d times a node was found and %d times suspected", calls, joined, suspected)
	if joined < len(s.nodes)*(len(s.nodes)-1) {
		s.t.Errorf("nodes were found %d times, want %d at least", joined, len(s.nodes)*(len(s.nodes)-1))
	}
}
