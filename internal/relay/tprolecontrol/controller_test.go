package tprolecontrol_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
	"teaselpin.example/teaselpin/internal/relay/tprolecontrol"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fleet(prefill, decode int) []tpmessage.RelayTarget {
	var list []tpmessage.RelayTarget
	for i := range prefill + decode {
		role := tpmessage.RoleDecode
		if i < prefill {
			role = tpmessage.RolePrefill
		}
		list = append(list, tpmessage.RelayTarget{
			Target: tpmessage.Target{Name: fmt.Sprintf("e%02d", i)}, Pool: "llm", Role: role, StartedMs: 1,
		})
	}
	return list
}

func newController(fraction float64, list []tpmessage.RelayTarget) *tprolecontrol.Controller[*tprolecontrol.Balance] {
	s := tprolecontrol.New(tprolecontrol.Settings{Node: "node-0", Guard: 3 * time.Second},
		func(tpmessage.RelayPool, bool) *tprolecontrol.Balance {
			return &tprolecontrol.Balance{PrefillFraction: fraction}
		})
	s.SetConfig(&tpmessage.RelayConfig{Pools: []tpmessage.RelayPool{
		{Name: "llm", Engine: &tpmessage.EngineTraits{RoleSwitchTime: 3 * time.Second}}, {Name: "app"},
	}})
	s.SetTargets(list)
	return s
}

func authority(fencing uint64, until time.Time) tpmessage.Authority {
	return tpmessage.Authority{Held: true, Fencing: fencing, Until: until}
}

// Guards against orders from a node without the lease, from a new holder while
// orders of the previous holder may still arrive, and from a holder whose lease
// ends before the order arrives.
func TestOnlyTheHolderOrders(t *testing.T) {
	s := newController(0.6, fleet(2, 8))
	if got := s.Step(epoch); got != nil {
		t.Errorf("orders without the lease: got %v", got)
	}
	s.SetAuthority(epoch, authority(2, epoch.Add(time.Minute)))
	if got := s.Step(epoch.Add(2900 * time.Millisecond)); got != nil {
		t.Errorf("orders within the guard: got %v", got)
	}
	if got := s.Step(epoch.Add(3 * time.Second)); len(got) == 0 {
		t.Error("no order after the guard")
	}
	s = newController(0.6, fleet(2, 8))
	s.SetAuthority(epoch, authority(1, epoch.Add(500*time.Millisecond)))
	if got := s.Step(epoch); got != nil {
		t.Errorf("orders half a second before the lease ends: got %v", got)
	}
}

// Guards against two orders to one engine at a time, and against more engines
// changing their role at a time than the pool can spare.
func TestOneOrderPerEngine(t *testing.T) {
	s := newController(0.8, fleet(0, 8))
	s.SetAuthority(epoch, authority(1, epoch.Add(time.Hour)))
	ordered := make(map[string]bool)
	for i := range 10 {
		for _, o := range s.Step(epoch.Add(time.Duration(i) * 500 * time.Millisecond)) {
			if ordered[o.Target.Name] {
				t.Fatalf("a second order to %s while the first is in flight", o.Target.Name)
			}
			ordered[o.Target.Name] = true
			s.HandleAnswer(epoch, o, tprolecontrol.AnswerUnknown)
		}
	}
	if got, want := len(ordered), 2; got != want {
		t.Errorf("engines with an order: got %d, want %d of 8", got, want)
	}
	if got, want := len(s.RoleChanging()), 2; got != want {
		t.Errorf("engines reported as changing: got %d, want %d", got, want)
	}
}

// Guards against repeating an order while the first one, which was not
// answered, may still be carried out.
func TestUnansweredOrderBlocks(t *testing.T) {
	s := newController(0.5, fleet(0, 8))
	s.SetAuthority(epoch, authority(1, epoch.Add(time.Hour)))
	orders := s.Step(epoch)
	if len(orders) != 2 {
		t.Fatalf("orders: got %v, want two", orders)
	}
	for _, o := range orders {
		s.HandleAnswer(epoch, o, tprolecontrol.AnswerUnknown)
	}
	if got := s.Step(epoch.Add(12 * time.Second)); len(got) != 0 {
		t.Errorf("orders 12 s after unanswered ones: got %v", got)
	}
	if got := s.Step(epoch.Add(14 * time.Second)); len(got) != 2 {
		t.Errorf("orders 14 s after unanswered ones: got %v, want two", got)
	}
}

