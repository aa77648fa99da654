package tprelay_test

import (
	"context"
	"fmt"
	"sync"
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

// pausingUpstream has targets that send some events, fall silent, and go on.
// It keeps the timeouts of an exchange as tpguest.Upstream does.
type pausingUpstream struct {
	scriptedUpstream
	first  int // events before the silence of the first target
	pause  time.Duration
	events int // of a whole stream
}

func (u *pausingUpstream) Run(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (tprelay.Result, []tpmessage.AnswerPart) {
	u.mu.Lock()
	u.runs = append(u.runs, *s)
	silent := len(u.runs) == 1
	u.mu.Unlock()
	_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
	for i := s.ResumeAfter + 1; i < u.events; i++ {
		if silent && i == u.first {
			if !waitInSilence(ctx, s, u.pause, i > 0) {
				return tprelay.Result{End: tprelay.EndTimeout}, nil
			}
		}
		if err := deliver(tpmessage.AnswerPart{Data: fmt.Appendf(nil, "%d ", i), Event: i}); err != nil {
			return tprelay.Result{End: tprelay.EndCancelled, Err: err}, nil
		}
	}
	_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
	return tprelay.Result{Status: 200}, nil
}

// waitInSilence waits for the end of a silence. It returns false if the
// exchange ends before.
func waitInSilence(ctx context.Context, s *tprelay.UpstreamRequest, pause time.Duration, begun bool) bool {
	timeout := s.FirstByteTimeout
	if begun {
		timeout = s.GapTimeout
	}
	end := time.After(pause)
	for {
		var silence <-chan time.Time
		if timeout > 0 {
			silence = time.After(timeout)
		}
		select {
		case <-end:
			return true
		case <-ctx.Done():
			return false
		case <-silence:
			if timeout = s.OnSilence(begun); timeout <= 0 {
				return false
			}
		}
	}
}

// runSilence runs one request against targets that pause. The placer refuses
// further targets unless grant is true.
func runSilence(t *testing.T, u *pausingUpstream, route tpmessage.RelayRoute, grant bool) (clientAnswer, []tpplace.StepResult) {
	t.Helper()
	defer goleak.VerifyNone(t)
	log := zerolog.Nop()
	var mu sync.Mutex
	var results []tpplace.StepResult
	r := &tprelay.Relay{
		Upstream: u, Clock: tpclock.System{}, Log: &log, Counters: &tprelay.Counters{},
		RecordEnd: func(string, time.Duration) {},
	}
	r.Place = func(in tpplace.Input) {
		mu.Lock()
		defer mu.Unlock()
		if in.Kind == tpplace.InputStepResult {
			results = append(results, in.StepResult)
			return
		}
		if in.Kind != tpplace.InputTargetRequest {
			return
		}
		g := tpplace.Grant{Work: in.TargetRequest.Work, Step: in.TargetRequest.Step}
		g.Target.Name, g.Reservation.Target = "t1", "t1"
		if !grant {
			g = tpplace.Grant{Refusal: &tpmessage.RelayRefusal{Status: tpmessage.StatusUnavailable, Reason: "budget"}}
		}
		_ = in.TargetRequest.Reply.TryPut(g)
	}
	stop := r.Start(1)
	now := time.Now()
	work := tpmessage.RelayWork{
		Request: &tpmessage.RelayRequest{
			ID: "r", Route: route, Pool: tpmessage.RelayPool{Name: "p", Engine: &tpmessage.EngineTraits{}},
			ResumeAfter: -1, Arrived: now, Deadline: now.Add(5 * time.Second), CompletionDeadline: now.Add(5 * time.Second),
		},
		Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 64}),
		Ctx:    t.Context(),
	}
	g := tpplace.Grant{Work: work, Step: tpplace.StepRun}
	g.Target.Name, g.Reservation.Target = "t0", "t0"
	r.Handle(g)
	stop()
	return readAnswer(work.Answer), results
}

func TestSilentTargetIsKeptWithoutAnother(t *testing.T) {
	for _, test := range []struct {
		name  string
		first int
		pause time.Duration
	}{
		{"between two events", 2, 2200 * time.Millisecond},
		{"before the first event", 0, 2500 * time.Millisecond},
	} {
		u := &pausingUpstream{first: test.first, pause: test.pause, events: 4}
		got, results := runSilence(t, u, resumable, false)
		if want := "0 1 2 3 "; got.text != want || !got.ended || got.broken {
			t.Errorf("%s: got %q, complete %v, broken %v, refusal %+v; want %q complete", test.name, got.text, got.ended, got.broken, got.refusal, want)
		}
		if len(results) != 2 || results[0].Reservation != (tpplace.Reservation{Target: "t0"}) || results[1].Outcome != tpplace.OutcomeServed {
			t.Errorf("%s: results reported to the placer: got %+v, want a silence that frees nothing and one served", test.name, results)
		}
	}
}

func TestSilentTargetIsReplacedByAnother(t *testing.T) {
	u := &pausingUpstream{first: 2, pause: 4 * time.Second, events: 4}
	got, results := runSilence(t, u, resumable, true)
	if want := "0 1 2 3 "; got.text != want || !got.ended {
		t.Errorf("answer: got %q, complete %v, want %q complete", got.text, got.ended, want)
	}
	if len(u.runs) != 2 || u.runs[1].Target.Name != "t1" || u.runs[1].ResumeAfter != 1 {
		t.Errorf("runs: got %+v, want a second one at t1 that resumes after event 1", u.runs)
	}
	if len(results) != 2 || results[0].Outcome != tpplace.OutcomeLost || results[0].Reservation.Target != "t0" {
		t.Errorf("results reported to the placer: got %+v, want a loss at t0 and one more", results)
	}
}

// Guards against a second run that is cut in a silence although no third one is allowed.
func TestLastRunIsNotCutInSilence(t *testing.T) {
	route := resumable
	route.MaxAttempts = 1
	u := &pausingUpstream{first: 2, pause: 2 * time.Second, events: 4}
	got, _ := runSilence(t, u, route, true)
	if want := "0 1 2 3 "; got.text != want || !got.ended || len(u.runs) != 1 {
		t.Errorf("got %q, complete %v, %d runs; want %q complete after one run", got.text, got.ended, len(u.runs), want)
	}
}
