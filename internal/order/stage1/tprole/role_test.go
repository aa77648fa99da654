package tprole_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, 1)) }

func observation(second float64, s tprole.Split, d tprole.Demand) tprole.Observation {
	return tprole.Observation{At: epoch.Add(time.Duration(second * float64(time.Second))), Demand: d, Split: s}
}

// Guards against a SkiRental policy that does not change to the best split when
// changes cost nothing. It must then serve as much as the Greedy policy.
func TestSkiRentalWithoutCostFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 18).Draw(t, "engines")
		s := tprole.Split{Prefill: rapid.IntRange(0, n).Draw(t, "prefill"), Mixed: rapid.IntRange(0, 4).Draw(t, "mixed")}
		s.Decode = n - s.Prefill
		d := tprole.Demand{
			Prefill: float64(rapid.IntRange(0, 40).Draw(t, "a")) / 2,
			Decode:  float64(rapid.IntRange(0, 40).Draw(t, "b")) / 2,
		}
		p := &tprole.SkiRental{EngineRate: 1}
		p.PrefillEngines(observation(0, s, d))
		got := s.With(p.PrefillEngines(observation(1, s, d))).Served(d)
		want := s.With(tprole.Greedy{}.PrefillEngines(observation(1, s, d))).Served(d)
		if max(got-want, want-got) > 1e-6 {
			t.Errorf("served: got %v, want %v", got, want)
		}
	})
}

// Guards against a SkiRental policy that loses more than twice as much as a
// policy that knows when the shift of the demand ends. The length of the shift
// varies.
func TestSkiRentalLosesAtMostTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := tprole.Split{Prefill: 9, Decode: 9}
		d := tprole.Demand{Prefill: float64(rapid.IntRange(9, 18).Draw(t, "a")), Decode: 2}
		p := &tprole.SkiRental{EngineRate: 1, ChangeCost: float64(rapid.IntRange(1, 20).Draw(t, "weight"))}
		steps := rapid.IntRange(1, 400).Draw(t, "steps")
		const interval = 0.1
		maxServed := s.With(tprole.Greedy{}.PrefillEngines(observation(0, s, d))).Served(d)
		best := maxServed
		current := s
		loss := 0.0
		for i := range steps {
			want := p.PrefillEngines(observation(float64(i)*interval, current, d))
			loss += p.ChangeCost * float64(max(want-current.Prefill, current.Prefill-want))
			current = current.With(want)
			loss += (maxServed - current.Served(d)) * interval
		}
		minLoss := (maxServed - s.Served(d)) * interval * float64(steps)
		for k := range s.Changeable() + 1 {
			changes := float64(max(k-s.Prefill, s.Prefill-k))
			minLoss = min(minLoss, p.ChangeCost*changes+(best-s.With(k).Served(d))*interval*float64(steps))
		}
		// The policy observes the loss of an interval only after its end.
		if bound := 2*minLoss + 2*maxServed*interval; loss > bound {
			t.Errorf("loss: got %v, want at most %v", loss, bound)
		}
	})
}

// Guards against role changes while the demand alternates faster than a change
// pays off, and against no change after a lasting shift.
func TestSkiRentalFlapping(t *testing.T) {
	demands := [2]tprole.Demand{{Prefill: 14, Decode: 4}, {Prefill: 4, Decode: 14}}
	for period, want := range map[int]int{2: 0, 600: 1} {
		s := tprole.Split{Prefill: 9, Decode: 9}
		p := &tprole.SkiRental{ChangeCost: 20, EngineRate: 2, ChangeTime: 5 * time.Second}
		changes := 0
		for i := range 600 {
			k := p.PrefillEngines(observation(float64(i), s, demands[i/period%2]))
			if k != s.Prefill {
				changes++
			}
			s = s.With(k)
		}
		if changes < want || changes > 4*want {
			t.Errorf("period %d s: got %d decisions to change, want %d to %d", period, changes, want, 4*want)
		}
	}
}

// Guards against a plan that serves less than the optimum, which is one change
// for the shift of the demand, and against a plan that ignores the cost of
// changes.
func TestClairvoyant(t *testing.T) {
	s := tprole.Split{Prefill: 1, Decode: 1}
	demands := make([]tprole.Demand, 20)
	for i := range demands {
		demands[i] = tprole.Demand{Prefill: 1, Decode: 1}
		if i >= 10 {
			demands[i] = tprole.Demand{Prefill: 3}
		}
	}
	plan, served := tprole.Clairvoyant(s, demands, 2, 0)
	if plan[0] != 1 || plan[19] != 2 {
		t.Errorf("plan: got %v, want 1 first and 2 last", plan)
	}
	// The change begins 2 intervals before the shift, and both serve 1.25.
	if want := 16 + 2.5 + 20; served != want {
		t.Errorf("served: got %v, want %v", served, want)
	}
	if _, got := tprole.Clairvoyant(s, demands, 2, 100); got >= served {
		t.Errorf("served with a cost of changes: got %v, want less than %v", got, served)
	}
}

// Guards against role changes of engines that are changing, leaving or mixed,
// and against more simultaneous changes than the limit.
func TestRolesStep(t *testing.T) {
	engines := []tprole.Engine{
		{Name: "a", Role: tpmessage.RoleDecode, Load: 2},
		{Name: "b", Role: tpmessage.RoleDecode, Load: 1},
		{Name: "c", Role: tpmessage.RoleDecode, Load: 1, Changing: true},
		{Name: "d", Role: tpmessage.RoleDecode, Leaving: true},
		{Name: "e", Role: tpmessage.RoleMixed},
		{Name: "f", Role: tpmessage.RoleDecode, Load: 1},
	}
	demand := tprole.Demand{Prefill: 10}
	for limit, want := range map[float64][]string{0.2: nil, 0.4: {"b"}, 1: {"b", "f", "a"}} {
		r := tprole.New(tprole.Settings{MaxChangingFraction: limit}, tprole.Greedy{})
		var got []string
		for _, c := range r.Step(observation(0, tprole.Split{}, demand), engines) {
			got = append(got, c.Engine)
		}
		if !slices.Equal(got, want) {
			t.Errorf("limit %v: got %v, want %v", limit, got, want)
		}
	}
}

func ExampleSkiRental() {
	s := tprole.Split{Prefill: 9, Decode: 9}
	p := &tprole.SkiRental{ChangeCost: 20, EngineRate: 2, ChangeTime: 5 * time.Second}
	for second := range 60 {
		want := p.PrefillEngines(observation(float64(second), s, tprole.Demand{Prefill: 14, Decode: 4}))
		if want != s.Prefill {
			fmt.Printf("after %d s: %d prefill engines\n", second, want)
			s = s.With(want)
		}
	}
	// Output:
	// after 21 s: 12 prefill engines
	// after 31 s: 13 prefill engines
}
