package tprelay

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// freeTimeout limits the call that releases a handle.
	freeTimeout = 500 * time.Millisecond
	// maxBufferedBytes is the size up to which the answer of a plain service is
	// buffered until it is complete. A longer answer is passed on as it
	// arrives.
	maxBufferedBytes = 256 << 10
)

// task executes one request.
type task struct {
	r     *Relay
	req   *tpmessage.RelayRequest
	work  tpmessage.RelayWork
	grant tpplace.Grant
	// granted is true while the reservation of grant counts at its target.
	granted bool
	sentAt  time.Time // begin of the step in progress
	// trial is the step that follows the one in progress, whose target is
	// silent. It is nil if none has been accepted.
	trial *trial
	// delivery is held while a part of the answer is delivered, and while it is
	// open whether a trial is accepted. It guards parts.
	delivery sync.Mutex
	parts    int // delivered parts that show progress of the target
	// partsBefore is parts at the begin of the step in progress.
	partsBefore int
	relieved    relievedTarget
	// silenceReported is true if the placer knows of a silence in the step in
	// progress.
	silenceReported bool
	beginRecorded   atomic.Bool // of the request, whichever targets it reaches
	plan            Plan
	ctx             context.Context
	cancel          context.CancelFunc
	reply           *tpring.Ring[tpplace.Grant]
	handle          Handle
	holder          tpmessage.RelayTarget // target that keeps the handle

	answerBegun   bool                   // a part of the answer of the current run has arrived
	delivered     bool                   // at least one part was delivered to the client
	pendingHead   *tpmessage.AnswerHead  // head of a stream, delivered with the first data
	lastEvent     int                    // number of the last delivered event, or -1
	buffered      []tpmessage.AnswerPart // parts of a plain service's answer, not yet delivered
	bufferedBytes int                    // data in buffered
	failedAnswer  []tpmessage.AnswerPart // answer of a target with an error status
	attemptCount  int                    // attempts of all steps
	broken        bool                   // the answer began and cannot be completed
	continuation  continuation
	// eventCount counts the events of the current run; the first and the last
	// one arrived at firstEventAt and lastEventAt.
	eventCount                int
	firstEventAt, lastEventAt time.Time
	firstEventDelay           time.Duration // from the request's arrival to the first delivered part of a stream
}

func newTask(r *Relay, g tpplace.Grant) *task {
	req := g.Work.Request
	t := &task{
		r: r, req: req, work: g.Work, grant: g, granted: true, plan: Plan{Request: req},
		reply:     tpring.New[tpplace.Grant](tpring.Settings{Capacity: 1}),
		lastEvent: req.ResumeAfter,
	}
	t.ctx, t.cancel = context.WithDeadline(g.Work.Ctx, req.CompletionDeadline)
	if g.Work.Authority != nil {
		stop, cancel := context.AfterFunc(g.Work.Authority, t.cancel), t.cancel
		t.cancel = func() {
			stop()
			cancel()
		}
	}
	return t
}

func (t *task) close() {
	t.cancel()
	t.work.Answer.Close()
}

// recover ends the request after a panic in its task. The answer is cut off,
// because it is not known whether the request has run.
func (t *task) recover() {
	value := recover()
	if value == nil {
		return
	}
	t.logPanic(value)
	t.abandonTrial()
	if t.granted {
		t.reportResult(Result{End: EndIncomplete}, 0)
	}
}

func (t *task) logPanic(value any) {
	t.r.Counters.Panics.Add(1)
	t.r.Log.Error().Str("event", "panic").Str("request", t.req.ID).Str("value", fmt.Sprint(value)).
		Str("stack", string(debug.Stack())).Send()
}

func (t *task) run() {
	t.r.Counters.Requests.Add(1)
	for {
		if t.isRevoked() && t.trial == nil {
			t.reportResult(Result{End: EndCancelled}, 0)
			t.finishRevoked(ActionDisconnected)
			return
		}
		action := t.step()
		if t.isRevoked() {
			t.abandonTrial()
			t.finishRevoked(action)
			return
		}
		switch action {
		case ActionPrefill, ActionRun:
			if t.requestNext(action) {
				continue
			}
			action = t.plan.GiveUp(t.r.Clock.Now())
		}
		t.finish(action)
		return
	}
}

// isRevoked reports whether the request must end because its key was removed. A
// client that has disconnected needs no answer.
func (t *task) isRevoked() bool {
	return t.work.Authority != nil && t.work.Authority.Err() != nil && t.work.Ctx.Err() == nil
}

