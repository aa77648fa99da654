package tprelay

import (
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
func (t *task) timeouts() (firstByte, gap time.Duration) {
	route := &t.req.Route
	switch {
	case !route.Retryable():
		return 0, 0
	case route.Stream:
		return firstEventTimeoutMargin + t.grant.QueueDelay + t.grant.ReadTime, max(minGapTimeout, gapTimeoutFactor*route.EventGapGoal)
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

// resolveDeadline changes a timeout of the target to a cancelled exchange if
// the request's deadline has passed, so that it does not count as a fault of
// the target.
func (t *task) resolveDeadline(now time.Time, res Result) Result {
	if res.End == EndTimeout && !now.Before(t.req.Deadline) {
		res.End = EndCancelled
	}
	return res
}

// handleSilence decides whether the step in progress, whose target is silent,
// ends. Silence alone does not end it, because a sound target may go on: either
// another target has been granted, or the deadline for the beginning of the
// answer has passed. Begun reports whether the answer has begun. It returns the
// time until the next decision, or zero if the step ends.
func (t *task) handleSilence(begun bool) (wait time.Duration) {
	defer func() {
		if value := recover(); value != nil {
			t.logPanic(value)
			wait = 0
		}
	}()
	t.releaseReplacement()
	now := t.r.Clock.Now()
	left := t.req.Deadline.Sub(now)
	if !begun && left <= 0 {
		return 0
	}
	next, action := t.plan.AfterSilence(now, t.grant.Target.Name, t.grant.Step)
	if action == ActionRun || action == ActionPrefill {
		if g := t.requestStep(&next, action, false, begun, true); g.Refusal == nil {
			t.replacement = &g
			return 0
		}
	}
	t.reportSilence()
	if !begun {
		return min(replacementInterval, left)
	}
	return replacementInterval
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

// releaseReplacement returns the reservation of a replacement that is not used.
func (t *task) releaseReplacement() {
	if t.replacement == nil {
		return
	}
	t.r.Place(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
		Reservation: t.replacement.Reservation, Outcome: tpplace.OutcomeAbandoned, Route: t.req.Route.Name,
	}})
	t.replacement = nil
}
