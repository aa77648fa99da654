package tpnode_test

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/node/tpnode"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/request/stage1/tpintake"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/internal/standin/tpservicefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// bookings is a booking service, a platform and the nodes that use both.
type bookings struct {
	service  *tpservicefake.Service
	platform *tpplatformfake.Platform
	nodes    []*tpnode.Node
	stops    []func()
}

func startBookings(t *testing.T, nodes int, queryable bool) *bookings {
	t.Helper()
	service := &tpservicefake.Service{Name: "service-0"}
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	targets := []tpmessage.Target{{Name: "service-0", Address: server.Listener.Addr().String()}}
	b := startBookingNodes(t, nodes, queryable, targets)
	b.service = service
	return b
}

// startBookingNodes starts nodes before services that the caller has started.
func startBookingNodes(t *testing.T, nodes int, queryable bool, targets []tpmessage.Target) *bookings {
	t.Helper()
	b := &bookings{platform: &tpplatformfake.Platform{WatchTimeout: time.Second}}
	platform := httptest.NewServer(b.platform.Handler())
	t.Cleanup(platform.Close)
	var seeds []string
	for i := range nodes {
		n, stop, err := tpnode.New(tpnode.Settings{
			Name: fmt.Sprintf("node-%d", i), Region: "nord-ovest", Platform: platform.URL,
			CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", Seeds: seeds, StopGrace: time.Millisecond,
		}, tpnode.Deps{})
		if err != nil {
			t.Fatal(err)
		}
		stop = sync.OnceFunc(stop)
		t.Cleanup(stop)
		b.nodes = append(b.nodes, n)
		seeds = append(seeds, n.PeerAddress())
		b.stops = append(b.stops, stop)
		n.Apply(&tpmessage.Snapshot{Generation: 1, Config: tpmessage.Config{
			Pools:         []tpmessage.Pool{{Name: "booking", Kind: tpmessage.PoolService, Targets: targets, ReportsKeyOutcome: queryable}},
			Routes:        []tpmessage.Route{{Path: "/v1/booking", Pool: "booking"}},
			Organisations: []tpmessage.Organisation{{Name: "bergamo", Share: 1, TokenHash: tpintake.TokenHash("secret")}},
		}})
	}
	for _, n := range b.nodes {
		tpprocess.Eventually(t, "all nodes are members", func() bool { return len(n.Members()) == nodes })
	}
	return b
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (b *bookings) call(t *testing.T, node int, key, body string) tphistory.Operation {
	t.Helper()
	return tphistory.NewCaller(0, "secret").Call(t.Context(), b.nodes[node].CallerAddress(), "/v1/booking", key, body)
}

// Guards against a repeated call that runs again because it arrives through
// another node, and against a result that does not reach the shard's holder.
func TestBookingThroughSeveralNodes(t *testing.T) {
	b := startBookings(t, 3, false)
	key := newKey()
	first := b.call(t, 0, key, "slot 9:00")
	if first.Outcome != tphistory.OutcomeOK {
		t.Fatalf("first call: got %+v, want ok", first)
	}
	for node := range b.nodes {
		repeat := func() bool {
			op := b.call(t, node, key, "slot 9:00")
			return op.Outcome == tphistory.OutcomeOK && op.Answer == first.Answer
		}
		tpprocess.Eventually(t, fmt.Sprintf("node %d answers from the record", node), repeat)
	}
	if op := b.call(t, 1, key, "slot 10:00"); op.Refusal.Code != tpmessage.RefusalBadRequest {
		t.Errorf("another call under the key: got %+v, want badRequest", op)
	}
	if got := len(b.service.Runs()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// Guards against a group commit that loses, mixes up or repeats calls when many
// calls share it, for shards of the entry node and of its peers.
func TestManyBookings(t *testing.T) {
	b := startBookings(t, 3, false)
	const calls = 200
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			if op := b.call(t, i%3, newKey(), fmt.Sprint(i)); op.Outcome != tphistory.OutcomeOK {
				t.Errorf("call %d: got %+v, want ok", i, op)
			}
		})
	}
	wg.Wait()
	if got := len(b.service.Runs()); got != calls {
		t.Errorf("runs: got %d, want %d", got, calls)
	}
	if got := b.platform.Counts().Put; got > calls {
		t.Errorf("platform writes for %d concurrent calls: got %d, want fewer than one for each", calls, got)
	}
}

// Guards against a call that is sent although its claim could not be recorded,
// and against a refusal that says notRun of a call that ran.
func TestPlatformOutageRefusesBookings(t *testing.T) {
	b := startBookings(t, 1, false)
	b.platform.SetFaults(tpplatformfake.Faults{Down: true})
	key := newKey()
	op := b.call(t, 0, key, "slot")
	if op.Refusal.Code != tpmessage.RefusalNotRun || !op.Refusal.NotRun {
		t.Errorf("call in an outage: got %+v, want notRun", op)
	}
	if got := len(b.service.Runs()); got != 0 {
		t.Errorf("runs in an outage: got %d, want 0", got)
	}
	b.platform.SetFaults(tpplatformfake.Faults{})
	tpprocess.Eventually(t, "the key runs after the outage", func() bool {
		return b.call(t, 0, key, "slot").Outcome == tphistory.OutcomeOK
	})
	if got := len(b.service.Runs()); got != 1 {
		t.Errorf("runs after the outage: got %d, want 1", got)
	}
}

// Guards against a planned stop that loses the result of a booking.
func TestStopSettlesBookings(t *testing.T) {
	b := startBookings(t, 2, false)
	key := newKey()
	first := b.call(t, 0, key, "slot")
	b.stops[0]()
	if op := b.call(t, 1, key, "slot"); op.Outcome != tphistory.OutcomeOK || op.Answer != first.Answer {
		t.Errorf("repeat after the stop: got %+v, want %q", op, first.Answer)
	}
}

// Guards against a lost answer that is not recovered although the service can
// be queried for the result of a key, and against a second run when it cannot.
func TestLostAnswerOfTheService(t *testing.T) {
	for _, queryable := range []bool{false, true} {
		b := startBookings(t, 1, queryable)
		b.service.SetFaults(tpservicefake.Faults{LoseAnswers: 1})
		key := newKey()
		if op := b.call(t, 0, key, "slot"); op.Refusal.Code != tpmessage.RefusalUnknown || op.Refusal.NotRun {
			t.Errorf("lost answer: got %+v, want unknown", op)
		}
		op := b.call(t, 0, key, "slot")
		if queryable && (op.Outcome != tphistory.OutcomeOK || op.Answer != b.service.Runs()[0].Result) {
			t.Errorf("repeat with a service that can be queried: got %+v, want its result", op)
		}
		if !queryable && op.Refusal.Code != tpmessage.RefusalUnknown {
			t.Errorf("repeat: got %+v, want unknown", op)
		}
		if got := len(b.service.Runs()); got != 1 {
			t.Errorf("runs: got %d, want 1", got)
		}
	}
}
