package proof_test

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

var (
	silenceSeed     = flag.Uint64("silence.seed", 20261205, "first seed of the soak with silent servers")
	silenceSeeds    = flag.Int("silence.seeds", 1, "number of seeds of the soak with silent servers")
	silenceDuration = flag.Duration("silence.duration", 12*time.Second, "duration of the load for each seed")
	silenceClients  = flag.Int("silence.clients", 40, "number of clients of the soak with silent servers")
)

const (
	silenceNodes = 4
	// silenceStopGrace is the nodes' default grace period. A request that a
	// server still runs in the last sixth of it may be cut off if it was sent
	// within silenceStopWindow of the signal.
	silenceStopGrace  = 8 * time.Second
	silenceStopWindow = 3 * time.Second
	// silenceCrossing is the time from the last byte of a request to the end of
	// its connection within which the node may not have read the request.
	silenceCrossing = 200 * time.Millisecond
	// silenceGapTimeout is the time after which a client leaves a stream that
	// sends nothing: eight times the pause that the routes allow.
	silenceGapTimeout = 3200 * time.Millisecond
	// silenceLimitMargin is the time before a request's time limit within which
	// a node may end the request.
	silenceLimitMargin = 100 * time.Millisecond
)

// silenceRoute is a kind of request in the soak with silent servers.
type silenceRoute struct {
	name, kind, service string
	resumable           bool
	maxAttempts         int
}

var silenceRoutes = []silenceRoute{
	{"draft", "stream", "llm", true, 2},
	{"once", "stream", "llm", true, 1},
	{"tale", "stream", "llm", false, 2},
	{"solo", "stream", "one", true, 2},
	{"swap", "unsafe", "app", false, 2},
	{"view", "safe", "app", false, 2},
	{"lone", "safe", "single", false, 2},
	{"move", "unsafe", "app", false, 2},  // changes its service
	{"split", "safe", "app", false, 2},   // has two services with changing weights
	{"guest", "unsafe", "app", false, 2}, // in every second configuration
}

// silenceCall is a request of the soak with silent servers, and its answer.
type silenceCall struct {
	id, method, uri, body string
	route                 silenceRoute
	node                  int
	reused                bool          // the connection served a request before
	timeout               time.Duration // that the client states
	began, sent           time.Time     // first and last byte of the request
	ended                 time.Time     // of the answer or the connection
	status                int           // 0 without the head of an answer
	answer                string
	answerID              string
	clientLeft            bool // the client gave up
	err                   error
}

// plannedWork is a signal to a node or, with node -1, a configuration.
type plannedWork struct {
	at   time.Time
	node int
	name string
}

// routeTimeout is a timeout of a route since a configuration was written.
type routeTimeout struct {
	since   time.Time
	timeout time.Duration
}

// silenceSoak is the run for one seed.
type silenceSoak struct {
	*relayFleet
	t        *testing.T
	rng      *rand.Rand
	services map[string][]*tpguestfake.Server

	mu         sync.Mutex
	inRotation [silenceNodes]bool // gets new connections
	processes  [silenceNodes][]*tpprocess.Process
	calls      []*silenceCall
	planned    []plannedWork
	timeouts   map[string][]routeTimeout
}

// Guards against a request that a node has read and that ends without an answer around planned work.
func TestRelayWithSilentServers(t *testing.T) {
	for i := range *silenceSeeds {
		seed := *silenceSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSilenceSoak(t, seed) })
	}
}

