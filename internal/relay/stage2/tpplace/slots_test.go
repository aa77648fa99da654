package tpplace_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// smallBatch is a pool of engines with few slots.
var smallBatch = tpmessage.RelayPool{Name: "llm", Engine: &tpmessage.EngineTraits{Slots: 8, KVTokens: 400000, EventTokens: 10}}

// shortQuestion returns a request for the pool with a short prompt.
func shortQuestion(pool tpmessage.RelayPool, now time.Time) *tpmessage.RelayRequest {
	req := request(0, 0, 300)
	req.Pool, req.PromptParts, req.Arrived, req.Deadline = pool, nil, now, now.Add(3*time.Second)
	return req
}

// observeOutput lets the placer observe runs of 40 tokens.
func observeOutput(p *tpplace.Placer[tpplace.Affinity]) {
	for range 20 {
		p.Step(epoch, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
			Outcome: tpplace.OutcomeServed, Events: 4, EventTokens: 10, Streamed: 100 * time.Millisecond,
			Reservation: tpplace.Reservation{BatchSize: 8},
		}})
	}
}

// Guards against requests that are refused because every decode engine has a
// full batch, although a slot becomes free long before their deadline, and
// against a queue that grows beyond what can start in time.
func TestRunsWaitForASlot(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(1, 1))
	observeOutput(p)
	in := targetRequest(shortQuestion(smallBatch, epoch), tpplace.StepRun)
	in.TargetRequest.HasHandle = true
	var delay time.Duration
	granted := 0
	for ; granted < 100; granted++ {
		g, _ := p.Step(epoch, in)
		if g.Refusal != nil {
			break
		}
		if g.QueueDelay < delay {
			t.Fatalf("expected wait of run %d: got %v, want at least %v", granted, g.QueueDelay, delay)
		}
		delay = g.QueueDelay
	}
	slots := smallBatch.Engine.Slots
	if got, least, most := granted, 2*slots, 4*slots; got < least || got >= most {
		t.Errorf("runs granted at an engine with %d slots: got %d, want %d to %d", slots, got, least, most-1)
	}
	if delay <= 0 || delay >= time.Second {
		t.Errorf("expected wait of the last run: got %v, want more than 0 and less than 1 s", delay)
	}
}

// Guards against a split of the roles that leaves too few decode engines in a
// pool with few slots, because the work of an answer is taken to be that of a
// large batch.
func TestDemandFollowsSlots(t *testing.T) {
	demand := func(slots int) float64 {
		p := newPlacer(tpplace.Affinity{}, fleet(2, 2))
		pool := tpmessage.RelayPool{Name: "llm", Engine: &tpmessage.EngineTraits{Slots: slots, KVTokens: 400000}}
		for range 10 {
			p.Step(epoch, targetRequest(shortQuestion(pool, epoch), tpplace.StepFirst))
		}
		return p.Load(epoch).DecodeDemand
	}
	if got, atLeast := demand(12), 1.5*demand(64); got < atLeast {
		t.Errorf("decode demand with 12 slots: got %.3f engines, want at least %.3f", got, atLeast)
	}
}
