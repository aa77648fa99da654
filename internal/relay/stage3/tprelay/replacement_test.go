package tprelay_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
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

// funcUpstream runs each exchange with a function.
type funcUpstream struct {
	scriptedUpstream
	prefillFunc func(ctx context.Context, s *tprelay.UpstreamRequest) (tprelay.Handle, tprelay.Result)
	run         func(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result
}

func (u *funcUpstream) Prefill(ctx context.Context, s *tprelay.UpstreamRequest) (tprelay.Handle, tprelay.Result) {
	return u.prefillFunc(ctx, s)
}

func (u *funcUpstream) Run(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (tprelay.Result, []tpmessage.AnswerPart) {
	return u.run(ctx, s, deliver), nil
}

// runFunc runs one request. The placer grants t1, t2, ... for the given number
// of further steps and refuses the rest.
func runFunc(t *testing.T, u tprelay.Upstream, route tpmessage.RelayRoute, step tpplace.Step, grants int) (clientAnswer, []tpplace.StepResult) {
	t.Helper()
	return runFuncBeforeGrants(t, u, route, step, grants, func() {})
}

// runFuncBeforeGrants is runFunc with a function that is called before each
// grant.
func runFuncBeforeGrants(
	t *testing.T, u tprelay.Upstream, route tpmessage.RelayRoute, step tpplace.Step, grants int, beforeGrant func(),
) (clientAnswer, []tpplace.StepResult) {
	t.Helper()
	defer goleak.VerifyNone(t)
	return runBesideOthers(t, u, route, step, grants, beforeGrant)
}

// runBesideOthers is runFuncBeforeGrants for tests that run in parallel, whose
// goroutines cannot be told apart.
func runBesideOthers(
	t *testing.T, u tprelay.Upstream, route tpmessage.RelayRoute, step tpplace.Step, grants int, beforeGrant func(),
) (clientAnswer, []tpplace.StepResult) {
	t.Helper()
	log := zerolog.Nop()
	var mu sync.Mutex
	var results []tpplace.StepResult
	r := &tprelay.Relay{
		Upstream: u, Clock: tpclock.System{}, Log: &log, Counters: &tprelay.Counters{},
		RecordEnd: func(string, time.Duration) {},
	}
	granted := 0
	r.Place = func(in tpplace.Input) {
		if in.Kind == tpplace.InputTargetRequest {
			beforeGrant()
		}
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
		switch {
		case in.TargetRequest.Only != "":
			g.Target.Name, g.Reservation.Target = in.TargetRequest.Only, in.TargetRequest.Only
		case granted >= grants:
			g.Refusal = &tpmessage.RelayRefusal{Status: tpmessage.StatusUnavailable, Reason: "budget"}
		default:
			granted++
			g.Target.Name = fmt.Sprint("t", granted)
			g.Reservation.Target = g.Target.Name
		}
		_ = in.TargetRequest.Reply.TryPut(g)
	}
	stop := r.Start(1)
	now := time.Now()
	pool := tpmessage.RelayPool{Name: "p"}
	if step != tpplace.StepCall {
		pool.Engine = &tpmessage.EngineTraits{}
	}
	work := tpmessage.RelayWork{
		Request: &tpmessage.RelayRequest{
			ID: "r", Route: route, Pool: pool, ResumeAfter: -1, Arrived: now,
			Deadline: now.Add(5 * time.Second), CompletionDeadline: now.Add(5 * time.Second),
		},
		Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 64}),
		Ctx:    t.Context(),
	}
	g := tpplace.Grant{Work: work, Step: step}
	g.Target.Name, g.Reservation.Target = "t0", "t0"
	r.Handle(g)
	stop()
	return readAnswer(work.Answer), results
}

func TestEachReplacementIsReturned(t *testing.T) {
	var next func() // delivers the next event of t0
	u := &funcUpstream{run: func(_ context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
		_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
		number := 0
		next = func() {
			_ = deliver(tpmessage.AnswerPart{Data: fmt.Appendf(nil, "%d ", number), Event: number})
			number++
		}
		next()
		for range 2 {
			// The next event arrives before the grant, so the exchange goes on.
			if wait := s.OnSilence(true); wait <= 0 {
				t.Errorf("wait after an event that arrived before the grant: got %v, want a positive one", wait)
			}
		}
		_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
		return tprelay.Result{Status: 200}
	}}
	got, results := runFuncBeforeGrants(t, u, resumable, tpplace.StepRun, 2, func() { next() })
	if got.text != "0 1 2 " || !got.ended {
		t.Errorf("answer: got %q, complete %v, want a complete one", got.text, got.ended)
	}
	returned := make(map[string]int)
	for _, r := range results {
		returned[r.Reservation.Target]++
	}
	for _, name := range []string{"t0", "t1", "t2"} {
		if returned[name] != 1 {
			t.Errorf("reservation at %s: returned %d times, want once", name, returned[name])
		}
	}
}

