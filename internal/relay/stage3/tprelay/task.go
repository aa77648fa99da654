package tprelay

import (
	"context"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// prefillPatience is how long a target may take to read a prompt beyond the
	// expected time. A target that is gone shows on the connection earlier; a
	// shorter patience gives up prompts that a busy target has nearly read.
	prefillPatience = 2500 * time.Millisecond
	// firstPatience is how long a target may take to begin a stream that can
	// go on elsewhere, beyond the expected time.
	firstPatience = 1500 * time.Millisecond
	// gapFactor is the silence within a stream that can go on elsewhere, in
	// units of the longest pause that is still on time.
	gapFactor = 3
	// callPatience is how long a plain service may take to answer a call that
	// may run again, in units of the route's goal.
	callPatience = 4
	// freeTimeout bounds the call that gives up a handle.
	freeTimeout = 500 * time.Millisecond
	// maxWhole is the largest answer of a plain service that is held until it
	// is complete. A longer one is passed on as it comes.
	maxWhole = 256 << 10
)

// task carries out one request.
type task struct {
	r      *Relay
	req    *tpmessage.RelayRequest
	work   tpmessage.RelayWork
	grant  tpplace.Grant
	plan   Plan
	ctx    context.Context
	cancel context.CancelFunc
	reply  *tpring.Ring[tpplace.Grant]
	handle Handle

	begun bool                  // a part was delivered
	head  *tpmessage.AnswerHead // held back until the first data
	last  int                   // number of the last event delivered, or -1
	whole []tpmessage.AnswerPart
	size  int
	fail  []tpmessage.AnswerPart // answer of a target that failed
	sent  int
	// events of this run, and when the first and the last one came
	events          int
	firstAt, lastAt time.Time
	first           time.Duration // from the arrival to the first event of a stream
}

func newTask(r *Relay, g tpplace.Grant) *task {
	req := g.Work.Request
	t := &task{
		r: r, req: req, work: g.Work, grant: g, plan: Plan{Request: req},
		reply: tpring.New[tpplace.Grant](tpring.Settings{Capacity: 1}),
		last:  req.ResumeAfter,
	}
	t.ctx, t.cancel = context.WithDeadline(g.Work.Ctx, req.Latest)
	return t
}

func (t *task) close() {
	t.cancel()
	t.work.Answer.Close()
}

func (t *task) run() {
	t.r.Counters.Requests.Add(1)
	for {
		action := t.step()
		switch action {
		case ActionPrefill, ActionRun:
			if t.next(action) {
				continue
			}
			action = t.plan.GiveUp(t.r.Clock.Now())
		}
		t.finish(action)
		return
	}
}

// step carries out the granted step and returns what follows.
func (t *task) step() Action {
	if t.grant.Step == tpplace.StepPrefill {
		return t.prefill()
	}
	return t.generate()
}

func (t *task) sending() *Sending {
	return &Sending{
		Request: t.req, Target: t.grant.Target, Deadline: t.req.Latest, Fetch: t.grant.Fetch,
		Priority:    t.grant.Charge.Priority,
		ResumeAfter: t.last,
	}
}

func (t *task) prefill() Action {
	t.r.Counters.Prefills.Add(1)
	s := t.sending()
	started := t.r.Clock.Now()
	s.FirstWithin = t.beforeDeadline(started, prefillPatience+t.grant.Wait+t.grant.Read)
	h, res := t.r.Upstream.Prefill(t.ctx, s)
	now := t.r.Clock.Now()
	res = t.atDeadline(now, res)
	t.done(res, now.Sub(started))
	action := t.plan.Prefilled(now, t.grant.Target.Name, res.End)
	t.logStep(res, now.Sub(started))
	if res.End == EndWhole {
		t.handle = h
	}
	return action
}

func (t *task) generate() Action {
	t.countRun()
	s := t.sending()
	s.Handle = t.handle
	started := t.r.Clock.Now()
	s.FirstWithin, s.NextWithin = t.patience()
	if !t.begun {
		s.FirstWithin = t.beforeDeadline(started, s.FirstWithin)
	}
	t.whole, t.size, t.events = nil, 0, 0
	res, failure := t.r.Upstream.Run(t.ctx, s, t.deliver)
	now := t.r.Clock.Now()
	res = t.atDeadline(now, res)
	if res.End == EndWhole || res.End == EndCut || res.End == EndSilent {
		t.handle = Handle{} // taken
	}
	t.done(res, 0)
	if len(failure) > 0 || res.End == EndWhole {
		t.fail = failure
	}
	action := t.plan.Ran(now, t.grant.Target.Name, res, t.begun)
	t.logStep(res, now.Sub(started))
	return action
}

