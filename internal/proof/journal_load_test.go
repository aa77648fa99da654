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
	// callTimeout is the time after which a caller abandons a call.
	callTimeout = 4 * time.Second
)

// bookingLoad makes booking calls through all nodes, with new keys and with
// keys of earlier calls, and records the outcomes.
type bookingLoad struct {
	fleet     *tpprocess.Fleet
	seed      uint64
	completed atomic.Int64 // calls that have returned
	timeout   time.Duration

	mu   sync.Mutex
	keys []string
	ops  []tphistory.Operation
}

func newBookingLoad(f *tpprocess.Fleet, seed uint64) *bookingLoad {
	return &bookingLoad{fleet: f, seed: seed, timeout: callTimeout}
}

// pickKey returns a random key of l.keys. It first adds a new key, with a
// probability of 1/3 or if there is none yet.
func (l *bookingLoad) pickKey(rnd *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keys) == 0 || rnd.IntN(3) == 0 {
		l.keys = append(l.keys, uuid.Must(uuid.NewV7()).String())
	}
	return l.keys[rnd.IntN(len(l.keys))]
}

// call makes one booking call and records its outcome as its caller observed
// it. Every call with the same key has the same body.
func (l *bookingLoad) call(ctx context.Context, c *tphistory.Caller, node *tpprocess.Process, key string) tphistory.Operation {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	op := c.Call(ctx, node.Addresses[0], bookingPath, key, "slot of "+key)
	l.completed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
	return op
}

// run makes calls from concurrent callers until all steps have run. Each step
// begins after callsPerStep further calls have returned, and run ends after
// that number of calls after the last step.
func (l *bookingLoad) run(t *testing.T, callers int, callsPerStep int64, steps ...func()) {
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
				l.call(t.Context(), c, node, l.pickKey(rnd))
			}
		})
	}
	for _, step := range append(steps, func() {}) {
		wantCompleted := l.completed.Load() + callsPerStep
		tpprocess.Eventually(t, "the calls before the next step have returned", func() bool { return l.completed.Load() >= wantCompleted })
		step()
	}
	close(stop)
	wg.Wait()
}

// waitAllShards waits until a new call of each shard succeeds through the node:
// then each shard of a lost holder has a new holder.
func (l *bookingLoad) waitAllShards(t *testing.T, node *tpprocess.Process) {
	t.Helper()
	c := tphistory.NewCaller(100, tpprocess.Token)
	covered := make(map[int]bool)
	tpprocess.Eventually(t, "a new call of each shard succeeds through "+node.Name, func() bool {
		key := uuid.Must(uuid.NewV7()).String()
		if shard := tpjournal.ShardOf(key); !covered[shard] {
			covered[shard] = l.call(t.Context(), c, node, key).Outcome == tphistory.OutcomeOK
		}
		for shard := range tpjournal.Shards {
			if !covered[shard] {
				return false
			}
		}
		return true
	})
}

// check stops the nodes that still run and checks the recorded outcomes against
// the runs that the service recorded.
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
	outcomes := make(map[string]int)
	for _, op := range ops {
		outcomes[string(op.Outcome)+" "+string(op.Refusal.Code)]++
	}
	t.Logf("seed %d: %d calls, %d runs, %v", l.seed, len(ops), len(runs), outcomes)
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
