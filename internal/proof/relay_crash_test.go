package proof_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

const (
	deadlyPart = "dead"
	// crashWindow is the time after a crash from which the limits on requests
	// that crash servers apply. The users call it stable_window_ms.
	crashWindow = 3 * time.Second
	// crashesBeforeLimit is the number of crashes after which a part that
	// crashes servers must be known.
	crashesBeforeLimit = 5
	maxLateDeadly      = 3
)

// newCrashFleet returns relay nodes and engines that crash at a prompt with
// deadlyPart, when they begin an answer or in the middle of it. If dark is set, a
// crash closes none of their connections.
func newCrashFleet(t *testing.T, nodes int, dark, inAnswer bool) *relayFleet {
	t.Helper()
	f := &relayFleet{}
	f.address = tpguestfake.Listen(t, &f.store)
	for i, stage := range []string{"prefill", "decode", "decode", "decode", "decode", "decode"} {
		server := &tpguestfake.Server{
			ID: fmt.Sprint("s", i), Stage: stage, EventsPerStream: 8, EventInterval: 10 * time.Millisecond, CrashPart: deadlyPart,
			CrashDark: dark, CrashInAnswer: inAnswer,
		}
		address := tpprocess.FreeAddress(t)
		register := func(born int64) {
			f.store.Set("servers", server.ID, map[string]any{
				"service": "llm", "address": address, "zone": "z", "slots": 64, "state": "ready", "version": "v1", "cold_left_ms": 0, "sequence": 1, "stage": stage, "born": born,
			})
		}
		tpguestfake.ListenRestarting(t, server, address, 1500*time.Millisecond, register)
		register(1)
		f.servers = append(f.servers, server)
	}
	f.configure(1)
	peers := make([]string, nodes)
	for i := range peers {
		peers[i] = tpprocess.FreeAddress(t)
	}
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(t, i, peers, f.address))
	}
	return f
}

// promptCall is one request and the time at which it was sent.
type promptCall struct {
	relayCall
	sentAt time.Time
	deadly bool
}

// Guards against a part of a prompt that crashes one server after the other.
func TestDeadlyPartStopsCrashing(t *testing.T) {
	testDeadlyPart(t, newCrashFleet(t, 3, false, false), 10, 9*time.Second)
}

// Guards against a part of a prompt that crashes one server after the other without a reset.
func TestDeadlyPartStopsSilentCrashes(t *testing.T) {
	testDeadlyPart(t, newCrashFleet(t, 3, true, false), 25, 16*time.Second)
}

// Guards against a part of a prompt that crashes one server after the other in the middle of its answer.
func TestDeadlyPartStopsCrashesInAnswers(t *testing.T) {
	testDeadlyPart(t, newCrashFleet(t, 3, false, true), 25, 16*time.Second)
}

// testDeadlyPart sends requests every 20 ms, of which one in deadlyRatio is
// deadly.
func testDeadlyPart(t *testing.T, f *relayFleet, deadlyRatio int, duration time.Duration) {
	t.Helper()
	for _, n := range f.nodes {
		tpprocess.Eventually(t, "the nodes are ready", n.isReady)
	}
	rng := rand.New(rand.NewPCG(20261205, 1))
	var mu sync.Mutex
	var calls []promptCall
	var wg sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < duration; i++ {
		time.Sleep(20 * time.Millisecond) // pace of the clients
		// The first second shows how sound requests are usually served.
		c := promptCall{sentAt: time.Now(), deadly: i%deadlyRatio == deadlyRatio-1 && time.Since(begin) > time.Second}
		node := rng.IntN(len(f.nodes))
		parts := fmt.Sprintf("first:400,caller%d:100,", rng.IntN(5))
		if c.deadly {
			parts += deadlyPart + ":100,"
		}
		header := map[string]string{"X-Teaselpin-Token-Counts": "700,80", "X-Teaselpin-Prefix-Hash": fmt.Sprintf("%sown%d:100", parts, i)}
		wg.Go(func() {
			c.relayCall = f.nodes[node].callWith(fmt.Sprint("draft-", i), "draft", node, header)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	}
	wg.Wait()
	checkCrashes(t, f, calls, begin)
}

// checkCrashes checks the crashes and the requests that reached the servers,
// and the answers of the clients.
func checkCrashes(t *testing.T, f *relayFleet, calls []promptCall, begin time.Time) {
	t.Helper()
	var crashes []time.Time
	var deadlyAt []time.Time
	for _, server := range f.servers {
		crashes = append(crashes, server.Crashes()...)
		for _, a := range server.Arrivals() {
			if strings.Contains(a.Header.Get("X-Teaselpin-Prefix-Hash"), deadlyPart) {
				deadlyAt = append(deadlyAt, a.At)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < 3 {
		t.Fatalf("crashes: got %d, want at least 3, or the test shows nothing", len(crashes))
	}
	known := crashes[min(len(crashes), crashesBeforeLimit)-1]
	late := 0
	for _, at := range deadlyAt {
		if at.After(known.Add(crashWindow)) {
			late++
		}
	}
	usual, after := servedShare(calls, begin, crashes[0]), servedShare(calls, known.Add(2*crashWindow), begin.Add(time.Hour))
	t.Logf("%d crashes, the counted one after %v; %d deadly arrivals, %d of them late; sound requests served: %.2f before, %.2f after",
		len(crashes), known.Sub(begin).Round(time.Millisecond), len(deadlyAt), late, usual, after)
	if late > maxLateDeadly {
		t.Errorf("deadly requests that reached servers later than %v after crash %d: got %d, want at most %d",
			crashWindow, crashesBeforeLimit, late, maxLateDeadly)
	}
	if !(after >= usual/2) {
		t.Errorf("sound requests served from %v after: got %.2f, want at least half of %.2f", 2*crashWindow, after, usual)
	}
	for _, c := range calls {
		if c.status == http.StatusOK && c.err == nil && (c.deadly || !c.complete()) {
			t.Errorf("answer to %s (deadly %v): got %q", c.id, c.deadly, c.body)
		}
	}
}

// servedShare returns the share of the sound requests sent in an interval that
// got a complete answer.
func servedShare(calls []promptCall, from, to time.Time) float64 {
	sent, served := 0, 0
	for _, c := range calls {
		if c.deadly || c.sentAt.Before(from) || c.sentAt.After(to) {
			continue
		}
		sent++
		if c.status == http.StatusOK && c.err == nil {
			served++
		}
	}
	return float64(served) / float64(sent)
}
