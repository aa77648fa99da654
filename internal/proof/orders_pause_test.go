package proof_test

import (
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/internal/order/stage4/tpdispatch"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// heldFor is longer than a takeover and the orders after it.
const heldFor = 8 * time.Second

// orderStep is a step of an order at which the holder is stopped. arm makes a
// stand-in hold its answer at the step, reached waits for the step, and
// disarm lets the orders of the next holder pass.
type orderStep struct {
	name    string
	arm     func(*testing.T, *tpprocess.Fleet)
	reached func(*testing.T, *tpprocess.Fleet)
	disarm  func(*testing.T, *tpprocess.Fleet)
	late    bool // the former holder's order is still on its way
}

func setPlatform(f tpplatformfake.Faults) func(*testing.T, *tpprocess.Fleet) {
	return func(t *testing.T, fleet *tpprocess.Fleet) {
		putJSON(t, fleet.Platform.Addresses[0]+"/faults", f)
	}
}

func setEngine(f tpenginefake.OrderFaults) func(*testing.T, *tpprocess.Fleet) {
	return func(t *testing.T, fleet *tpprocess.Fleet) {
		putJSON(t, fleet.Engines[0].Addresses[0]+tpenginefake.PathOrderFaults, f)
	}
}

func eventReached(kind string) func(*testing.T, *tpprocess.Fleet) {
	return func(t *testing.T, f *tpprocess.Fleet) { waitEvents(t, f.Engines[0], kind, 1) }
}

// phaseReached waits until the record of the engine's order has a phase.
func phaseReached(phase tporder.Phase) func(*testing.T, *tpprocess.Fleet) {
	return func(t *testing.T, f *tpprocess.Fleet) {
		tpprocess.Eventually(t, "the order is "+string(phase), func() bool {
			r, _, err := tpdispatch.ReadRecord(t.Context(), f.Client, f.Engines[0].Name)
			return err == nil && r.Phase == phase
		})
	}
}

// callDelay is the time for which the platform holds a call. It is longer than
// a takeover, so that the call is executed under the next holder.
const callDelay = 2 * time.Second

// recordHeld lets the platform hold the record that the order is sent.
func recordHeld(t *testing.T, f *tpprocess.Fleet) {
	phaseReached(tporder.PhaseDraining)(t, f)
	setPlatform(tpplatformfake.Faults{Prefix: tporder.ObjectName(f.Engines[0].Name), Delay: callDelay})(t, f)
	time.Sleep(callDelay / 4) // the call is on its way, or was before
}

// leaseHeld lets the platform hold the look at the lease that comes between
// 100 Continue and the body.
func leaseHeld(t *testing.T, f *tpprocess.Fleet) {
	eventReached(tpenginefake.OrderHead)(t, f)
	setPlatform(tpplatformfake.Faults{Prefix: tplease.Prefix, Delay: callDelay})(t, f)
	time.Sleep(callDelay / 2) // 100 Continue has come, and the call is on its way
}

func nothing(*testing.T, *tpprocess.Fleet) {}

// headSent is the step at which the order itself is held at the engine.
var headSent = orderStep{
	"head sent",
	setEngine(tpenginefake.OrderFaults{ContinueDelay: heldFor}),
	eventReached(tpenginefake.OrderHead),
	setEngine(tpenginefake.OrderFaults{}),
	true,
}

var orderSteps = []orderStep{
	{"drain recorded", nothing, phaseReached(tporder.PhaseDraining), nothing, false},
	headSent,
	{"sending recorded late", nothing, recordHeld, setPlatform(tpplatformfake.Faults{}), false},
	{
		"lease read again late",
		setEngine(tpenginefake.OrderFaults{ContinueDelay: callDelay / 4}),
		leaseHeld,
		func(t *testing.T, f *tpprocess.Fleet) {
			setPlatform(tpplatformfake.Faults{})(t, f)
			setEngine(tpenginefake.OrderFaults{})(t, f)
		},
		false,
	},
	{"change begun", nothing, eventReached(tpenginefake.OrderApplied), nothing, false},
	{
		"crash in the change",
		setEngine(tpenginefake.OrderFaults{CrashChanges: 1}),
		eventReached(tpenginefake.OrderApplied),
		nothing,
		false,
	},
}

// forStepsAndKinds runs a test at each step for each kind of engine.
func forStepsAndKinds(t *testing.T, test func(*testing.T, orderStep, engineKind)) {
	for _, kind := range engineKinds {
		for _, step := range orderSteps {
			t.Run(kind.name+"/"+step.name, func(t *testing.T) {
				t.Parallel()
				test(t, step, kind)
			})
		}
	}
}

// stopAt lets an order come to a step, stops its holder there and returns it.
func stopAt(t *testing.T, f *tpprocess.Fleet, step orderStep, stop func(*tpprocess.Process)) *tpprocess.Process {
	t.Helper()
	holder := waitHolder(t, f, nil)
	step.arm(t, f)
	wantRole(t, f, tpmessage.RolePrefill)
	step.reached(t, f)
	stop(holder)
	step.disarm(t, f)
	return holder
}

// verifyLate checks that the order of a former holder did come late, and that
// the engine refused or discarded it.
func verifyLate(t *testing.T, f *tpprocess.Fleet, step orderStep, kind engineKind) {
	t.Helper()
	want := tpenginefake.OrderDiscarded
	if kind.typ.ChecksFencing {
		want = tpenginefake.OrderFenced
	}
	log := engineLog(t, f.Engines[0])
	came := slices.ContainsFunc(log, func(e tpenginefake.OrderEvent) bool { return e.Kind == want })
	if step.late && !came {
		t.Errorf("got no event %q at the engine, want the former holder's order:\n%+v", want, log)
	}
}

// takeOver lets the next holder bring another role to the engine.
func takeOver(t *testing.T, f *tpprocess.Fleet, former *tpprocess.Process) {
	t.Helper()
	waitHolder(t, f, former)
	wantRole(t, f, tpmessage.RoleDecode)
	waitRole(t, f.Engines[0], tpmessage.RoleDecode)
}

// Guards against orders of a holder that was paused in the middle of an order
// and wakes up after another node has taken over.
func TestOrdersPausedHolder(t *testing.T) {
	forStepsAndKinds(t, func(t *testing.T, step orderStep, kind engineKind) {
		f := startOrderFleet(t, kind, 1, 2)
		former := stopAt(t, f, step, func(p *tpprocess.Process) { p.Pause(t) })
		takeOver(t, f, former)
		former.Resume(t)
		waitEnded(t, f.Engines[0])
		verifyLate(t, f, step, kind)
		wantRole(t, f, tpmessage.RoleMixed)
		waitRole(t, f.Engines[0], tpmessage.RoleMixed)
		verifyOrders(t, f)
	})
}

// Guards against an order that is lost or given twice when its holder is
// killed in the middle of it.
func TestOrdersKilledHolder(t *testing.T) {
	forStepsAndKinds(t, func(t *testing.T, step orderStep, kind engineKind) {
		f := startOrderFleet(t, kind, 1, 2)
		former := stopAt(t, f, step, func(p *tpprocess.Process) { p.Kill() })
		takeOver(t, f, former)
		waitEnded(t, f.Engines[0])
		verifyLate(t, f, step, kind)
		verifyOrders(t, f)
	})
}

// Guards against a check that would pass for any lease: nodes with the naive
// lease must fail it in the same run.
func TestOrdersCheckCatchesNaiveHolder(t *testing.T) {
	// The read timeout outlasts the run, since naive nodes do not wait for it.
	kinds := []engineKind{engineKinds[0], {
		"ignoresFencing",
		[]string{"--order-read-timeout", "1m"},
		tpmessage.EngineType{Name: "kind", OrderReadTimeout: time.Minute},
	}}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := startOrderFleet(t, kind, 1, 2, naiveCommand(t)...)
			former := stopAt(t, f, headSent, func(p *tpprocess.Process) { p.Pause(t) })
			takeOver(t, f, former)
			former.Resume(t)
			waitEnded(t, f.Engines[0])
			err := tphistory.CheckOrders(engineLog(t, f.Engines[0]))
			if err == nil {
				t.Errorf("the check passed for the naive lease:\n%+v", engineLog(t, f.Engines[0]))
			}
			t.Logf("caught: %v", err)
		})
	}
}
