package tpsender

import (
	"context"
	"errors"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage6/tpanswer"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// task is the stream task of one request. It runs the attempts one after
// another.
type task struct {
	sender       *Sender
	work         tpmessage.Work
	plan         *Plan
	assembler    *tpanswer.Assembler
	budget       *Budget
	ctx          context.Context // done at the deadline or, for an idempotent request, when the caller disconnects
	cancel       context.CancelFunc
	detachCaller func() bool // decouples ctx from the caller's context
	lastChunk    *tpmessage.Chunk
	ready        []tpmessage.Chunk // scratch buffer of deliver
	unreachable  []string          // names of the targets that accepted no connection
	targetLost   bool              // a target was lost while it ran the request
	// unanswered is true if the target of the last attempt may have run the
	// request and has sent no chunk.
	unanswered bool
	begun      bool // the target of the attempt has sent a chunk
}

func newTask(sender *Sender, a tpmessage.Assignment) *task {
	t := &task{
		sender:    sender,
		work:      a.Work,
		plan:      NewPlan(&a),
		assembler: tpanswer.New(a.Work.Request.ID, a.Work.Request.ResumeFrom),
		budget:    sender.Budgets.ForPool(a.Work.Request.Pool),
	}
	t.ctx, t.cancel = context.WithDeadline(context.WithoutCancel(a.Work.Ctx), a.Work.Request.Deadline)
	t.detachCaller = func() bool { return true }
	if a.Work.Request.Idempotent {
		// The result of a non-idempotent call is recorded even if the caller
		// has disconnected.
		t.detachCaller = context.AfterFunc(a.Work.Ctx, t.cancel)
	}
	return t
}

func (t *task) close() {
	t.detachCaller()
	t.cancel()
	t.work.Chunks.Close()
}

func (t *task) run() {
	t.sender.Counters.Streams.Add(1)
	t.budget.Sent(t.sender.Clock.Now())
	step := Step{Target: t.plan.First()}
	res := Result{Outcome: tpmessage.OutcomeNotSent}
	for {
		if t.ctx.Err() != nil {
			t.endBetweenAttempts(nil, res)
			return
		}
		decision := t.admit(step.Target.Name)
		if decision.Refusal != nil || decision.Ended {
			t.endBetweenAttempts(decision.Refusal, res)
			return
		}
		if decision.Target != nil {
			step.SameTarget = step.SameTarget && decision.Target.Name == step.Target.Name
			step.Target = *decision.Target
		}
		res = t.attempt(step, decision.HasCrashed)
		end := AttemptEnd{Outcome: res.Outcome, Lost: res.Lost, Stalled: res.Stalled}
		next, retry := t.plan.Next(t.sender.Clock.Now(), end, t.usable)
		wait, retry := t.takeRetry(next, retry)
		t.reportCompletion(step.Target, &res, !retry)
		if !retry {
			t.finish(res, refusalOf(t.plan, t.assembler, t.work.Request.ResumeFrom, &res))
			if t.isLossUnchecked(&res) {
				t.work.Chunks.Close() // the caller does not wait for the check
				t.checkLoss(step.Target)
			}
			return
		}
		t.sleep(wait)
		t.sender.Counters.Retries.Add(1)
		t.recordEvent("retry", next.Target.Name, outcomeName(res.Outcome))
		step = next
	}
}

func (t *task) admit(target string) AttemptDecision {
	if t.sender.Callbacks.Admit == nil {
		return AttemptDecision{}
	}
	return t.sender.Callbacks.Admit(t.ctx, &t.work.Request, Attempt{
		Target: target, Unreachable: t.unreachable, AfterLoss: t.targetLost,
	})
}

// usable reports whether a target accepts new work and connections. If no
// target of the plan is reachable, the unreachable ones are tried again.
func (t *task) usable(target string) bool {
	accepting := t.sender.Callbacks.Usable == nil || t.sender.Callbacks.Usable(target)
	othersReachable := slices.ContainsFunc(t.plan.Targets(), func(o tpmessage.Target) bool {
		return !slices.Contains(t.unreachable, o.Name)
	})
	return accepting && (!othersReachable || !slices.Contains(t.unreachable, target))
}

// addAlternative adds a target to the plan to replace one that accepted no
// connection.
func (t *task) addAlternative() {
	if t.sender.Callbacks.Alternative == nil {
		return
	}
	if alt, ok := t.sender.Callbacks.Alternative(&t.work.Request, t.plan.Targets()); ok {
		t.plan.Add(alt)
	}
}

// attempt runs the request at one target and delivers its chunks. A target that
// has crashed at the request must respond first.
func (t *task) attempt(step Step, hasCrashed bool) Result {
	t.recordEvent("send", step.Target.Name, "")
	overlap := tpanswer.OtherTargetOverlap
	if step.SameTarget {
		overlap = 1
	}
	firstChunk := t.assembler.Begin(overlap)
	t.begun = false
	if t.assembler.Next() > t.work.Request.ResumeFrom {
		t.sender.Counters.Resumes.Add(1)
	}
	var res Result
	if hasCrashed && !t.sender.Transport.Responds(t.ctx, step.Target) {
		res = Result{Outcome: tpmessage.OutcomeNotSent, Err: errNoResponse}
	} else {
		res = t.sender.Transport.Run(t.ctx, &t.work.Request, step.Target, firstChunk, t.deliver)
	}
	t.classify(step.Target, &res)
	if res.Report != nil {
		t.sender.Callbacks.Report(*res.Report)
	}
	return res
}

// deliver passes a chunk to the assembler, and the chunks that can then be
// delivered to the caller. It blocks on a slow caller until the deadline at the
// latest.
func (t *task) deliver(c tpmessage.Chunk) error {
	t.begun = true
	ready, err := t.assembler.Accept(&c, t.ready[:0])
	t.ready = ready
	for i := range ready {
		if ready[i].End {
			// The caller's handler returns after the last chunk. That must not
			// cancel the rest of the attempt.
			t.detachCaller()
			t.lastChunk = &ready[i]
		}
		if err := t.work.Chunks.PutContext(t.ctx, ready[i]); err != nil {
			return err
		}
	}
	if err == nil && t.assembler.Ended() {
		return ErrComplete
	}
	return err
}

// classify corrects the outcome of an attempt according to the delivered
// chunks. It replaces a target that accepted no connection, and checks after an
// interrupted stream whether the target is lost.
func (t *task) classify(target tpmessage.Target, res *Result) {
	t.unanswered = res.Outcome == tpmessage.OutcomeInterrupted && !t.begun
	switch {
	case t.assembler.Ended():
		res.Outcome = tpmessage.OutcomeDone
	case t.ctx.Err() != nil:
		res.Outcome = tpmessage.OutcomeCancelled
	case errors.Is(res.Err, tpanswer.ErrDiverged):
		res.Outcome = tpmessage.OutcomeFailed
	case res.Outcome == tpmessage.OutcomeDone:
		res.Outcome = tpmessage.OutcomeInterrupted
	}
	switch res.Outcome {
	case tpmessage.OutcomeNotSent:
		t.unreachable = append(t.unreachable, target.Name)
		t.addAlternative()
	case tpmessage.OutcomeInterrupted:
		if res.Stalled {
			t.sender.Counters.Stalls.Add(1)
		}
		isAlive := t.sender.Transport.Reachable
		if res.Stalled && t.unanswered {
			isAlive = t.sender.Transport.Responds
		}
		res.Lost = !isAlive(t.ctx, target) && t.ctx.Err() == nil
		if res.Lost {
			t.targetLost = true
			t.sender.Counters.Lost.Add(1)
		}
	}
}

// isLossUnchecked reports whether the last attempt ended with the time of the
// request, or because its caller left, while the target sent nothing at all.
func (t *task) isLossUnchecked(res *Result) bool {
	return t.sender.Callbacks.Checked != nil && res.Outcome == tpmessage.OutcomeCancelled && t.unanswered
}

// checkLoss finds out whether a target that left the request unanswered is lost.
// A crash need not close a connection.
func (t *task) checkLoss(target tpmessage.Target) {
	c := tpmessage.Completion{
		RequestID: t.work.Request.ID, Target: target.Name, Outcome: tpmessage.OutcomeCancelled, Fingerprint: t.work.Request.Fingerprint,
	}
	if !t.sender.Transport.Responds(context.WithoutCancel(t.ctx), target) {
		c.Outcome, c.Lost = tpmessage.OutcomeInterrupted, true
		t.sender.Counters.Lost.Add(1)
		t.recordEvent("lost", target.Name, "left the request unanswered")
	}
	c.At = t.sender.Clock.Now()
	t.sender.Callbacks.Checked(c)
}

// takeRetry takes a retry from the budget if the step requires one.
func (t *task) takeRetry(step Step, retry bool) (wait time.Duration, ok bool) {
	if !retry || !step.UsesBudget {
		return 0, retry
	}
	return t.budget.TakeRetry(t.sender.Clock.Now(), t.work.Request.Deadline)
}

func (t *task) sleep(wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-t.sender.Clock.After(wait):
	case <-t.ctx.Done():
	}
}

