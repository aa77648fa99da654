package tprelay

import (
	"context"
	"errors"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// trialTimeout is the time after which a target that has not refused a trial
// counts as having accepted it. A target refuses without delay, and a stream may
// be in progress at two targets for 400 ms.
const trialTimeout = 250 * time.Millisecond

// errReplaced is returned for a part of an answer that another target continues.
var errReplaced = errors.New("another target has accepted the request")

// stepEnd is the end of the exchange of a step.
type stepEnd struct {
	handle  Handle // of the prompt that a prefill step has read
	result  Result
	failure []tpmessage.AnswerPart // answer with an error status
}

// trial is a step at the target that replaces a silent one. It begins while the
// silent target still keeps the request, so that a refusal does not end the
// answer. The parts of its answer wait until the task proceeds with them.
type trial struct {
	task      *task
	grant     tpplace.Grant
	started   time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	answering chan struct{} // closed when the answer begins
	proceeds  chan struct{} // closed when the task goes on with this step
	ended     chan struct{} // closed when end is set
	end       stepEnd
}

// trialRule tells when a target that has neither refused a trial nor begun an
// answer counts as having accepted it.
type trialRule uint8

const (
	acceptBySilence trialRule = iota // after trialTimeout
	acceptByAnswer                   // never; the trial ends after trialTimeout
)

// try starts the granted step as a trial and reports whether its target has
// accepted it. The caller holds t.delivery, so that the silent target delivers
// nothing meanwhile. Once a target has accepted, the step of the silent one has
// to end, even if that goes on: the stream would be in progress at both.
func (t *task) try(g tpplace.Grant, rule trialRule) bool {
	tr := &trial{
		task: t, grant: g, started: t.r.Clock.Now(),
		answering: make(chan struct{}), proceeds: make(chan struct{}), ended: make(chan struct{}),
	}
	tr.ctx, tr.cancel = context.WithCancel(t.ctx)
	t.countStep(&tr.grant)
	s := t.newUpstreamRequest(&tr.grant)
	begun := t.delivered
	if begun {
		s.FirstByteTimeout = min(s.FirstByteTimeout, minGapTimeout)
	}
	s.OnSilence = func(b bool) time.Duration {
		select {
		case <-tr.proceeds:
			return t.handleSilence(b || begun)
		default:
			return replacementInterval
		}
	}
	t.r.trials.Submit(func() { tr.run(s) })
	if tr.accepted(rule) {
		t.trial = tr
		return true
	}
	took := t.r.Clock.Now().Sub(tr.started)
	isWithdrawn := tr.withdraw()
	result := t.stepResult(&tr.grant, tr.end.result)
	result.Elapsed, result.SentAt = took, tr.started
	result.Silent = result.Silent && !isWithdrawn
	t.r.Place(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: result})
	t.plan.AfterTrial(tr.grant.Target.Name, tr.grant.Step, tr.end.result.End)
	t.recordBeginAfter(&tr.grant, tr.end.result, tr.started)
	t.logStep(&tr.grant, tr.end.result, took)
	return false
}

func (tr *trial) run(s *UpstreamRequest) {
	defer close(tr.ended)
	defer func() {
		if value := recover(); value != nil {
			tr.task.logPanic(value)
			tr.end = stepEnd{result: Result{End: EndIncomplete}}
		}
	}()
	proceeding := false
	tr.end = tr.task.exchange(tr.ctx, &tr.grant, s, func(part tpmessage.AnswerPart) error {
		if !proceeding {
			if err := tr.wait(&part); err != nil {
				return err
			}
			proceeding = true
		}
		return tr.task.deliver(part)
	})
}

// wait holds the first part of the answer until the task proceeds with this
// step. It returns an error for an answer that does not continue the client's.
func (tr *trial) wait(first *tpmessage.AnswerPart) error {
	if err := tr.task.continuation.checkHead(first.Head, tr.task.delivered); err != nil {
		return err
	}
	close(tr.answering)
	select {
	case <-tr.proceeds:
		return nil
	case <-tr.ctx.Done():
		return tr.ctx.Err()
	}
}

// accepted waits for the decision of the target.
func (tr *trial) accepted(rule trialRule) bool {
	select {
	case <-tr.answering:
		return true
	case <-tr.ended:
		return tr.grant.Step == tpplace.StepPrefill && tr.end.result.End == EndComplete
	case <-tr.task.r.Clock.After(trialTimeout):
		return rule == acceptBySilence
	}
}

// withdraw ends the exchange of a trial that was not accepted and waits for its
// end. It reports whether the target had left it open.
func (tr *trial) withdraw() bool {
	defer tr.cancel()
	select {
	case <-tr.ended:
		return false
	default:
	}
	tr.cancel()
	<-tr.ended
	return true
}

// proceed has the task go on with the trial's answer, and returns its end.
func (tr *trial) proceed() stepEnd {
	defer tr.cancel()
	close(tr.proceeds)
	<-tr.ended
	return tr.end
}

// afterTrial returns the action after a step whose target may have been silent.
// It abandons an accepted trial unless the action is the next step.
func (t *task) afterTrial(action Action) Action {
	if t.trial == nil || action == ActionRun || action == ActionPrefill {
		return action
	}
	if t.trial.grant.Target.Name == t.relieved.name && action != ActionFinish && t.ctx.Err() == nil {
		return ActionRun // the relieved target is none of the runs that the route bounds
	}
	t.abandonTrial()
	if action == ActionRefuse {
		return t.plan.GiveUp(t.r.Clock.Now())
	}
	return action
}

// abandonTrial ends a trial with which the task does not proceed. Its target may
// have run the request.
func (t *task) abandonTrial() {
	if t.trial == nil {
		return
	}
	g := &t.trial.grant
	res := Result{End: EndIncomplete}
	select {
	case <-t.trial.ended:
		res = t.trial.end.result
	default:
	}
	t.recordBeginAfter(g, res, t.trial.started)
	t.trial.cancel()
	<-t.trial.ended
	t.freeUnused(t.trial.end.handle, &g.Target)
	t.returnReservation(g)
	t.plan.AfterTrial(g.Target.Name, g.Step, EndCancelled)
	t.trial = nil
}
