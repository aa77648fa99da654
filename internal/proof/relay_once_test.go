package proof_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

var (
	onceSeed     = flag.Uint64("once.seed", 20261205, "first seed of the soak of requests that may not be repeated")
	onceSeeds    = flag.Int("once.seeds", 1, "number of seeds of the soak of requests that may not be repeated")
	onceDuration = flag.Duration("once.duration", 15*time.Second, "duration of the load for each seed")
	onceClients  = flag.Int("once.clients", 60, "number of clients of the soak of requests that may not be repeated")
	onceProgram  = flag.String("once.program", tpprocess.Teaselpin, "path of the program of the nodes")
)

const (
	onceNodes = 4
	// onceOverlap is the time for which a request may be in progress at two
	// servers.
	onceOverlap = 400 * time.Millisecond
	// onceSettled is the time after the last fault in which a node counts as in
	// touch again.
	onceSettled = 3 * time.Second
	// onceLateRun is the time for which the servers are watched after the last
	// answer. It is longer than any client waits.
	onceLateRun = 5 * time.Second
	// onceRefusalEvery is the number of answers of a server for each that is a
	// refusal on purpose, and onceCalmFaultEvery for each that has another fault in
	// the calm seeds.
	onceRefusalEvery   = 5
	onceCalmFaultEvery = 40
	// onceMaxRepeats limits the repeats of an attempt under its ID.
	onceMaxRepeats = 2
)

// onceRoute is a kind of request with its requests a second on the deployments.
type onceRoute struct {
	name, method, kind, service string
	resumable                   bool
	maxAttempts                 int
	rate                        float64
	timeout                     time.Duration
	repeatable                  bool
}

// The kinds, rates and attempts of rota-hosting. One more kind has a method that
// may be repeated on a route that may not.
var onceRoutes = []onceRoute{
	{"draft", http.MethodPost, "stream", "llm", true, 2, 27.9, 5 * time.Second, true},
	{"check", http.MethodPost, "stream", "llm", false, 1, 20.1, 3 * time.Second, false},
	{"ask", http.MethodPost, "stream", "llm", true, 2, 33.6, 5 * time.Second, true},
	{"swap", http.MethodPost, "unsafe", "app", false, 1, 20.4, time.Second, false},
	{"view", http.MethodGet, "safe", "app", false, 2, 10, time.Second, true},
	{"fetch", http.MethodGet, "unsafe", "app", false, 2, 5, time.Second, false},
}

// onceAnswer is what a client was told about one attempt.
type onceAnswer struct {
	id     string
	begin  time.Time
	route  onceRoute
	node   int
	status int
	body   string
	err    error
}

type onceSoak struct {
	t       *testing.T
	rng     *rand.Rand
	store   tpguestfake.Store
	servers []*onceServer
	proxies []*tpguestfake.Proxy
	nodes   []*relayNode

	// calm is true if faults other than refusals and new names are rarer.
	calm bool

	configVersion int
	mu            sync.Mutex
	answers       []onceAnswer
	faults        []onceFault
	active        sync.WaitGroup
}

// onceServer is a server with what its registration says.
type onceServer struct {
	*tpguestfake.RawServer
	service string
	names   int // names that it has had
}

// onceFault is a fault between two times.
type onceFault struct {
	name       string
	start, end time.Time
}

// Guards against a request that may not be repeated and runs twice, one that was refused with a promise and runs, and a stream that is in progress at two servers.
func TestRelayRunsOnce(t *testing.T) {
	for i := range *onceSeeds {
		seed := *onceSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runOnceSoak(t, seed) })
	}
}

