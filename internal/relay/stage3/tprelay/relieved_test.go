package tprelay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// span is the time for which a target has worked on a request.
type span struct {
	target     string
	begin, end time.Time
}

// lateRefusals has a target t0 that falls silent once after two of three parts.
// All others end as refusal after delay.
type lateRefusals struct {
	scriptedUpstream
	delay, pause time.Duration
	refusal      tprelay.Result
	isFailure    bool // the refusal is an answer with an error status
	silentAfter  int  // parts

	spansMu sync.Mutex
	spans   []span
	paused  bool
}

func (u *lateRefusals) Run(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (tprelay.Result, []tpmessage.AnswerPart) {
	w := span{target: s.Target.Name, begin: time.Now()}
	defer func() {
		u.spansMu.Lock()
		defer u.spansMu.Unlock()
		w.end = time.Now()
		u.spans = append(u.spans, w)
	}()
	if s.Target.Name == "t0" {
		return u.answer(ctx, s, deliver), nil
	}
	if !waitInSilence(ctx, s, u.delay, false) {
		return tprelay.Result{End: tprelay.EndTimeout}, nil
	}
	if u.isFailure {
		return u.refusal, []tpmessage.AnswerPart{{Head: &tpmessage.AnswerHead{Status: u.refusal.Status}, Event: -1, End: true}}
	}
	return u.refusal, nil
}

func (u *lateRefusals) answer(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
	u.spansMu.Lock()
	isFirst := !u.paused
	u.paused = true
	u.spansMu.Unlock()
	isStream := s.Request.Route.Stream
	event := -1
	for i := s.ResumeAfter + 1; i < 3; i++ {
		if isFirst && i == u.silentAfter && !waitInSilence(ctx, s, u.pause, i > 0) {
			return tprelay.Result{End: tprelay.EndTimeout}
		}
		if i == s.ResumeAfter+1 {
			_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
		}
		if isStream {
			event = i
		}
		if err := deliver(tpmessage.AnswerPart{Data: fmt.Appendf(nil, "%d ", i), Event: event}); err != nil {
			return tprelay.Result{End: tprelay.EndIncomplete, Err: err}
		}
	}
	_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
	return tprelay.Result{Status: 200}
}

// together returns the longest time for which two targets have worked on the
// request.
func (u *lateRefusals) together() time.Duration {
	longest := time.Duration(0)
	for i, a := range u.spans {
		for _, b := range u.spans[i+1:] {
			begin, end := a.begin, a.end
			if b.begin.After(begin) {
				begin = b.begin
			}
			if b.end.Before(end) {
				end = b.end
			}
			if a.target != b.target {
				longest = max(longest, end.Sub(begin))
			}
		}
	}
	return longest
}

// Guards against an answer in progress that is lost because all replacements of its silent target refuse late.
func TestLateRefusalsLoseNoAnswer(t *testing.T) {
	notRun := tprelay.Result{End: tprelay.EndNotRun, Status: 503}
	call := tpmessage.RelayRoute{Idempotent: true, MaxAttempts: 2, LatencyGoal: 100 * time.Millisecond}
	for _, test := range []struct {
		name         string
		route        tpmessage.RelayRoute
		step         tpplace.Step
		silentAfter  int
		delay, pause time.Duration
		refusal      tprelay.Result
		isFailure    bool
		grants       int
	}{
		{"just late", resumable, tpplace.StepRun, 2, 300 * time.Millisecond, 1400 * time.Millisecond, notRun, false, 9},
		{"from the queue", resumable, tpplace.StepRun, 2, time.Second, 1400 * time.Millisecond, notRun, false, 9},
		{"later than the silence", resumable, tpplace.StepRun, 2, 3 * time.Second, 1400 * time.Millisecond, notRun, false, 9},
		{"one replacement", resumable, tpplace.StepRun, 2, 500 * time.Millisecond, 1400 * time.Millisecond, notRun, false, 1},
		{"at the first event", resumable, tpplace.StepRun, 1, 400 * time.Millisecond, 2 * time.Second, notRun, false, 9},
		{"before the first event", resumable, tpplace.StepRun, 0, 400 * time.Millisecond, 1800 * time.Millisecond, notRun, false, 9},
		{"gone", resumable, tpplace.StepRun, 2, 400 * time.Millisecond, 1400 * time.Millisecond, tprelay.Result{End: tprelay.EndNotSent}, false, 9},
		{"another role", resumable, tpplace.StepRun, 2, 400 * time.Millisecond, 1400 * time.Millisecond, tprelay.Result{End: tprelay.EndMisdirected, Status: 421}, false, 9},
		{"without a promise", resumable, tpplace.StepRun, 2, 400 * time.Millisecond, 1400 * time.Millisecond, tprelay.Result{End: tprelay.EndIncomplete, Status: 503}, false, 9},
		{"error", resumable, tpplace.StepRun, 2, 400 * time.Millisecond, 1400 * time.Millisecond, tprelay.Result{Status: 500}, true, 9},
		{"call", call, tpplace.StepCall, 0, 400 * time.Millisecond, 700 * time.Millisecond, notRun, false, 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			u := &lateRefusals{delay: test.delay, pause: test.pause, refusal: test.refusal, isFailure: test.isFailure, silentAfter: test.silentAfter}
			got, results := runBesideOthers(t, u, test.route, test.step, test.grants, func() {})
			if got.text != "0 1 2 " || !got.ended || got.broken {
				t.Errorf("got %q, complete %v, broken %v, refusal %+v; want %q complete", got.text, got.ended, got.broken, got.refusal, "0 1 2 ")
			}
			if both := u.together(); both > 400*time.Millisecond {
				t.Errorf("in progress at two targets for %v, want 400 ms at most", both)
			}
			sent, returned := make(map[string]int), make(map[string]int)
			for _, w := range u.spans {
				sent[w.target]++
			}
			for _, r := range results {
				if r.Request != nil { // the report of a silence has none
					returned[r.Reservation.Target]++
				}
			}
			for name, n := range sent {
				if returned[name] != n {
					t.Errorf("reservations at %s: got %d returned, want %d", name, returned[name], n)
				}
			}
		})
	}
}

