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

// continueHoldTime is the time for which the engine withholds 100 Continue
// after the header of an order. It is longer than a takeover and the orders
// after it.
const continueHoldTime = 8 * time.Second

// orderStep is a step of an order at which the holder is paused or killed.
// injectFaults sets the faults of the stand-ins before the order, waitReached
// waits until the order has come to the step, and clearFaults removes the
// faults, so that they do not delay the orders of the next holder.
type orderStep struct {
	name         string
	injectFaults func(*testing.T, *tpprocess.Fleet)
	waitReached  func(*testing.T, *tpprocess.Fleet)
	clearFaults  func(*testing.T, *tpprocess.Fleet)
	arrivesLate  bool // the former holder's order reaches the engine after the takeover
}

func setPlatformFaults(f tpplatformfake.Faults) func(*testing.T, *tpprocess.Fleet) {
	return func(t *testing.T, fleet *tpprocess.Fleet) {
		putJSON(t, fleet.Platform.Addresses[0]+"/faults", f)
	}
}

func setOrderFaults(f tpenginefake.OrderFaults) func(*testing.T, *tpprocess.Fleet) {
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
		tpprocess.Eventually(t, "the order is in phase "+string(phase), func() bool {
			r, _, err := tpdispatch.ReadRecord(t.Context(), f.Client, f.Engines[0].Name)
			return err == nil && r.Phase == phase
		})
	}
}

// platformCallDelay is the time by which the platform delays a call. It is
// longer than a takeover, so that the platform executes the call under the next
// holder.
const platformCallDelay = 2 * time.Second

// delaySendingRecord makes the platform delay the write that records the phase
// sending of the order.
func delaySendingRecord(t *testing.T, f *tpprocess.Fleet) {
	phaseReached(tporder.PhaseDraining)(t, f)
	setPlatformFaults(tpplatformfake.Faults{Prefix: tporder.ObjectName(f.Engines[0].Name), Delay: platformCallDelay})(t, f)
	time.Sleep(platformCallDelay / 4) // the write is under way, or ended before the delay was set
}

// delayLeaseRead makes the platform delay the read of the lease that the holder
// makes between 100 Continue and the body of the order.
func delayLeaseRead(t *testing.T, f *tpprocess.Fleet) {
	eventReached(tpenginefake.OrderHeaderReceived)(t, f)
	setPlatformFaults(tpplatformfake.Faults{Prefix: tplease.Prefix, Delay: platformCallDelay})(t, f)
	time.Sleep(platformCallDelay / 2) // the holder has received 100 Continue, and the read is under way
}

func noop(*testing.T, *tpprocess.Fleet) {}

// headerSentStep is the step at which the engine has received the header of the
// order and withholds 100 Continue.
var headerSentStep = orderStep{
	"head sent",
	setOrderFaults(tpenginefake.OrderFaults{ContinueDelay: continueHoldTime}),
	eventReached(tpenginefake.OrderHeaderReceived),
	setOrderFaults(tpenginefake.OrderFaults{}),
	true,
}

var orderSteps = []orderStep{
	{"drain recorded", noop, phaseReached(tporder.PhaseDraining), noop, false},
	headerSentStep,
	{"sending recorded late", noop, delaySendingRecord, setPlatformFaults(tpplatformfake.Faults{}), false},
	{
		"lease read again late",
		setOrderFaults(tpenginefake.OrderFaults{ContinueDelay: platformCallDelay / 4}),
		delayLeaseRead,
		func(t *testing.T, f *tpprocess.Fleet) {
			setPlatformFaults(tpplatformfake.Faults{})(t, f)
			setOrderFaults(tpenginefake.OrderFaults{})(t, f)
		},
		false,
	},
	{"change begun", noop, eventReached(tpenginefake.OrderApplied), noop, false},
	{
		"crash in the change",
		setOrderFaults(tpenginefake.OrderFaults{CrashChanges: 1}),
		eventReached(tpenginefake.OrderApplied),
		noop,
		false,
	},
}

// forEachStepAndKind runs a test for each combination of a step and a kind of
// engine, in parallel.
func forEachStepAndKind(t *testing.T, test func(*testing.T, orderStep, engineKind)) {
	for _, kind := range engineKinds {
		for _, step := range orderSteps {
			t.Run(kind.name+"/"+step.name, func(t *testing.T) {
				t.Parallel()
				test(t, step, kind)
			})
		}
	}
}

