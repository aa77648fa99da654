package tpplace_test

import (
	"math"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
)

// Guards against a demand that is reported too low in the first seconds of
// traffic, so that the roles of the engines change late.
func TestDemandIsKnownEarly(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(2, 2))
	demandAfter := func(from, to time.Duration) float64 {
		now := epoch
		for at := from; at < to; at += 50 * time.Millisecond {
			now = epoch.Add(at)
			req := request(0, 0, 400)
			req.Arrived, req.Deadline = now, now.Add(5*time.Second)
			g := mustGrant(t, p, now, targetRequest(req, tpplace.StepFirst))
			p.Step(now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{Reservation: g.Reservation}})
		}
		return p.Load(now).DecodeDemand
	}
	early := demandAfter(0, time.Second)
	late := demandAfter(time.Second, 20*time.Second)
	if got := early / late; math.Abs(got-1) > 0.2 {
		t.Errorf("demand after 1 s relative to that after 20 s: got %.2f, want 0.8 to 1.2", got)
	}
}
