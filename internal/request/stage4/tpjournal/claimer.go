package tpjournal

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// ClaimerKind tells what a ClaimerInput holds.
type ClaimerKind uint8

// Kinds of claimer inputs.
const (
	ClaimerWork   ClaimerKind = iota // a non-idempotent call from the router
	ClaimerAnswer                    // the end of its claim
	ClaimerDrain                     // no more work follows
)

// ClaimerInput is one message to the journal filter of an entry node.
type ClaimerInput struct {
	Kind       ClaimerKind
	Assignment tpmessage.Assignment // ClaimerWork
	Attempt    string               // ClaimerAnswer
	Answer     Answer               // ClaimerAnswer
}

// ClaimerOutput is what follows from an input. Any of its parts may be empty.
type ClaimerOutput struct {
	Claim   *tpmessage.Assignment // to be claimed
	Send    *tpmessage.Assignment // the claim is durable: to be sent
	Ended   *tpmessage.Work       // ends here with Last
	Target  string                // that the router chose for Ended
	Last    tpmessage.Chunk       // a refusal or the recorded result
	Release bool                  // the claim of Ended may be durable and is to be released
	Drained bool                  // no claim is pending and no more work follows
}

// Claimer decides on an entry node which calls may go to the sender: only those
// whose claim has been answered as committed. It belongs to one filter.
type Claimer struct {
	pending  map[string]tpmessage.Assignment // by attempt
	draining bool
	drained  bool
}

// NewClaimer returns a claimer without pending claims.
func NewClaimer() *Claimer { return &Claimer{pending: make(map[string]tpmessage.Assignment)} }

// Pending returns the number of calls that wait for their claim.
func (c *Claimer) Pending() int { return len(c.pending) }

// Step takes one input.
func (c *Claimer) Step(now time.Time, in ClaimerInput) ClaimerOutput {
	out := c.step(now, in)
	if c.draining && !c.drained && len(c.pending) == 0 {
		c.drained = true
		out.Drained = true
	}
	return out
}

func (c *Claimer) step(now time.Time, in ClaimerInput) ClaimerOutput {
	if in.Kind == ClaimerDrain {
		c.draining = true
		return ClaimerOutput{}
	}
	if in.Kind == ClaimerWork {
		c.pending[in.Assignment.Work.Attempt] = in.Assignment
		return ClaimerOutput{Claim: &in.Assignment}
	}
	a, ok := c.pending[in.Attempt]
	if !ok {
		return ClaimerOutput{}
	}
	delete(c.pending, in.Attempt)
	w := &a.Work
	if in.Answer.State == AnswerCommitted {
		if now.Before(w.Request.Deadline) && w.Ctx.Err() == nil {
			return ClaimerOutput{Send: &a}
		}
		return end(&a, notRun("the deadline passed, or the caller left, before the call was sent"), true)
	}
	if in.Answer.State == AnswerDone {
		out := end(&a, nil, false)
		out.Last.Text = string(in.Answer.Result)
		out.Last.Status = in.Answer.Status
		out.Last.End = true
		return out
	}
	return end(&a, refusalOf(in.Answer.State), in.Answer.State == AnswerUndetermined)
}

func end(a *tpmessage.Assignment, ref *tpmessage.Refusal, release bool) ClaimerOutput {
	out := ClaimerOutput{
		Ended:   &a.Work,
		Last:    tpmessage.Chunk{RequestID: a.Work.Request.ID, Refusal: ref},
		Release: release,
	}
	if len(a.Targets) > 0 {
		out.Target = a.Targets[0].Name
	}
	return out
}

// RetryAfter is the advice given with a refusal of a call that has not run.
const RetryAfter = time.Second

func notRun(reason string) *tpmessage.Refusal {
	return &tpmessage.Refusal{Code: tpmessage.RefusalNotRun, Reason: reason, RetryAfter: RetryAfter, NotRun: true}
}

// refusalOf returns the refusal that follows from an answer. NotRun speaks of
// this request alone; an earlier request with the same key may have run.
func refusalOf(state AnswerState) *tpmessage.Refusal {
	switch state {
	case AnswerUnknown:
		return &tpmessage.Refusal{
			Code:   tpmessage.RefusalUnknown,
			Reason: "an earlier request with this key may have run and has no recorded result",
		}
	case AnswerOmitted:
		return &tpmessage.Refusal{
			Code:   tpmessage.RefusalExpired,
			Reason: "the call has run; its result was too long to be kept",
		}
	case AnswerExpired:
		return &tpmessage.Refusal{
			Code:   tpmessage.RefusalExpired,
			Reason: "the key is older than the journal remembers; whether it ran before is not known",
		}
	case AnswerAhead:
		return &tpmessage.Refusal{
			Code: tpmessage.RefusalBadRequest, Reason: "the time in the idempotency key lies in the future", NotRun: true,
		}
	case AnswerMismatch:
		return &tpmessage.Refusal{
			Code: tpmessage.RefusalBadRequest, Reason: "the idempotency key was used for another call", NotRun: true,
		}
	}
	return notRun("the claim of the call could not be recorded; this request was not sent," +
		" an earlier one with the same key may have run")
}

// ClaimOf returns the claim of a call.
func ClaimOf(w *tpmessage.Work) Op {
	return Op{
		Kind: OpClaim, Key: w.Request.Key, Attempt: w.Attempt, Organisation: w.Request.Organisation,
		Fingerprint: w.Request.Fingerprint, Pool: w.Request.Pool,
	}
}

// ReleaseOf returns the release of a call's claim.
func ReleaseOf(w *tpmessage.Work) Op {
	return Op{Kind: OpSettle, Key: w.Request.Key, Attempt: w.Attempt, NotRun: true}
}

// SettlementOf returns the operation that records the end of a sent call, or
// false if the end leaves the claim as it is.
func SettlementOf(w *tpmessage.Work, handed bool, last *tpmessage.Chunk) (Op, bool) {
	if last != nil && last.End {
		op := Op{Kind: OpSettle, Key: w.Request.Key, Attempt: w.Attempt, Status: last.Status}
		if len(last.Text) > MaxResultBytes {
			op.Omitted = true
		} else {
			op.Result = []byte(last.Text)
		}
		return op, true
	}
	if !handed {
		return ReleaseOf(w), true
	}
	return Op{}, false
}