func TestSilentPrefillIsKeptWithoutAnother(t *testing.T) {
	u := &funcUpstream{
		prefillFunc: func(ctx context.Context, s *tprelay.UpstreamRequest) (tprelay.Handle, tprelay.Result) {
			end, timeout := time.After(3*time.Second), s.FirstByteTimeout
			for {
				select {
				case <-end:
					return tprelay.Handle{Address: "t0:1", ID: "h"}, tprelay.Result{Status: 200}
				case <-ctx.Done():
					return tprelay.Handle{}, tprelay.Result{End: tprelay.EndCancelled}
				case <-time.After(timeout):
					if s.OnSilence == nil {
						return tprelay.Handle{}, tprelay.Result{End: tprelay.EndTimeout}
					}
					if timeout = s.OnSilence(false); timeout <= 0 {
						return tprelay.Handle{}, tprelay.Result{End: tprelay.EndTimeout}
					}
				}
			}
		},
		run: func(_ context.Context, _ *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
			_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
			_ = deliver(tpmessage.AnswerPart{Data: []byte("0 "), Event: 0})
			_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
			return tprelay.Result{Status: 200}
		},
	}
	// A placer that grants the run of a prompt that has been read, and no
	// second target for the prompt.
	got, _ := runFuncAfterPrefill(t, u, resumable)
	if got.text != "0 " || !got.ended {
		t.Errorf("prompt read in 3 s of 5 s: got %q, complete %v, refusal %+v; want a complete answer", got.text, got.ended, got.refusal)
	}
}

// runFuncAfterPrefill is runFunc with a placer that grants only runs that
// continue from a handle.
func runFuncAfterPrefill(t *testing.T, u tprelay.Upstream, route tpmessage.RelayRoute) (clientAnswer, []tpplace.StepResult) {
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
		if !in.TargetRequest.HasHandle {
			g.Refusal = &tpmessage.RelayRefusal{Status: tpmessage.StatusUnavailable, Reason: "budget"}
		}
		_ = in.TargetRequest.Reply.TryPut(g)
	}
	stop := r.Start(1)
	now := time.Now()
	work := tpmessage.RelayWork{
		Request: &tpmessage.RelayRequest{
			ID: "r", Route: route, Pool: tpmessage.RelayPool{Name: "p", Engine: &tpmessage.EngineTraits{}}, ResumeAfter: -1, Arrived: now,
			Deadline: now.Add(5 * time.Second), CompletionDeadline: now.Add(5 * time.Second),
		},
		Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 64}),
		Ctx:    t.Context(),
	}
	g := tpplace.Grant{Work: work, Step: tpplace.StepPrefill}
	g.Target.Name, g.Reservation.Target = "t0", "t0"
	r.Handle(g)
	stop()
	return readAnswer(work.Answer), results
}

// Guards against a target that hangs and stays the first choice for new requests because its exchanges are kept.
func TestHungTargetIsReportedWithoutAnother(t *testing.T) {
	u := &funcUpstream{run: func(ctx context.Context, s *tprelay.UpstreamRequest, _ func(tpmessage.AnswerPart) error) tprelay.Result {
		waitInSilence(ctx, s, time.Minute, false)
		if ctx.Err() != nil {
			return tprelay.Result{End: tprelay.EndCancelled}
		}
		return tprelay.Result{End: tprelay.EndTimeout}
	}}
	_, results := runFunc(t, u, resumable, tpplace.StepRun, 0)
	for _, r := range results {
		if r.Reservation.Target == "t0" && r.Outcome == tpplace.OutcomeLost {
			return
		}
	}
	t.Errorf("target silent for 5 s: got results %+v, want one that makes the placer avoid it", results)
}

