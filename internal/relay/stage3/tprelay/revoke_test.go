package tprelay_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// revokingUpstream removes the key of a request after some events of its run.
type revokingUpstream struct {
	scriptedUpstream
	revoke context.CancelFunc
	events int
	calls  int
}

func (u *revokingUpstream) Run(ctx context.Context, _ *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (tprelay.Result, []tpmessage.AnswerPart) {
	u.calls++
	for i := range u.events {
		_ = deliver(tpmessage.AnswerPart{Data: []byte("x"), Event: i})
	}
	u.revoke()
	<-ctx.Done()
	return tprelay.Result{End: tprelay.EndCancelled, Err: errors.New("cancelled")}, nil
}

// Guards against a request with a removed key that is sent, or repeated, and
// against a wrong statement about whether it ran.
func TestRemovedKeyEndsRequest(t *testing.T) {
	for _, test := range []struct {
		name              string
		before            bool // the key is removed before the request is sent
		events, wantCalls int
		wantStatus        int
		wantBroken        bool
	}{
		{"not sent", true, 0, 0, 503, false},
		{"sent", false, 0, 1, 502, false},
		{"answer begun", false, 2, 1, 0, true},
	} {
		authority, revoke := context.WithCancel(t.Context())
		u := &revokingUpstream{revoke: revoke, events: test.events}
		if test.before {
			revoke()
		}
		log := zerolog.Nop()
		var outcomes []tpplace.Outcome
		r := &tprelay.Relay{
			Upstream: u, Clock: tpclock.System{}, Log: &log, Counters: &tprelay.Counters{}, RecordEnd: func(string, time.Duration) {},
			Place: func(in tpplace.Input) {
				if in.Kind == tpplace.InputStepResult {
					outcomes = append(outcomes, in.StepResult.Outcome)
				}
			},
		}
		now := time.Now()
		work := tpmessage.RelayWork{
			Request: &tpmessage.RelayRequest{
				ID: "r", Route: resumable, ResumeAfter: -1, Arrived: now, Deadline: now.Add(20 * time.Second), CompletionDeadline: now.Add(20 * time.Second),
			},
			Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 64}), Ctx: t.Context(), Authority: authority,
		}
		stop := r.Start(1)
		r.Handle(tpplace.Grant{Work: work, Step: tpplace.StepRun})
		stop()
		got := readAnswer(work.Answer)
		status := 0
		if got.refusal != nil {
			status = got.refusal.Status
		}
		if status != test.wantStatus || got.broken != test.wantBroken || u.calls != test.wantCalls {
			t.Errorf("%s: got status %d, broken %v after %d calls, want %d, %v after %d", test.name, status, got.broken, u.calls,
				test.wantStatus, test.wantBroken, test.wantCalls)
		}
		if len(outcomes) != 1 || outcomes[0] != tpplace.OutcomeAbandoned {
			t.Errorf("%s: outcomes for the placer: got %v, want one %v", test.name, outcomes, tpplace.OutcomeAbandoned)
		}
	}
	goleak.VerifyNone(t)
}
