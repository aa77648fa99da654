package tprelay_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
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

// attempt is the scripted result of one run.
type attempt struct {
	events int // delivered before the end
	end    tprelay.End
	status int
}

// scriptedUpstream is an Upstream with scripted results.
type scriptedUpstream struct {
	mu       sync.Mutex
	attempts []attempt
	runs     []tprelay.UpstreamRequest
	freed    []tprelay.Handle
	prefill  []tprelay.End
	begun    int  // streams reported as begun
	silent   bool // runs deliver no part of an answer
	runAt    []time.Time
	begins   []time.Time // of the request, as they are counted
	// eventBytes is the size to which each event is filled up.
	eventBytes int
}

func (u *scriptedUpstream) Prefill(_ context.Context, s *tprelay.UpstreamRequest) (tprelay.Handle, tprelay.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	end := u.prefill[0]
	u.prefill = u.prefill[1:]
	if end != tprelay.EndComplete {
		return tprelay.Handle{}, tprelay.Result{End: end, Err: errors.New("scripted"), Cut: end == tprelay.EndIncomplete}
	}
	return tprelay.Handle{Address: s.Target.Address, ID: "h"}, tprelay.Result{Status: 200}
}

func (u *scriptedUpstream) Run(_ context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (tprelay.Result, []tpmessage.AnswerPart) {
	u.mu.Lock()
	a := u.attempts[0]
	u.attempts = u.attempts[1:]
	u.runs = append(u.runs, *s)
	u.runAt = append(u.runAt, time.Now())
	u.mu.Unlock()
	head := &tpmessage.AnswerHead{Status: a.status, Header: map[string][]string{"Digest": {s.Target.Name}}}
	if a.status >= 300 {
		return tprelay.Result{Status: a.status}, []tpmessage.AnswerPart{{Head: head, Event: -1, End: true}}
	}
	if a.end == tprelay.EndNotRun || a.end == tprelay.EndNotSent {
		return tprelay.Result{End: a.end}, nil
	}
	if u.silent {
		return tprelay.Result{End: a.end, Silent: a.end == tprelay.EndTimeout}, nil
	}
	_ = deliver(tpmessage.AnswerPart{Head: head, Event: -1})
	for i := range a.events {
		n := s.ResumeAfter + 1 + i
		data := fmt.Appendf(nil, "%d ", n)
		data = append(data, make([]byte, max(0, u.eventBytes-len(data)))...)
		if err := deliver(tpmessage.AnswerPart{Data: data, Event: n}); err != nil {
			return tprelay.Result{End: tprelay.EndCancelled, Err: err}, nil
		}
	}
	if a.end == tprelay.EndComplete {
		_ = deliver(tpmessage.AnswerPart{Event: -1, End: true})
	}
	return tprelay.Result{End: a.end, Status: a.status, Cut: a.end == tprelay.EndIncomplete, Silent: a.end == tprelay.EndTimeout}, nil
}

func (u *scriptedUpstream) Free(_ context.Context, h tprelay.Handle) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.freed = append(u.freed, h)
}

// clientAnswer is the answer that the client received.
type clientAnswer struct {
	text    string
	head    *tpmessage.AnswerHead
	ended   bool
	broken  bool
	refusal *tpmessage.RelayRefusal
}

// runScript runs one request against a scripted upstream. The placer grants the
// given number of further steps and refuses the rest.
func runScript(t *testing.T, u tprelay.Upstream, route tpmessage.RelayRoute, step tpplace.Step, grants int) (clientAnswer, []tpplace.StepResult) {
	t.Helper()
	return runScriptBlocked(t, u, route, step, grants, nil)
}

