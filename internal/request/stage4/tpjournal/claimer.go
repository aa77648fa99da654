package tpjournal

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// ClaimerKind selects the fields of a ClaimerInput that are set.
type ClaimerKind uint8

// After ClaimerDrain, the claimer is drained once no claim is pending.
const (
	ClaimerWork   ClaimerKind = iota // a non-idempotent call from the router
	ClaimerAnswer                    // the answer to the claim of a call
	ClaimerDrain                     // no more calls follow
)

// ClaimerInput is one message to the journal filter of an entry node.
type ClaimerInput struct {
	Kind       ClaimerKind
	Assignment tpmessage.Assignment // ClaimerWork
	Attempt    string               // ClaimerAnswer
	Answer     Answer               // ClaimerAnswer
}

// ClaimerOutput is the result of one input. Any of its fields may be empty.
type ClaimerOutput struct {
	Claim   *tpmessage.Assignment // call whose claim goes to the holder
	Send    *tpmessage.Assignment // call to send, because its claim is durable
	Ended   *tpmessage.Work       // call that ends here, with Last as its answer
	Target  string                // target that the router chose for Ended
	Last    tpmessage.Chunk       // refusal or recorded result
	Release bool                  // the claim of Ended may be durable and has to be released
	Drained bool                  // no claim is pending and no more calls follow
}

// Claimer decides on an entry node which calls may go to the sender. Only a
// call whose claim was committed may. It belongs to one filter and is not safe
// for concurrent use.
type Claimer struct {
	pending  map[string]tpmessage.Assignment // by attempt
	draining bool
	drained  bool
}

// NewClaimer returns a claimer without pending claims.
func NewClaimer() *Claimer { return &Claimer{pending: make(map[string]tpmessage.Assignment)} }

// Pending returns the number of calls that wait for the answer to their claim.
func (c *Claimer) Pending() int { return len(c.pending) }

// Step processes one input.
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
		return endCall(&a, notRunRefusal("the deadline passed, or the caller left, before the call was sent"), true)
	}
	if in.Answer.State == AnswerDone {
		out := endCall(&a, nil, false)
		out.Last.Text = string(in.Answer.Result)
		out.Last.Status = in.Answer.Status
		out.Last.End = true
		return out
	}
	return endCall(&a, refusalOf(in.Answer.State), in.Answer.State == AnswerUndetermined)
}

func endCall(a *tpmessage.Assignment, ref *tpmessage.Refusal, release bool) ClaimerOutput {
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

// RetryAfter is the delay before a retry that the caller of a call that did not
// run is advised to keep.
const RetryAfter = time.Second

func notRunRefusal(reason string) *tpmessage.Refusal {
	return &tpmessage.Refusal{Code: tpmessage.RefusalNotRun, Reason: reason, RetryAfter: RetryAfter, NotRun: true}
}

// refusalOf returns the refusal for an answer. Its NotRun applies to this
// request only. An earlier request with the same key may have run.
func refusalOf(state AnswerState) *tpmessage.Refusal {
	switch state {
	case AnswerUnknown:
		return &tpmessage.Refusal{
			Code:   tpmessage.RefusalUnknown,
			Reason: "an earlier request with this key may have run and has no recorded result",
		}
	case AnswerResultOmitted:
		return &tpmessage.Refusal{
			Code:   tpmessage.RefusalExpired,
			Reason: "the call has run; its result was too long to be kept",
		}
	case AnswerExpired:
		return &tpmessage.Refusal{
			Code:   tpmessage.RefusalExpired,
			Reason: "the key is older than the journal remembers; whether it ran before is not known",
		}
	case AnswerKeyInFuture:
		return &tpmessage.Refusal{
			Code: tpmessage.RefusalBadRequest, Reason: "the time in the idempotency key lies in the future", NotRun: true,
		}
	case AnswerMismatch:
		return &tpmessage.Refusal{
			Code: tpmessage.RefusalBadRequest, Reason: "the idempotency key was used for another call", NotRun: true,
		}
	}
	return notRunRefusal("the claim of the call could not be recorded; this request was not sent," +
		" an earlier one with the same key may have run")
}

// ClaimOf returns the operation that claims the right to run a call.
func ClaimOf(w *tpmessage.Work) Op {
	return Op{
		Kind: OpClaim, Key: w.Request.Key, Attempt: w.Attempt, Organisation: w.Request.Organisation,
		Fingerprint: w.Request.Fingerprint, Pool: w.Request.Pool,
	}
}

// ReleaseOf returns the operation that releases the claim of a call that was
// not sent.
func ReleaseOf(w *tpmessage.Work) Op {
	return Op{Kind: OpSettle, Key: w.Request.Key, Attempt: w.Attempt, NotRun: true}
}

// SettlementOf returns the operation that records the end of a call. sent
// reports whether a byte of the call was handed to a target, and last is the
// last chunk of its answer, or nil. SettlementOf returns false if the call was
// sent and has no complete answer; the claim then stays.
func SettlementOf(w *tpmessage.Work, sent bool, last *tpmessage.Chunk) (Op, bool) {
	if last != nil && last.End {
		op := Op{Kind: OpSettle, Key: w.Request.Key, Attempt: w.Attempt, Status: last.Status}
		if len(last.Text) > MaxResultBytes {
			op.Omitted = true
		} else {
			op.Result = []byte(last.Text)
		}
		return op, true
	}
	if !sent {
		return ReleaseOf(w), true
	}
	return Op{}, false
}
