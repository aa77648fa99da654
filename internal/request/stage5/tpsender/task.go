package tpsender

import (
	"context"
	"errors"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage6/tpanswer"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// task is the stream task of one request: its attempts, one after another.
type task struct {
	s           *Sender
	work        tpmessage.Work
	plan        *Plan
	asm         *tpanswer.Assembler
	budget      *Budget
	ctx         context.Context // ends at the deadline or when the caller has gone
	cancel      context.CancelFunc
	release     func() bool // lets the task outlive its caller
	last        *tpmessage.Chunk
	ready       []tpmessage.Chunk // scratch of deliver
	unreachable []string
	lost        bool // a target was lost while it ran the request
}

func newTask(s *Sender, a tpmessage.Assignment) *task {
	t := &task{
		s:      s,
		work:   a.Work,
		plan:   NewPlan(&a),
		asm:    tpanswer.New(a.Work.Request.ID, a.Work.Request.Resume),
		budget: s.Budgets.Of(a.Work.Request.Pool),
	}
	t.ctx, t.cancel = context.WithDeadline(context.WithoutCancel(a.Work.Ctx), a.Work.Request.Deadline)
	t.release = func() bool { return true }
	if a.Work.Request.Idempotent {
		// The result of a non-idempotent call is recorded even if the caller has gone.
		t.release = context.AfterFunc(a.Work.Ctx, t.cancel)
	}
	return t
}

func (t *task) close() {
	t.release()
	t.cancel()
	t.work.Chunks.Close()
}

func (t *task) run() {
	t.s.Counters.Streams.Add(1)
	t.budget.Sent(t.s.Clock.Now())
	step := Step{Target: t.plan.First()}
	res := Result{Outcome: tpmessage.OutcomeNotSent}
	for {
		if t.ctx.Err() != nil {
			t.abandon(nil, res)
			return
		}
		verdict := t.admit(step.Target.Name)
		if verdict.Refusal != nil || verdict.Ended {
			t.abandon(verdict.Refusal, res)
			return
		}
		if verdict.Target != nil {
			step.Again = step.Again && verdict.Target.Name == step.Target.Name
			step.Target = *verdict.Target
		}
		res = t.attempt(step)
		end := End{Outcome: res.Outcome, Lost: res.Lost, Stalled: res.Stalled}
		next, again := t.plan.Next(t.s.Clock.Now(), end, t.usable)
		wait, again := t.charge(next, again)
		t.complete(step.Target, &res, !again)
		if !again {
			t.finish(res, refusalOf(t.plan, t.asm, t.work.Request.Resume, &res))
			return
		}
		t.pause(wait)
		t.s.Counters.Retries.Add(1)
		t.event("retry", next.Target.Name, outcomeName(res.Outcome))
		step = next
	}
}

func (t *task) admit(target string) Verdict {
	if t.s.Sinks.Admit == nil {
		return Verdict{}
	}
	return t.s.Sinks.Admit(t.ctx, &t.work.Request, Attempt{
		Target: target, Unreachable: t.unreachable, AfterLoss: t.lost,
	})
}

// usable reports whether a target takes new work and connections. Targets that
// took none are tried again once no other is left.
func (t *task) usable(target string) bool {
	takes := t.s.Sinks.Usable == nil || t.s.Sinks.Usable(target)
	others := slices.ContainsFunc(t.plan.Targets(), func(o tpmessage.Target) bool {
		return !slices.Contains(t.unreachable, o.Name)
	})
	return takes && (!others || !slices.Contains(t.unreachable, target))
}

// replace adds a target to the plan in place of one that took no connection.
func (t *task) replace() {
	if t.s.Sinks.Alternative == nil {
		return
	}
	if alt, ok := t.s.Sinks.Alternative(&t.work.Request, t.plan.Targets()); ok {
		t.plan.Add(alt)
	}
}

// attempt runs the request at one target and delivers its chunks.
func (t *task) attempt(step Step) Result {
	t.event("send", step.Target.Name, "")
	overlap := tpanswer.OverlapOther
	if step.Again {
		overlap = 1
	}
	from := t.asm.Begin(overlap)
	if t.asm.Next() > t.work.Request.Resume {
		t.s.Counters.Resumes.Add(1)
	}
	res := t.s.Transport.Run(t.ctx, &t.work.Request, step.Target, from, t.deliver)
	t.classify(step.Target, &res)
	if res.Report != nil {
		t.s.Sinks.Report(*res.Report)
	}
	return res
}

// deliver passes on the chunks that are due. It waits for a slow caller, but
// not beyond the deadline.
func (t *task) deliver(c tpmessage.Chunk) error {
	ready, err := t.asm.Accept(&c, t.ready[:0])
	t.ready = ready
	for i := range ready {
		if ready[i].End {
			// The caller's handler returns after the last chunk, and must not
			// cancel the rest of the attempt.
			t.release()
			t.last = &ready[i]
		}
		if err := t.work.Chunks.PutContext(t.ctx, ready[i]); err != nil {
			return err
		}
	}
	if err == nil && t.asm.Ended() {
		return ErrComplete
	}
	return err
}

// classify settles the outcome of an attempt by what was delivered.
func (t *task) classify(target tpmessage.Target, res *Result) {
	switch {
	case t.asm.Ended():
		res.Outcome = tpmessage.OutcomeDone
	case t.ctx.Err() != nil:
		res.Outcome = tpmessage.OutcomeCancelled
	case errors.Is(res.Err, tpanswer.ErrDiverged):
		res.Outcome = tpmessage.OutcomeFailed
	case res.Outcome == tpmessage.OutcomeDone:
		res.Outcome = tpmessage.OutcomeCut
	}
	switch res.Outcome {
	case tpmessage.OutcomeNotSent:
		t.unreachable = append(t.unreachable, target.Name)
		t.replace()
	case tpmessage.OutcomeCut:
		if res.Stalled {
			t.s.Counters.Stalls.Add(1)
		}
		res.Lost = !t.s.Transport.Reachable(t.ctx, target) && t.ctx.Err() == nil
		if res.Lost {
			t.lost = true
			t.s.Counters.Lost.Add(1)
		}
	}
}

// charge takes a retry from the budget.
func (t *task) charge(step Step, again bool) (wait time.Duration, ok bool) {
	if !again || !step.Charged {
		return 0, again
	}
	return t.budget.Take(t.s.Clock.Now(), t.work.Request.Deadline)
}

func (t *task) pause(wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-t.s.Clock.After(wait):
	case <-t.ctx.Done():
	}
}