// finishRevoked ends the request because its key was removed.
func (t *task) finishRevoked(after Action) {
	action := t.plan.Revoke(after)
	if action != ActionFinish {
		t.grant.Refusal = &tpmessage.RelayRefusal{
			Status: tpmessage.StatusUnavailable, Reason: "the key was removed", RetryAfter: retryAfter,
		}
	}
	t.finish(action)
}

// refuseForWindow refuses a request that no worker can take.
func (t *task) refuseForWindow() {
	t.reportResult(Result{End: EndCancelled}, 0)
	t.grant.Refusal = &tpmessage.RelayRefusal{
		Status: tpmessage.StatusUnavailable, Reason: "too many requests are in progress", RetryAfter: retryAfter,
	}
	t.finish(ActionRefuse)
}

// step executes the granted step and returns the next action.
func (t *task) step() Action {
	if t.trial == nil && t.isBlocked(&t.grant.Target) {
		return t.withhold()
	}
	if t.grant.Step == tpplace.StepPrefill {
		return t.prefill()
	}
	return t.generate()
}

func (t *task) prefill() Action {
	end, started := t.execute()
	now := t.r.Clock.Now()
	if end.result.End == EndComplete && t.trial != nil && t.trial.grant.Step == tpplace.StepPrefill {
		t.abandonTrial() // the prompt was read while the trial was accepted
	}
	res := t.resolveEnd(now, end)
	if res.End != EndComplete {
		t.freeUnused(end.handle, &t.grant.Target) // a run without the prompt has replaced it
	}
	t.reportResult(res, now.Sub(started))
	action := t.afterTrial(t.plan.AfterPrefill(now, t.grant.Target.Name, res.End))
	t.logStep(&t.grant, res, now.Sub(started))
	if res.End == EndComplete {
		t.handle, t.holder = end.handle, t.grant.Target
	}
	return action
}

func (t *task) generate() Action {
	t.buffered, t.bufferedBytes, t.eventCount, t.answerBegun = nil, 0, 0, false
	t.continuation.begin(t.delivered, t.lastEvent)
	end, started := t.execute()
	now := t.r.Clock.Now()
	res := t.resolveEnd(now, end)
	if res.End == EndComplete || res.End == EndIncomplete || res.End == EndTimeout {
		t.handle = Handle{} // taken over by the target
	}
	t.reportResult(res, 0)
	t.recordBeginAfter(&t.grant, end.result, started)
	if len(end.failure) > 0 || res.End == EndComplete {
		t.failedAnswer = end.failure
	}
	action := t.afterTrial(t.plan.AfterRun(now, t.grant.Target.Name, res, t.delivered))
	if t.trial == nil && t.isRefusedReplacement(now, res, end.failure) {
		t.relieved.askNext, action = true, ActionRun
	}
	t.logStep(&t.grant, res, now.Sub(started))
	return action
}

// execute carries out the granted step, or the rest of it if it began as a
// trial.
func (t *task) execute() (end stepEnd, started time.Time) {
	t.silenceReported, t.partsBefore = false, t.parts
	if tr := t.trial; tr != nil {
		t.trial, t.sentAt = nil, tr.started
		return tr.proceed(), tr.started
	}
	t.countStep(&t.grant)
	s := t.newUpstreamRequest(&t.grant)
	s.Handle = t.handle
	begun := t.delivered
	s.OnSilence = func(b bool) time.Duration { return t.handleSilence(b || begun) }
	started = t.r.Clock.Now()
	t.sentAt = started
	return t.exchange(t.ctx, &t.grant, s, t.deliver), started
}

