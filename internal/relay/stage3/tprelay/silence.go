package tprelay

import (
	"errors"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
)

const (
	// prefillTimeoutMargin is the time that a target may take to read a prompt
	// in addition to the expected time. A shorter margin abandons prompts that
	// a busy target has nearly read. A connection error reveals a dead target
	// earlier.
	prefillTimeoutMargin = 2500 * time.Millisecond
	// firstEventTimeoutMargin is the time that a target may take to start a
	// stream that another target can take over, in addition to the expected
	// time.
	firstEventTimeoutMargin = 1500 * time.Millisecond
	// gapTimeoutFactor is the timeout between the events of a stream that
	// another target can take over, as a multiple of the longest gap that meets
	// the route's goal.
	gapTimeoutFactor = 3
	// minGapTimeout is the shortest such timeout. An engine pauses a stream for
	// longer than a goal of milliseconds while it reads the prompt of another
	// request, and clients wait for 2 s.
	minGapTimeout = 1200 * time.Millisecond
	// callTimeoutFactor is the timeout for the answer of a plain service to a
	// repeatable call, as a multiple of the route's goal.
	callTimeoutFactor = 4
	// replacementInterval is the time between two requests for a target that
	// replaces a silent one.
	replacementInterval = 300 * time.Millisecond
)

// timeouts returns the silences after which another target is requested. They
// are 0 for a request that may not run again: it waits until its deadline.
func (t *task) timeouts(g *tpplace.Grant) (firstByte, gap time.Duration) {
	route := &t.req.Route
	switch {
	case g.Step == tpplace.StepPrefill:
		return prefillTimeoutMargin + g.QueueDelay + g.ReadTime, 0
	case !route.Retryable():
		return 0, 0
	case route.Stream:
		return firstEventTimeoutMargin + g.QueueDelay + g.ReadTime, max(minGapTimeout, gapTimeoutFactor*route.EventGapGoal)
	}
	return callTimeoutFactor * route.LatencyGoal, 0
}

// limitToDeadline limits the timeout for the start of an answer to the time
// left until the request's deadline. If timeout is not positive, it returns the
// time left.
func (t *task) limitToDeadline(now time.Time, timeout time.Duration) time.Duration {
	left := max(time.Millisecond, t.req.Deadline.Sub(now))
	if timeout <= 0 {
		return left
	}
	return min(timeout, left)
}

// resolveEnd returns the result of a step. A step whose answer a trial has
// replaced ended because its target was silent. After the request's deadline,
// that does not count as a fault of the target.
func (t *task) resolveEnd(now time.Time, end stepEnd) Result {
	res := end.result
	abandoned := res.End == EndComplete && len(end.failure) == 0 || errors.Is(res.Err, errReplaced)
	if t.trial != nil && abandoned {
		res = Result{End: EndTimeout, Err: errReplaced}
	}
	if res.End == EndTimeout && !now.Before(t.req.Deadline) {
		res.End = EndCancelled
	}
	return res
}

// handleSilence decides whether the step in progress, whose target is silent,
// ends. Silence alone does not end it, because a sound target may go on: either
// another target has accepted the request, or the deadline for the beginning of
// the answer has passed. Begun reports whether the answer has begun. It returns
// the time until the next decision, or zero if the step ends.
func (t *task) handleSilence(begun bool) (wait time.Duration) {
	defer func() {
		if value := recover(); value != nil {
			t.logPanic(value)
			wait = 0
		}
	}()
	if !t.delivery.TryLock() {
		return replacementInterval // a part is being delivered
	}
	parts, replaced := t.parts, t.trial != nil
	t.delivery.Unlock()
	left := t.req.Deadline.Sub(t.r.Clock.Now())
	if replaced || !begun && left <= 0 {
		return 0
	}
	if t.mayAskRelieved(parts) && t.askRelieved(parts) {
		return 0
	}
	if wait := t.untilReplacement(parts); wait > 0 {
		return wait
	}
	if t.replace(begun, parts) {
		return 0
	}
	if !begun {
		return max(time.Millisecond, min(replacementInterval, t.req.Deadline.Sub(t.r.Clock.Now())))
	}
	return replacementInterval
}

// replace requests a target that replaces the silent one and tries it. It
// reports whether the step of the silent target has to end, because the other
// one has accepted the request or because it cannot be tried. Parts is the
// number of parts that the silent target had sent before.
func (t *task) replace(begun bool, parts int) bool {
	next, action := t.planAfterSilence()
	if action != ActionRun && action != ActionPrefill {
		t.reportSilence()
		return false
	}
	g := t.requestStep(&next, action, false, begun, true)
	if g.Refusal != nil {
		t.reportSilence()
		return false
	}
	if !t.delivery.TryLock() {
		t.returnReservation(&g)
		return false
	}
	defer t.delivery.Unlock()
	// The grant may have taken so long that the target has gone on, or that the
	// time left is too short.
	_, action = t.planAfterSilence()
	late := action != ActionRun && action != ActionPrefill
	if late || t.parts != parts || t.ctx.Err() != nil || t.isBlocked(&g.Target) {
		t.returnReservation(&g)
		return false
	}
	if g.Step != tpplace.StepPrefill && !t.req.Route.Retryable() {
		// A run that may not be repeated is no trial: if it failed and the prompt
		// was read after all, a second run would follow.
		t.returnReservation(&g)
		return true
	}
	t.countRetry(&next)
	if t.try(g, acceptBySilence) {
		return true
	}
	t.reportSilence()
	// A prompt helps no more after the last run that the route allows.
	return t.grant.Step == tpplace.StepPrefill && !t.plan.mayRunAgain()
}

func (t *task) planAfterSilence() (Plan, Action) {
	return t.plan.AfterSilence(t.r.Clock.Now(), t.grant.Target.Name, t.grant.Step)
}

// reportSilence has the placer avoid the target of the step in progress. The
// reservation of the step stays.
func (t *task) reportSilence() {
	if t.silenceReported {
		return
	}
	t.silenceReported = true
	t.r.Place(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
		Reservation: tpplace.Reservation{Target: t.grant.Target.Name}, Outcome: tpplace.OutcomeLost, Route: t.req.Route.Name,
	}})
}

// returnReservation returns the reservation of a grant whose step does not take
// place.
func (t *task) returnReservation(g *tpplace.Grant) {
	t.r.Place(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
		Reservation: g.Reservation, Outcome: tpplace.OutcomeAbandoned, Route: t.req.Route.Name,
	}})
}