// Guards against an engine that stays marked as changing after it has refused
// an order, so that no node uses it.
func TestRefusedOrderFreesTheEngine(t *testing.T) {
	s := newController(0.5, fleet(0, 2))
	s.SetAuthority(epoch, authority(1, epoch.Add(time.Hour)))
	o := s.Step(epoch)[0]
	s.HandleAnswer(epoch, o, tprolecontrol.AnswerRefused)
	if got := s.RoleChanging(); len(got) != 0 {
		t.Errorf("changing engines: got %v, want none", got)
	}
}

// Guards against a pool that changes the roles of engines back and forth while
// targets are replaced, and against a pool that lacks a decode engine.
func TestBalanceTolerance(t *testing.T) {
	b := &tprolecontrol.Balance{PrefillFraction: 0.67}
	at := func(demand float64, prefill, decode int) int {
		return b.PrefillEngines(tprole.Observation{
			At: epoch, Demand: tprole.Demand{Prefill: demand}, Split: tprole.Split{Prefill: prefill, Decode: decode},
		})
	}
	for _, test := range []struct {
		name                  string
		demand                float64
		prefill, decode, want int
	}{
		{"before traffic", 0, 6, 12, 12},
		// With the tolerance before traffic, a site started its day with 11
		// instead of 12 of 18 engines in the prefill role.
		{"before traffic, one is missing", 0, 11, 7, 12},
		{"as wanted", 5, 12, 6, 12},
		{"a prefill engine is missing", 5, 11, 7, 11},
		{"two are missing", 5, 10, 8, 12},
		{"a decode engine is missing", 5, 12, 5, 11},
		// Without the tolerance, engines changed their role back and forth
		// after a crash.
		{"a prefill engine is missing after that", 5, 11, 7, 11},
	} {
		if got := at(test.demand, test.prefill, test.decode); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}

// runDemand passes the same demand to a policy every half second and returns
// the wanted number of prefill engines at the end. The 18 engines change their
// role immediately.
func runDemand(b *tprolecontrol.Balance, from time.Time, d tprole.Demand, prefill int, length time.Duration) int {
	const engines = 18
	for at := time.Duration(0); at <= length; at += 500 * time.Millisecond {
		prefill = b.PrefillEngines(tprole.Observation{
			At: from.Add(at), Demand: d, Split: tprole.Split{Prefill: prefill, Decode: engines - prefill},
		})
	}
	return prefill
}

// Guards against a split that does not change when answers become long and
// prompts short, so that decode engines are overloaded while prefill engines
// are idle. Guards also against a split that follows a burst of some seconds,
// which ends before the change of role does.
func TestBalanceFollowsDemand(t *testing.T) {
	normal, output := tprole.Demand{Prefill: 9, Decode: 2}, tprole.Demand{Prefill: 4, Decode: 9}
	b := &tprolecontrol.Balance{PrefillFraction: 0.67}
	if got, want := runDemand(b, epoch, normal, 12, 20*time.Second), 12; got != want {
		t.Errorf("prefill engines at the normal demand: got %d, want %d", got, want)
	}
	if got, want := runDemand(b, epoch.Add(21*time.Second), output, 12, 2500*time.Millisecond), 12; got != want {
		t.Errorf("prefill engines in a burst of 2.5 s: got %d, want %d", got, want)
	}
	// A demand of 4 prefill and 9 decode engines leaves 5 to distribute.
	if got := runDemand(b, epoch.Add(24*time.Second), output, 12, 30*time.Second); got < 5 || got > 8 {
		t.Errorf("prefill engines after 30 s of long answers: got %d, want 5 to 8", got)
	}
	prompts := tprole.Demand{Prefill: 14, Decode: 1}
	if got := runDemand(b, epoch.Add(60*time.Second), prompts, 6, 30*time.Second); got < 14 {
		t.Errorf("prefill engines after 30 s of long prompts: got %d, want 14 or more", got)
	}
}

// Guards against a new holder of the lease that reverts the split of the
// previous one.
func TestLaterHolderKeepsTheSplit(t *testing.T) {
	b := &tprolecontrol.Balance{PrefillFraction: 0.67, Adopt: true}
	if got, want := runDemand(b, epoch, tprole.Demand{Prefill: 4, Decode: 9}, 6, 10*time.Second), 6; got != want {
		t.Errorf("prefill engines of a later holder: got %d, want %d", got, want)
	}
}

// Guards against an overloaded role that waits for the time in which a split
// proves better on ordinary days: with 40 prefill and 16 decode engines and a
// demand of 18 and 24, requests failed for the first 7 s of the day.
func TestOverloadChangesTheSplitEarly(t *testing.T) {
	b := &tprolecontrol.Balance{PrefillFraction: 0.72}
	at := func(after time.Duration) int {
		return b.PrefillEngines(tprole.Observation{
			At: epoch.Add(after), Demand: tprole.Demand{Prefill: 18, Decode: 24}, Split: tprole.Split{Prefill: 40, Decode: 16},
		})
	}
	want := 40
	for after := time.Duration(0); after <= 2500*time.Millisecond; after += 500 * time.Millisecond {
		want = at(after)
	}
	if want < 20 || want > 30 {
		t.Errorf("prefill engines after 2.5 s of overload: got %d, want 20 to 30 of 56", want)
	}
}

// Guards against a split that follows the demand of the first seconds, in which
// empty caches make prompts expensive: 43 of 60 engines with the prefill role
// became 51, and the 9 others were too few for the rest of the day.
func TestColdCachesTakeNoDecodeEngines(t *testing.T) {
	b := &tprolecontrol.Balance{PrefillFraction: 0.73}
	prefill := 43
	for at := time.Duration(0); at <= 40*time.Second; at += 500 * time.Millisecond {
		demand := tprole.Demand{Prefill: 40, Decode: 3.5}
		if at >= 10*time.Second {
			demand = tprole.Demand{Prefill: 20, Decode: 7}
		}
		prefill = b.PrefillEngines(tprole.Observation{
			At: epoch.Add(at), Demand: demand, Split: tprole.Split{Prefill: prefill, Decode: 60 - prefill},
		})
		if prefill > 43 {
			t.Fatalf("prefill engines after %v: got %d, want at most 43 of 60", at, prefill)
		}
	}
}

// Guards against a demand that is not a number for the rest of the day, because
// two observations have the same time.
func TestObservationsAtTheSameTime(t *testing.T) {
	b := &tprolecontrol.Balance{PrefillFraction: 0.67}
	output := tprole.Demand{Prefill: 4, Decode: 9}
	runDemand(b, epoch, output, 12, 0)
	runDemand(b, epoch, output, 12, 0)
	if got := runDemand(b, epoch, output, 12, 20*time.Second); got < 5 || got > 8 {
		t.Errorf("prefill engines after 20 s of long answers: got %d, want 5 to 8", got)
	}
}

// Guards against pools of engines with few slots that begin a day with too few
// decode engines for the same requests.
func TestInitialSplitFollowsSlots(t *testing.T) {
	idle := func(slots int) int {
		b := &tprolecontrol.Balance{Slots: slots}
		return b.PrefillEngines(tprole.Observation{At: epoch, Split: tprole.Split{Prefill: 20, Decode: 36}})
	}
	if got, want := idle(64), 40; got != want {
		t.Errorf("prefill engines of 56 with 64 slots: got %d, want %d", got, want)
	}
	if got := idle(12); got < 26 || got > 32 {
		t.Errorf("prefill engines of 56 with 12 slots: got %d, want 26 to 32", got)
	}
}

// Guards against orders to the first engines of a region that are reverted when
// the others have registered.
func TestOrdersWaitForTheFleet(t *testing.T) {
	s := newController(0.5, fleet(2, 0))
	s.SetAuthority(epoch, authority(1, epoch.Add(time.Hour)))
	s.SetTargets(fleet(2, 2))
	if got := s.Step(epoch); got != nil {
		t.Errorf("orders while engines register: got %v", got)
	}
	s.SetTargets(fleet(2, 6))
	if got := s.Step(epoch.Add(500 * time.Millisecond)); got != nil {
		t.Errorf("orders while engines register: got %v", got)
	}
	if got := s.Step(epoch.Add(1600 * time.Millisecond)); len(got) == 0 || got[0].Role != tpmessage.RolePrefill {
		t.Errorf("orders 1.1 s after the last registration: got %v, want some to the prefill role", got)
	}
}