// exchange sends a step to its target.
func (t *task) exchange(ctx context.Context, g *tpplace.Grant, s *UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (end stepEnd) {
	if g.Step == tpplace.StepPrefill {
		end.handle, end.result = t.r.Upstream.Prefill(ctx, s)
	} else {
		end.result, end.failure = t.r.Upstream.Run(ctx, s, deliver)
	}
	return end
}

func (t *task) newUpstreamRequest(g *tpplace.Grant) *UpstreamRequest {
	target, now := g.Target, t.r.Clock.Now()
	s := &UpstreamRequest{
		Request: t.req, Target: target, Deadline: t.req.CompletionDeadline, FetchAddress: g.FetchAddress,
		Priority:    g.Reservation.Priority,
		ResumeAfter: t.lastEvent,
		Notice:      func(n tpmessage.TargetNotice, sentAt time.Time) { t.reportNotice(&target, sentAt, n) },
		IsLimited:   func() bool { return t.isLimited(&target) },
	}
	s.FirstByteTimeout, s.GapTimeout = t.timeouts(g)
	if g.Step == tpplace.StepPrefill || !t.delivered {
		s.FirstByteTimeout = t.limitToDeadline(now, s.FirstByteTimeout)
	}
	return s
}

func (t *task) countStep(g *tpplace.Grant) {
	switch g.Step {
	case tpplace.StepPrefill:
		t.r.Counters.Prefills.Add(1)
	case tpplace.StepCall:
		t.r.Counters.Calls.Add(1)
	default:
		t.r.Counters.Runs.Add(1)
		if t.delivered {
			t.r.Counters.Resumes.Add(1)
		}
	}
}

// deliver receives a part of a successful answer. It holds the head of a stream
// until the first event, and the answer of a plain service until its end, so
// that another attempt can still replace them. While it is open whether a trial
// is accepted, it waits; after that it returns errReplaced.
func (t *task) deliver(part tpmessage.AnswerPart) error {
	t.delivery.Lock()
	defer t.delivery.Unlock()
	if t.trial != nil {
		return errReplaced
	}
	if part.Event >= 0 || !t.req.Route.Stream {
		t.parts++
	}
	t.recordBeginWith(&part)
	t.noteBegin(&part)
	if !t.req.Route.Stream {
		return t.buffer(part)
	}
	if err := t.continuation.check(&part, t.lastEvent); err != nil {
		return err
	}
	if part.Comment && t.continuation.resumed {
		return nil
	}
	if part.Head != nil {
		if !t.delivered {
			t.pendingHead = part.Head
		}
		part.Head = nil
		if len(part.Data) == 0 && !part.End {
			return nil
		}
	}
	before := t.lastEvent
	if part.Event >= 0 {
		if part.Event <= t.lastEvent {
			return nil
		}
		t.lastEvent = part.Event
		t.lastEventAt = t.r.Clock.Now()
		if t.eventCount == 0 {
			t.firstEventAt = t.lastEventAt
		}
		t.eventCount++
	}
	if !t.delivered {
		part.Head = t.pendingHead
		t.delivered = true
		t.firstEventDelay = t.r.Clock.Now().Sub(t.req.Arrived)
	}
	t.continuation.record(&part, before)
	return t.work.Answer.PutContext(t.ctx, part)
}

// noteBegin reports the first event of each run of a stream to the placer at
// once, because the end of the step may be many seconds away.
func (t *task) noteBegin(part *tpmessage.AnswerPart) {
	if t.answerBegun || len(part.Data) == 0 || t.req.Route.Stream && part.Event < 0 {
		return
	}
	t.answerBegun = true
	if t.req.Route.Stream {
		t.r.Place(tpplace.Input{Kind: tpplace.InputStreamBegun, Begun: t.req})
	}
}

// buffer holds the parts of a plain service's answer until the answer is
// complete or larger than maxBufferedBytes. It joins their data, because an
// answer may come in pieces of a byte.
func (t *task) buffer(part tpmessage.AnswerPart) error {
	if last := len(t.buffered) - 1; last >= 0 && t.buffered[last].Head == nil {
		t.buffered[last].Data = append(t.buffered[last].Data, part.Data...)
		t.buffered[last].End = part.End
	} else {
		t.buffered = append(t.buffered, part)
	}
	t.bufferedBytes += len(part.Data)
	if !part.End && t.bufferedBytes <= maxBufferedBytes && !t.delivered {
		return nil
	}
	for _, p := range t.buffered {
		t.delivered = true
		if err := t.work.Answer.PutContext(t.ctx, p); err != nil {
			return err
		}
	}
	t.buffered = nil
	return nil
}

// requestNext takes over the step that began as a trial while the last target
// was silent, or requests a new one. It returns false if the placer refuses.
func (t *task) requestNext(action Action) bool {
	if t.trial != nil {
		if t.grant.Step != tpplace.StepPrefill {
			t.relieved.replace(t.grant.Target.Name, t.answerBegun)
		}
		t.grant, t.granted = t.trial.grant, true
		return true
	}
	if t.relieved.askNext {
		return t.askRelievedNext()
	}
	g := t.requestStep(&t.plan, action, t.handle.ID != "", t.delivered, false)
	t.grant, t.granted = g, g.Refusal == nil
	if t.granted {
		t.countRetry(&t.plan)
	}
	return t.granted
}

// countRetry counts the arrival of a granted step if it counts against the retry
// budget after the arrivals of plan.
func (t *task) countRetry(plan *Plan) {
	if plan.IsRetry() {
		t.plan.CountRetry()
		t.r.Counters.Retries.Add(1)
	}
}

// requestStep requests the grant of the step for an action. Begun reports
// whether the client has a part of the answer, and soundOnly whether only a
// target without a known fault helps. If no second target can read the prompt,
// the target of the run reads it.
func (t *task) requestStep(plan *Plan, action Action, hasHandle, begun, soundOnly bool) tpplace.Grant {
	request := tpplace.TargetRequest{
		Work: t.work, Reply: t.reply, Exclude: slices.Clone(plan.exclude), Step: t.grant.Step,
		HasHandle: hasHandle, IsRetry: plan.IsRetry(), Begun: begun, SoundOnly: soundOnly,
	}
	if t.req.Pool.Engine != nil {
		request.Step = tpplace.StepRun
		if action == ActionPrefill {
			request.Step = tpplace.StepPrefill
		}
	}
	g := t.requestGrant(request)
	if g.Refusal != nil && request.Step == tpplace.StepPrefill {
		request.Step = tpplace.StepRun
		return t.requestGrant(request)
	}
	return g
}

// requestGrant passes a target request to the placer and waits for the grant.
func (t *task) requestGrant(request tpplace.TargetRequest) tpplace.Grant {
	t.r.Place(tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: request})
	g, err := t.reply.Take()
	if err != nil {
		g.Refusal = &tpmessage.RelayRefusal{Status: tpmessage.StatusUnavailable, Reason: err.Error()}
	}
	return g
}

