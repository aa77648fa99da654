package proof_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

var (
	limitNodes   = flag.Int("limit.nodes", 8, "number of nodes of the tests of servers that name a limit")
	limitSeed    = flag.Uint64("limit.seed", 20261206, "first seed of the tests of servers that name a limit")
	limitSeeds   = flag.Int("limit.seeds", 1, "number of seeds of the tests of servers that name a limit")
	limitRate    = flag.Float64("limit.rate", 60, "requests a second to each route, over all nodes")
	limitProgram = flag.String("limit.program", tpprocess.Teaselpin, "path of the program of the nodes")
)

const (
	// limitWindow and limitBurst are those of the users' rule LIMIT: in each
	// window a server gets at most limitFactor times what it allows, and
	// limitBurst requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBurst  = 5
	// limitSettled is the time from the first answer with a limit until the rule
	// applies. The users call it stable_window_ms.
	limitSettled = 3 * time.Second
	// limitTold is the time from a node's first answer with a limit until its
	// requests count.
	limitTold = 500 * time.Millisecond
	// minLimitUse is the part of its limit that a server gets while there is
	// much more demand.
	minLimitUse = 0.5
	// limitEnded is the time after the last answer with a limit from which the
	// server gets its full part again.
	limitEnded = 4 * time.Second
)

// limitServer describes a server of a fleet. An empty limit means that it never
// names one.
type limitServer struct{ id, service, stage, limit string }

// limitFleet is a fleet with servers that name limits.
type limitFleet struct {
	*relayFleet
	t            *testing.T
	byAddress    map[string]string // server ID by address
	zones, peers []string          // by node
	metrics      []string          // addresses by node
}

func newLimitFleet(t *testing.T, nodes int, servers []limitServer) *limitFleet {
	t.Helper()
	f := newLimitPlatform(t, nodes, servers)
	for i := range nodes {
		f.addNode(i, f.address, f.peers[0])
	}
	f.waitReady(t)
	return f
}

// newLimitPlatform returns a fleet without nodes, and with addresses for them.
func newLimitPlatform(t *testing.T, nodes int, servers []limitServer) *limitFleet {
	t.Helper()
	f := &limitFleet{relayFleet: &relayFleet{}, t: t, byAddress: make(map[string]string)}
	f.address = tpguestfake.Listen(t, &f.store)
	for i, kind := range servers {
		f.addServer(kind, fmt.Sprint("z", i%3), 1)
	}
	f.configure(1)
	for i := range nodes {
		f.zones = append(f.zones, fmt.Sprint("z", i%3))
		f.peers = append(f.peers, tpprocess.FreeAddress(t))
		f.metrics = append(f.metrics, tpprocess.FreeAddress(t))
	}
	return f
}

// addServer starts a server and registers it. A server that was registered under
// the ID before is replaced.
func (f *limitFleet) addServer(kind limitServer, zone string, startedMs int64) *tpguestfake.Server {
	f.t.Helper()
	// With constant stages, what an engine gets after its limit compares with
	// what it got before.
	server := &tpguestfake.Server{ID: kind.id, Stage: kind.stage, RefuseOrders: true}
	if kind.stage != "" {
		server.EventsPerStream, server.EventInterval = 8, 10*time.Millisecond
	}
	address := tpguestfake.Listen(f.t, server)
	f.servers, f.byAddress[address] = append(f.servers, server), kind.id
	f.store.Set("servers", kind.id, map[string]any{
		"service": kind.service, "address": address, "zone": zone, "slots": 64, "state": "ready", "version": "v1", "cold_left_ms": 0, "sequence": 1,
		"stage": kind.stage, "born": startedMs,
	})
	return server
}

func (f *limitFleet) addNode(i int, store, seed string) {
	n := &relayNode{
		name: fmt.Sprint("node-", i), frontAddress: tpprocess.FreeAddress(f.t), readyAddress: tpprocess.FreeAddress(f.t),
		settings: filepath.Join(f.t.TempDir(), fmt.Sprintf("node-%d.yaml", i)),
	}
	settings := fmt.Sprintf("name: node-%d\nregion: r\nzone: %s\nfront: %s\nready: %s\npeers: %s\nmetrics: %s\nseeds: [%q]\nstore: %s\n"+
		"stopDelay: 1s\nprefillPart: 0.4\nbudget:\n  ratio: 0.2\n  slack: 50\n  window: 10s\n",
		i, f.zones[i], n.frontAddress, n.readyAddress, f.peers[i], f.metrics[i], seed, store)
	if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	n.restartWith(f.t, *limitProgram)
	f.nodes = append(f.nodes, n)
}

