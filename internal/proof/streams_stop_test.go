package proof_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// maxLeavingDelay is the guaranteed limit of the time from the signal that
	// an engine is leaving to the last new request that the nodes send to it.
	maxLeavingDelay = 3 * time.Second
	// leavingSlack allows for the time from the signal in the test to its
	// arrival at a node on a busy machine.
	leavingSlack = 3 * time.Second
)

// requestUntil starts callers that each request one answer after another until
// stop is set. The caller of requestUntil waits for the returned group.
func (l *streamLoad) requestUntil(callers, tokens int, stop *atomic.Bool) *sync.WaitGroup {
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				l.requestAndCheck(caller, fmt.Sprintf("question %d of caller %d", n, caller), tokens)
			}
		})
	}
	return &wg
}

// balancer offers the nodes that were ready at its last poll. Like the
// platform's load balancer, it detects a change only after a delay.
type balancer struct {
	mu    sync.Mutex
	nodes []*tpprocess.Process
	ready []string
}

func (b *balancer) add(n *tpprocess.Process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append(b.nodes, n)
}

func (b *balancer) readyAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

func (b *balancer) poll() {
	b.mu.Lock()
	nodes := append([]*tpprocess.Process(nil), b.nodes...)
	b.mu.Unlock()
	var ready []string
	for _, n := range nodes {
		resp, err := http.Get("http://" + n.Addresses[1] + "/ready")
		if err != nil {
			continue
		}
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, n.Addresses[0])
		}
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Guards against a planned stop that cuts an answer or loses a request. All
// nodes are replaced one after another under load, and the load balancer
// detects each stop only after a delay.
func TestStreamsAllNodesReplaced(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 3})
	l := newStreamLoad(t, f)
	b := &balancer{}
	for _, n := range f.Nodes {
		b.add(n)
	}
	b.poll()
	l.nodeAddresses = b.readyAddresses
	var stopPolls, stop atomic.Bool
	var polls sync.WaitGroup
	polls.Go(func() {
		for !stopPolls.Load() {
			b.poll()
			time.Sleep(100 * time.Millisecond)
		}
	})
	wg := l.requestUntil(12, 600, &stop)
	l.waitFirstChunks(12)
	for i, old := range f.Nodes {
		replacement := f.StartNode(t, fmt.Sprintf("replacement-%d", i))
		tpprocess.WaitReady(t, replacement)
		b.add(replacement)
		if err := old.Stop(t, 2*tpprocess.StartTimeout); err != nil {
			t.Errorf("planned stop of %s: got %v, want status 0", old.Name, err)
		}
	}
	stop.Store(true)
	wg.Wait()
	stopPolls.Store(true)
	polls.Wait()
	for _, op := range l.ops {
		refused := op.Outcome == tphistory.OutcomeRefused && op.Refusal.NotRun && op.ChunkCount == 0
		if op.Outcome != tphistory.OutcomeOK && !refused {
			t.Errorf("request %s: got %s after %d chunks, want the complete answer, or a refusal as not run", op.RequestID, op.Outcome, op.ChunkCount)
		}
	}
	t.Logf("%d connections while 3 nodes were replaced", len(l.ops))
}

// Guards against a drained or leaving engine that gets new requests later than
// maxLeavingDelay after the signal, or whose streams are cut. The signal comes
// from the configuration, from the engine's report or from the platform's list
// of VMs.
func TestStreamsLeavingEngine(t *testing.T) {
	for name, announceLeaving := range map[string]func(t *testing.T, f *tpprocess.Fleet){
		"configuration": func(t *testing.T, f *tpprocess.Fleet) {
			cfg := f.Config
			cfg.Drains = []string{"engine-0"}
			if _, err := tprollout.Publish(t.Context(), f.Client, &cfg, 1, "test"); err != nil {
				t.Fatal(err)
			}
		},
		"report": func(t *testing.T, f *tpprocess.Fleet) {
			setFaults(t, f.Engines[0], tpenginefake.Faults{Leaving: true})
		},
		// A node reads the list when it starts and reports the leaving mark to
		// its peers.
		"platform's list": func(t *testing.T, f *tpprocess.Fleet) {
			vms := []tpplatform.VM{{Name: "engine-0", Address: f.Engines[0].Addresses[0], RunsTarget: true, Leaving: true}}
			put(t, "http://"+f.Platform.Addresses[0]+"/vms", vms)
			tpprocess.WaitReady(t, f.StartNode(t, "node-late"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 2})
			l := newStreamLoad(t, f)
			var stop atomic.Bool
			wg := l.requestUntil(12, 600, &stop)
			l.waitFirstChunks(12)
			announceLeaving(t, f)
			deadline := time.Now().Add(maxLeavingDelay + leavingSlack)
			// The load continues well beyond the deadline: the other engines
			// get requests after it.
			tpprocess.Eventually(t, "other engines get requests after the deadline", func() bool {
				return requestsAfter(t, f.Engines[1], deadline) >= 10 && requestsAfter(t, f.Engines[2], deadline) >= 10
			})
			stop.Store(true)
			wg.Wait()
			if got := requestsAfter(t, f.Engines[0], deadline); got != 0 {
				t.Errorf("requests sent to the leaving engine after %v: got %d, want 0", maxLeavingDelay+leavingSlack, got)
			}
			for _, op := range l.ops {
				if op.Outcome != tphistory.OutcomeOK {
					t.Errorf("request %s: got %s %+v, want the complete answer over one connection", op.RequestID, op.Outcome, op.Refusal)
				}
			}
		})
	}
}

// requestsAfter returns the number of requests that reached an engine after an
// instant.
func requestsAfter(t *testing.T, engine *tpprocess.Process, after time.Time) int {
	t.Helper()
	n := 0
	for _, run := range engineRuns(t, engine) {
		if run.At.After(after) {
			n++
		}
	}
	return n
}

// Guards against a planned stop that cuts answers: the node stops in the middle
// of streams that last longer than its grace period.
func TestStreamsStopInMidStream(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 2, Nodes: 1})
	l := newStreamLoad(t, f)
	wg := l.requestAll(8, 3200)
	l.waitFirstChunks(8)
	if err := f.Nodes[0].Stop(t, 2*tpprocess.StartTimeout); err != nil {
		t.Errorf("planned stop: got %v, want status 0", err)
	}
	wg.Wait()
	for _, op := range l.ops {
		if op.Outcome != tphistory.OutcomeOK {
			t.Errorf("request %s: got %s %+v, want the complete answer over one connection", op.RequestID, op.Outcome, op.Refusal)
		}
	}
}

// Guards against a new request that a stopping node accepts while it completes
// its streams, and against a refusal without the mark that the request did not
// run.
func TestStreamsDrainingRefusal(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 1, Nodes: 1})
	l := newStreamLoad(t, f)
	wg := l.requestAll(1, 8000)
	l.waitFirstChunks(1)
	stopped := make(chan error, 1)
	go func() { stopped <- f.Nodes[0].Stop(t, 2*tpprocess.StartTimeout) }()
	var refused tphistory.Operation
	tpprocess.Eventually(t, "the node refuses new requests", func() bool {
		refused = l.requestOnce(1, f.Nodes[0].Addresses[0])
		return refused.Outcome == tphistory.OutcomeRefused
	})
	if refused.Refusal.Code != tpmessage.RefusalDraining || !refused.Refusal.NotRun {
		t.Errorf("refusal of a stopping node: got %+v, want draining and not run", refused.Refusal)
	}
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("planned stop: got %v, want status 0", err)
	}
}