// Guards against a target that is asked again and again, beyond the retry that was reserved, after it has refused as well.
func TestRelievedTargetIsAskedOnce(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int)
	u := &funcUpstream{run: func(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
		mu.Lock()
		runs[s.Target.Name]++
		isFirst := len(runs) == 1
		mu.Unlock()
		if isFirst {
			return sendWithPause(ctx, s, deliver, time.Minute)
		}
		if !waitInSilence(ctx, s, 300*time.Millisecond, false) {
			return tprelay.Result{End: tprelay.EndTimeout}
		}
		return tprelay.Result{End: tprelay.EndNotRun, Status: 503}
	}}
	got, _ := runFunc(t, u, resumable, tpplace.StepRun, 9)
	if !got.broken {
		t.Errorf("all targets refuse: got %q, broken %v, want a broken answer", got.text, got.broken)
	}
	if got, want := runs["t0"], 2; got != want {
		t.Errorf("exchanges with the silent target: got %d, want %d", got, want)
	}
}

// Guards against a prompt that stays in the memory of a target that has lost to another one.
func TestPromptOfTheLoserIsFreed(t *testing.T) {
	u := &funcUpstream{
		prefillFunc: func(ctx context.Context, s *tprelay.UpstreamRequest) (tprelay.Handle, tprelay.Result) {
			if s.Target.Name == "t0" {
				waitInSilence(ctx, s, time.Minute, false)
				// The prompt was read when the other target had accepted.
				return tprelay.Handle{Address: "t0", ID: "late"}, tprelay.Result{Status: 200}
			}
			select {
			case <-time.After(400 * time.Millisecond):
			case <-ctx.Done():
			}
			return tprelay.Handle{Address: s.Target.Name, ID: "other"}, tprelay.Result{Status: 200}
		},
		run: func(_ context.Context, _ *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
			_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
			_ = deliver(tpmessage.AnswerPart{Data: []byte("0 "), Event: 0})
			_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
			return tprelay.Result{Status: 200}
		},
	}
	got, _ := runFunc(t, u, resumable, tpplace.StepPrefill, 3)
	if got.text != "0 " || !got.ended {
		t.Errorf("got %q, complete %v; want a complete answer", got.text, got.ended)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.freed) != 1 {
		t.Errorf("freed prompts: got %v, want the one that no run has taken", u.freed)
	}
}
