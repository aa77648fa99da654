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

// Guards against a second order after the platform's answer to a write was
// lost, and against a holder that goes on sending orders while the platform is
// down for longer than the lease term.
func TestOrdersLostAnswersAndOutage(t *testing.T) {
	for _, kind := range engineKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := startOrderFleet(t, kind, 2, 2)
			waitHolder(t, f, nil)
			for _, role := range []tpmessage.Role{tpmessage.RolePrefill, tpmessage.RoleDecode} {
				publishRole(t, f, role)
				for range 5 {
					setPlatformFaults(tpplatformfake.Faults{LoseWriteAnswers: 2})(t, f)
					time.Sleep(100 * time.Millisecond)
				}
				setPlatformFaults(tpplatformfake.Faults{Down: true})(t, f)
				time.Sleep(1500 * time.Millisecond) // longer than the lease term
				setPlatformFaults(tpplatformfake.Faults{})(t, f)
				for _, e := range f.Engines {
					waitRole(t, e, role)
				}
			}
			verifyOrders(t, f)
		})
	}
}

// Guards against conflicting orders when the holder is paused repeatedly, each
// time at a random instant, while three nodes compete for the lease.
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
				publishRole(t, f, roles[round%len(roles)])
				time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
				holder.Pause(t)
				time.Sleep(time.Duration(1000+rng.IntN(1000)) * time.Millisecond)
				holder.Resume(t)
			}
			publishRole(t, f, tpmessage.RolePrefill)
			for _, e := range f.Engines {
				waitRole(t, e, tpmessage.RolePrefill)
				waitOrdersEnded(t, e)
			}
			verifyOrders(t, f)
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
}

// Guards against a role change that cuts a caller's stream, and against a
// request that fails because a node routes it to an engine during its role
// change.
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
				if op.Outcome != tphistory.OutcomeOK {
					t.Errorf("caller %d: got %s %+v, want ok", i, op.Outcome, op.Refusal)
				}
			}
		})
	}
	for _, role := range []tpmessage.Role{tpmessage.RolePrefill, tpmessage.RoleDecode} {
		publishRole(t, f, role)
		for _, e := range f.Engines {
			waitRole(t, e, role)
		}
	}
	close(stop)
	wg.Wait()
	verifyOrders(t, f)
	for _, e := range f.Engines {
		for _, event := range engineLog(t, e) {
			if event.CutStreams > 0 {
				t.Errorf("%s: order %d cut %d streams, want none", e.Name, event.Order.Number, event.CutStreams)
			}
		}
	}
}

// objectCalls returns the number of reads, writes, deletions and listings of
// objects that the platform has received.
func objectCalls(b *testing.B, f *tpprocess.Fleet) float64 {
	b.Helper()
	var c tpplatformfake.Counts
	if err := getJSON(f.Platform.Addresses[0]+"/counts", &c); err != nil {
		b.Fatal(err)
	}
	return float64(c.Get + c.Put + c.Delete + c.List)
}

// BenchmarkTakeover measures, with the default lease times, the platform calls
// while a node holds the lease, and the duration and the platform calls of the
// takeover after the holder is killed. The calls include the nodes' reads of
// the configuration head, but neither watches nor reads of the VM list.
func BenchmarkTakeover(b *testing.B) {
	var callsPerSecond, callsPerTakeover, takeoverSeconds float64
	for range b.N {
		f := tpprocess.StartFleet(b, tpprocess.FleetSettings{
			Engines: 1, Nodes: 2,
			EngineArgs: []string{"--model", "counsel", "--model-version", "1", "--checks-fencing"},
			Configure: func(cfg *tpmessage.Config) {
				cfg.EngineTypes = []tpmessage.EngineType{engineKinds[0].typ}
				cfg.Pools[0].EngineType = engineKinds[0].typ.Name
			},
		})
		const holdTime = 10 * time.Second
		holder := waitHolder(b, f, nil)
		before := objectCalls(b, f)
		time.Sleep(holdTime)
		callsPerSecond += (objectCalls(b, f) - before) / holdTime.Seconds()

		name := tplease.ObjectName("nord-ovest", "language")
		leaseBefore, err := tplease.Read(b.Context(), f.Client, name)
		if err != nil {
			b.Fatal(err)
		}
		holder.Kill()
		killedAt := time.Now()
		before = objectCalls(b, f)
		reads := 0.0
		tpprocess.Eventually(b, "another node holds the lease", func() bool {
			reads++
			leaseNow, err := tplease.Read(b.Context(), f.Client, name)
			return err == nil && leaseNow.Lease.Fencing > leaseBefore.Lease.Fencing
		})
		takeoverSeconds += time.Since(killedAt).Seconds()
		callsPerTakeover += objectCalls(b, f) - before - reads
	}
	b.ReportMetric(callsPerSecond/float64(b.N), "calls/s-held")
	b.ReportMetric(takeoverSeconds/float64(b.N), "s/takeover")
	b.ReportMetric(callsPerTakeover/float64(b.N), "calls/takeover")
}
