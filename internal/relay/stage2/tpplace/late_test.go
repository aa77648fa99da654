package tpplace_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
)

// Guards against refused retries that use up the retry budget of all others.
func TestLateRetryKeepsTheBudget(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(0, 4))
	late := request(7, 1000, 100)
	late.Deadline = epoch.Add(10 * time.Second)
	in := targetRequest(late, tpplace.StepRun)
	in.TargetRequest.IsRetry = true
	now := epoch.Add(3 * time.Second) // after the time in which clients wait for the first event
	for i := range 10 {
		g, _ := p.Step(now.Add(time.Duration(i)*300*time.Millisecond), in)
		if g.Refusal == nil {
			t.Fatalf("ask %d: got a grant, want a refusal", i)
		}
		t.Logf("ask %d: %s", i, g.Refusal.Reason)
	}
	now = now.Add(3 * time.Second)
	other := request(8, 1000, 100)
	other.Arrived, other.Deadline = now, now.Add(5*time.Second)
	in = targetRequest(other, tpplace.StepRun)
	in.TargetRequest.IsRetry = true
	if g, _ := p.Step(now, in); g.Refusal != nil {
		t.Errorf("first retry that reaches a target: got %q, want a grant", g.Refusal.Reason)
	}
}

// Guards against a stream that has begun and cannot be resumed because the time for its first event is over.
func TestBegunStreamMayBeResumedLate(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(0, 4))
	req := request(7, 1000, 100)
	req.Route.Resumable, req.Route.MaxAttempts = true, 2
	req.Deadline = epoch.Add(10 * time.Second)
	in := targetRequest(req, tpplace.StepRun)
	in.TargetRequest.IsRetry, in.TargetRequest.Begun = true, true
	if g, _ := p.Step(epoch.Add(3*time.Second), in); g.Refusal != nil {
		t.Errorf("resumption 3 s after the arrival, 7 s before the deadline: got %q, want a grant", g.Refusal.Reason)
	}
}

func TestSilentTargetIsNotReplacedByAFailingOne(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(0, 2))
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
		Reservation: tpplace.Reservation{Target: "d1"}, Outcome: tpplace.OutcomeLost,
	}})
	in := targetRequest(request(7, 1000, 100), tpplace.StepRun)
	in.TargetRequest.Exclude = []string{"d0"}
	if g, _ := p.Step(epoch, in); g.Refusal != nil {
		t.Fatalf("last target, with a loss: got %q, want a grant", g.Refusal.Reason)
	}
	in.TargetRequest.SoundOnly = true
	if g, _ := p.Step(epoch, in); g.Refusal == nil {
		t.Errorf("replacement of a silent target: got %s, which has a loss, want a refusal", g.Target.Name)
	}
}