func runOnceSoak(t *testing.T, seed uint64) {
	s := &onceSoak{t: t, rng: rand.New(rand.NewPCG(seed, seed)), calm: seed%2 == 1}
	s.start(seed)
	stop := make(chan struct{})
	var clients, duties sync.WaitGroup
	for i := range *onceClients {
		c := &onceClient{soak: s, name: fmt.Sprintf("%d-%d", seed, i), rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		clients.Go(func() { c.run(stop) })
	}
	duties.Go(func() { s.injectFaults(rand.New(rand.NewPCG(seed, 1<<32)), stop) })
	duties.Go(func() { s.renameServers(rand.New(rand.NewPCG(seed, 1<<33)), stop) })
	time.Sleep(*onceDuration)
	close(stop)
	duties.Wait()
	s.active.Wait()
	clients.Wait()
	time.Sleep(onceLateRun)
	s.verify()
}

func (s *onceSoak) start(seed uint64) {
	storeAddress := tpguestfake.Listen(s.t, &s.store)
	for i, kind := range []string{"llm prefill", "llm decode", "llm decode", "llm decode", "app", "app", "app"} {
		service, stage, _ := strings.Cut(kind, " ")
		server := &onceServer{service: service, RawServer: &tpguestfake.RawServer{
			ID: fmt.Sprint("s", i), Stage: stage, Random: rand.New(rand.NewPCG(seed, uint64(1000+i))),
			RefusalEvery: onceRefusalEvery, AnyName: i%2 == 0,
		}}
		if s.calm {
			server.FaultEvery = onceCalmFaultEvery
		}
		server.Listen(s.t)
		s.servers = append(s.servers, server)
		s.proxies = append(s.proxies, tpguestfake.NewProxy(s.t, server.Address))
		s.register(i, server.ID)
	}
	s.configure()
	var peers []string
	for range onceNodes {
		peers = append(peers, tpprocess.FreeAddress(s.t))
	}
	fleet := &relayFleet{}
	for i := range onceNodes {
		n := fleet.startNodeWith(s.t, i, peers, storeAddress, *onceProgram)
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		tpprocess.Eventually(s.t, "the nodes are ready", n.isReady)
	}
}

func (s *onceSoak) register(server int, name string) {
	s.store.Set("servers", name, map[string]any{
		"service": s.servers[server].service, "address": s.proxies[server].Address, "zone": "z", "slots": 64,
		"state": "ready", "version": "v1", "cold_left_ms": 0, "sequence": 1, "stage": s.servers[server].Stage, "born": 1,
	})
}

// renameServers gives servers other names at their addresses while their
// processes and connections go on. For some time, both names or none may be
// registered.
func (s *onceSoak) renameServers(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.IntN(600)) * time.Millisecond):
		}
		i := rng.IntN(len(s.servers))
		server := s.servers[i]
		server.names++
		before, after := server.ID, fmt.Sprintf("s%d-%d", i, server.names) // only this function sets the ID
		wait := func() { time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond) }
		switch rng.IntN(3) {
		case 0: // the new name replaces the old one
			server.Rename(after)
			s.store.Remove("servers", before)
			s.register(i, after)
		case 1: // both names are registered
			s.register(i, after)
			wait()
			server.Rename(after)
			wait()
			s.store.Remove("servers", before)
		case 2: // no name is registered
			s.store.Remove("servers", before)
			wait()
			server.Rename(after)
			s.register(i, after)
		}
	}
}

func (s *onceSoak) configure() {
	s.configVersion++
	var routes []any
	for _, r := range onceRoutes {
		routes = append(routes, map[string]any{
			"name": r.name, "host": "one.example", "path_prefix": "/" + r.name + "/", "kind": r.kind, "service": r.service,
			"timeout_ms": r.timeout.Milliseconds(), "latency_goal_ms": 400, "target_gap_ms": 400,
			"max_attempts": r.maxAttempts, "resumable": r.resumable,
		})
	}
	s.store.Set("config", "main", map[string]any{
		"version": s.configVersion, "routes": routes, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 64, "kv_capacity": 400000, "role_switch_s": 3}},
			map[string]any{"name": "app"},
		},
	})
}

// begin records the start of a fault and returns the function that ends it.
func (s *onceSoak) begin(name string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.faults)
	s.faults = append(s.faults, onceFault{name: name, start: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults[i].end = time.Now()
	}
}

// injectFaults kills, stops, pauses and reloads nodes, and harms links to
// servers. Faults overlap, and have pauses of some seconds between series.
func (s *onceSoak) injectFaults(rng *rand.Rand, stop <-chan struct{}) {
	for {
		faults := 1 + rng.IntN(6)
		if s.calm {
			faults = rng.IntN(2)
		}
		for range faults {
			s.injectFault(rng)
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+rng.IntN(5000)) * time.Millisecond):
		}
	}
}

