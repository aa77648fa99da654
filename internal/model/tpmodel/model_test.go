package tpmodel_test

import (
	"reflect"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/model/tpmodel"
	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
)

// Guards against runs of the same settings and seed that differ, so that
// figures of policies cannot be compared.
func TestRunsRepeat(t *testing.T) {
	cfg := fleetSettings(time.Second, 10)
	cfg.Duration = 20 * time.Second
	cfg.Faults = []tpmodel.Fault{{At: 10 * time.Second}, {At: 12 * time.Second, Engine: 1, Drain: true}}
	first := tpmodel.RunFleet(cfg, tpadmission.NewFair, tprouter.NewTwoChoices)
	second := tpmodel.RunFleet(cfg, tpadmission.NewFair, tprouter.NewTwoChoices)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs differ: %v and %v of cost %v served before the deadline", first.GoodCost, second.GoodCost, first.OfferedCost)
	}
}

// Guards against an admission under which an organisation at ten times its
// share delays the requests of the others.
func TestRivalDelaysOthersLessThanInArrivalOrder(t *testing.T) {
	cfg := fleetSettings(100*time.Millisecond, 10)
	cfg.Duration = 60 * time.Second
	fair := tpmodel.RunFleet(cfg, tpadmission.NewFair, tprouter.NewTwoChoices)
	fcfs := tpmodel.RunFleet(cfg, newFCFS, tprouter.NewTwoChoices)
	for _, o := range cfg.Organisations[1:] {
		got, bound := p95Seconds(fair.TimesToFirstToken[o.Name]), p95Seconds(fcfs.TimesToFirstToken[o.Name])/2
		if got > bound {
			t.Errorf("%s: got a p95 of %v s to first token, want at most half of that in arrival order, %v s", o.Name, got, bound)
		}
	}
}

// Guards against a pool that serves more than the capacity of its engines, or
// less than the demand while it has spare capacity.
func TestPoolServesItsCapacity(t *testing.T) {
	split := tprole.Split{Prefill: 1, Decode: 1}
	for prefill, want := range map[float64]float64{0.5: 0.5, 5: 1.25} {
		got := tpmodel.RunRoles(tpmodel.RoleSettings{
			Split: split, Duration: 100 * time.Second, Seed: 1,
			Demand: func(time.Duration) tprole.Demand { return tprole.Demand{Prefill: prefill} },
		}, tprole.Static{}).GoodWork / 100
		if got < 0.98*want || got > 1.02*want {
			t.Errorf("demand %v: got %v engine-seconds served a second, want %v", prefill, got, want)
		}
	}
}
