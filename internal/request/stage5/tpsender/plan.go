package tpsender

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// MaxAttempts bounds the sends of one request to targets. It allows two sends
// to each of the three targets of an assignment, so that the crashes of two
// of them leave room for the third.
const MaxAttempts = 6

// End is what the plan needs to know of an attempt that has ended.
type End struct {
	Outcome tpmessage.Outcome
	Lost    bool // the target takes no connections after the cut
	Stalled bool // the target is silent and may stay so
}

// Step is the next attempt of a plan.
type Step struct {
	Target tpmessage.Target
	// Again is true if the target is the one of the attempt before.
	Again bool
	// Charged is true if the attempt takes a retry from the budget. It is
	// false after an attempt that gave no target any work.
	Charged bool
}

// Plan decides which target to try next for one assignment. It belongs to one
// stream task.
type Plan struct {
	assignment *tpmessage.Assignment
	attempts   int
	target     int
	handed     bool // a byte of the request was handed to a target
	resumed    bool // the current target was tried again after a cut
}

// NewPlan returns a plan for the assignment.
func NewPlan(a *tpmessage.Assignment) *Plan { return &Plan{assignment: a} }

// First returns the first target.
func (p *Plan) First() tpmessage.Target {
	p.attempts++
	return p.assignment.Targets[0]
}

// Next returns the attempt after one that has ended, or false if the request
// has to end. A cut stream is resumed once at the same target unless that is
// lost or silent, then at the next one. After the last target comes the first.
// A target that is not usable, because it is leaving, is passed over.
func (p *Plan) Next(now time.Time, end End, usable func(target string) bool) (Step, bool) {
	if end.Outcome != tpmessage.OutcomeNotSent {
		p.handed = true
	}
	if end.Outcome == tpmessage.OutcomeDone || end.Outcome == tpmessage.OutcomeCancelled {
		return Step{}, false
	}
	req := &p.assignment.Work.Request
	// A non-idempotent request goes on only while no byte was handed over.
	if !req.Idempotent && p.handed {
		return Step{}, false
	}
	if p.attempts >= MaxAttempts || !now.Before(req.Deadline) {
		return Step{}, false
	}
	p.attempts++
	step := Step{Charged: end.Outcome != tpmessage.OutcomeNotSent}
	resumable := end.Outcome == tpmessage.OutcomeCut && !p.resumed && !end.Lost && !end.Stalled
	if current := p.assignment.Targets[p.target]; resumable && usable(current.Name) {
		p.resumed = true
		step.Again = true
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

// Targets returns the targets of the plan.
func (p *Plan) Targets() []tpmessage.Target { return p.assignment.Targets }

// Add appends a target, which comes after the present ones.
func (p *Plan) Add(t tpmessage.Target) {
	p.assignment.Targets = append(p.assignment.Targets, t)
}

// Handed reports whether a byte of the request was handed to a target.
func (p *Plan) Handed() bool { return p.handed }

// Refusal returns the end of a request whose attempts are used up, when
// delivered chunks were passed on.
func (p *Plan) Refusal(delivered int, reason string) *tpmessage.Refusal {
	ref := &tpmessage.Refusal{Reason: reason}
	switch {
	case !p.handed:
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
