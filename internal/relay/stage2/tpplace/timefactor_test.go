package tpplace_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
)

// Guards against a speed estimate that stays at the reference speed, so that
// the placer accepts prompts that slower engines cannot read in time, and
// against single late answers that make all engines appear slow.
func TestSpeedIsLearned(t *testing.T) {
	expected := func(slowdown float64, outlierInterval int) time.Duration {
		p := newPlacer(tpplace.Affinity{}, fleet(2, 1))
		now := epoch
		for i := range 40 {
			now = now.Add(time.Second)
			req := request(uint64(i+1), 0, 9600)
			req.Arrived, req.Deadline = now, now.Add(20*time.Second)
			g := mustGrant(t, p, now, targetRequest(req, tpplace.StepPrefill))
			took := time.Duration(slowdown * float64(g.Reservation.ReadTime))
			if outlierInterval > 0 && i%outlierInterval == 0 {
				took *= 5
			}
			p.Step(now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{Reservation: g.Reservation, Elapsed: took}})
		}
		req := request(99, 0, 9600)
		req.Arrived, req.Deadline = now, now.Add(20*time.Second)
		return mustGrant(t, p, now, targetRequest(req, tpplace.StepPrefill)).ReadTime
	}
	baseline := expected(1.1, 0)
	if got := expected(2.2, 0); got < baseline*18/10 || got > baseline*22/10 {
		t.Errorf("time for reading at half the speed: got %v, want about %v", got, 2*baseline)
	}
	if got := expected(1.1, 3); got > baseline*12/10 {
		t.Errorf("time for reading with every third answer late: got %v, want about %v", got, baseline)
	}
}

// Guards against a demand without the work of generating answers. The demand
// determines the roles of the engines.
func TestDemandCountsAnswers(t *testing.T) {
	demand := func(events int) float64 {
		p := newPlacer(tpplace.Affinity{}, fleet(2, 2))
		now := epoch
		for range 200 {
			now = now.Add(50 * time.Millisecond)
			req := request(0, 0, 400)
			req.Route.Name, req.Arrived, req.Deadline = "r", now, now.Add(5*time.Second)
			g := mustGrant(t, p, now, targetRequest(req, tpplace.StepFirst))
			p.Step(now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
				Reservation: g.Reservation, Route: "r", Events: events, EventTokens: 10,
			}})
		}
		return p.Load(now).DecodeDemand
	}
	short, long := demand(2), demand(100)
	// 20 answers/s of 1,000 tokens at 0.185 ms per token keep 3.7 engines busy.
	if long < 3 || long > 4.5 || short > 1 {
		t.Errorf("engines kept busy by answers of 20 and of 1,000 tokens: got %.2f and %.2f, want below 1 and about 3.7", short, long)
	}
}

// Guards against a prompt that cannot meet its latency goal and is yet read
// before prompts that can, and against an expected queue delay that includes
// less urgent prompts.
func TestLatePromptsComeLast(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(1, 1))
	prompt := func(routePriority int, own int) tpplace.Grant {
		req := request(0, 0, own)
		req.Route.LatencyGoal, req.Route.Priority = 800*time.Millisecond, routePriority
		return mustGrant(t, p, epoch, targetRequest(req, tpplace.StepPrefill))
	}
	first := prompt(2, 20000)
	second := prompt(2, 20000) // starts after about 470 ms and takes as long
	if first.Reservation.Priority >= second.Reservation.Priority {
		t.Errorf("priorities of a prompt in time and a late one: got %d and %d", first.Reservation.Priority, second.Reservation.Priority)
	}
	if got := prompt(2, 3000); got.Reservation.Priority != first.Reservation.Priority || got.QueueDelay > 600*time.Millisecond {
		t.Errorf("a short prompt behind a late one: got priority %d and a wait of %v", got.Reservation.Priority, got.QueueDelay)
	}
	if got := prompt(0, 3000); got.Reservation.Priority >= first.Reservation.Priority || got.QueueDelay > 100*time.Millisecond {
		t.Errorf("an urgent prompt: got priority %d and a wait of %v", got.Reservation.Priority, got.QueueDelay)
	}
	if load := p.Load(epoch).Loads[0].Prefill; load[first.Reservation.Priority] != 23000 || load[second.Reservation.Priority] != 20000 {
		t.Errorf("load announced to peers: got %v", load)
	}
}

// Guards against batches so large that no long answer finishes in its time, and
// against reading a prompt when no target can generate from it.
func TestBatchLeavesTimeForAnswers(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(1, 1))
	g := mustGrant(t, p, epoch, targetRequest(request(0, 0, 100), tpplace.StepRun))
	// 100 events of 10 tokens take 2.7 s alone and 5.7 s in a batch of 26 runs.
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{Reservation: g.Reservation, Events: 100, EventTokens: 10}})
	granted := 0
	for range 64 {
		in := targetRequest(request(0, 0, 100), tpplace.StepRun)
		if g, _ := p.Step(epoch, in); g.Refusal == nil {
			granted++
		}
	}
	if got, want := granted, 32; got != want {
		t.Errorf("long answers in one batch of 64: got %d, want %d", got, want)
	}
	if g, _ := p.Step(epoch, targetRequest(request(0, 0, 20000), tpplace.StepFirst)); g.Refusal == nil {
		t.Errorf("a prompt is read at %s although no target can generate from it", g.Target.Name)
	}
	short := request(0, 0, 100)
	short.Route.Name = "short"
	mustGrant(t, p, epoch, targetRequest(short, tpplace.StepRun))
}
