package proof_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against two orders that come from one lost answer of the platform,
// and against a holder that acts on through an outage.
func TestOrdersLostAnswersAndOutage(t *testing.T) {
	for _, kind := range engineKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := startOrderFleet(t, kind, 2, 2)
			waitHolder(t, f, nil)
			for _, role := range []tpmessage.Role{tpmessage.RolePrefill, tpmessage.RoleDecode} {
				wantRole(t, f, role)
				for range 5 {
					setPlatform(tpplatformfake.Faults{LoseWrites: 2})(t, f)
					time.Sleep(100 * time.Millisecond)
				}
				setPlatform(tpplatformfake.Faults{Down: true})(t, f)
				time.Sleep(1500 * time.Millisecond) // longer than the term
				setPlatform(tpplatformfake.Faults{})(t, f)
				for _, e := range f.Engines {
					waitRole(t, e, role)
				}
			}
			verifyOrders(t, f)
		})
	}
}

// Guards against conflicting orders when the holder is paused at any instant,
// again and again, while three nodes race for the lease.
func TestOrdersRandomPauses(t *testing.T) {
	const seed = 20261204
	roles := []tpmessage.Role{tpmessage.RolePrefill, tpmessage.RoleDecode, tpmessage.RoleMixed}
	for _, kind := range engineKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 1))
			f := startOrderFleet(t, kind, 2, 3)
			for round := range 8 {
				holder := waitHolder(t, f, nil)
				wantRole(t, f, roles[round%len(roles)])
				time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
				holder.Pause(t)
				time.Sleep(time.Duration(1000+rng.IntN(1000)) * time.Millisecond)
				holder.Resume(t)
			}
			wantRole(t, f, tpmessage.RolePrefill)
			for _, e := range f.Engines {
				waitRole(t, e, tpmessage.RolePrefill)
				waitEnded(t, e)
			}
			verifyOrders(t, f)
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
}

// Guards against a role change that cuts a caller's stream, or that routes new
// work to an engine that is away.
func TestOrdersKeepStreams(t *testing.T) {
	f := startOrderFleet(t, engineKinds[0], 3, 2)
	waitHolder(t, f, nil)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			c := tphistory.NewCaller(i, tpprocess.Token)
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := uuid.Must(uuid.NewV7()).String()
				body := tpfront.LanguageBody{Prompt: "draft the season", MaxTokens: 100, Seed: 3}
				op := c.Stream(t.Context(), f.Nodes[i%2].Addresses[0], "/v1/language", id, body, -1)
				if op.Outcome != tphistory.OK {
					t.Errorf("caller %d: got %s %+v, want ok", i, op.Outcome, op.Refusal)
				}
			}
		})
	}
	for _, role := range []tpmessage.Role{tpmessage.RolePrefill, tpmessage.RoleDecode} {
		wantRole(t, f, role)
		for _, e := range f.Engines {
			waitRole(t, e, role)
		}
	}
	close(stop)
	wg.Wait()
	verifyOrders(t, f)
	for _, e := range f.Engines {
		for _, event := range engineLog(t, e) {
			if event.Cut > 0 {
				t.Errorf("%s: order %d cut %d streams, want none", e.Name, event.Order.Number, event.Cut)
			}
		}
	}
}

// orderPlatformCalls returns the number of platform calls so far.
func orderPlatformCalls(b *testing.B, f *tpprocess.Fleet) float64 {
	b.Helper()
	var c tpplatformfake.Counts
	if err := getJSON(f.Platform.Addresses[0]+"/counts", &c); err != nil {
		b.Fatal(err)
	}
	return float64(c.Get + c.Put + c.Delete + c.List)
}

// BenchmarkTakeover measures, with the default times of a lease, the platform
// calls of a held lease and the takeover after the holder was killed. Reads of
// the head and of the VM list by the nodes are part of the calls.
func BenchmarkTakeover(b *testing.B) {
	var perSecond, perTakeover, takeover float64
	for range b.N {
		f := tpprocess.StartFleet(b, tpprocess.FleetSettings{
			Engines: 1, Nodes: 2,
			EngineArgs: []string{"--model", "counsel", "--model-version", "1", "--checks-fencing"},
			Configure: func(cfg *tpmessage.Config) {
				cfg.EngineTypes = []tpmessage.EngineType{engineKinds[0].typ}
				cfg.Pools[0].EngineType = engineKinds[0].typ.Name
			},
		})
		const held = 10 * time.Second
		holder := waitHolder(b, f, nil)
		before := orderPlatformCalls(b, f)
		time.Sleep(held)
		perSecond += (orderPlatformCalls(b, f) - before) / held.Seconds()

		name := tplease.ObjectName("nord-ovest", "language")
		seen, err := tplease.Read(b.Context(), f.Client, name)
		if err != nil {
			b.Fatal(err)
		}
		holder.Kill()
		killed := time.Now()
		before = orderPlatformCalls(b, f)
		reads := 0.0
		tpprocess.Eventually(b, "another node holds the lease", func() bool {
			reads++
			now, err := tplease.Read(b.Context(), f.Client, name)
			return err == nil && now.Lease.Fencing > seen.Lease.Fencing
		})
		takeover += time.Since(killed).Seconds()
		perTakeover += orderPlatformCalls(b, f) - before - reads
	}
	b.ReportMetric(perSecond/float64(b.N), "calls/s-held")
	b.ReportMetric(takeover/float64(b.N), "s/takeover")
	b.ReportMetric(perTakeover/float64(b.N), "calls/takeover")
}