func runSilenceSoak(t *testing.T, seed uint64) {
	s := newSilenceSoak(t, seed)
	var peers []string
	for range silenceNodes {
		peers = append(peers, tpprocess.FreeAddress(t))
	}
	for i := range silenceNodes {
		s.startSilenceNode(i, peers)
	}
	for _, n := range s.nodes {
		tpprocess.Eventually(t, "the nodes are ready", n.isReady)
	}
	for i := range s.inRotation {
		s.inRotation[i] = true
	}
	stop := make(chan struct{})
	var duties, clients sync.WaitGroup
	for i := range silenceNodes {
		duties.Go(func() { s.watchReadiness(i, stop) })
	}
	for i := range *silenceClients {
		c := &silenceClient{soak: s, name: fmt.Sprintf("%d-%d", seed, i), rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		clients.Go(func() { c.run(stop) })
	}
	duties.Go(func() { s.silenceServers(rand.New(rand.NewPCG(seed, 1<<32)), stop) })
	duties.Go(func() { s.restartNodes(stop) })
	s.configureInSeries(stop, time.Now().Add(*silenceDuration))
	close(stop)
	clients.Wait()
	duties.Wait()
	s.verify()
}

func newSilenceSoak(t *testing.T, seed uint64) *silenceSoak {
	s := &silenceSoak{
		relayFleet: &relayFleet{}, t: t, rng: rand.New(rand.NewPCG(seed, seed)),
		services: make(map[string][]*tpguestfake.Server), timeouts: make(map[string][]routeTimeout),
	}
	s.address = tpguestfake.Listen(t, &s.store)
	for i, kind := range []string{
		"llm prefill", "llm decode", "llm decode", "llm decode", "one decode",
		"app", "app", "other", "other", "single",
	} {
		service, stage, _ := strings.Cut(kind, " ")
		server := &tpguestfake.Server{ID: fmt.Sprint("s", i), Stage: stage}
		if stage != "" {
			server.EventsPerStream, server.EventInterval = 8, 20*time.Millisecond
		}
		s.servers = append(s.servers, server)
		s.services[service] = append(s.services[service], server)
		s.store.Set("servers", server.ID, map[string]any{
			"service": service, "address": tpguestfake.Listen(t, server), "zone": "z", "slots": 64, "state": "ready", "version": "v1", "cold_left_ms": 0, "sequence": 1,
			"stage": stage, "born": 1,
		})
	}
	s.configureVersion(1)
	return s
}

// configureVersion writes a configuration with drawn timeouts, weights and
// services. Its route "v" followed by the version is in no other version.
func (s *silenceSoak) configureVersion(version int) {
	engine := map[string]any{"slots": 64, "kv_capacity": 400000, "role_switch_s": 3}
	var routes []any
	for _, r := range append(slices.Clone(silenceRoutes), silenceRoute{fmt.Sprint("v", version), "safe", "app", false, 2}) {
		if r.name == "guest" && version%2 == 0 {
			continue
		}
		timeout := time.Duration(4000+s.rng.IntN(2000)) * time.Millisecond
		s.mu.Lock()
		s.timeouts[r.name] = append(s.timeouts[r.name], routeTimeout{time.Now(), timeout})
		s.mu.Unlock()
		entry := map[string]any{
			"name": r.name, "host": "one.example", "path_prefix": "/" + r.name + "/", "kind": r.kind,
			"timeout_ms": timeout.Milliseconds(), "latency_goal_ms": 600, "target_gap_ms": 400,
			"max_attempts": r.maxAttempts, "resumable": r.resumable,
		}
		switch {
		case r.name == "split":
			weight := s.rng.Float64()
			entry["backends"] = []any{
				map[string]any{"service": "app", "weight": weight}, map[string]any{"service": "other", "weight": 1 - weight},
			}
		case r.name == "move" && version%2 == 0:
			entry["service"] = "other"
		default:
			entry["service"] = r.service
		}
		routes = append(routes, entry)
	}
	s.recordPlanned(-1, fmt.Sprint("configuration ", version))
	s.store.Set("config", "main", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"services": []any{
			map[string]any{"name": "llm", "engine": engine},
			map[string]any{"name": "one", "engine": engine},
			map[string]any{"name": "app"},
			map[string]any{"name": "other"},
			map[string]any{"name": "single"},
		},
	})
}

// configureInSeries writes configurations and sends SIGHUP until end.
func (s *silenceSoak) configureInSeries(stop <-chan struct{}, end time.Time) {
	for version := 2; time.Now().Before(end); version++ {
		s.sleep(stop, time.Duration(300+s.rng.IntN(1500))*time.Millisecond)
		s.configureVersion(version)
		if i := s.rng.IntN(silenceNodes); s.rng.IntN(3) == 0 && s.nodes[i].claimForFault() {
			s.recordPlanned(i, "SIGHUP")
			s.nodes[i].process.Signal(s.t, syscall.SIGHUP)
			s.nodes[i].releaseFromFault()
		}
	}
}

func (s *silenceSoak) startSilenceNode(i int, peers []string) {
	n := &relayNode{
		name: fmt.Sprint("node-", i), frontAddress: tpprocess.FreeAddress(s.t), readyAddress: tpprocess.FreeAddress(s.t),
		settings: filepath.Join(s.t.TempDir(), fmt.Sprintf("node-%d.yaml", i)),
	}
	// A budget of a few retries is used up in the run.
	settings := fmt.Sprintf("name: node-%d\nregion: r\nzone: z\nfront: %s\nready: %s\npeers: %s\nseeds: [%q]\nstore: %s\n"+
		"prefillPart: 0.34\nbudget:\n  ratio: 0.05\n  slack: 4\n  window: 10s\n",
		i, n.frontAddress, n.readyAddress, peers[i], peers[0], s.address)
	if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	n.restart(s.t)
	s.processes[i] = append(s.processes[i], n.process)
	s.nodes = append(s.nodes, n)
}

