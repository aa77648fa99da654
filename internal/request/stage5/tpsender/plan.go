package tpsender

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// MaxAttempts bounds the attempts of one request. It allows two attempts at
// each of the three targets of an assignment, so that after the crashes of two
// of them the third can still be tried.
const MaxAttempts = 6

// AttemptEnd describes how an attempt ended, as far as the plan depends on it.
type AttemptEnd struct {
	Outcome tpmessage.Outcome
	Lost    bool // the target accepts no connections after the stream was interrupted
	Stalled bool // the target stopped sending and may not resume
}

// Step is the next attempt of a plan.
type Step struct {
	Target tpmessage.Target
	// SameTarget is true if the target is that of the previous attempt.
	SameTarget bool
	// UsesBudget is true if the attempt takes a retry from the budget. It is
	// false if the previous attempt did not reach its target and so caused no
	// work.
	UsesBudget bool
}

// Plan decides which target to try next for one assignment. It belongs to one
// stream task and is not safe for concurrent use.
type Plan struct {
	assignment *tpmessage.Assignment
	attempts   int
	target     int  // index of the current target
	sent       bool // a byte of the request was handed to a target
	resumed    bool // the current target was tried again after an interrupted stream
}

// NewPlan returns a plan for the assignment. Add changes the assignment's
// targets.
func NewPlan(a *tpmessage.Assignment) *Plan { return &Plan{assignment: a} }

// First returns the first target and counts an attempt.
func (p *Plan) First() tpmessage.Target {
	p.attempts++
	return p.assignment.Targets[0]
}

// Next returns the attempt that follows one that has ended, or false if the
// request has to end. An interrupted stream is resumed once at the same target,
// unless that target is lost or stalled, and then at the next one. The first
// target follows the last one. Next skips a target that is not usable, for
// example because it is shutting down.
func (p *Plan) Next(now time.Time, end AttemptEnd, usable func(target string) bool) (Step, bool) {
	if end.Outcome != tpmessage.OutcomeNotSent {
		p.sent = true
	}
	if end.Outcome == tpmessage.OutcomeDone || end.Outcome == tpmessage.OutcomeCancelled {
		return Step{}, false
	}
	req := &p.assignment.Work.Request
	// A non-idempotent request may be sent again only if no byte of it was
	// handed to a target.
	if !req.Idempotent && p.sent {
		return Step{}, false
	}
	if p.attempts >= MaxAttempts || !now.Before(req.Deadline) {
		return Step{}, false
	}
	p.attempts++
	step := Step{UsesBudget: end.Outcome != tpmessage.OutcomeNotSent}
	resumable := end.Outcome == tpmessage.OutcomeInterrupted && !p.resumed && !end.Lost && !end.Stalled
	if current := p.assignment.Targets[p.target]; resumable && usable(current.Name) {
		p.resumed = true
		step.SameTarget = true
		step.Target = current
		return step, true
	}
	p.resumed = false
	for range p.assignment.Targets {
		p.target = (p.target + 1) % len(p.assignment.Targets)
		if step.Target = p.assignment.Targets[p.target]; usable(step.Target.Name) {
			return step, true
		}
	}
	return Step{}, false
}

// Targets returns the targets of the plan in the order in which they are tried.
func (p *Plan) Targets() []tpmessage.Target { return p.assignment.Targets }

// Add appends a target to the plan and its assignment.
func (p *Plan) Add(t tpmessage.Target) {
	p.assignment.Targets = append(p.assignment.Targets, t)
}

// Sent reports whether a byte of the request was handed to a target.
func (p *Plan) Sent() bool { return p.sent }

// Refusal returns the refusal that ends a request without further attempts.
// delivered is the number of chunks that the caller has received.
func (p *Plan) Refusal(delivered int, reason string) *tpmessage.Refusal {
	ref := &tpmessage.Refusal{Reason: reason}
	switch {
	case !p.sent:
		ref.Code = tpmessage.RefusalNotRun
		ref.NotRun = true
		ref.RetryAfter = time.Second
	case !p.assignment.Work.Request.Idempotent:
		ref.Code = tpmessage.RefusalUnknown
	case delivered > 0:
		ref.Code = tpmessage.RefusalIncomplete
	default:
		ref.Code = tpmessage.RefusalUnknown
		ref.RetryAfter = time.Second
	}
	return ref
}
