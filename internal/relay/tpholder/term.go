package tpholder

import (
	"context"
	"errors"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// CallTimeout limits a call to the duty API, so that a call which began within
// the term also ends within it.
const CallTimeout = 600 * time.Millisecond

// callMargin is the time before the end of the term at which calls stop. It
// exceeds CallTimeout.
const callMargin = 700 * time.Millisecond

// Errors of the duty API. Any other error leaves the outcome unknown: the call
// may have been carried out, or may still be.
var (
	// ErrLimited means that the platform takes no further call at the moment.
	// The call had no effect.
	ErrLimited = errors.New("the duty API takes no further call at the moment")
	// ErrNoCapacity means that no target of this kind is to be had in the
	// availability zone at the moment. The order had no effect.
	ErrNoCapacity = errors.New("no target is to be had in the availability zone")
	// ErrRefused means that the platform does not accept the call. It had no
	// effect, and a repetition would have none.
	ErrRefused = errors.New("the duty API does not accept the call")
)

// API is the duty API. Only one node may call it at a time.
type API interface {
	// ReportUsage sends the counts of a window. Sending the same report again
	// has no effect.
	ReportUsage(ctx context.Context, holder tpmessage.DutyHolder, report tpmessage.UsageReport) error
	// OrderScale orders a number of targets. Sending the same order again has no
	// effect.
	OrderScale(ctx context.Context, holder tpmessage.DutyHolder, order tpmessage.ScaleOrder) error
}

// Term is this node's authority over the lease and the time from which it may
// call the duty API. The zero value may not call it.
type Term struct {
	Authority tpmessage.Authority
	From      time.Time
}

// Next returns the term after a change of the authority at time now. With a new
// grant the node waits for the guard: the holder before may have sent a call
// that is still on its way.
func (t Term) Next(now time.Time, a tpmessage.Authority, guard time.Duration) Term {
	next := Term{Authority: a, From: t.From}
	if a.Held && (!t.Authority.Held || t.Authority.Fencing != a.Fencing) {
		next.From = now.Add(guard)
	}
	return next
}

// MayCall reports whether a call to the duty API may begin at time now.
func (t Term) MayCall(now time.Time) bool {
	return t.Authority.Held && !now.Before(t.From) && now.Before(t.Authority.Until.Add(-callMargin))
}
