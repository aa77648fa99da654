package proof_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
	"teaselpin.example/teaselpin/internal/standin/tpservicefake"
)

const (
	bookingPath = "/v1/booking"
	// callPatience is the time after which a caller gives up on a node.
	callPatience = 4 * time.Second
)

// bookingLoad is callers that book slots through all nodes and repeat keys.
type bookingLoad struct {
	fleet   *tpprocess.Fleet
	seed    uint64
	calls   atomic.Int64 // ended
	patient time.Duration

	mu   sync.Mutex
	keys []string
	ops  []tphistory.Operation
}

func newBookingLoad(f *tpprocess.Fleet, seed uint64) *bookingLoad {
	return &bookingLoad{fleet: f, seed: seed, patient: callPatience}
}

// key returns a new key or one that was used before.
func (l *bookingLoad) key(rnd *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keys) == 0 || rnd.IntN(3) == 0 {
		l.keys = append(l.keys, uuid.Must(uuid.NewV7()).String())
	}
	return l.keys[rnd.IntN(len(l.keys))]
}

// call books once and records what the caller saw. The body is the same for
// every call with the key.
func (l *bookingLoad) call(ctx context.Context, c *tphistory.Caller, node *tpprocess.Process, key string) tphistory.Operation {
	ctx, cancel := context.WithTimeout(ctx, l.patient)
	defer cancel()
	op := c.Call(ctx, node.Addresses[0], bookingPath, key, "slot of "+key)
	l.calls.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
	return op
}

// run lets the callers make calls until each step has happened. Each step
// begins after a further number of calls has ended.
func (l *bookingLoad) run(t *testing.T, callers int, perStep int64, steps ...func()) {
	t.Helper()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := tphistory.NewCaller(i, tpprocess.Token)
			rnd := rand.New(rand.NewPCG(l.seed, uint64(i)))
			for {
				select {
				case <-stop:
					return
				default:
				}
				node := l.fleet.Nodes[rnd.IntN(len(l.fleet.Nodes))]
				l.call(t.Context(), c, node, l.key(rnd))
			}
		})
	}
	for _, step := range append(steps, func() {}) {
		until := l.calls.Load() + perStep
		tpprocess.Eventually(t, "the callers made their calls", func() bool { return l.calls.Load() >= until })
		step()
	}
	close(stop)
	wg.Wait()
}

// runsEverywhere waits until a new call of each shard runs through the node,
// so that every shard of a lost holder was taken over.
func (l *bookingLoad) runsEverywhere(t *testing.T, node *tpprocess.Process) {
	t.Helper()
	c := tphistory.NewCaller(100, tpprocess.Token)
	seen := make(map[int]bool)
	tpprocess.Eventually(t, "a new call of each shard runs through "+node.Name, func() bool {
		key := uuid.Must(uuid.NewV7()).String()
		if shard := tpjournal.ShardOf(key); !seen[shard] {
			seen[shard] = l.call(t.Context(), c, node, key).Outcome == tphistory.OK
		}
		for shard := range tpjournal.Shards {
			if !seen[shard] {
				return false
			}
		}
		return true
	})
}

// check stops the nodes that run and checks the recorded history against what
// the service ran.
func (l *bookingLoad) check(t *testing.T) {
	t.Helper()
	for _, n := range l.fleet.Nodes {
		select {
		case <-n.Done():
		default:
			if err := n.Stop(t, tpprocess.StartTimeout); err != nil {
				t.Errorf("planned stop of %s: got %v, want status 0", n.Name, err)
			}
		}
	}
	runs := serviceRuns(t, l.fleet.Services[0])
	l.mu.Lock()
	ops := slices.Clone(l.ops)
	l.mu.Unlock()
	count := make(map[string]int)
	for _, op := range ops {
		count[string(op.Outcome)+" "+string(op.Refusal.Code)]++
	}
	t.Logf("seed %d: %d calls, %d runs, %v", l.seed, len(ops), len(runs), count)
	if err := tphistory.CheckCalls(ops, runs); err != nil {
		t.Errorf("seed %d: %v", l.seed, err)
	}
	if len(runs) == 0 {
		t.Error("no call ran")
	}
}

func serviceRuns(t *testing.T, service *tpprocess.Process) []tpservicefake.Run {
	t.Helper()
	resp, err := http.Get("http://" + service.Addresses[0] + "/runs")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var runs []tpservicefake.Run
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		t.Fatal(err)
	}
	return runs
}
