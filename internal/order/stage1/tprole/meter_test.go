package tprole_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
)

// Guards against a demand that omits waiting work, and against a wrong demand
// after a node has left and the total usage has decreased.
func TestMeter(t *testing.T) {
	m := tprole.DemandMeter{EngineRate: 2, Horizon: 2 * time.Second}
	steps := []struct {
		used, waiting tprole.Work
		want          tprole.Demand
		wantOK        bool
	}{
		{used: tprole.Work{Prefill: 100, Decode: 10}},
		{used: tprole.Work{Prefill: 108, Decode: 11}, want: tprole.Demand{Prefill: 4, Decode: 4}, wantOK: true},
		{used: tprole.Work{Prefill: 108, Decode: 11}, waiting: tprole.Work{Prefill: 4}, want: tprole.Demand{Prefill: 1}, wantOK: true},
		{used: tprole.Work{Prefill: 50, Decode: 11}},
		{used: tprole.Work{Prefill: 52, Decode: 11}, want: tprole.Demand{Prefill: 1}, wantOK: true},
	}
	for i, s := range steps {
		got, ok := m.Observe(epoch.Add(time.Duration(i)*time.Second), s.used, s.waiting)
		if got != s.want || ok != s.wantOK {
			t.Errorf("step %d: got %v %v, want %v %v", i, got, ok, s.want, s.wantOK)
		}
	}
}