func TestRequestThatWaitsForAWorkerIsAnsweredInTime(t *testing.T) {
	release := make(chan struct{})
	u := &funcUpstream{run: func(ctx context.Context, _ *tprelay.UpstreamRequest, _ func(tpmessage.AnswerPart) error) tprelay.Result {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return tprelay.Result{End: tprelay.EndCancelled}
	}}
	log := zerolog.Nop()
	r := &tprelay.Relay{
		Upstream: u, Clock: tpclock.System{}, Log: &log, Counters: &tprelay.Counters{},
		RecordEnd: func(string, time.Duration) {}, Place: func(tpplace.Input) {},
	}
	stop := r.Start(1)
	defer stop()
	defer close(release)
	now := time.Now()
	submit := func(timeout time.Duration) *tpring.Ring[tpmessage.AnswerPart] {
		work := tpmessage.RelayWork{
			Request: &tpmessage.RelayRequest{
				ID: "r", Route: resumable, Pool: tpmessage.RelayPool{Name: "p", Engine: &tpmessage.EngineTraits{}}, ResumeAfter: -1,
				Arrived: now, Deadline: now.Add(timeout), CompletionDeadline: now.Add(timeout),
			},
			Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 64}),
			Ctx:    t.Context(),
		}
		r.Handle(tpplace.Grant{Work: work, Step: tpplace.StepRun})
		return work.Answer
	}
	submit(10 * time.Second)
	second := submit(300 * time.Millisecond)
	got := make(chan tpmessage.AnswerPart, 1)
	go func() {
		part, _ := second.Take()
		got <- part
	}()
	select {
	case part := <-got:
		if part.Refusal == nil {
			t.Errorf("got %+v, want a refusal", part)
		}
	case <-time.After(time.Second):
		t.Error("1 s after the arrival of a request with a timeout of 0.3 s: got no answer, want a refusal")
	}
}

func TestReplacementGrantedTooLateIsReturned(t *testing.T) {
	u := &funcUpstream{run: func(ctx context.Context, s *tprelay.UpstreamRequest, _ func(tpmessage.AnswerPart) error) tprelay.Result {
		if waitInSilence(ctx, s, time.Minute, false) || ctx.Err() != nil {
			return tprelay.Result{End: tprelay.EndCancelled}
		}
		return tprelay.Result{End: tprelay.EndTimeout}
	}}
	log := zerolog.Nop()
	var mu sync.Mutex
	returned := make(map[string]int)
	granted := 0
	r := &tprelay.Relay{
		Upstream: u, Clock: tpclock.System{}, Log: &log, Counters: &tprelay.Counters{},
		RecordEnd: func(string, time.Duration) {},
	}
	r.Place = func(in tpplace.Input) {
		mu.Lock()
		defer mu.Unlock()
		if in.Kind == tpplace.InputStepResult {
			returned[in.StepResult.Reservation.Target]++
			return
		}
		if in.Kind != tpplace.InputTargetRequest {
			return
		}
		time.Sleep(60 * time.Millisecond) // a busy placer
		granted++
		g := tpplace.Grant{Work: in.TargetRequest.Work, Step: in.TargetRequest.Step}
		g.Target.Name, g.Reservation.Target = "t1", "t1"
		_ = in.TargetRequest.Reply.TryPut(g)
	}
	stop := r.Start(1)
	now := time.Now()
	work := tpmessage.RelayWork{
		Request: &tpmessage.RelayRequest{
			ID: "r", Route: tpmessage.RelayRoute{Idempotent: true, MaxAttempts: 2, LatencyGoal: 100 * time.Millisecond},
			Pool: tpmessage.RelayPool{Name: "p"}, ResumeAfter: -1,
			Arrived: now, Deadline: now.Add(490 * time.Millisecond), CompletionDeadline: now.Add(690 * time.Millisecond),
		},
		Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 64}),
		Ctx:    t.Context(),
	}
	g := tpplace.Grant{Work: work, Step: tpplace.StepCall}
	g.Target.Name, g.Reservation.Target = "t0", "t0"
	r.Handle(g)
	stop()
	if granted != 1 {
		t.Fatalf("replacements granted: got %d, want 1", granted)
	}
	if returned["t0"] != 1 || returned["t1"] != 1 {
		t.Errorf("reservations returned: got %v, want one of t0 and one of t1", returned)
	}
}