func (t *task) complete(target tpmessage.Target, res *Result, final bool) {
	t.s.Sinks.Completion(tpmessage.Completion{
		RequestID:     t.work.Request.ID,
		Organisation:  t.work.Request.Organisation,
		Target:        target.Name,
		Final:         final,
		Outcome:       res.Outcome,
		Lost:          res.Lost,
		PrefillPieces: res.PrefillPieces,
		DecodePieces:  res.DecodePieces,
		Fingerprint:   t.work.Request.Fingerprint,
		At:            t.s.Clock.Now(),
	})
}

// abandon ends a request between two attempts. Its final completion names no
// target, since that of the last attempt was reported before.
func (t *task) abandon(ref *tpmessage.Refusal, res Result) {
	if t.ctx.Err() != nil {
		res.Outcome = tpmessage.OutcomeCancelled
	}
	t.complete(tpmessage.Target{}, &Result{Outcome: res.Outcome}, true)
	if ref == nil {
		ref = refusalOf(t.plan, t.asm, t.work.Request.Resume, &res)
	}
	ref.NotRun = ref.NotRun && !t.plan.Handed()
	t.finish(res, ref)
}

// finish makes the end of the answer explicit.
func (t *task) finish(res Result, ref *tpmessage.Refusal) {
	st := t.asm.Stats()
	t.s.Counters.Crossed.Add(st.Crossed)
	t.s.Counters.Doubled.Add(st.Doubled)
	t.s.Counters.Late.Add(st.Late)
	t.s.Counters.Early.Add(st.Early)
	if t.s.Sinks.Settled != nil && !t.work.Request.Idempotent {
		t.s.Sinks.Settled(t.work, res.Outcome, t.plan.Handed(), t.last)
	}
	t.event("end", "", outcomeName(res.Outcome))
	if t.asm.Ended() {
		return
	}
	t.s.Counters.Incomplete.Add(1)
	// A ring that a slow caller has left full is closed instead, which its
	// handler turns into an explicit error.
	_ = t.work.Chunks.TryPut(tpmessage.Chunk{RequestID: t.work.Request.ID, Number: t.asm.Next(), Refusal: ref})
}

func (t *task) event(kind, target, detail string) {
	t.s.Events.Record(tpmessage.Event{
		Kind: kind, Request: t.work.Request.ID, Target: target,
		Organisation: t.work.Request.Organisation, Detail: detail,
	})
}