// reportCompletion reports the end of an attempt or, if target is empty, of the
// request. final marks the last completion of the request.
func (t *task) reportCompletion(target tpmessage.Target, res *Result, final bool) {
	t.sender.Callbacks.Completion(tpmessage.Completion{
		RequestID:     t.work.Request.ID,
		Organisation:  t.work.Request.Organisation,
		Target:        target.Name,
		Final:         final,
		Outcome:       res.Outcome,
		Lost:          res.Lost,
		LossUnchecked: target.Name != "" && t.isLossUnchecked(res),
		PrefillPieces: res.PrefillPieces,
		DecodePieces:  res.DecodePieces,
		Fingerprint:   t.work.Request.Fingerprint,
		At:            t.sender.Clock.Now(),
	})
}

// endBetweenAttempts ends a request between two attempts. Its final completion
// names no target, because the completion of the last attempt has been
// reported.
func (t *task) endBetweenAttempts(ref *tpmessage.Refusal, res Result) {
	if t.ctx.Err() != nil {
		res.Outcome = tpmessage.OutcomeCancelled
	}
	t.reportCompletion(tpmessage.Target{}, &Result{Outcome: res.Outcome}, true)
	if ref == nil {
		ref = refusalOf(t.plan, t.assembler, t.work.Request.ResumeFrom, &res)
	}
	ref.NotRun = ref.NotRun && !t.plan.Sent()
	t.finish(res, ref)
}

