package tprelay

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// maxTotalAttempts limits the attempts of all steps of one request,
	// including those that targets refuse or that cannot be sent. The retry
	// budget usually ends a request earlier.
	maxTotalAttempts = 5
	// minAttemptTime is the shortest remaining time in which a further attempt
	// can succeed.
	minAttemptTime = 60 * time.Millisecond
)

// Action is the next step of a task.
type Action uint8

// The actions of a task. Those from ActionRefuse on end the request without a
// complete answer.
const (
	ActionFinish       Action = iota // the answer is complete or is passed on unchanged
	ActionPrefill                    // request a target that reads the prompt
	ActionRun                        // request a target that generates or answers the call
	ActionRefuse                     // the request has not run
	ActionUnknown                    // the request may have run
	ActionTimeout                    // the deadline passed and the request may have run
	ActionDisconnected               // the client has disconnected
)

// Plan decides which action follows each attempt of one request. An attempt
// executes one step at one target. It is also an arrival unless no byte of it
// was sent. A Plan with only Request set belongs to a request without attempts.
type Plan struct {
	Request *tpmessage.RelayRequest

	attempts       int      // of all steps
	prefills       int      // arrivals of prefill steps
	promptRead     bool     // a target has read the prompt
	arrivals       int      // all arrivals except the first one that read the prompt
	countedRetries int      // arrivals counted against the retry budget
	possibleRuns   int      // arrivals that may have run the request
	exclude        []string // names of targets at which an attempt has failed
}

// IsRetry reports whether the next arrival counts against the retry budget. The
// first arrival does not count, nor does the first arrival after the prompt was
// read successfully. If the first arrival fails, the next one counts.
func (p *Plan) IsRetry() bool { return p.arrivals > p.countedRetries }

// CountRetry records that an arrival has been counted against the retry budget.
func (p *Plan) CountRetry() { p.countedRetries++ }

// AfterPrefill returns the action after an attempt of a prefill step. If a
// second arrival fails, the target of the run reads the prompt instead.
func (p *Plan) AfterPrefill(now time.Time, target string, end End) Action {
	p.countPrefill(end)
	switch {
	case end == EndCancelled:
		return p.afterCancel(now)
	case !p.mayRunAgain():
		return p.finalAction(now) // trials have run the request
	case end == EndComplete:
		return ActionRun
	case p.exhausted(now):
		return p.finalAction(now)
	}
	p.exclude = append(p.exclude, target)
	if p.prefills > 1 {
		return ActionRun
	}
	return ActionPrefill
}

// AfterRun returns the action after an attempt of a run or a call. The status
// of res is used only for a complete answer. Delivered is true if the client has
// received a part of the answer.
func (p *Plan) AfterRun(now time.Time, target string, res Result, delivered bool) Action {
	p.countRun(res.End)
	// Only a stream can continue at another target.
	again := p.mayRunAgain() && (!delivered || p.Request.Route.Stream)
	switch res.End {
	case EndComplete:
		if res.Status >= 500 && !p.Request.Route.Stream && again && !p.exhausted(now) {
			p.exclude = append(p.exclude, target)
			return ActionRun
		}
		return ActionFinish
	case EndCancelled:
		return p.afterCancel(now)
	}
	p.exclude = append(p.exclude, target)
	if p.exhausted(now) || !again {
		return p.finalAction(now)
	}
	return ActionRun
}

// AfterSilence returns a copy of the plan and the action as they would be if the
// step in progress, whose target is silent, ended now. The plan itself does not
// change.
func (p *Plan) AfterSilence(now time.Time, target string, step tpplace.Step) (Plan, Action) {
	next := *p
	next.exclude = slices.Clone(p.exclude)
	if step == tpplace.StepPrefill {
		return next, next.AfterPrefill(now, target, EndTimeout)
	}
	return next, next.AfterRun(now, target, Result{End: EndTimeout}, false)
}

// MayAskAgain reports whether a target that has run the request before may be
// asked for the rest of the answer. The route bounds the number of targets, and
// this is none more.
func (p *Plan) MayAskAgain(now time.Time) bool {
	return p.Request.Route.Retryable() && p.Request.Deadline.Sub(now) >= minAttemptTime
}

// AfterTrial records an attempt that has ended without an answer while another
// target kept the request.
func (p *Plan) AfterTrial(target string, step tpplace.Step, end End) {
	if step == tpplace.StepPrefill {
		p.countPrefill(end)
	} else {
		p.countRun(end)
	}
	p.exclude = append(p.exclude, target)
}

func (p *Plan) countPrefill(end End) {
	p.attempts++
	if end == EndNotSent {
		return
	}
	p.prefills++
	if end != EndComplete || p.promptRead {
		p.arrivals++
	}
	p.promptRead = p.promptRead || end == EndComplete
}

func (p *Plan) countRun(end End) {
	p.attempts++
	switch end {
	case EndNotSent:
	case EndNotRun, EndMisdirected:
		p.arrivals++
	default:
		p.arrivals++
		p.possibleRuns++
	}
}

// Revoke returns the action that ends a request whose key was removed, in place
// of the action after its last step.
func (p *Plan) Revoke(after Action) Action {
	switch {
	case after == ActionFinish, after == ActionTimeout:
		return after
	case p.possibleRuns == 0:
		return ActionRefuse
	}
	return ActionUnknown
}

// GiveUp returns the action that ends a request whose next step was refused by
// the placer.
func (p *Plan) GiveUp(now time.Time) Action { return p.finalAction(now) }

// mayRunAgain reports whether the route allows another run.
func (p *Plan) mayRunAgain() bool {
	if p.possibleRuns == 0 {
		return true
	}
	return p.Request.Route.Retryable() && p.possibleRuns < max(1, p.Request.Route.MaxAttempts)
}

// exhausted reports whether maxTotalAttempts or the remaining time allows no
// further attempt.
func (p *Plan) exhausted(now time.Time) bool {
	return p.attempts >= maxTotalAttempts || p.Request.Deadline.Sub(now) < minAttemptTime
}

// finalAction returns the action that ends a request without a further attempt.
func (p *Plan) finalAction(now time.Time) Action {
	switch {
	case p.possibleRuns == 0:
		return ActionRefuse
	case !now.Before(p.Request.Deadline):
		return ActionTimeout
	}
	return ActionUnknown
}

// afterCancel returns the action after an attempt was cancelled, either because
// the client has disconnected or because the deadline has passed.
func (p *Plan) afterCancel(now time.Time) Action {
	if now.Before(p.Request.Deadline) {
		return ActionDisconnected
	}
	return p.finalAction(now)
}