// reportResult reports the result of the step in progress to the placer.
func (t *task) reportResult(res Result, took time.Duration) {
	t.granted = false
	r := t.stepResult(&t.grant, res)
	ran := t.grant.Step != tpplace.StepPrefill
	r.Elapsed, r.Streamed = took, t.lastEventAt.Sub(t.firstEventAt)
	r.Events, r.EventTokens = t.eventCount, t.eventTokens()
	r.Cut = res.Cut && ran && !t.answerBegun
	r.Silent, r.SentAt = res.Silent && ran && !t.answerBegun, t.sentAt
	r.Broken = ran && t.answerBegun && t.isBroken(&res)
	r.Answered = res.End == EndComplete && ran && res.Status/100 == 2 && (t.answerBegun || !t.req.Route.Stream)
	t.r.Place(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: r})
}

// isBroken reports whether the target, and not the client, has ended an answer
// in its middle.
func (t *task) isBroken(res *Result) bool {
	return res.Cut || res.Silent && (res.End != EndCancelled || t.work.Ctx.Err() == nil)
}

// stepResult returns the result of a step without an answer.
func (t *task) stepResult(g *tpplace.Grant, res Result) tpplace.StepResult {
	outcome := tpplace.OutcomeServed
	switch res.End {
	case EndComplete:
		if res.Status >= 500 {
			outcome = tpplace.OutcomeFailed
		}
	case EndNotRun:
		outcome = tpplace.OutcomeRefused
	case EndMisdirected:
		outcome = tpplace.OutcomeMisdirected
	case EndWrongRequest:
		outcome = tpplace.OutcomeFailed
	case EndNotSent, EndIncomplete, EndTimeout:
		outcome = tpplace.OutcomeLost
	case EndCancelled:
		outcome = tpplace.OutcomeAbandoned
	}
	return tpplace.StepResult{
		Reservation: g.Reservation, Outcome: outcome, Route: t.req.Route.Name, Request: t.req,
		StartedMs: g.Target.StartedMs, Cut: res.Cut && g.Step != tpplace.StepPrefill, Silent: res.Silent && g.Step != tpplace.StepPrefill,
	}
}

func (t *task) eventTokens() int {
	if e := t.req.Pool.Engine; e != nil {
		return e.EventTokens
	}
	return 0
}