func (t *task) countRun() {
	if t.grant.Step == tpplace.StepCall {
		t.r.Counters.Calls.Add(1)
		return
	}
	t.r.Counters.Runs.Add(1)
	if t.begun {
		t.r.Counters.Resumes.Add(1)
	}
}

// beforeDeadline bounds the silence allowed before an answer begins, zero for
// any, by the request's deadline.
func (t *task) beforeDeadline(now time.Time, within time.Duration) time.Duration {
	left := max(time.Millisecond, t.req.Deadline.Sub(now))
	if within <= 0 {
		return left
	}
	return min(within, left)
}

// atDeadline tells the end of the request's time from a silent target.
func (t *task) atDeadline(now time.Time, res Result) Result {
	if res.End == EndSilent && !now.Before(t.req.Deadline) {
		res.End = EndStopped
	}
	return res
}

// patience returns the silences after which another target is tried. A request
// that may not run again waits until its time is over.
func (t *task) patience() (first, next time.Duration) {
	route := &t.req.Route
	switch {
	case !route.Repeatable():
		return 0, 0
	case route.Stream:
		return firstPatience + t.grant.Wait + t.grant.Read, gapFactor * route.GapGoal
	}
	return callPatience * route.Goal, 0
}

// deliver takes a part of a successful answer. A stream's head waits for its
// first event, and the answer of a plain service for its end, so that another
// attempt can still replace them.
func (t *task) deliver(part tpmessage.AnswerPart) error {
	if !t.req.Route.Stream {
		return t.collect(part)
	}
	if part.Head != nil {
		if !t.begun {
			t.head = part.Head
		}
		part.Head = nil
		if len(part.Data) == 0 && !part.End {
			return nil
		}
	}
	if part.Event >= 0 {
		if part.Event <= t.last {
			return nil
		}
		t.last = part.Event
		t.lastAt = t.r.Clock.Now()
		if t.events == 0 {
			t.firstAt = t.lastAt
		}
		t.events++
	}
	if !t.begun {
		part.Head = t.head
		t.begun = true
		t.first = t.r.Clock.Now().Sub(t.req.Arrived)
	}
	return t.work.Answer.PutContext(t.ctx, part)
}

func (t *task) collect(part tpmessage.AnswerPart) error {
	t.whole = append(t.whole, part)
	t.size += len(part.Data)
	if !part.End && t.size <= maxWhole && !t.begun {
		return nil
	}
	for _, p := range t.whole {
		t.begun = true
		if err := t.work.Answer.PutContext(t.ctx, p); err != nil {
			return err
		}
	}
	t.whole = t.whole[:0]
	return nil
}

// next asks for the target of a further step. It returns false if there is none.
func (t *task) next(action Action) bool {
	ask := tpplace.Ask{Work: t.work, Reply: t.reply, Exclude: slices.Clone(t.plan.exclude)}
	ask.Step = t.grant.Step
	if t.req.Pool.Engine != nil {
		ask.Step = tpplace.StepRun
		if action == ActionPrefill {
			ask.Step = tpplace.StepPrefill
		}
	}
	ask.Loaded = t.handle.ID != ""
	ask.Extra = t.plan.Extra()
	if ask.Extra {
		t.r.Counters.Retries.Add(1)
	}
	if !t.granted(ask) && ask.Step == tpplace.StepPrefill {
		// Without a second reading target the first run reads the prompt itself.
		ask.Step = tpplace.StepRun
		ask.Extra = t.plan.Extra()
		return t.granted(ask)
	}
	return t.grant.Refusal == nil
}

func (t *task) granted(ask tpplace.Ask) bool {
	t.r.Place(tpplace.Input{Kind: tpplace.InputAsk, Ask: ask})
	g, err := t.reply.Take()
	if err != nil {
		g.Refusal = &tpmessage.RelayRefusal{Status: tpmessage.StatusUnavailable, Reason: err.Error()}
	}
	t.grant = g
	if ask.Extra && g.Refusal == nil {
		t.plan.Paid()
	}
	return g.Refusal == nil
}

// done reports the end of a step to the placement.
func (t *task) done(res Result, took time.Duration) {
	outcome := tpplace.OutcomeServed
	switch res.End {
	case EndWhole:
		if res.Status >= 500 {
			outcome = tpplace.OutcomeFailed
		}
	case EndNotRun:
		outcome = tpplace.OutcomeRefused
	case EndMisdirected:
		outcome = tpplace.OutcomeMisplaced
	case EndForeign:
		outcome = tpplace.OutcomeFailed
	case EndNotSent, EndCut, EndSilent:
		outcome = tpplace.OutcomeLost
	case EndStopped:
		outcome = tpplace.OutcomeAbandoned
	}
	t.r.Place(tpplace.Input{Kind: tpplace.InputDone, Done: tpplace.Done{
		Charge: t.grant.Charge, Outcome: outcome, Route: t.req.Route.Name, Took: took,
		Events: t.events, EventTokens: t.eventTokens(), Streamed: t.lastAt.Sub(t.firstAt),
	}})
}

