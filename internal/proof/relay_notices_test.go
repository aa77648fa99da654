package proof_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// drainTime is the time for which requests may still reach a server after a
// node has passed on an answer that says that the server is leaving.
const drainTime = 2 * time.Second

// keptCall is one request on a kept connection and its answer.
type keptCall struct {
	id              string
	node            int
	sentAt, endedAt time.Time
	status          int
	header          http.Header
	err             error
}

// keptLoad sends requests over kept connections, one connection for each node
// and route, until it is stopped.
type keptLoad struct {
	mu    sync.Mutex
	calls []keptCall
	wg    sync.WaitGroup
	quit  chan struct{}
}

func startKeptLoad(f *relayFleet, routes ...string) *keptLoad {
	l := &keptLoad{quit: make(chan struct{})}
	for i, n := range f.nodes {
		for _, route := range routes {
			l.wg.Go(func() {
				transport := &http.Transport{MaxConnsPerHost: 1}
				defer transport.CloseIdleConnections()
				for k := 0; ; k++ {
					select {
					case <-l.quit:
						return
					case <-time.After(10 * time.Millisecond): // pace of one client
					}
					c := n.keptCall(transport, fmt.Sprintf("%d-%s-%d", i, route, k), route)
					c.node = i
					l.mu.Lock()
					l.calls = append(l.calls, c)
					l.mu.Unlock()
				}
			})
		}
	}
	return l
}

func (l *keptLoad) snapshot() []keptCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]keptCall(nil), l.calls...)
}

func (l *keptLoad) stop() []keptCall {
	close(l.quit)
	l.wg.Wait()
	return l.snapshot()
}

func (n *relayNode) keptCall(transport *http.Transport, id, route string) keptCall {
	c := keptCall{id: id, sentAt: time.Now()}
	client := http.Client{Timeout: 6 * time.Second, Transport: transport}
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
		req.Header.Set("X-Teaselpin-Prefix-Hash", "a1:8000,b2:1000")
	}
	res, err := client.Do(req)
	if err != nil {
		c.err = err
		return c
	}
	_, c.err = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	c.endedAt, c.status, c.header = time.Now(), res.StatusCode, res.Header
	return c
}

func (f *relayFleet) waitReady(t *testing.T) {
	t.Helper()
	for _, n := range f.nodes {
		tpprocess.Eventually(t, n.name+" is ready", n.isReady)
	}
}

// firstLeaving returns when each node first passed on an answer that says that
// the server is leaving, by node.
func firstLeaving(calls []keptCall, server string) map[int]time.Time {
	first := make(map[int]time.Time)
	for _, c := range calls {
		if c.header.Get("Server-Leaving") == "" || !strings.HasPrefix(c.header.Get("X-Teaselpin-Response-Stamp"), server+".") {
			continue
		}
		if at, ok := first[c.node]; !ok || c.endedAt.Before(at) {
			first[c.node] = c.endedAt
		}
	}
	return first
}

// Guards against requests that go on reaching a server that has said in its answers that it is leaving.
func TestServerThatLeavesInItsAnswersGetsNothing(t *testing.T) {
	f := newRelayFleet(t, 2)
	f.waitReady(t)
	load := startKeptLoad(f, "draft", "swap", "view")
	leaving := []*tpguestfake.Server{f.servers[1], f.servers[3]}
	for _, s := range leaving {
		s.SetLeaving(true)
	}
	for _, s := range leaving {
		tpprocess.Eventually(t, "both nodes have passed on an answer of "+s.ID, func() bool {
			return len(firstLeaving(load.snapshot(), s.ID)) == len(f.nodes)
		})
	}
	f.store.SetRefusalStatus("", http.StatusServiceUnavailable)
	time.Sleep(time.Second) // load while the store refuses calls
	f.store.SetRefusalStatus("", 0)
	time.Sleep(drainTime + time.Second) // load beyond the bound
	calls := load.stop()
	served := 0
	for _, s := range leaving {
		arrived := make(map[string]bool)
		for _, a := range s.Arrivals() {
			arrived[a.ID] = true
		}
		first := firstLeaving(calls, s.ID)
		late := 0
		for _, c := range calls {
			if c.sentAt.Sub(first[c.node]) <= drainTime {
				continue
			}
			if arrived[c.id] {
				late++
			}
			if c.status == http.StatusOK && c.err == nil {
				served++
			}
		}
		if late > 0 {
			t.Errorf("%s: %d requests reached it that were sent over %v after the answer that says it is leaving, want 0", s.ID, late, drainTime)
		}
	}
	if served == 0 {
		t.Error("no request was served by the other servers after the bound")
	}
}

// maxRequestsInPause is the number of requests of one node that may reach a
// server between pauseSlack after the server has asked that node for a pause and
// the end of the pause.
const (
	maxRequestsInPause = 2
	pauseSlack         = 500 * time.Millisecond
)

func TestServersThatAskForAPauseGetNothing(t *testing.T) {
	f := newRelayFleet(t, 2)
	f.waitReady(t)
	load := startKeptLoad(f, "draft", "swap", "view")
	time.Sleep(500 * time.Millisecond) // load before the refusals
	const pause = 2 * time.Second
	refusing := []*tpguestfake.Server{f.servers[1], f.servers[2], f.servers[3], f.servers[4]}
	for _, s := range refusing {
		s.SetRetryAfter("2")
	}
	refusedAt := time.Now()
	time.Sleep(5 * time.Second) // load over two pauses
	for _, s := range refusing {
		s.SetRetryAfter("")
	}
	servingAt := time.Now()
	time.Sleep(pause + time.Second) // load after the end of the last pause
	calls := load.stop()
	for _, s := range refusing {
		byNode := make(map[byte][]time.Time) // arrivals while the server refused
		for _, a := range s.Arrivals() {
			if a.At.After(refusedAt) && a.At.Before(servingAt) {
				byNode[a.ID[0]] = append(byNode[a.ID[0]], a.At)
			}
		}
		for node, arrivals := range byNode {
			most := 0
			for _, asked := range arrivals {
				n := 0
				for _, at := range arrivals {
					if since := at.Sub(asked); since > pauseSlack && since < pause {
						n++
					}
				}
				most = max(most, n)
			}
			if most > maxRequestsInPause {
				t.Errorf("%s: %d requests of node %c within one pause, want at most %d", s.ID, most, node, maxRequestsInPause)
			}
		}
	}
	refused, served := 0, 0
	for _, c := range calls {
		switch {
		case c.err != nil:
			t.Errorf("request %s: %v", c.id, c.err)
		case c.sentAt.After(servingAt.Add(pause)) && c.status == http.StatusOK:
			served++
		case c.status == http.StatusServiceUnavailable && c.sentAt.After(refusedAt):
			refused++
			if c.header.Get("Retry-After") == "" || c.endedAt.Sub(c.sentAt) > time.Second {
				t.Errorf("request %s was refused after %v with Retry-After %q, want at once and with a delay", c.id, c.endedAt.Sub(c.sentAt), c.header.Get("Retry-After"))
			}
		}
	}
	if refused == 0 || served == 0 {
		t.Errorf("got %d refusals during the pauses and %d answers after them, want both", refused, served)
	}
}