// restartNodes stops and restarts the nodes in turn. Stops overlap.
func (s *silenceSoak) restartNodes(stop <-chan struct{}) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for i := 0; s.sleep(stop, 1500*time.Millisecond); i = (i + 1) % silenceNodes {
		n := s.nodes[i]
		if !n.claimForFault() {
			continue
		}
		stops.Go(func() {
			defer n.releaseFromFault()
			s.recordPlanned(i, "SIGTERM")
			if err := n.process.Stop(s.t, 2*silenceStopGrace); err != nil {
				s.t.Errorf("planned stop of node %d: %v", i, err)
			}
			n.restart(s.t)
			s.mu.Lock()
			s.processes[i] = append(s.processes[i], n.process)
			s.mu.Unlock()
		})
	}
}

// silenceServers makes servers fall silent: for single requests, on all
// connections, and all servers of a service at once.
func (s *silenceSoak) silenceServers(rng *rand.Rand, stop <-chan struct{}) {
	duration := func() time.Duration { return time.Duration(500+rng.IntN(2000)) * time.Millisecond }
	names := []string{"llm", "one", "app", "other", "single"}
	for s.sleep(stop, 60*time.Millisecond) {
		server := s.servers[rng.IntN(len(s.servers))]
		switch kind := rng.IntN(40); kind {
		case 0:
			d := duration()
			for _, server := range s.services[names[rng.IntN(len(names))]] {
				server.Silence(d)
			}
		case 1, 2:
			server.Silence(duration())
		default:
			point := tpguestfake.SilencePoint(1 + rng.IntN(tpguestfake.SilencePoints-1))
			server.QueueSilences(tpguestfake.Silence{Point: point, Duration: duration()})
		}
	}
}

// watchReadiness takes a node out of rotation after two probes without an
// answer of status 200, as the platform's load balancer does.
func (s *silenceSoak) watchReadiness(i int, stop <-chan struct{}) {
	misses := 0
	for s.sleep(stop, time.Second) {
		if misses++; s.nodes[i].isReady() {
			misses = 0
		}
		s.mu.Lock()
		s.inRotation[i] = misses < 2
		s.mu.Unlock()
	}
}

// chooseNode returns a node in rotation, or any node if there is none.
func (s *silenceSoak) chooseNode(rng *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := rng.IntN(silenceNodes)
	for k := range silenceNodes {
		if i := (first + k) % silenceNodes; s.inRotation[i] {
			return i
		}
	}
	return first
}

