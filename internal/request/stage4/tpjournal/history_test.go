package tpjournal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
	"teaselpin.example/teaselpin/internal/standin/tpservicefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// refusedPause is the time that a caller waits after a refusal.
const refusedPause = 10 * time.Millisecond

// faultyStore refuses calls, loses answers and delays writes at random.
type faultyStore struct {
	tpobject.Store
	mu         sync.Mutex
	rnd        *rand.Rand
	lateWrites sync.WaitGroup
	down       bool
}

func (f *faultyStore) draw(n int) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n), f.down
}

func (f *faultyStore) Get(ctx context.Context, name string) (tpobject.Object, error) {
	if n, down := f.draw(20); down || n == 0 {
		return tpobject.Object{}, tpobject.ErrUnavailable
	}
	return f.Store.Get(ctx, name)
}

func (f *faultyStore) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	n, down := f.draw(20)
	switch {
	case down || n == 0:
		return 0, tpobject.ErrUnavailable
	case n == 1:
		f.lateWrites.Go(func() {
			time.Sleep(time.Duration(version%5) * time.Millisecond)
			_, _ = f.Store.Put(context.Background(), name, value, version)
		})
		return 0, tpobject.ErrOutcomeUnknown
	}
	v, err := f.Store.Put(ctx, name, value, version)
	if err == nil && n < 4 {
		return 0, tpobject.ErrOutcomeUnknown
	}
	return v, err
}

func (f *faultyStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// cluster is a set of entry nodes. The directory may name any of them as the
// holder of a shard.
type cluster[S tpjournal.Scheme] struct {
	servers []*tpjournal.Server[S]
	mu      sync.Mutex
	rnd     *rand.Rand
	service tpservicefake.Service
}

// HolderOf implements tpjournal.Directory. At random, it names the wrong
// holder, as members that disagree would.
func (c *cluster[S]) HolderOf(shard int) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rnd.IntN(20) == 0 {
		shard++
	}
	return fmt.Sprint(shard % len(c.servers)), false
}

// Do implements tpjournal.Peers.
func (c *cluster[S]) Do(ctx context.Context, address string, op tpjournal.Op) (tpjournal.Answer, error) {
	var n int
	if _, err := fmt.Sscan(address, &n); err != nil {
		return tpjournal.Answer{}, err
	}
	return c.servers[n].Do(ctx, op), nil
}

// entry is an entry node without its connections to callers and targets.
type entry struct {
	client  *tpjournal.Client
	mu      sync.Mutex
	claimer *tpjournal.Claimer
	outputs map[string]chan tpjournal.ClaimerOutput // channel of each attempt that waits for its output
}

func (e *entry) step(attempt string, in tpjournal.ClaimerInput) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.claimer.Step(time.Now(), in)
	if out.Claim != nil {
		e.client.Claim(out.Claim.Work)
		return
	}
	e.outputs[attempt] <- out
}

// call makes one call through the entry node. If loseResult is set, the service
// runs the call and its result is lost.
func (e *entry) call(service *tpservicefake.Service, caller int, key string, loseResult bool) tphistory.Operation {
	attempt := uuid.NewString()
	op := tphistory.Operation{Caller: caller, RequestID: uuid.NewString(), Key: key, Invoked: time.Now()}
	w := tpmessage.Work{Attempt: attempt, Ctx: context.Background(), Request: tpmessage.Request{
		ID: op.RequestID, Key: key, Deadline: time.Now().Add(time.Minute),
	}}
	answer := make(chan tpjournal.ClaimerOutput, 1)
	e.mu.Lock()
	e.outputs[attempt] = answer
	e.mu.Unlock()
	e.step(attempt, tpjournal.ClaimerInput{Kind: tpjournal.ClaimerWork, Assignment: tpmessage.Assignment{Work: w}})
	out := <-answer
	switch {
	case out.Send != nil && loseResult:
		service.Call(key, op.RequestID, "")
		op.Outcome = tphistory.OutcomeUnknown
	case out.Send != nil:
		op.Outcome = tphistory.OutcomeOK
		op.Answer = service.Call(key, op.RequestID, "").Result
		settlement, _ := tpjournal.SettlementOf(&w, true, &tpmessage.Chunk{Text: op.Answer, Status: 200, End: true})
		e.client.Settle(settlement)
	case out.Last.Refusal != nil:
		op.Outcome = tphistory.OutcomeRefused
		op.Refusal = tpfront.RefusalBody{Code: out.Last.Refusal.Code, NotRun: out.Last.Refusal.NotRun}
		if out.Release {
			e.client.Settle(tpjournal.ReleaseOf(&w))
		}
	default:
		op.Outcome = tphistory.OutcomeOK
		op.Answer = out.Last.Text
	}
	op.Returned = time.Now()
	return op
}