// runScriptBlocked is runScript with targets to which nothing may be sent.
func runScriptBlocked(t *testing.T, u tprelay.Upstream, route tpmessage.RelayRoute, step tpplace.Step, grants int, isBlocked func(*tpmessage.RelayTarget) bool) (clientAnswer, []tpplace.StepResult) {
	t.Helper()
	defer goleak.VerifyNone(t)
	log := zerolog.Nop()
	var mu sync.Mutex
	var results []tpplace.StepResult
	r := &tprelay.Relay{
		Upstream: u, Clock: tpclock.System{}, Log: &log, Counters: &tprelay.Counters{},
		RecordEnd: func(string, time.Duration) {}, IsBlocked: isBlocked,
	}
	if scripted, ok := u.(*scriptedUpstream); ok {
		r.RecordBegin = func(_ string, at time.Time) { scripted.begins = append(scripted.begins, at) }
	}
	pool := tpmessage.RelayPool{Name: "p"}
	if step != tpplace.StepCall {
		pool.Engine = &tpmessage.EngineTraits{}
	}
	target := func(n int) tpmessage.RelayTarget {
		return tpmessage.RelayTarget{Target: tpmessage.Target{Name: fmt.Sprint("t", n), Address: fmt.Sprint("t", n, ":1")}}
	}
	granted := 0
	r.Place = func(in tpplace.Input) {
		mu.Lock()
		defer mu.Unlock()
		switch in.Kind {
		case tpplace.InputStepResult:
			results = append(results, in.StepResult)
			return
		case tpplace.InputStreamBegun:
			if scripted, ok := u.(*scriptedUpstream); ok {
				scripted.begun++
			}
			return
		}
		granted++
		g := tpplace.Grant{Work: in.TargetRequest.Work, Step: in.TargetRequest.Step, Target: target(granted)}
		if granted > grants {
			g.Refusal = &tpmessage.RelayRefusal{Status: tpmessage.StatusUnavailable, Reason: "budget", RetryAfter: time.Second}
		}
		_ = in.TargetRequest.Reply.TryPut(g)
	}
	stop := r.Start(1)
	now := time.Now()
	work := tpmessage.RelayWork{
		Request: &tpmessage.RelayRequest{
			ID: "r", Organisation: "alder", Route: route, Pool: pool, ResumeAfter: -1, Arrived: now, Deadline: now.Add(20 * time.Second), CompletionDeadline: now.Add(20 * time.Second),
		},
		Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 64}),
		Ctx:    t.Context(),
	}
	r.Handle(tpplace.Grant{Work: work, Step: step, Target: target(0)})
	stop()
	return readAnswer(work.Answer), results
}

// readAnswer returns what the client of a finished request received.
func readAnswer(answer *tpring.Ring[tpmessage.AnswerPart]) clientAnswer {
	var out clientAnswer
	var text strings.Builder
	for {
		part, err := answer.TryTake()
		if err != nil {
			out.text = text.String()
			return out
		}
		if part.Head != nil {
			out.head = part.Head
		}
		text.Write(part.Data)
		out.ended = out.ended || part.End
		out.broken = out.broken || part.Broken
		if part.Refusal != nil {
			out.refusal = part.Refusal
		}
	}
}

var (
	resumable     = tpmessage.RelayRoute{Stream: true, Resumable: true, MaxAttempts: 2}
	notResumable  = tpmessage.RelayRoute{Stream: true, MaxAttempts: 2}
	notRepeatable = tpmessage.RelayRoute{MaxAttempts: 3}
	retryable     = tpmessage.RelayRoute{Idempotent: true, MaxAttempts: 2, LatencyGoal: time.Second}
)

// Guards against a resumed stream that loses or repeats events, and against a
// second head from the second target.
func TestStreamResumes(t *testing.T) {
	u := &scriptedUpstream{attempts: []attempt{{3, tprelay.EndIncomplete, 200}, {4, tprelay.EndComplete, 200}}}
	out, _ := runScript(t, u, resumable, tpplace.StepRun, 1)
	if got, want := out.text, "0 1 2 3 4 5 6 "; got != want || !out.ended || out.broken {
		t.Errorf("answer: got %q ended %v broken %v, want %q complete", got, out.ended, out.broken, want)
	}
	if got, want := out.head.Header["Digest"][0], "t0"; got != want {
		t.Errorf("head: got that of %s, want %s", got, want)
	}
	if got, want := u.runs[1].ResumeAfter, 2; got != want {
		t.Errorf("event after which the second target resumes: got %d, want %d", got, want)
	}
}

// Guards against a cut stream that appears complete, and against a second run
// of a stream that may not be repeated.
func TestStreamThatCannotResumeIsBroken(t *testing.T) {
	u := &scriptedUpstream{attempts: []attempt{{2, tprelay.EndIncomplete, 200}}}
	out, _ := runScript(t, u, notResumable, tpplace.StepRun, 5)
	if out.ended || !out.broken || len(u.runs) != 1 {
		t.Errorf("got ended %v, broken %v, %d runs; want a broken answer after one run", out.ended, out.broken, len(u.runs))
	}
}