// sleep returns false if stop is closed before the time is over.
func (s *silenceSoak) sleep(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (s *silenceSoak) recordPlanned(node int, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planned = append(s.planned, plannedWork{time.Now(), node, name})
}

// silenceClient sends one request after the other on a kept connection.
type silenceClient struct {
	soak   *silenceSoak
	name   string
	rng    *rand.Rand
	conn   net.Conn // nil if the next request needs a new connection
	reader *bufio.Reader
	node   int
	count  int
	served int // requests on the connection
}

func (c *silenceClient) run(stop <-chan struct{}) {
	defer c.closeConn()
	for c.soak.sleep(stop, c.idleTime()) {
		if c.conn != nil && !c.isOpen() {
			c.closeConn()
		}
		if c.conn == nil && !c.connect(stop) {
			continue
		}
		call := c.newCall()
		c.do(call)
		c.served++
		if !call.sent.IsZero() {
			c.soak.mu.Lock()
			c.soak.calls = append(c.soak.calls, call)
			c.soak.mu.Unlock()
		}
		if call.err != nil {
			c.closeConn()
		}
	}
}

// idleTime is mostly short, and at times so long that the connection stays idle
// for a whole planned stop.
func (c *silenceClient) idleTime() time.Duration {
	longest := 200
	if c.rng.IntN(8) == 0 {
		longest = 3000
	}
	return time.Duration(c.rng.IntN(longest)) * time.Millisecond
}

func (c *silenceClient) connect(stop <-chan struct{}) bool {
	c.node = c.soak.chooseNode(c.rng)
	conn, err := net.DialTimeout("tcp", c.soak.nodes[c.node].frontAddress, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	if c.rng.IntN(4) == 0 { // the first request does not follow the connection at once
		c.soak.sleep(stop, time.Duration(c.rng.IntN(900))*time.Millisecond)
		if !c.isOpen() {
			c.closeConn()
			return false
		}
	}
	return true
}

// isOpen reports whether the node has left the idle connection open. It fails
// the test if the node has sent bytes that belong to no request.
func (c *silenceClient) isOpen() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails only on a closed connection
	_, err := c.reader.Peek(1)
	if err == nil {
		c.soak.t.Errorf("client %s: node %d sent bytes on an idle connection", c.name, c.node)
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (c *silenceClient) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close() // the node may have closed it
		c.conn = nil
	}
}

func (c *silenceClient) newCall() *silenceCall {
	c.count++
	route := silenceRoutes[c.rng.IntN(len(silenceRoutes))]
	call := &silenceCall{
		id: fmt.Sprintf("%s-%d", c.name, c.count), route: route, node: c.node, reused: c.served > 0,
		method: http.MethodPost, uri: fmt.Sprintf("/%s/x?n=%d", route.name, c.count),
		timeout: time.Duration(4000+c.rng.IntN(4000)) * time.Millisecond,
	}
	switch c.rng.IntN(6) {
	case 0:
		call.method = http.MethodGet
	case 1:
	case 2:
		// At times longer than the receive window of a server.
		call.body = strings.Repeat(call.id+";", 1000<<c.rng.IntN(6))
	default:
		call.body = call.id
	}
	return call
}

// do sends the request and reads the answer. Call.sent stays zero if the
// connection ends before the whole request is written.
func (c *silenceClient) do(call *silenceCall) {
	call.began = time.Now()
	_ = c.conn.SetDeadline(time.Now().Add(call.timeout)) // fails only on a closed connection
	if call.err = c.send(call); call.err != nil {
		return
	}
	call.sent = time.Now()
	leaveAt := call.began.Add(call.timeout)
	defer func() {
		call.ended = time.Now()
		call.clientLeft = errors.Is(call.err, os.ErrDeadlineExceeded)
	}()
	c.extendRead(call, leaveAt)
	res, err := http.ReadResponse(c.reader, &http.Request{Method: call.method})
	if err != nil {
		call.err = err
		return
	}
	defer res.Body.Close()
	call.status, call.answerID = res.StatusCode, res.Header.Get("X-Teaselpin-Request-Id")
	var answer strings.Builder
	for buf := make([]byte, 4096); err == nil; {
		var n int
		c.extendRead(call, leaveAt)
		n, err = res.Body.Read(buf)
		answer.Write(buf[:n])
	}
	call.answer = answer.String()
	if !errors.Is(err, io.EOF) { // an answer that ends early ends with io.ErrUnexpectedEOF
		call.err = err
		return
	}
	if res.Close {
		c.closeConn()
	}
}

// extendRead sets the time at which the client gives up.
func (c *silenceClient) extendRead(call *silenceCall, leaveAt time.Time) {
	if gapEnd := time.Now().Add(silenceGapTimeout); call.route.kind == "stream" && gapEnd.Before(leaveAt) {
		leaveAt = gapEnd
	}
	_ = c.conn.SetReadDeadline(leaveAt) // fails only on a closed connection
}

// send writes the request: its body with a length or in chunks, in one packet or
// in several.
func (c *silenceClient) send(call *silenceCall) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: one.example\r\nX-Teaselpin-Request-Id: %s\r\nX-Teaselpin-Deadline: %d\r\n",
		call.method, call.uri, call.id, call.timeout.Milliseconds())
	if call.route.kind == "stream" {
		head += "X-Teaselpin-Token-Counts: 9000,80\r\nX-Teaselpin-Prefix-Hash: a1:8000,b2:1000\r\n"
	}
	parts := []string{call.body}
	if len(call.body) > 1 && c.rng.IntN(2) == 0 {
		cut := 1 + c.rng.IntN(len(call.body)-1)
		parts = []string{call.body[:cut], call.body[cut:]}
	}
	switch {
	case call.method == http.MethodGet:
		head, parts = head+"\r\n", nil
	case c.rng.IntN(2) == 0:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(call.body))
	default:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		for i, p := range parts {
			if p != "" {
				parts[i] = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
			}
		}
		parts = append(parts, "0\r\n\r\n")
	}
	if len(parts) > 0 && c.rng.IntN(2) == 0 {
		parts[0], head = head+parts[0], ""
	}
	for i, p := range append([]string{head}, parts...) {
		if p == "" {
			continue
		}
		if i > 0 && c.rng.IntN(3) == 0 {
			time.Sleep(time.Duration(c.rng.IntN(150)) * time.Millisecond) // a client that sends slowly
		}
		if _, err := io.WriteString(c.conn, p); err != nil {
			return err
		}
	}
	return nil
}
