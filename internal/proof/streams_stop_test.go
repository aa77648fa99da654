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
	// leavingBound is the promised time from a signal to the last new work.
	leavingBound = 3 * time.Second
	// leavingSlack covers the time from the signal in the test to its arrival
	// at a node, on a busy machine.
	leavingSlack = 3 * time.Second
)

// keepAsking lets callers ask for one answer after another until stop is set.
func (l *load) keepAsking(callers, tokens int, stop *atomic.Bool) *sync.WaitGroup {
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				l.askWhole(caller, fmt.Sprintf("question %d of caller %d", n, caller), tokens)
			}
		})
	}
	return &wg
}

// balancer offers the nodes that answered ready when it last asked, like the
// platform's load balancer, which lags behind.
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

func (b *balancer) offered() []string {
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

// Guards against a planned stop that cuts an answer or loses a request: all
// nodes are replaced one after another under load.
func TestStreamsAllNodesReplaced(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 3})
	l := newLoad(t, f)
	b := &balancer{}
	for _, n := range f.Nodes {
		b.add(n)
	}
	b.poll()
	l.nodes = b.offered
	var stopPolls, stop atomic.Bool
	var polls sync.WaitGroup
	polls.Go(func() {
		for !stopPolls.Load() {
			b.poll()
			time.Sleep(100 * time.Millisecond)
		}
	})
	wg := l.keepAsking(12, 600, &stop)
	l.midStream(12)
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
		refused := op.Outcome == tphistory.Refused && op.Refusal.NotRun && op.Chunks == 0
		if op.Outcome != tphistory.OK && !refused {
			t.Errorf("request %s: got %s after %d chunks, want a whole answer or a refusal", op.RequestID, op.Outcome, op.Chunks)
		}
	}
	t.Logf("%d connections while 3 nodes were replaced", len(l.ops))
}

// Guards against a drained or leaving engine that gets new work later than
// promised, or whose streams are cut.
func TestStreamsLeavingEngine(t *testing.T) {
	for name, signal := range map[string]func(t *testing.T, f *tpprocess.Fleet){
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
		// A node that starts reads the list at once, and tells the others.
		"platform's list": func(t *testing.T, f *tpprocess.Fleet) {
			vms := []tpplatform.VM{{Name: "engine-0", Address: f.Engines[0].Addresses[0], Target: true, Leaving: true}}
			put(t, "http://"+f.Platform.Addresses[0]+"/vms", vms)
			tpprocess.WaitReady(t, f.StartNode(t, "node-late"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 2})
			l := newLoad(t, f)
			var stop atomic.Bool
			wg := l.keepAsking(12, 600, &stop)
			l.midStream(12)
			signal(t, f)
			limit := time.Now().Add(leavingBound + leavingSlack)
			// The load goes on well beyond the bound, as the other engines show.
			tpprocess.Eventually(t, "other engines get work after the bound", func() bool {
				return workAfter(t, f.Engines[1], limit) >= 10 && workAfter(t, f.Engines[2], limit) >= 10
			})
			stop.Store(true)
			wg.Wait()
			if got := workAfter(t, f.Engines[0], limit); got != 0 {
				t.Errorf("work sent to the leaving engine after %v: got %d requests, want 0", leavingBound+leavingSlack, got)
			}
			for _, op := range l.ops {
				if op.Outcome != tphistory.OK {
					t.Errorf("request %s: got %s %+v, want its whole answer at once", op.RequestID, op.Outcome, op.Refusal)
				}
			}
		})
	}
}

// workAfter counts the requests that reached an engine after an instant.
func workAfter(t *testing.T, engine *tpprocess.Process, after time.Time) int {
	t.Helper()
	n := 0
	for _, run := range runsOf(t, engine) {
		if run.At.After(after) {
			n++
		}
	}
	return n
}

// Guards against a planned stop that takes new requests or cuts old ones: the
// stop falls into the middle of streams that outlast its grace period.
func TestStreamsStopInMidStream(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 2, Nodes: 1})
	l := newLoad(t, f)
	wg := l.askAll(8, 3200)
	l.midStream(8)
	if err := f.Nodes[0].Stop(t, 2*tpprocess.StartTimeout); err != nil {
		t.Errorf("planned stop: got %v, want status 0", err)
	}
	wg.Wait()
	for _, op := range l.ops {
		if op.Outcome != tphistory.OK {
			t.Errorf("request %s: got %s %+v, want its whole answer at once", op.RequestID, op.Outcome, op.Refusal)
		}
	}
}

// Guards against a request that a node accepts while it finishes its streams,
// and against a refusal that does not say that nothing ran.
func TestStreamsDrainingRefusal(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 1, Nodes: 1})
	l := newLoad(t, f)
	wg := l.askAll(1, 8000)
	l.midStream(1)
	stopped := make(chan error, 1)
	go func() { stopped <- f.Nodes[0].Stop(t, 2*tpprocess.StartTimeout) }()
	var refused tphistory.Operation
	tpprocess.Eventually(t, "the node refuses new requests", func() bool {
		refused = l.askOnce(1, f.Nodes[0].Addresses[0])
		return refused.Outcome == tphistory.Refused
	})
	if refused.Refusal.Code != tpmessage.RefusalDraining || !refused.Refusal.NotRun {
		t.Errorf("refusal of a stopping node: got %+v, want draining and not run", refused.Refusal)
	}
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("planned stop: got %v, want status 0", err)
	}
}