// Guards against running a call twice that may not be repeated, and against an
// answer that says that it did not run.
func TestUnsafeCallThatIsCutIsUnknown(t *testing.T) {
	u := &scriptedUpstream{attempts: []attempt{{0, tprelay.EndIncomplete, 200}}}
	out, results := runScript(t, u, notRepeatable, tpplace.StepCall, 5)
	if out.refusal == nil || out.refusal.Status != tpmessage.StatusUnknown || len(u.runs) != 1 {
		t.Errorf("got %+v after %d runs, want status %d after one", out.refusal, len(u.runs), tpmessage.StatusUnknown)
	}
	if len(results) != 1 || results[0].Outcome != tpplace.OutcomeLost {
		t.Errorf("results reported to the placer: got %+v, want one loss", results)
	}
}

// Guards against a refused call that is not sent to another target, and against
// a refusal without the placer's RetryAfter.
func TestRefusedCallGoesOn(t *testing.T) {
	u := &scriptedUpstream{attempts: []attempt{{0, tprelay.EndNotRun, 0}, {0, tprelay.EndComplete, 200}}}
	out, _ := runScript(t, u, notRepeatable, tpplace.StepCall, 1)
	if !out.ended || out.refusal != nil {
		t.Errorf("got %+v, want a complete answer from the second target", out)
	}
	u = &scriptedUpstream{attempts: []attempt{{0, tprelay.EndNotRun, 0}}}
	out, _ = runScript(t, u, notRepeatable, tpplace.StepCall, 0)
	if out.refusal == nil || out.refusal.Status != tpmessage.StatusUnavailable || out.refusal.RetryAfter != time.Second {
		t.Errorf("got %+v, want the refusal of the placer", out.refusal)
	}
}

// Guards against losing the error answer of a target when no further attempt is
// allowed, and against returning it although a later attempt succeeds.
func TestFailedAnswer(t *testing.T) {
	u := &scriptedUpstream{attempts: []attempt{{0, 0, 500}}}
	out, _ := runScript(t, u, retryable, tpplace.StepCall, 0)
	if out.head == nil || out.head.Status != 500 {
		t.Errorf("without a second attempt: got %+v, want the target's 500", out)
	}
	u = &scriptedUpstream{attempts: []attempt{{0, 0, 500}, {1, tprelay.EndComplete, 200}}}
	out, _ = runScript(t, u, retryable, tpplace.StepCall, 1)
	if out.head == nil || out.head.Status != 200 {
		t.Errorf("after a second attempt: got %+v, want its 200", out)
	}
}

// Guards against delivering a part of a plain service's answer before the
// answer is complete. Another attempt could then no longer replace it.
func TestCutAnswerOfSafeCallIsRepeated(t *testing.T) {
	u := &scriptedUpstream{attempts: []attempt{{2, tprelay.EndIncomplete, 200}, {1, tprelay.EndComplete, 200}}}
	out, _ := runScript(t, u, retryable, tpplace.StepCall, 1)
	if got, want := out.text, "0 "; got != want || !out.ended {
		t.Errorf("answer: got %q ended %v, want %q complete", got, out.ended, want)
	}
}

// Guards against a handle of a read prompt that is not released when the placer
// refuses a target for the run, so that no run takes it over.
func TestHandleIsGivenUp(t *testing.T) {
	u := &scriptedUpstream{prefill: []tprelay.End{tprelay.EndComplete}}
	out, _ := runScript(t, u, notResumable, tpplace.StepPrefill, 0)
	if out.refusal == nil || len(u.freed) != 1 {
		t.Errorf("got refusal %+v and freed %v, want a refusal and one handle freed", out.refusal, u.freed)
	}
}

// Guards against ending a request because its prefill targets are lost,
// although nothing has run and another target can read the prompt.
func TestLostPrefillFallsBack(t *testing.T) {
	u := &scriptedUpstream{
		prefill:  []tprelay.End{tprelay.EndIncomplete, tprelay.EndIncomplete},
		attempts: []attempt{{2, tprelay.EndComplete, 200}},
	}
	out, _ := runScript(t, u, notResumable, tpplace.StepPrefill, 2)
	if !out.ended || u.runs[0].Handle.ID != "" {
		t.Errorf("got %+v, want an answer from a run that reads the prompt itself", out)
	}
}

// slowUpstream is an Upstream whose stream starts after a delay and continues
// for some time after its first event.
type slowUpstream struct {
	scriptedUpstream
	before, after time.Duration
	requests      []tprelay.UpstreamRequest
}