func TestSilentTargetIsNotGivenUpForOneThatRefuses(t *testing.T) {
	runs := 0
	u := &funcUpstream{run: func(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
		if runs++; runs > 1 {
			return tprelay.Result{End: tprelay.EndNotRun, Status: 503}
		}
		_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
		for i := range 3 {
			if i == 2 && !waitInSilence(ctx, s, 1800*time.Millisecond, true) {
				return tprelay.Result{End: tprelay.EndTimeout}
			}
			_ = deliver(tpmessage.AnswerPart{Data: fmt.Appendf(nil, "%d ", i), Event: i})
		}
		_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
		return tprelay.Result{Status: 200}
	}}
	got, _ := runFunc(t, u, resumable, tpplace.StepRun, 1)
	if got.text != "0 1 2 " || !got.ended || got.broken {
		t.Errorf("target silent for 1.8 s: got %q, complete %v, broken %v; want %q complete", got.text, got.ended, got.broken, "0 1 2 ")
	}
}

// Guards against an answer that is broken off because the target that replaces a silent one cannot be reached, has no room, or fails.
func TestSilentTargetIsKeptUntilAnotherAccepts(t *testing.T) {
	for _, end := range []tprelay.Result{
		{End: tprelay.EndNotSent},
		{End: tprelay.EndMisdirected, Status: 421},
		{End: tprelay.EndNotRun, Status: 503},
		{End: tprelay.EndIncomplete, Cut: true},
	} {
		var runs atomic.Int32
		u := &funcUpstream{run: func(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
			if runs.Add(1) > 1 {
				return end
			}
			return sendWithPause(ctx, s, deliver, 2*time.Second)
		}}
		route := resumable
		route.MaxAttempts = 3
		got, results := runFunc(t, u, route, tpplace.StepRun, 2)
		if got.text != "0 1 2 " || !got.ended || got.broken {
			t.Errorf("replacement that ends as %v: got %q, complete %v, broken %v; want %q complete", end.End, got.text, got.ended, got.broken, "0 1 2 ")
		}
		if n := runs.Load(); n != 3 {
			t.Errorf("replacement that ends as %v: got %d exchanges, want 3", end.End, n)
		}
		for _, name := range []string{"t1", "t2"} {
			n := 0
			for _, r := range results {
				if r.Reservation.Target == name {
					n++
				}
			}
			if n != 1 {
				t.Errorf("replacement that ends as %v: reservation at %s returned %d times, want once", end.End, name, n)
			}
		}
	}
}

// Guards against a repeatable call that fails because the target that replaces a silent one refuses it.
func TestSilentCallIsKeptUntilAnotherAccepts(t *testing.T) {
	var runs atomic.Int32
	u := &funcUpstream{run: func(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
		if runs.Add(1) > 1 {
			return tprelay.Result{End: tprelay.EndNotRun, Status: 503}
		}
		if !waitInSilence(ctx, s, time.Second, false) {
			return tprelay.Result{End: tprelay.EndTimeout}
		}
		_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
		_ = deliver(tpmessage.AnswerPart{Data: []byte("whole"), Event: -1, End: true})
		return tprelay.Result{Status: 200}
	}}
	route := tpmessage.RelayRoute{Idempotent: true, MaxAttempts: 2, LatencyGoal: 100 * time.Millisecond}
	got, _ := runFunc(t, u, route, tpplace.StepCall, 1)
	if got.text != "whole" || !got.ended {
		t.Errorf("call silent for 1 s: got %q, complete %v, refusal %+v; want the whole answer", got.text, got.ended, got.refusal)
	}
}

// Guards against a prompt that is given up because the target that replaces a silent one refuses to read it.
func TestSilentPrefillIsKeptUntilAnotherAccepts(t *testing.T) {
	var prefills atomic.Int32
	u := &funcUpstream{
		prefillFunc: func(ctx context.Context, s *tprelay.UpstreamRequest) (tprelay.Handle, tprelay.Result) {
			if prefills.Add(1) > 1 {
				return tprelay.Handle{}, tprelay.Result{End: tprelay.EndNotRun, Status: 503}
			}
			if !waitInSilence(ctx, s, 3*time.Second, false) {
				return tprelay.Handle{}, tprelay.Result{End: tprelay.EndTimeout}
			}
			return tprelay.Handle{Address: "t0:1", ID: "h"}, tprelay.Result{Status: 200}
		},
		run: func(_ context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
			if s.Handle.ID != "h" {
				return tprelay.Result{End: tprelay.EndNotRun, Status: 503}
			}
			_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
			_ = deliver(tpmessage.AnswerPart{Data: []byte("0 "), Event: 0})
			_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
			return tprelay.Result{Status: 200}
		},
	}
	got, _ := runFunc(t, u, resumable, tpplace.StepPrefill, 3)
	if got.text != "0 " || !got.ended {
		t.Errorf("prompt read in 3 s of 5 s: got %q, complete %v, refusal %+v; want a complete answer", got.text, got.ended, got.refusal)
	}
}