// finish ends the answer explicitly: it sends a refusal if the answer is not
// complete.
func (t *task) finish(res Result, ref *tpmessage.Refusal) {
	stats := t.assembler.Stats()
	t.sender.Counters.WrongRequest.Add(stats.WrongRequest)
	t.sender.Counters.Duplicate.Add(stats.Duplicate)
	t.sender.Counters.AfterEnd.Add(stats.AfterEnd)
	t.sender.Counters.OutOfOrder.Add(stats.OutOfOrder)
	if t.sender.Callbacks.Settled != nil && !t.work.Request.Idempotent {
		t.sender.Callbacks.Settled(t.work, res.Outcome, t.plan.Sent(), t.lastChunk)
	}
	t.recordEvent("end", "", outcomeName(res.Outcome))
	if t.assembler.Ended() {
		return
	}
	t.sender.Counters.Incomplete.Add(1)
	// If a slow caller has left the ring full, the ring is closed without the
	// refusal. The caller's handler then reports an explicit error.
	_ = t.work.Chunks.TryPut(tpmessage.Chunk{RequestID: t.work.Request.ID, Number: t.assembler.Next(), Refusal: ref})
}

func (t *task) recordEvent(kind, target, detail string) {
	t.sender.Events.Record(tpmessage.Event{
		Kind: kind, Request: t.work.Request.ID, Target: target,
		Organisation: t.work.Request.Organisation, Detail: detail,
	})
}