func (u *slowUpstream) Run(ctx context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (tprelay.Result, []tpmessage.AnswerPart) {
	u.requests = append(u.requests, *s)
	select {
	case <-time.After(u.before):
	case <-time.After(s.FirstByteTimeout):
		return tprelay.Result{End: tprelay.EndTimeout}, nil
	}
	_ = deliver(tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200}, Data: []byte("0 "), Event: 0})
	select {
	case <-time.After(u.after):
	case <-ctx.Done():
		return tprelay.Result{End: tprelay.EndCancelled, Err: ctx.Err()}, nil
	}
	_ = deliver(tpmessage.AnswerPart{Data: []byte("1 "), Event: 1, End: true})
	return tprelay.Result{Status: 200}, nil
}

// Guards against cutting a stream at its route's timeout while its last events
// arrive, against a stream that continues beyond the grace period, and against
// a target that counts as lost because the request's deadline passed.
func TestBegunAnswerEndsWithinGrace(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after time.Duration
		text          string
		whole         bool
	}{
		{"ends within the grace period", 50 * time.Millisecond, 400 * time.Millisecond, "0 1 ", true},
		{"does not start in time", time.Minute, 0, "", false},
		{"continues beyond the grace period", 50 * time.Millisecond, time.Minute, "0 ", false},
	} {
		u := &slowUpstream{before: test.before, after: test.after}
		now := time.Now()
		req := &tpmessage.RelayRequest{
			ID: "r", Route: resumable, Pool: tpmessage.RelayPool{Name: "p", Engine: &tpmessage.EngineTraits{}},
			ResumeAfter: -1, Arrived: now, Deadline: now.Add(200 * time.Millisecond), CompletionDeadline: now.Add(2 * time.Second),
		}
		work := tpmessage.RelayWork{
			Request: req, Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 64}), Ctx: t.Context(),
		}
		log := zerolog.Nop()
		var outcomes []tpplace.Outcome
		r := &tprelay.Relay{
			Upstream: u, Clock: tpclock.System{}, Log: &log, Counters: &tprelay.Counters{},
			RecordEnd: func(string, time.Duration) {},
			Place: func(in tpplace.Input) {
				switch in.Kind {
				case tpplace.InputStepResult:
					outcomes = append(outcomes, in.StepResult.Outcome)
					return
				case tpplace.InputStreamBegun:
					return
				}
				_ = in.TargetRequest.Reply.TryPut(tpplace.Grant{Refusal: &tpmessage.RelayRefusal{Status: 503}})
			},
		}
		stop := r.Start(1)
		r.Handle(tpplace.Grant{Work: work, Step: tpplace.StepRun})
		stop()
		text, ended := "", false
		for part, err := work.Answer.TryTake(); err == nil; part, err = work.Answer.TryTake() {
			text += string(part.Data)
			ended = ended || part.End
		}
		if text != test.text || ended != test.whole {
			t.Errorf("%s: got %q, complete %v", test.name, text, ended)
		}
		if got := u.requests[0].Deadline; !got.Equal(req.CompletionDeadline) {
			t.Errorf("%s: deadline sent to the target: got %v, want %v", test.name, got, req.CompletionDeadline)
		}
		if !test.whole && (len(outcomes) != 1 || outcomes[0] != tpplace.OutcomeAbandoned) {
			t.Errorf("%s: outcome for the target: got %v, want abandoned", test.name, outcomes)
		}
	}
}

// Guards against a panic in one request that leaves its client without an end of
// the answer, or its reservation at the target for good.
func TestPanicEndsOneRequest(t *testing.T) {
	// A run without a scripted attempt panics.
	got, results := runScript(t, &scriptedUpstream{}, notResumable, tpplace.StepRun, 0)
	if got.ended || got.refusal != nil || got.text != "" {
		t.Errorf("answer: got %+v, want none", got)
	}
	if len(results) != 1 || results[0].Outcome != tpplace.OutcomeLost {
		t.Errorf("results of the step: got %+v, want one lost", results)
	}
}

// Guards against a sound stream that is cut during a pause in which the engine
// reads the prompt of another request, and that its client would have waited
// for.
func TestPauseOfSoundStreamIsAllowed(t *testing.T) {
	route := resumable
	route.EventGapGoal = 150 * time.Millisecond
	u := &scriptedUpstream{attempts: []attempt{{events: 2, end: tprelay.EndComplete, status: 200}}}
	runScript(t, u, route, tpplace.StepRun, 0)
	if got, least := u.runs[0].GapTimeout, time.Second; got < least {
		t.Errorf("timeout between two events: got %v, want at least %v", got, least)
	}
}

