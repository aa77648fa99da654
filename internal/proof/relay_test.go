package proof_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// relaySite is a stand-in platform with relay nodes as separate processes.
type relaySite struct {
	store   tpguestfake.Store
	address string
	servers []*tpguestfake.Server
	nodes   []*relayNode
}

type relayNode struct {
	process      *tpprocess.Process
	name         string
	settings     string // path
	front, ready string
	faulty       atomic.Bool // a fault has the process
}

// newPlatform returns a platform without nodes. Through returns the address
// under which a server registers.
func newPlatform(t *testing.T, through func(address string) string) *relaySite {
	t.Helper()
	s := &relaySite{}
	s.address = tpguestfake.Listen(t, &s.store)
	for i, stage := range []string{"prefill", "decode", "decode", "", ""} {
		server := &tpguestfake.Server{ID: fmt.Sprint("s", i), Stage: stage}
		service := "app"
		if stage != "" {
			server.Events, server.Pause, service = 8, 20*time.Millisecond, "llm"
		}
		s.servers = append(s.servers, server)
		s.store.Set("servers", server.ID, map[string]any{
			"service": service, "address": through(tpguestfake.Listen(t, server)), "zone": "z", "slots": 64, "state": "ready",
			"stage": stage, "born": 1,
		})
	}
	s.configure(1)
	return s
}

// configure writes a configuration with a route that only this version has.
func (s *relaySite) configure(version int) {
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "one.example", "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 5000, "latency_goal_ms": 600, "target_gap_ms": 400, "max_attempts": 2, "resumable": resumable,
		}
	}
	s.store.Set("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "stream", "llm", true), route("swap", "unsafe", "app", false),
			route("view", "safe", "app", false), route(fmt.Sprint("v", version), "safe", "app", false),
		},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 64, "kv_capacity": 400000, "role_switch_s": 3}},
			map[string]any{"name": "app"},
		},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
	})
}

func newRelaySite(t *testing.T, nodes int) *relaySite {
	t.Helper()
	s := newPlatform(t, func(address string) string { return address })
	peers := make([]string, nodes)
	for i := range peers {
		peers[i] = tpprocess.FreeAddress(t)
	}
	for i := range nodes {
		s.nodes = append(s.nodes, s.startNode(t, i, peers, s.address))
	}
	return s
}

func (s *relaySite) startNode(t *testing.T, i int, peers []string, store string) *relayNode {
	t.Helper()
	n := &relayNode{name: fmt.Sprint("node-", i), front: tpprocess.FreeAddress(t), ready: tpprocess.FreeAddress(t)}
	settings := fmt.Sprintf("name: node-%d\nregion: r\nzone: z\nfront: %s\nready: %s\npeers: %s\nseeds: [%q]\nstore: %s\n"+
		"stopDelay: 1s\nprefillPart: 0.34\nbudget:\n  ratio: 0.2\n  slack: 50\n  window: 10s\n",
		i, n.front, n.ready, peers[i], peers[0], store)
	n.settings = filepath.Join(t.TempDir(), fmt.Sprintf("node-%d.yaml", i))
	if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	n.restart(t)
	return n
}

// restart starts the node's process at its addresses.
func (n *relayNode) restart(t *testing.T) {
	t.Helper()
	n.process = tpprocess.Start(t, n.name, tpprocess.Teaselpin, "relay", "--settings", n.settings)
}

// claim reports whether no other fault has the node, and takes it.
func (n *relayNode) claim() bool { return n.faulty.CompareAndSwap(false, true) }

func (n *relayNode) release() { n.faulty.Store(false) }

// isReady asks a node as the platform's balancer does.
func (n *relayNode) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.ready + "/teaselpin/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// relayCall is one request as its client saw it.
type relayCall struct {
	id, kind string
	node     int
	status   int
	body     string
	err      error
}

