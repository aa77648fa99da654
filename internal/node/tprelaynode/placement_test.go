package tprelaynode

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Guards against a task or a client that waits for ever for a placement that
// panicked.
func TestPanicOfPlacementIsARefusal(t *testing.T) {
	// The placer is nil, so each step panics.
	n := &Node{
		clock: tpclock.System{}, log: zerolog.Nop(), placement: &placementFilter{},
		relay: &tprelay.Relay{Counters: &tprelay.Counters{}},
	}
	step := func(r tpplace.TargetRequest) (panicked bool) {
		defer func() { panicked = recover() != nil }()
		n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: r})
		return false
	}
	work := tpmessage.RelayWork{
		Request: &tpmessage.RelayRequest{ID: "r"}, Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 1}),
	}
	if !step(tpplace.TargetRequest{Work: work}) {
		t.Error("the panic of a new request is not continued")
	}
	if part, err := work.Answer.TryTake(); err != nil || part.Refusal == nil || part.Refusal.Status != tpmessage.StatusUnavailable {
		t.Errorf("answer to a new request: got %+v, %v, want a refusal", part, err)
	}
	reply := tpring.New[tpplace.Grant](tpring.Settings{Capacity: 1})
	if !step(tpplace.TargetRequest{Work: work, Reply: reply}) {
		t.Error("the panic of a further step is not continued")
	}
	if g, err := reply.TryTake(); err != nil || g.Refusal == nil {
		t.Errorf("grant of a further step: got %+v, %v, want a refusal", g, err)
	}
}

// Guards against a peer's call that waits for ever for a step that panicked.
func TestPanicOfMembershipEndsTheCall(t *testing.T) {
	m := &members{node: &Node{}}
	reply := tpring.New[tpmessage.Heartbeat](tpring.Settings{Capacity: 1})
	func() {
		defer func() { _ = recover() }()
		m.answerHeartbeat(time.Time{}, memberInput{reply: reply}) // the table is nil
	}()
	if _, err := reply.Take(); err == nil {
		t.Error("the call got an answer of a step that panicked")
	}
}