// server returns the newest server with the ID.
func (f *limitFleet) server(id string) *tpguestfake.Server {
	for _, s := range slices.Backward(f.servers) {
		if s.ID == id {
			return s
		}
	}
	f.t.Fatalf("the fleet has no server %s", id)
	return nil
}

// limitCall is one request and its answer.
type limitCall struct {
	keptCall
	route string
}

// namedBy reports whether the answer comes from the server and names a limit.
func (c *limitCall) namedBy(server string) bool {
	return len(c.header.Values("Server-Limit")) > 0 && strings.HasPrefix(c.header.Get("X-Teaselpin-Response-Stamp"), server+".")
}

// limitLoad sends requests at drawn times over kept connections, the same number
// to each node.
type limitLoad struct {
	f     *limitFleet
	rate  atomic.Int64 // requests in 1000 s to each route over all nodes
	nodes int          // over which the rate is divided

	mu    sync.Mutex
	calls []limitCall
	wg    sync.WaitGroup
	quit  chan struct{}
}

// maxLimitCalls is the number of requests of a node and route in progress from
// which clients wait.
const maxLimitCalls = 64

// limitPrefixes is the number of first parts of the prompts, of which each has
// its own home among the servers.
const limitPrefixes = 16

func (f *limitFleet) startLoad(seed uint64, rate float64, routes ...string) *limitLoad {
	l := &limitLoad{f: f, nodes: len(f.nodes), quit: make(chan struct{})}
	l.setRate(rate)
	for i := range f.nodes {
		l.startNode(i, seed, routes...)
	}
	return l
}

func (l *limitLoad) setRate(rate float64) { l.rate.Store(int64(rate * 1000)) }

func (l *limitLoad) startNode(i int, seed uint64, routes ...string) {
	n := l.f.nodes[i]
	for r, route := range routes {
		rng := rand.New(rand.NewPCG(seed, uint64(i*len(routes)+r)))
		l.wg.Go(func() { l.run(i, n, route, rng) })
	}
}

// run sends the requests of one node and route. Their times are those of a
// Poisson process.
func (l *limitLoad) run(i int, n *relayNode, route string, rng *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxLimitCalls}
	defer transport.CloseIdleConnections()
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, maxLimitCalls)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	count, until, last := 0, rng.ExpFloat64(), time.Now()
	for {
		select {
		case <-l.quit:
			return
		case <-tick.C:
		}
		now := time.Now()
		until -= float64(l.rate.Load()) / 1000 / float64(l.nodes) * now.Sub(last).Seconds()
		for last = now; until <= 0; until += rng.ExpFloat64() {
			id, prefix := fmt.Sprintf("%d-%s-%d", i, route, count), rng.IntN(limitPrefixes)
			count++
			slots <- struct{}{}
			calls.Go(func() {
				defer func() { <-slots }()
				c := limitCall{keptCall: n.limitCall(transport, id, route, prefix), route: route}
				c.node = i
				l.mu.Lock()
				defer l.mu.Unlock()
				l.calls = append(l.calls, c)
			})
		}
	}
}

func (l *limitLoad) snapshot() []limitCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.calls)
}

func (l *limitLoad) stop() []limitCall {
	close(l.quit)
	l.wg.Wait()
	return l.snapshot()
}

func (n *relayNode) limitCall(transport *http.Transport, id, route string, prefix int) keptCall {
	c := keptCall{id: id, sentAt: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.frontAddress+"/"+route+"/x", strings.NewReader(id))
	if err != nil {
		c.err = err
		return c
	}
	req.Host = "one.example"
	req.Header.Set("X-Teaselpin-Request-Id", id)
	req.Header.Set("X-Teaselpin-Deadline", "5000")
	if route == "draft" {
		req.Header.Set("X-Teaselpin-Token-Counts", "9000,80")
		req.Header.Set("X-Teaselpin-Prefix-Hash", fmt.Sprintf("a%d:8000,%s:1000", prefix, id))
	}
	res, err := (&http.Client{Timeout: 6 * time.Second, Transport: transport}).Do(req)
	if err != nil {
		c.err, c.endedAt = err, time.Now()
		return c
	}
	_, c.err = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	c.endedAt, c.status, c.header = time.Now(), res.StatusCode, res.Header
	return c
}