// Guards against a request that counts as not run although a trial that was accepted and then abandoned may have run it.
func TestAbandonedTrialMayHaveRun(t *testing.T) {
	var runs atomic.Int32
	u := &funcUpstream{run: func(ctx context.Context, s *tprelay.UpstreamRequest, _ func(tpmessage.AnswerPart) error) tprelay.Result {
		if runs.Add(1) > 1 {
			<-ctx.Done()
			return tprelay.Result{End: tprelay.EndCancelled}
		}
		waitInSilence(ctx, s, time.Minute, false)
		time.Sleep(time.Until(s.Deadline.Add(-30 * time.Millisecond))) // too late for another attempt
		return tprelay.Result{End: tprelay.EndNotRun, Status: 503}
	}}
	route := tpmessage.RelayRoute{Idempotent: true, MaxAttempts: 2, LatencyGoal: 100 * time.Millisecond}
	got, results := runFunc(t, u, route, tpplace.StepCall, 1)
	if got.refusal == nil || got.refusal.Status != tpmessage.StatusUnknown {
		t.Errorf("call refused by a silent target after a trial was accepted: got %+v, want status %d", got.refusal, tpmessage.StatusUnknown)
	}
	returned := make(map[string]int)
	for _, r := range results {
		returned[r.Reservation.Target]++
	}
	if runs.Load() != 2 || returned["t0"] != 1 || returned["t1"] != 1 {
		t.Errorf("got %d runs, reservations returned %v; want two, and one of each target", runs.Load(), returned)
	}
}

// Guards against a stream that is in progress at two targets because the silent one goes on after another has accepted.
func TestSilentTargetEndsOnceAnotherAccepts(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration // until the answer of the replacement begins
		pause time.Duration // after which the silent target goes on
	}{
		{"answers at once", 0, 1300 * time.Millisecond},
		{"queues the request", time.Second, 1300 * time.Millisecond},
		{"queues the request, and the silent target stays silent", time.Second, time.Minute},
	} {
		var runs atomic.Int32
		var accepted, ended atomic.Int64 // times in nanoseconds
		u := &funcUpstream{run: func(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
			if runs.Add(1) == 1 {
				defer func() { ended.Store(time.Now().UnixNano()) }()
				return sendWithPause(ctx, s, deliver, test.pause)
			}
			accepted.Store(time.Now().UnixNano())
			select {
			case <-time.After(test.delay):
			case <-ctx.Done():
				return tprelay.Result{End: tprelay.EndCancelled}
			}
			_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
			for i := s.ResumeAfter + 1; i < 3; i++ {
				_ = deliver(tpmessage.AnswerPart{Data: fmt.Appendf(nil, "%d ", i), Event: i})
			}
			_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
			return tprelay.Result{Status: 200}
		}}
		got, results := runFunc(t, u, resumable, tpplace.StepRun, 1)
		if got.text != "0 1 2 " || !got.ended || got.broken {
			t.Errorf("%s: got %q, complete %v, broken %v; want %q complete", test.name, got.text, got.ended, got.broken, "0 1 2 ")
		}
		if runs.Load() != 2 {
			t.Fatalf("%s: got %d runs, want 2", test.name, runs.Load())
		}
		if both := time.Duration(ended.Load() - accepted.Load()); both > 400*time.Millisecond {
			t.Errorf("%s: in progress at two targets for %v, want 400 ms at most", test.name, both)
		}
		if len(results) != 2 || results[0].Reservation.Target != "t0" || results[0].Outcome != tpplace.OutcomeLost || results[1].Outcome != tpplace.OutcomeServed {
			t.Errorf("%s: results reported to the placer: got %+v, want a loss at t0 and one served", test.name, results)
		}
	}
}