func TestCutsAndAnswersAreReported(t *testing.T) {
	for _, test := range []struct {
		name          string
		route         tpmessage.RelayRoute
		step          tpplace.Step
		upstream      *scriptedUpstream
		cut, answered bool
		begun         int
	}{
		{"stream cut before its first event", notResumable, tpplace.StepRun, &scriptedUpstream{attempts: []attempt{{0, tprelay.EndIncomplete, 200}}}, true, false, 0},
		{"stream cut after its first event", notResumable, tpplace.StepRun, &scriptedUpstream{attempts: []attempt{{2, tprelay.EndIncomplete, 200}}}, false, false, 1},
		{"complete stream", notResumable, tpplace.StepRun, &scriptedUpstream{attempts: []attempt{{2, tprelay.EndComplete, 200}}}, false, true, 1},
		{"stream without events", notResumable, tpplace.StepRun, &scriptedUpstream{attempts: []attempt{{0, tprelay.EndComplete, 200}}}, false, false, 0},
		{"call cut before its answer", notRepeatable, tpplace.StepCall, &scriptedUpstream{attempts: []attempt{{0, tprelay.EndIncomplete, 200}}}, true, false, 0},
		{"call cut within its answer", notRepeatable, tpplace.StepCall, &scriptedUpstream{attempts: []attempt{{1, tprelay.EndIncomplete, 200}}}, false, false, 0},
		{"complete call", notRepeatable, tpplace.StepCall, &scriptedUpstream{attempts: []attempt{{1, tprelay.EndComplete, 200}}}, false, true, 0},
		{"failed call", notRepeatable, tpplace.StepCall, &scriptedUpstream{attempts: []attempt{{0, tprelay.EndComplete, 504}}}, false, false, 0},
		{"call that timed out", notRepeatable, tpplace.StepCall, &scriptedUpstream{attempts: []attempt{{0, tprelay.EndTimeout, 0}}}, false, false, 0},
		{"prompt that was only read", notResumable, tpplace.StepPrefill, &scriptedUpstream{prefill: []tprelay.End{tprelay.EndIncomplete}}, false, false, 0},
	} {
		u := test.upstream
		_, results := runScript(t, u, test.route, test.step, 0)
		if len(results) != 1 {
			t.Fatalf("%s: got %d results, want 1", test.name, len(results))
		}
		if got := results[0]; got.Cut != test.cut || got.Answered != test.answered || u.begun != test.begun || got.Request == nil {
			t.Errorf("%s: got cut %v, answered %v, begun %d; want %v, %v, %d", test.name, got.Cut, got.Answered, u.begun, test.cut, test.answered, test.begun)
		}
	}
}

// Guards against silent targets that leave no evidence, and against the silence within an answer taken for a crash.
func TestSilencesAreReported(t *testing.T) {
	for _, test := range []struct {
		name   string
		route  tpmessage.RelayRoute
		step   tpplace.Step
		events int
		end    tprelay.End
		want   bool
	}{
		{"call without an answer", notRepeatable, tpplace.StepCall, 0, tprelay.EndTimeout, true},
		{"call within its answer", notRepeatable, tpplace.StepCall, 1, tprelay.EndTimeout, false},
		{"stream before its first event", notResumable, tpplace.StepRun, 0, tprelay.EndTimeout, true},
		{"stream after its first event", notResumable, tpplace.StepRun, 2, tprelay.EndTimeout, false},
		{"complete call", notRepeatable, tpplace.StepCall, 1, tprelay.EndComplete, false},
		{"call that is cut", notRepeatable, tpplace.StepCall, 0, tprelay.EndIncomplete, false},
	} {
		began := time.Now()
		_, results := runScript(t, &scriptedUpstream{attempts: []attempt{{test.events, test.end, 200}}}, test.route, test.step, 0)
		if len(results) != 1 {
			t.Fatalf("%s: got %d results, want 1", test.name, len(results))
		}
		if got := results[0]; got.Silent != test.want || got.SentAt.Before(began) {
			t.Errorf("%s: got silent %t, sent %v after the begin; want %t, sent after it", test.name, got.Silent, got.SentAt.Sub(began), test.want)
		}
	}
}

func TestLongAnswerThatBrokeOffIsNotJoined(t *testing.T) {
	for _, next := range []attempt{{1, tprelay.EndComplete, 200}, {0, 0, 500}} {
		u := &scriptedUpstream{attempts: []attempt{{40, tprelay.EndIncomplete, 200}, next}, eventBytes: 10 << 10}
		out, _ := runScript(t, u, retryable, tpplace.StepCall, 1)
		if out.ended || !out.broken || len(u.runs) != 1 {
			t.Errorf("next answer %+v: got ended %v, broken %v, %d runs, want an answer broken off after one run",
				next, out.ended, out.broken, len(u.runs))
		}
	}
}