func (s *onceSoak) injectFault(rng *rand.Rand) {
	i, server := rng.IntN(len(s.nodes)), rng.IntN(len(s.proxies))
	n := s.nodes[i]
	length := time.Duration(100+rng.IntN(1500)) * time.Millisecond
	switch kind := rng.IntN(6); kind {
	case 0, 1, 2:
		if !n.claimForFault() {
			return
		}
		end := s.begin(fmt.Sprintf("node %d: %s", i, []string{"kill", "stop", "pause"}[kind]))
		s.active.Go(func() {
			defer n.releaseFromFault()
			defer end()
			switch kind {
			case 0:
				n.process.Kill()
				n.restartWith(s.t, *onceProgram)
			case 1:
				if err := n.process.Stop(s.t, 20*time.Second); err != nil {
					s.t.Errorf("planned stop of node %d: %v", i, err)
				}
				n.restartWith(s.t, *onceProgram)
			case 2:
				n.process.Signal(s.t, syscall.SIGSTOP)
				time.Sleep(length)
				n.process.Signal(s.t, syscall.SIGCONT)
			}
		})
	case 3:
		mode := []tpguestfake.Mode{tpguestfake.ModeDelay, tpguestfake.ModeStall, tpguestfake.ModeReset}[rng.IntN(3)]
		end := s.begin(fmt.Sprintf("server %d: link mode %d", server, mode))
		s.proxies[server].SetMode(mode)
		s.active.Go(func() {
			defer end()
			time.Sleep(length)
			s.proxies[server].SetMode(tpguestfake.ModePass)
		})
	case 4:
		s.servers[server].CloseConnections()
	case 5:
		s.configure()
	}
}

// disturbed reports whether a fault lasted at some time from onceSettled before
// a time on until onceOverlap after it.
func (s *onceSoak) disturbed(at time.Time) bool {
	for _, f := range s.faults {
		if f.start.Before(at.Add(onceOverlap)) && f.end.Add(onceSettled).After(at) {
			return true
		}
	}
	return false
}

// verify checks what the servers ran against what the clients were told.
func (s *onceSoak) verify() {
	runs := make(map[string][]tpguestfake.RawRun)
	for _, server := range s.servers {
		for _, r := range server.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	counts := make(map[string]int)
	attempts := make(map[string][]onceAnswer) // by ID, in the order of their begins
	for _, a := range s.answers {
		attempts[a.id] = append(attempts[a.id], a)
	}
	for _, a := range s.answers {
		counts[a.route.name]++
		switch {
		case a.err != nil:
			counts["no answer"]++
		default:
			counts[strconv.Itoa(a.status)]++
		}
		ran := runs[a.id]
		if repeats := attempts[a.id]; len(repeats) > 1 {
			if a.begin != repeats[len(repeats)-1].begin {
				continue // verifyRepeats checks it
			}
			counts["repeated IDs"]++
			counts["ran before a repeat"] += s.verifyRepeats(repeats, ran)
		}
		if !a.route.repeatable && len(ran) > 1 {
			counts["ran twice"]++
			s.t.Errorf("TWICE: %s ran %d times: %+v; the client got %d %q, %v", a.id, len(ran), ran, a.status, a.body, a.err)
		}
		if a.promised() && len(ran) > 0 {
			counts["ran after a refusal"]++
			s.t.Errorf("REFUSED: %s got %d and ran: %+v", a.id, a.status, ran)
		}
		for _, before := range ran {
			for _, after := range ran {
				both := min(before.End.UnixNano(), after.End.UnixNano()) - after.Begin.UnixNano()
				if before.Begin.Before(after.Begin) && a.route.kind == "stream" && time.Duration(both) > onceOverlap && !s.disturbed(after.Begin) {
					s.t.Errorf("TWICE: %s is in progress at %s and %s for %v", a.id, before.Server, after.Server, time.Duration(both))
				}
			}
		}
	}
	if counts["200"]*2 < len(s.answers) {
		s.t.Errorf("answers with status 200: got %d of %d, want half at least", counts["200"], len(s.answers))
	}
	s.t.Logf("attempts: %d, by kind and outcome: %v", len(s.answers), counts)
	if s.t.Failed() {
		for _, f := range s.faults {
			s.t.Logf("%s to %s: %s", f.start.Format("05.000"), f.end.Format("05.000"), f.name)
		}
	}
}

// verifyRepeats checks the attempts under one ID. A client repeats an attempt
// under its ID only after the node has promised that it did not run, so that a
// run before the repeat breaks the promise. It returns the number of such runs.
// That the ID ran once at most, and not at all after a last promise, is checked
// as for any other ID.
func (s *onceSoak) verifyRepeats(attempts []onceAnswer, ran []tpguestfake.RawRun) (broken int) {
	for i, a := range attempts[:len(attempts)-1] {
		for _, r := range ran {
			if r.Begin.Before(attempts[i+1].begin) {
				broken++
				s.t.Errorf("REFUSED: %s got %d and ran before it was repeated: %+v", a.id, a.status, r)
			}
		}
	}
	return broken
}

// promised reports whether the answer promises that the attempt did not run.
func (a *onceAnswer) promised() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// onceClient sends requests on kept connections and repeats them: after a refusal
// as it says, under the same ID at the same node or with a new ID at another one,
// and at times with a new ID at another node while the first attempt is still in
// progress.
type onceClient struct {
	soak  *onceSoak
	name  string
	rng   *rand.Rand
	count atomic.Int64
}

func (c *onceClient) run(stop <-chan struct{}) {
	kept := &http.Transport{MaxIdleConnsPerHost: 4}
	defer kept.CloseIdleConnections()
	var repeats sync.WaitGroup
	defer repeats.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.IntN(900)) * time.Millisecond):
		}
		route := c.drawRoute()
		node, early := c.rng.IntN(onceNodes), c.rng.IntN(4) == 0
		if early {
			wait, other := time.Duration(c.rng.IntN(400))*time.Millisecond, (node+1)%onceNodes
			repeats.Go(func() {
				time.Sleep(wait)
				c.attempt(&http.Transport{DisableKeepAlives: true}, route, other, c.newID(route))
			})
		}
		a := c.attempt(kept, route, node, c.newID(route))
		for range onceMaxRepeats {
			if !a.promised() || a.err != nil || c.rng.IntN(4) == 0 {
				break
			}
			time.Sleep(time.Duration(c.rng.IntN(100)) * time.Millisecond)
			a = c.attempt(kept, route, node, a.id)
		}
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(100 * time.Millisecond)
			c.attempt(kept, route, (node+2)%onceNodes, c.newID(route))
		}
	}
}