// limitArrival is a request that a server got.
type limitArrival struct {
	at   time.Time
	node int
	kind string // prefill, run, resume, call, retry or fetch
	// told is the time at which the node read the limit in the answer to a
	// prefill request, which it does not pass on, or zero.
	told time.Time
}

// arrivals returns what each server got, by ID, oldest first. A request that has
// another server fetch a prompt from the server counts as one, too.
func (f *limitFleet) arrivals() map[string][]limitArrival {
	all := make(map[string][]limitArrival)
	seen := make(map[string]bool) // requests that have reached a server, by ID and step
	var order []serverArrival
	for _, s := range f.servers {
		for _, a := range s.Arrivals() {
			order = append(order, serverArrival{a, s.ID})
		}
	}
	slices.SortFunc(order, func(a, b serverArrival) int { return a.At.Compare(b.At) })
	for _, a := range order {
		l := limitArrival{at: a.At, kind: "run"}
		if _, err := fmt.Sscanf(a.ID, "%d-", &l.node); err != nil {
			f.t.Errorf("request %q at %s is of no client", a.ID, a.server)
		}
		switch {
		case a.Header.Get("X-Teaselpin-Stage") == "prefill":
			l.kind = "prefill"
			if a.NamesLimit {
				l.told = a.Ended
			}
		case a.Header.Get("Last-Event-Id") != "":
			l.kind = "resume"
		case !strings.Contains(a.ID, "-draft-"):
			l.kind = "call"
		}
		step := a.ID + l.kind
		if seen[step] {
			l.kind = "retry"
		}
		seen[step] = true
		all[a.server] = append(all[a.server], l)
		if source := f.byAddress[a.Header.Get("Kv-Fetch")]; source != "" {
			all[source] = append(all[source], limitArrival{at: a.At, node: l.node, kind: "fetch"})
		}
	}
	return all
}