func (t *task) eventTokens() int {
	if e := t.req.Pool.Engine; e != nil {
		return e.EventTokens
	}
	return 0
}

// finish gives the client its end.
func (t *task) finish(action Action) {
	if t.handle.ID != "" {
		defer t.free()
	}
	switch {
	case action == ActionLeave:
		t.r.Counters.Left.Add(1)
	case action == ActionFinish && len(t.fail) == 0:
	case t.begun:
		t.r.Counters.Broken.Add(1)
		t.put(tpmessage.AnswerPart{Broken: true, Event: -1})
	case len(t.fail) > 0 && action != ActionRefuse:
		for _, p := range t.fail {
			t.put(p)
		}
	default:
		t.put(tpmessage.AnswerPart{Refusal: t.refusal(action), Event: -1})
	}
	t.logEnd(action)
}

func (t *task) put(part tpmessage.AnswerPart) {
	// The client's handler closes the ring when it has gone, so the only error
	// is that nobody reads the answer any more.
	if err := t.work.Answer.PutContext(t.work.Ctx, part); err != nil {
		t.r.Log.Debug().Str("request", t.req.ID).Err(err).Msg("answer not taken")
	}
}

func (t *task) refusal(action Action) *tpmessage.RelayRefusal {
	switch action {
	case ActionUnknown:
		t.r.Counters.Unknown.Add(1)
		return &tpmessage.RelayRefusal{Status: tpmessage.StatusUnknown, Reason: "the request may have run"}
	case ActionTimeout:
		t.r.Counters.Unknown.Add(1)
		return &tpmessage.RelayRefusal{Status: tpmessage.StatusTimeout, Reason: "the time is over"}
	}
	t.r.Counters.Refused.Add(1)
	if t.grant.Refusal != nil {
		return t.grant.Refusal
	}
	return &tpmessage.RelayRefusal{
		Status: tpmessage.StatusUnavailable, Reason: "no target took the request", RetryAfter: retryAfter,
	}
}

// retryAfter is the advice after targets have refused. They avoid a full batch
// for about that long.
const retryAfter = 300 * time.Millisecond

func (t *task) free() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), freeTimeout)
	defer cancel()
	t.r.Upstream.Free(ctx, t.handle)
}

func (t *task) logStep(res Result, took time.Duration) {
	t.sent++
	e := t.r.Log.Info().Str("event", "step").Str("request", t.req.ID).Str("step", t.grant.Step.String()).
		Int("send", t.sent).Str("target", t.grant.Target.Name).Str("end", res.End.String()).
		Int64("tookMs", took.Milliseconds()).Int64("waitMs", t.grant.Wait.Milliseconds()).
		Int64("readMs", t.grant.Read.Milliseconds()).Int("candidates", t.grant.Basis.Candidates).
		Int("priority", t.grant.Charge.Priority).Int("rank", t.grant.Basis.Rank).Int("runs", t.grant.Basis.Runs).Int("prefill", t.grant.Basis.Prefill).
		Int("nodes", t.grant.Basis.Nodes).Int64("loadAgeMs", t.grant.Basis.OldestLoad.Milliseconds()).
		Uint64("registration", t.grant.Target.Revision)
	if t.grant.Fetch != "" {
		e = e.Str("fetch", t.grant.Fetch)
	}
	if res.Status != 0 {
		e = e.Int("status", res.Status)
	}
	if res.Err != nil {
		e = e.Err(res.Err)
	}
	e.Send()
}

func (t *task) logEnd(action Action) {
	names := [...]string{"finished", "prefill", "run", "refused", "unknown", "timeout", "left"}
	took := t.r.Clock.Now().Sub(t.req.Arrived)
	t.r.Ended(names[action], took)
	e := t.r.Log.Info().Str("event", "end").Str("request", t.req.ID).Str("route", t.req.Route.Name).
		Uint64("generation", t.req.Generation).Str("outcome", names[action]).
		Int64("tookMs", took.Milliseconds()).Int("sends", t.sent)
	if t.first > 0 {
		e = e.Int64("firstMs", t.first.Milliseconds())
	}
	if t.grant.Refusal != nil {
		e = e.Str("reason", t.grant.Refusal.Reason)
	}
	e.Send()
}