// stopHolderAt starts an order, waits until it reaches the step, calls stop
// with the holder, and returns the holder.
func stopHolderAt(t *testing.T, f *tpprocess.Fleet, step orderStep, stop func(*tpprocess.Process)) *tpprocess.Process {
	t.Helper()
	holder := waitHolder(t, f, nil)
	step.injectFaults(t, f)
	publishRole(t, f, tpmessage.RolePrefill)
	step.waitReached(t, f)
	stop(holder)
	step.clearFaults(t, f)
	return holder
}

// verifyLateOrder checks, at a step with a late order, that the order of the
// former holder reached the engine and that the engine refused or discarded it.
func verifyLateOrder(t *testing.T, f *tpprocess.Fleet, step orderStep, kind engineKind) {
	t.Helper()
	want := tpenginefake.OrderDiscarded
	if kind.typ.ChecksFencing {
		want = tpenginefake.OrderFenced
	}
	log := engineLog(t, f.Engines[0])
	arrived := slices.ContainsFunc(log, func(e tpenginefake.OrderEvent) bool { return e.Kind == want })
	if step.arrivesLate && !arrived {
		t.Errorf("got no event %q at the engine, want one for the former holder's order:\n%+v", want, log)
	}
}

// completeTakeover waits until another node holds the lease and has changed the
// engine to a new role.
func completeTakeover(t *testing.T, f *tpprocess.Fleet, former *tpprocess.Process) {
	t.Helper()
	waitHolder(t, f, former)
	publishRole(t, f, tpmessage.RoleDecode)
	waitRole(t, f.Engines[0], tpmessage.RoleDecode)
}

// Guards against an order of a former holder that takes effect. The holder is
// paused in the middle of an order and resumes after another node has taken
// over the lease.
func TestOrdersPausedHolder(t *testing.T) {
	forEachStepAndKind(t, func(t *testing.T, step orderStep, kind engineKind) {
		f := startOrderFleet(t, kind, 1, 2)
		former := stopHolderAt(t, f, step, func(p *tpprocess.Process) { p.Pause(t) })
		completeTakeover(t, f, former)
		former.Resume(t)
		waitOrdersEnded(t, f.Engines[0])
		verifyLateOrder(t, f, step, kind)
		publishRole(t, f, tpmessage.RoleMixed)
		waitRole(t, f.Engines[0], tpmessage.RoleMixed)
		verifyOrders(t, f)
	})
}

// Guards against an order that is lost or carried out twice when its holder is
// killed in the middle of it and another node takes over the lease.
func TestOrdersKilledHolder(t *testing.T) {
	forEachStepAndKind(t, func(t *testing.T, step orderStep, kind engineKind) {
		f := startOrderFleet(t, kind, 1, 2)
		former := stopHolderAt(t, f, step, func(p *tpprocess.Process) { p.Kill() })
		completeTakeover(t, f, former)
		waitOrdersEnded(t, f.Engines[0])
		verifyLateOrder(t, f, step, kind)
		verifyOrders(t, f)
	})
}

// Guards against a check of the orders that passes for any lease: with the
// naive lease policy, a holder that is paused and resumed must fail it.
func TestOrdersCheckCatchesNaiveHolder(t *testing.T) {
	// The read timeout is longer than the test: naive nodes do not wait for it,
	// so that the engine still accepts the late body.
	kinds := []engineKind{engineKinds[0], {
		"ignoresFencing",
		[]string{"--order-read-timeout", "1m"},
		tpmessage.EngineType{Name: "kind", OrderReadTimeout: time.Minute},
	}}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := startOrderFleet(t, kind, 1, 2, naiveCommand(t)...)
			former := stopHolderAt(t, f, headerSentStep, func(p *tpprocess.Process) { p.Pause(t) })
			completeTakeover(t, f, former)
			former.Resume(t)
			waitOrdersEnded(t, f.Engines[0])
			err := tphistory.CheckOrders(engineLog(t, f.Engines[0]))
			if err == nil {
				t.Errorf("the check passed for the naive lease:\n%+v", engineLog(t, f.Engines[0]))
			}
			t.Logf("caught: %v", err)
		})
	}
}