func (c *onceClient) newID(route onceRoute) string {
	return fmt.Sprintf("%s-%s-%d", route.name, c.name, c.count.Add(1))
}

func (c *onceClient) drawRoute() onceRoute {
	total := 0.0
	for _, r := range onceRoutes {
		total += r.rate
	}
	at := c.rng.Float64() * total
	for _, r := range onceRoutes {
		if at -= r.rate; at < 0 {
			return r
		}
	}
	return onceRoutes[0]
}

func (c *onceClient) attempt(transport *http.Transport, route onceRoute, node int, id string) (a onceAnswer) {
	a = onceAnswer{id: id, begin: time.Now(), route: route, node: node}
	defer func() {
		c.soak.mu.Lock()
		defer c.soak.mu.Unlock()
		c.soak.answers = append(c.soak.answers, a)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), route.timeout+time.Second)
	defer cancel()
	var body string
	if route.method == http.MethodPost {
		body = strings.Repeat("text;", 120)
	}
	// The client's transport cannot read this body again, so that it does not
	// repeat the attempt by itself.
	reader := io.NopCloser(strings.NewReader(body))
	r, err := http.NewRequestWithContext(ctx, route.method, "http://"+c.soak.nodes[node].frontAddress+"/"+route.name+"/x", reader)
	if err != nil {
		a.err = err
		return a
	}
	r.ContentLength = int64(len(body))
	r.Host = "one.example"
	r.Header.Set("X-Teaselpin-Request-Id", a.id)
	r.Header.Set("X-Teaselpin-Deadline", strconv.FormatInt(route.timeout.Milliseconds(), 10))
	if route.kind == "stream" {
		r.Header.Set("X-Teaselpin-Token-Counts", "9000,80")
		r.Header.Set("X-Teaselpin-Prefix-Hash", "a1:8000,"+a.id+":1000")
	}
	res, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	a.status, a.body, a.err = res.StatusCode, string(data[:min(len(data), 60)]), err
	return a
}
