package tporder_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, tpseed.Default)) }

// runsPerCheck is the number of seeds that follow a drawn one.
const runsPerCheck = 10

var engineTypes = map[string]tpmessage.EngineType{
	"checksFencing":  {Name: "kind", ChecksFencing: true},
	"ignoresFencing": {Name: "kind", OrderReadTimeout: 3 * time.Second},
}

// Guards against conflicting orders and orders of a former holder that take
// effect. The runs interleave process pauses, lost and late messages, engine
// crashes and changes of the desired state.
func TestOrdersNeverConflict(t *testing.T) {
	for name, engineType := range engineTypes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				for i := range uint64(runsPerCheck) {
					if _, err := simulate(seed+i, tplease.Strict{}, engineType); err != nil {
						t.Fatalf("seed %d: %v", seed+i, err)
					}
				}
			})
		})
	}
}

// Guards against a checker that accepts any history: with the naive lease
// policy some runs must fail the check, and with the strict one orders must
// take effect.
func TestCheckCatchesNaiveOrders(t *testing.T) {
	const runs = 200
	for name, engineType := range engineTypes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violations, applied := 0, 0
			for seed := range runs {
				if _, err := simulate(uint64(seed), tplease.Naive{}, engineType); err != nil {
					violations++
				}
				n, _ := simulate(uint64(seed), tplease.Strict{}, engineType)
				applied += n
			}
			t.Logf("caught %d of %d naive runs; %d orders applied by strict runs", violations, runs, applied)
			if violations == 0 || applied < runs {
				t.Errorf("got %d naive runs caught and %d strict orders in %d runs, want some and one a run", violations, applied, runs)
			}
		})
	}
}

// newGrantedLog returns a log with authority over a pool of n engines whose
// desired role is decode, and the time at which the authority begins.
func newGrantedLog(n int, engineType tpmessage.EngineType, cfg tporder.Settings) (*tporder.Log, time.Time) {
	now := time.Unix(1000, 0)
	l := tporder.New(cfg)
	plan := tporder.Plan{Pool: "language", Lease: "lease/r/language", Type: engineType}
	for i := range n {
		plan.Engines = append(plan.Engines, tporder.DesiredEngine{
			Target: tpmessage.Target{Name: fmt.Sprintf("engine-%d", i)},
			State:  tpmessage.EngineState{Role: tpmessage.RoleDecode},
		})
	}
	l.Step(now, tporder.Input{Kind: tporder.InputPlans, Plans: []tporder.Plan{plan}}, nil)
	l.Step(now, tporder.Input{Kind: tporder.InputAuthority, Authority: tpmessage.Authority{
		Lease: plan.Lease, Held: true, Fencing: 1, Until: now.Add(time.Hour), Fenced: true,
	}}, nil)
	return l, now
}

// busyEngineResult returns the result of an action on a mixed engine whose
// streams never finish.
func busyEngineResult(a tporder.Action, version uint64) tporder.Result {
	r := tporder.Result{Action: a, Version: version}
	r.Status.State.Role = tpmessage.RoleMixed
	return r
}

// Guards against an order that is sent while the engine's streams run, and
// against a drain that does not end at the drain timeout.
func TestDrainTimeoutPostpones(t *testing.T) {
	l, now := newGrantedLog(1, engineTypes["checksFencing"], tporder.Settings{DrainTimeout: 5 * time.Second})
	version := uint64(0)
	drainBegun, postponed := time.Time{}, time.Time{}
	for i := 0; i < 400 && postponed.IsZero(); i++ {
		outs := l.Step(now, tporder.Input{Kind: tporder.InputTick}, nil)
		for len(outs) > 0 {
			out := outs[0]
			outs = outs[1:]
			if out.Event != nil && out.Event.Kind == tporder.EventDrainBegun {
				drainBegun = now
			}
			if out.Event != nil && out.Event.Kind == tporder.EventPostponed {
				postponed = now
			}
			if out.Action == nil {
				continue
			}
			if out.Action.Kind == tporder.ActionSend {
				t.Fatalf("the order was sent while streams ran")
			}
			if out.Action.Kind == tporder.ActionWriteRecord {
				version++
			}
			outs = l.Step(now, tporder.Input{Kind: tporder.InputResult, Result: busyEngineResult(*out.Action, version)}, outs)
		}
		now = now.Add(100 * time.Millisecond)
	}
	if drainBegun.IsZero() || postponed.IsZero() {
		t.Fatalf("drain begun at %v, postponed at %v, want both", drainBegun, postponed)
	}
	if got := postponed.Sub(drainBegun); got < 5*time.Second || got > 6*time.Second {
		t.Errorf("postponed after %v, want the drain timeout of 5s", got)
	}
}

// Guards against draining a whole pool at once: only a fraction of the engines
// may drain at the same time.
func TestFewEnginesDrainAtOnce(t *testing.T) {
	const engines = 16
	l, now := newGrantedLog(engines, engineTypes["checksFencing"], tporder.Settings{DrainTimeout: time.Hour})
	version, drains := uint64(0), 0
	for range 100 {
		outs := l.Step(now, tporder.Input{Kind: tporder.InputTick}, nil)
		for len(outs) > 0 {
			out := outs[0]
			outs = outs[1:]
			if out.Action == nil {
				continue
			}
			if out.Action.Kind == tporder.ActionWriteRecord {
				version++
				drains++
			}
			outs = l.Step(now, tporder.Input{Kind: tporder.InputResult, Result: busyEngineResult(*out.Action, version)}, outs)
		}
		now = now.Add(100 * time.Millisecond)
	}
	if want := engines / 8; drains != want {
		t.Errorf("got %d drains at once, want %d", drains, want)
	}
}

// Guards against orders to engines that have no protection from the orders of a
// former lease holder.
func TestUnsafeEngineTypeGetsNoOrders(t *testing.T) {
	l, now := newGrantedLog(1, tpmessage.EngineType{Name: "plain"}, tporder.Settings{})
	if outs := l.Step(now.Add(time.Minute), tporder.Input{Kind: tporder.InputTick}, nil); len(outs) != 0 {
		t.Errorf("got %d outputs, want none", len(outs))
	}
}

func BenchmarkDecision(b *testing.B) {
	b.ReportAllocs()
	l, now := newGrantedLog(1, engineTypes["checksFencing"], tporder.Settings{ProbeInterval: time.Nanosecond})
	settled := busyEngineResult(tporder.Action{}, 1)
	settled.Status.State.Role = tpmessage.RoleDecode
	var outs []tporder.Output
	for range b.N {
		now = now.Add(time.Microsecond)
		outs = l.Step(now, tporder.Input{Kind: tporder.InputTick}, outs[:0])
		for len(outs) > 0 {
			settled.Action = *outs[0].Action
			outs = l.Step(now, tporder.Input{Kind: tporder.InputResult, Result: settled}, outs[:0])
		}
	}
}

func BenchmarkTickOf190Engines(b *testing.B) {
	b.ReportAllocs()
	l, now := newGrantedLog(190, engineTypes["checksFencing"], tporder.Settings{MaxActions: 256})
	var outs []tporder.Output
	outs = l.Step(now, tporder.Input{Kind: tporder.InputTick}, outs)
	for range b.N {
		outs = l.Step(now, tporder.Input{Kind: tporder.InputTick}, outs[:0])
	}
}