// mostInWindow returns the largest number of arrivals in a window of
// limitWindow from one time to another.
func mostInWindow(arrivals []limitArrival, from, to time.Time) int {
	most, first := 0, 0
	for i, a := range arrivals {
		if a.at.Before(from) || a.at.After(to) {
			first = i + 1
			continue
		}
		for a.at.Sub(arrivals[first].at) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowedInWindow(limit float64) float64 {
	return limitFactor*limit*limitWindow.Seconds() + limitBurst
}

func countBetween(arrivals []limitArrival, from, to time.Time) int {
	n := 0
	for _, a := range arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// firstTold returns when each node first passed on an answer of the server that
// names a limit, or read one that it does not pass on, by node.
func firstTold(calls []limitCall, server string, arrivals []limitArrival) map[int]time.Time {
	first := make(map[int]time.Time)
	add := func(node int, at time.Time) {
		if old, ok := first[node]; !ok || at.Before(old) {
			first[node] = at
		}
	}
	for _, c := range calls {
		if c.namedBy(server) {
			add(c.node, c.endedAt)
		}
	}
	for _, a := range arrivals {
		if !a.told.IsZero() {
			add(a.node, a.told)
		}
	}
	return first
}

// Guards against servers that name a limit in their answers and get many times as many requests.
func TestServersThatNameALimitGetNoMore(t *testing.T) {
	for i := range *limitSeeds {
		seed := *limitSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLimit(t, seed, newLimitFleet) })
	}
}

// Guards against a limit that each part of a region distributes as a whole, also after the parts have found each other.
func TestLimitsAreThoseOfTheJoinedRegion(t *testing.T) {
	runLimit(t, *limitSeed, newJoinedFleet)
}

// newJoinedFleet is newLimitFleet with nodes in two halves that have no seed in
// common. It waits until they have found each other.
func newJoinedFleet(t *testing.T, nodes int, servers []limitServer) *limitFleet {
	t.Helper()
	f := newLimitPlatform(t, nodes, servers)
	for i := range nodes {
		f.addNode(i, f.address, f.peers[i%2])
	}
	f.waitReady(t)
	for i, n := range f.nodes {
		tpprocess.Eventually(t, fmt.Sprintf("node %d knows all others", i), func() bool {
			return strings.Count(n.process.Output(), `"memberJoined"`) >= nodes-1
		})
	}
	return f
}

func runLimit(t *testing.T, seed uint64, newFleet func(t *testing.T, nodes int, servers []limitServer) *limitFleet) {
	kinds := []limitServer{
		{"p0", "llm", "prefill", "2.2"},
		{"p1", "llm", "prefill", ""},
		{"d0", "llm", "decode", "2.2"},
		{"d1", "llm", "decode", ""},
		{"d2", "llm", "decode", ""},
		{"a0", "app", "", "2.9"},
		{"a1", "app", "", ""},
		{"a2", "app", "", ""},
	}
	const malformed = "a1" // names only limits that say nothing
	f := newFleet(t, *limitNodes, kinds)
	load := f.startLoad(seed, *limitRate, "draft", "swap", "view")
	time.Sleep(3 * time.Second) // load without any limit
	before := f.cost()
	time.Sleep(4 * time.Second)
	costBefore := f.cost().since(before)
	limitedAt := time.Now()
	for _, k := range kinds {
		if k.limit != "" {
			f.server(k.id).SetLimit(k.limit)
		}
	}
	during := f.cost()
	for _, values := range [][]string{{""}, {"NaN"}, {"+Inf", "-Inf"}, {"-3"}, {"soon"}, {"2,2"}, {"1e400"}, {"1e30"}} {
		f.server(malformed).SetLimit(values...)
		time.Sleep(2 * time.Second)
	}
	f.server(malformed).SetLimit()
	costDuring := f.cost().since(during)
	for _, k := range kinds {
		f.server(k.id).SetLimit()
	}
	endedAt := time.Now()
	time.Sleep(limitEnded + 3*time.Second)
	calls, stoppedAt := load.stop(), time.Now()
	arrivals := f.arrivals()
	for _, k := range kinds {
		if k.limit != "" {
			f.checkLimited(k, arrivals[k.id], calls, limitedAt, endedAt, stoppedAt)
		}
	}
	f.checkServed(calls, limitedAt, endedAt)
	usual := float64(countBetween(arrivals[malformed], limitedAt.Add(-4*time.Second), limitedAt)) / 4
	got := float64(countBetween(arrivals[malformed], limitedAt, endedAt)) / endedAt.Sub(limitedAt).Seconds()
	t.Logf("%s: requests a second before it named malformed limits %.1f, while it did %.1f", malformed, usual, got)
	if got < usual/2 {
		t.Errorf("%s: got %.1f requests a second while it named malformed limits, want at least half of the %.1f before", malformed, got, usual)
	}
	t.Logf("%d nodes, %v requests a second on each route, per node and second without and with limits: %s; %s",
		*limitNodes, *limitRate, costBefore, costDuring)
}

// checkLimited checks what a server got that named a limit from one time to
// another.
func (f *limitFleet) checkLimited(k limitServer, arrivals []limitArrival, calls []limitCall, limitedAt, endedAt, stoppedAt time.Time) {
	f.t.Helper()
	limit := f.checkLimit(k, arrivals, calls, limitedAt, limitedAt, endedAt)
	unlimited := float64(countBetween(arrivals, limitedAt.Add(-4*time.Second), limitedAt)) / 4
	recovered := endedAt.Add(limitEnded)
	again := float64(countBetween(arrivals, recovered, stoppedAt)) / stoppedAt.Sub(recovered).Seconds()
	f.t.Logf("%s: requests a second before the limit %.1f, after it %.1f", k.id, unlimited, again)
	if unlimited < 2*limit {
		f.t.Errorf("%s: got %.1f requests a second before its limit of %v, or the test shows nothing", k.id, unlimited, limit)
	}
	if again < unlimited/2 {
		f.t.Errorf("%s: got %.1f requests a second from %v after its last answer with a limit, want at least half of the %.1f before it",
			k.id, again, limitEnded, unlimited)
	}
}

// checkLimit checks what a server got from limitSettled after its first answer
// with a limit, and its use of the limit from limitSettled after a time from
// which there is more demand. It returns the limit.
func (f *limitFleet) checkLimit(
	k limitServer, arrivals []limitArrival, calls []limitCall, limitedAt, demandAt, endedAt time.Time,
) float64 {
	f.t.Helper()
	limit, err := strconv.ParseFloat(k.limit, 64)
	if err != nil {
		f.t.Fatal(err)
	}
	from := f.server(k.id).FirstNamed(limitedAt)
	if from.IsZero() {
		f.t.Errorf("%s: no answer named the limit, or the test shows nothing", k.id)
		return limit
	}
	from = from.Add(limitSettled)
	told := firstTold(calls, k.id, arrivals)
	ofTold := slices.DeleteFunc(slices.Clone(arrivals), func(a limitArrival) bool {
		at, ok := told[a.node]
		return !ok || a.at.Before(at.Add(limitTold))
	})
	most, mostOfTold := mostInWindow(arrivals, from, endedAt), mostInWindow(ofTold, from, endedAt)
	kinds := make(map[string]int)
	for _, a := range arrivals {
		if !a.at.Before(from) && a.at.Before(endedAt) {
			kinds[a.kind]++
		}
	}
	useFrom := from
	if at := demandAt.Add(limitSettled); at.After(from) {
		useFrom = at
	}
	use := float64(countBetween(arrivals, useFrom, endedAt)) / (limit * endedAt.Sub(useFrom).Seconds())
	f.t.Logf("%s: limit %v: most in %v: %d, %d of the %d nodes that had told of it, allowed %.1f; use of the limit %.2f %v",
		k.id, limit, limitWindow, most, mostOfTold, len(told), allowedInWindow(limit), use, kinds)
	if float64(most) > allowedInWindow(limit) {
		f.t.Errorf("%s: got %d requests within %v, %d of them of nodes that had passed on its limit, want at most %.1f",
			k.id, most, limitWindow, mostOfTold, allowedInWindow(limit))
	}
	if use < minLimitUse {
		f.t.Errorf("%s: got %.2f of its limit, want at least %v", k.id, use, minLimitUse)
	}
	return limit
}

// minServed is the part of the requests that is served while other servers have
// no limit.
const minServed = 0.95

func (f *limitFleet) checkServed(calls []limitCall, from, to time.Time) {
	f.t.Helper()
	sent, served := make(map[string]int), make(map[string]int)
	for _, c := range calls {
		if c.sentAt.Before(from) || c.sentAt.After(to) {
			continue
		}
		sent[c.route]++
		if c.err == nil && c.status == http.StatusOK {
			served[c.route]++
		}
	}
	f.t.Logf("sent with limits: %v, served: %v", sent, served)
	for route, n := range sent {
		if float64(served[route]) < minServed*float64(n) {
			f.t.Errorf("route %s: %d of %d requests were served, want at least %v of them by the servers without a limit", route, served[route], n, minServed)
		}
	}
}

// limitCost is what the nodes have spent.
type limitCost struct {
	at                   time.Time
	nodes                int
	messages, storeCalls float64
	processor            time.Duration
}

// cost returns what all nodes have spent so far: heartbeats sent, calls to the
// store and processor time.
func (f *limitFleet) cost() limitCost {
	f.t.Helper()
	c := limitCost{at: time.Now(), nodes: len(f.nodes)}
	for _, n := range f.store.CallCounts() {
		c.storeCalls += float64(n)
	}
	for i, n := range f.nodes {
		c.messages += f.heartbeats(i)
		c.processor += n.process.CPUTime(f.t)
	}
	return c
}

// heartbeats returns the number of heartbeats that a node has sent.
func (f *limitFleet) heartbeats(i int) float64 {
	f.t.Helper()
	res, err := http.Get("http://" + f.metrics[i])
	if err != nil {
		f.t.Fatal(err)
	}
	defer res.Body.Close()
	var counters struct {
		Rings map[string]struct{ Puts, Dropped float64 }
	}
	if err := json.NewDecoder(res.Body).Decode(&counters); err != nil {
		f.t.Fatal(err)
	}
	r := counters.Rings["heartbeats"]
	return r.Puts - r.Dropped
}

func (c limitCost) since(before limitCost) limitCost {
	return limitCost{
		at: before.at.Add(c.at.Sub(before.at)), nodes: c.nodes, messages: (c.messages - before.messages) / c.at.Sub(before.at).Seconds() / float64(c.nodes),
		storeCalls: (c.storeCalls - before.storeCalls) / c.at.Sub(before.at).Seconds() / float64(c.nodes),
		processor:  time.Duration(float64(c.processor-before.processor) / c.at.Sub(before.at).Seconds() / float64(c.nodes)),
	}
}

func (c limitCost) String() string {
	return fmt.Sprintf("%.2f heartbeats, %.2f calls to the store, %.1f ms of a processor", c.messages, c.storeCalls, c.processor.Seconds()*1000)
}
