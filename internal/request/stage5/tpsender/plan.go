package tpsender

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// MaxAttempts bounds the sends of one request to targets.
const MaxAttempts = 4

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

// Next returns the target to try after an attempt ended with the outcome, or
// false if the request has to end. retry takes one retry from the budget.
func (p *Plan) Next(now time.Time, o tpmessage.Outcome, retry func() bool) (tpmessage.Target, bool) {
	var none tpmessage.Target
	if o != tpmessage.OutcomeNotSent {
		p.handed = true
	}
	if o == tpmessage.OutcomeDone || o == tpmessage.OutcomeCancelled {
		return none, false
	}
	req := &p.assignment.Work.Request
	// A non-idempotent request goes on only while no byte was handed over.
	if !req.Idempotent && p.handed {
		return none, false
	}
	if p.attempts >= MaxAttempts || !now.Before(req.Deadline) || !retry() {
		return none, false
	}
	p.attempts++
	if o == tpmessage.OutcomeCut && !p.resumed {
		p.resumed = true
		return p.assignment.Targets[p.target], true
	}
	if p.target+1 >= len(p.assignment.Targets) {
		return none, false
	}
	p.target++
	p.resumed = false
	return p.assignment.Targets[p.target], true
}

// Refusal returns the end of a request whose attempts are used up after an
// attempt that ended with the outcome, when delivered chunks were passed on.
func (p *Plan) Refusal(o tpmessage.Outcome, delivered int, reason string) *tpmessage.Refusal {
	ref := &tpmessage.Refusal{Reason: reason}
	switch {
	case !p.handed && o == tpmessage.OutcomeNotSent:
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