// recordHistory runs callers that repeat their keys through all entry nodes. It
// returns the callers' operations and the service's runs.
func recordHistory[S tpjournal.Scheme](t *testing.T, seed uint64, newShard func(holder string, shard int) S) ([]tphistory.Operation, []tpservicefake.Run) {
	t.Helper()
	const nodes, callers, keys = 3, 12, 20
	duties, stopDuties := tpduty.NewRunner(tpduty.Settings{})
	defer stopDuties()
	store := &faultyStore{Store: new(tpobject.Memory), rnd: rand.New(rand.NewPCG(seed, 1))}
	defer store.lateWrites.Wait()
	c := &cluster[S]{rnd: rand.New(rand.NewPCG(seed, 2))}
	entries := make([]*entry, nodes)
	for i := range entries {
		holder := tpjournal.NewHolder(func(shard int) S { return newShard(fmt.Sprint(i), shard) })
		server, stop, err := tpjournal.NewServer(tpjournal.ServerSettings{Store: store}, holder, duties, new(tpring.Group))
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
		c.servers = append(c.servers, server)
	}
	for i := range entries {
		e := &entry{claimer: tpjournal.NewClaimer(), outputs: make(map[string]chan tpjournal.ClaimerOutput)}
		client, stop := tpjournal.NewClient(tpjournal.ClientSettings{
			Directory: c, Peers: c, Window: callers, OnAnswer: func(attempt string, a tpjournal.Answer) {
				e.step(attempt, tpjournal.ClaimerInput{Kind: tpjournal.ClaimerAnswer, Attempt: attempt, Answer: a})
			},
		})
		defer stop()
		e.client = client
		entries[i] = e
	}
	names := make([]string, keys)
	for i := range names {
		names[i] = uuid.Must(uuid.NewV7()).String()
	}
	opsByCaller := make([][]tphistory.Operation, callers)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(caller)+10))
			for range 2 * keys {
				e := entries[rnd.IntN(nodes)]
				op := e.call(&c.service, caller, names[rnd.IntN(keys)], rnd.IntN(10) == 0)
				opsByCaller[caller] = append(opsByCaller[caller], op)
				if op.Refusal.NotRun {
					// A refusal takes microseconds. Without a pause, all calls
					// of a run can fall into one outage, as with seed 4.
					time.Sleep(refusedPause)
				}
				if rnd.IntN(4*keys) == 0 {
					store.setDown(true)
					time.Sleep(20 * time.Millisecond)
					store.setDown(false)
				}
			}
		})
	}
	wg.Wait()
	var ops []tphistory.Operation
	for _, callerOps := range opsByCaller {
		ops = append(ops, callerOps...)
	}
	return ops, c.service.Runs()
}

func fastSettings(holder string, shard int) tpjournal.Settings {
	return tpjournal.Settings{Region: "r", Shard: shard, Holder: holder, Interval: time.Millisecond, TailEntries: 4}
}

// Guards against a call that runs twice, that is reported as not run although
// it ran, or that gets the result of another call. Holders compete for their
// shards, answers are lost, writes arrive late, and the store has outages.
func TestHistoryOfGroupedCalls(t *testing.T) {
	for seed := range uint64(5) {
		ops, runs := recordHistory(t, seed, func(h string, shard int) *tpjournal.GroupCommit {
			return tpjournal.NewGroupCommit(fastSettings(h, shard))
		})
		if err := tphistory.CheckCalls(ops, runs); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		answered := 0
		for _, op := range ops {
			if op.Outcome == tphistory.OutcomeOK {
				answered++
			}
		}
		if answered == 0 {
			t.Errorf("seed %d: no call of %d was answered", seed, len(ops))
		}
	}
}

// Guards against a baseline scheme that runs a key twice or returns a wrong
// result, and so is no valid baseline.
func TestHistoryOfPerCall(t *testing.T) {
	ops, runs := recordHistory(t, 1, func(h string, shard int) *tpjournal.PerCall {
		return tpjournal.NewPerCall(fastSettings(h, shard))
	})
	if err := tphistory.CheckCalls(ops, runs); err != nil {
		t.Fatal(err)
	}
}

// Guards against a history check that accepts any history: it must reject that
// of retries without a journal.
func TestCheckCatchesUnrecordedCalls(t *testing.T) {
	ops, runs := recordHistory(t, 1, func(string, int) tpjournal.NoJournal { return tpjournal.NoJournal{} })
	if err := tphistory.CheckCalls(ops, runs); err == nil {
		t.Errorf("check of %d calls and %d runs without a journal: got no error", len(ops), len(runs))
	}
}