// sendWithPause sends three events with a pause before the last one. It ends as
// tpguest.Upstream does when an event cannot be delivered.
func sendWithPause(
	ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error, pause time.Duration,
) tprelay.Result {
	_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
	for i := range 3 {
		if i == 2 && !waitInSilence(ctx, s, pause, true) {
			return tprelay.Result{End: tprelay.EndTimeout}
		}
		if err := deliver(tpmessage.AnswerPart{Data: fmt.Appendf(nil, "%d ", i), Event: i}); err != nil {
			return tprelay.Result{End: tprelay.EndIncomplete, Err: err}
		}
	}
	_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
	return tprelay.Result{Status: 200}
}

// Guards against a request that is held although its last allowed run has failed while a prompt target was silent.
func TestPromptIsGivenUpAfterTheLastRun(t *testing.T) {
	var prefills, runs atomic.Int32
	u := &funcUpstream{
		prefillFunc: func(ctx context.Context, s *tprelay.UpstreamRequest) (tprelay.Handle, tprelay.Result) {
			if prefills.Add(1) > 1 {
				return tprelay.Handle{}, tprelay.Result{End: tprelay.EndNotRun, Status: 503}
			}
			if waitInSilence(ctx, s, time.Minute, false) || ctx.Err() != nil {
				return tprelay.Handle{}, tprelay.Result{End: tprelay.EndCancelled}
			}
			return tprelay.Handle{}, tprelay.Result{End: tprelay.EndTimeout}
		},
		run: func(context.Context, *tprelay.UpstreamRequest, func(tpmessage.AnswerPart) error) tprelay.Result {
			runs.Add(1)
			return tprelay.Result{End: tprelay.EndIncomplete}
		},
	}
	route := resumable
	route.MaxAttempts = 1
	began := time.Now()
	got, _ := runFunc(t, u, route, tpplace.StepPrefill, 4)
	if got.refusal == nil || got.refusal.Status != tpmessage.StatusUnknown || runs.Load() != 1 {
		t.Errorf("after the last run failed: got %+v after %d runs, want status %d after one", got.refusal, runs.Load(), tpmessage.StatusUnknown)
	}
	if took := time.Since(began); took > 4*time.Second { // the request has 5 s
		t.Errorf("final answer: got it after %v, want it when the run has failed", took)
	}
}

// Guards against a second run of a request that may not be repeated: its silent prompt target goes on after the run without the prompt has begun.
func TestRequestRunsOnceAfterASilentPrefill(t *testing.T) {
	for _, end := range []tprelay.End{tprelay.EndIncomplete, tprelay.EndNotRun, tprelay.EndComplete} {
		var prefills, runs atomic.Int32
		u := &funcUpstream{
			prefillFunc: func(ctx context.Context, s *tprelay.UpstreamRequest) (tprelay.Handle, tprelay.Result) {
				if prefills.Add(1) > 1 {
					return tprelay.Handle{}, tprelay.Result{End: tprelay.EndNotRun, Status: 503}
				}
				if !waitInSilence(ctx, s, 4*time.Second, false) {
					return tprelay.Handle{}, tprelay.Result{End: tprelay.EndTimeout}
				}
				return tprelay.Handle{Address: "t0:1", ID: "h"}, tprelay.Result{Status: 200}
			},
			run: func(_ context.Context, _ *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) tprelay.Result {
				if runs.Add(1) == 1 && end != tprelay.EndComplete {
					return tprelay.Result{End: end}
				}
				_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Event: -1})
				_ = deliver(tpmessage.AnswerPart{Data: []byte("0 "), Event: 0})
				_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
				return tprelay.Result{Status: 200}
			},
		}
		got, _ := runFunc(t, u, tpmessage.RelayRoute{Stream: true, MaxAttempts: 2}, tpplace.StepPrefill, 4)
		if end == tprelay.EndNotRun {
			if got.text != "0 " || !got.ended {
				t.Errorf("run without the prompt refused: got %q, complete %v, refusal %+v; want a whole answer", got.text, got.ended, got.refusal)
			}
			continue
		}
		if n := runs.Load(); n != 1 {
			t.Errorf("first run ends as %v: got %d runs of a request that may not be repeated, want 1", end, n)
		}
		if end == tprelay.EndIncomplete && (got.refusal == nil || got.refusal.Status != tpmessage.StatusUnknown) {
			t.Errorf("first run ends as %v: got %+v, want status %d", end, got.refusal, tpmessage.StatusUnknown)
		}
	}
}