// finish ends the answer to the client. It marks a partly delivered answer as
// broken. If nothing was delivered, it sends the target's error or a refusal.
func (t *task) finish(action Action) {
	if t.handle.ID != "" {
		defer t.free(t.handle, &t.holder)
	}
	switch {
	case action == ActionDisconnected:
		t.r.Counters.Disconnected.Add(1)
	case action == ActionFinish && len(t.failedAnswer) == 0:
	case t.delivered:
		t.r.Counters.Broken.Add(1)
		t.broken = true
		t.sendPart(tpmessage.AnswerPart{Broken: true, Event: -1})
	case len(t.failedAnswer) > 0 && action != ActionRefuse:
		for _, p := range t.failedAnswer {
			t.sendPart(p)
		}
	default:
		t.sendPart(tpmessage.AnswerPart{Refusal: t.refusal(action), Event: -1})
	}
	t.logEnd(action)
}

func (t *task) sendPart(part tpmessage.AnswerPart) {
	// The handler of the client's connection closes the ring when the client
	// has disconnected, so the part can only be discarded.
	if err := t.work.Answer.PutContext(t.work.Ctx, part); err != nil {
		t.r.Log.Debug().Str("request", t.req.ID).Err(err).Msg("answer part discarded: the client has disconnected")
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

// retryAfter is the delay before a retry that is advised after targets have
// refused. Nodes avoid a target with a full batch for about that time.
const retryAfter = 300 * time.Millisecond

// freeUnused releases the handle of a prompt that the task does not proceed
// with, if there is one, without waiting for it.
func (t *task) freeUnused(h Handle, holder *tpmessage.RelayTarget) {
	if h.ID != "" {
		t.r.trials.Submit(func() { t.free(h, holder) })
	}
}

// free releases a handle, unless its target takes no more requests or has
// a limit, which is for the requests of clients. The handle then expires there.
func (t *task) free(h Handle, holder *tpmessage.RelayTarget) {
	if t.isBlocked(holder) || t.isLimited(holder) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), freeTimeout)
	defer cancel()
	t.r.Upstream.Free(ctx, h)
}

func (t *task) logStep(g *tpplace.Grant, res Result, took time.Duration) {
	t.attemptCount++
	e := t.r.Log.Info().Str("event", "step").Str("request", t.req.ID).Str("step", g.Step.String()).
		Int("send", t.attemptCount).Str("target", g.Target.Name).Str("end", res.End.String()).
		Int64("tookMs", took.Milliseconds()).Int64("waitMs", g.QueueDelay.Milliseconds()).
		Int64("readMs", g.ReadTime.Milliseconds()).Int("candidates", g.Diagnostics.Candidates).
		Int("priority", g.Reservation.Priority).Int("rank", g.Diagnostics.Rank).Int("runs", g.Diagnostics.Runs).Int("prefill", g.Diagnostics.Prefill).
		Int("nodes", g.Diagnostics.Nodes).Int64("loadAgeMs", g.Diagnostics.OldestLoad.Milliseconds()).
		Uint64("registration", g.Target.Revision)
	if g.FetchAddress != "" {
		e = e.Str("fetch", g.FetchAddress)
	}
	if f := g.Diagnostics.ReadFactor; f != 1 {
		e = e.Float64("readFactor", f)
	}
	if f := g.Diagnostics.StreamFactor; f != 1 {
		e = e.Float64("streamFactor", f)
	}
	if res.Status != 0 {
		e = e.Int("status", res.Status)
	}
	if res.LocalAddress != "" {
		e = e.Str("connection", res.LocalAddress).Bool("reused", res.Reused)
	}
	if res.Err != nil {
		e = e.Err(res.Err)
	}
	e.Send()
}

func (t *task) logEnd(action Action) {
	names := [...]string{"finished", "prefill", "run", "refused", "unknown", "timeout", "left"}
	took := t.r.Clock.Now().Sub(t.req.Arrived)
	t.r.RecordEnd(names[action], took)
	e := t.r.Log.Info().Str("event", "end").Str("request", t.req.ID).Str("route", t.req.Route.Name).
		Uint64("generation", t.req.Generation).Str("outcome", names[action]).Bool("broken", t.broken).
		Int64("tookMs", took.Milliseconds()).Int("sends", t.attemptCount)
	if t.firstEventDelay > 0 {
		e = e.Int64("firstMs", t.firstEventDelay.Milliseconds())
	}
	if t.grant.Refusal != nil {
		e = e.Str("reason", t.grant.Refusal.Reason)
	}
	if t.req.Organisation != "" {
		e = e.Str("organisation", t.req.Organisation)
	}
	e.Send()
}