// call sends one request over a new connection and reads the answer.
func (n *relayNode) call(id, kind string, at int) relayCall {
	c := relayCall{id: id, kind: kind, node: at}
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/"+kind+"/x", strings.NewReader(id))
	if err != nil {
		c.err = err
		return c
	}
	req.Host = "one.example"
	req.Header.Set("X-Teaselpin-Request-Id", id)
	req.Header.Set("X-Teaselpin-Deadline", "5000")
	if kind == "draft" {
		req.Header.Set("X-Teaselpin-Token-Counts", "9000,80")
		req.Header.Set("X-Teaselpin-Prefix-Hash", "a1:8000,b2:1000")
	}
	res, err := client.Do(req)
	if err != nil {
		c.err = err
		return c
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	c.status, c.body, c.err = res.StatusCode, string(data), err
	return c
}

// load sends requests to nodes that are ready until it is stopped.
func (s *relaySite) load(seed uint64, stop <-chan struct{}) <-chan []relayCall {
	out := make(chan []relayCall, 1)
	go func() {
		var mu sync.Mutex
		var all []relayCall
		var wg sync.WaitGroup
		rng := rand.New(rand.NewPCG(seed, seed))
		kinds := []string{"draft", "swap", "view"}
		for i := 0; ; i++ {
			select {
			case <-stop:
				wg.Wait()
				out <- all
				return
			case <-time.After(15 * time.Millisecond):
			}
			at := rng.IntN(len(s.nodes))
			kind := kinds[rng.IntN(len(kinds))]
			wg.Go(func() {
				if !s.nodes[at].isReady() {
					return
				}
				c := s.nodes[at].call(fmt.Sprintf("%s-%d", kind, i), kind, at)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, c)
			})
		}
	}()
	return out
}

// runs returns how often servers began to work on each request.
func (s *relaySite) runs() map[string]int {
	runs := make(map[string]int)
	for _, server := range s.servers {
		for _, a := range server.Arrivals() {
			if a.Run {
				runs[a.ID]++
			}
		}
	}
	return runs
}

// wholeDraft is the whole answer of an engine of these tests.
var wholeDraft = func() string {
	var b strings.Builder
	for i := range 8 {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}()

// whole reports whether the body is the whole answer to the request.
func (c *relayCall) whole() bool {
	if c.kind == "draft" {
		return c.body == wholeDraft
	}
	return c.body == "answer to "+c.id
}

// check holds what clients and servers saw against the promises.
func (s *relaySite) check(t *testing.T, calls []relayCall, killed map[int]bool) {
	t.Helper()
	runs := s.runs()
	whole := 0
	for _, c := range calls {
		if c.kind == "swap" && runs[c.id] > 1 {
			t.Errorf("call %s, which may not be repeated, ran %d times", c.id, runs[c.id])
		}
		if c.kind == "swap" && c.status == 503 && runs[c.id] > 0 {
			t.Errorf("call %s was refused as not run, and ran", c.id)
		}
		if c.status == 200 && c.err == nil {
			whole++
			if !c.whole() {
				t.Errorf("answer to %s: got %q", c.id, c.body)
			}
			continue
		}
		if c.err != nil && !killed[c.node] {
			t.Errorf("request %s at a node that was not killed: %v", c.id, c.err)
		}
	}
	if whole*10 < len(calls)*7 {
		t.Errorf("whole answers: got %d of %d, want at least 7 in 10", whole, len(calls))
	}
}

// Guards against a planned stop, a kill or a pause of a node that makes a call
// run twice, calls it not run although it ran, mixes answers, or cuts requests
// at a node that was not killed.
func TestRelayNodesUnderSignals(t *testing.T) {
	s := newRelaySite(t, 4)
	deadline := time.Now().Add(30 * time.Second)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				t.Fatal("the nodes are not ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	stop := make(chan struct{})
	calls := s.load(20261204, stop)
	time.Sleep(time.Second) // load before the first fault
	// One engine alone is faulty: a stream that both cut has used its attempts.
	for _, server := range []*tpguestfake.Server{s.servers[1], s.servers[3], s.servers[4]} {
		server.Fail(tpguestfake.FaultCut, tpguestfake.FaultShed, tpguestfake.FaultLost)
	}
	s.nodes[1].process.Pause(t)
	time.Sleep(1500 * time.Millisecond) // the length of the pause
	s.nodes[1].process.Resume(t)
	s.nodes[2].process.Signal(t, syscall.SIGKILL)
	s.store.Refuse("", 503)
	time.Sleep(time.Second) // load while the store is away
	s.store.Refuse("", 0)
	if err := s.nodes[3].process.Stop(t, 20*time.Second); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	close(stop)
	s.check(t, <-calls, map[int]bool{2: true})
}
