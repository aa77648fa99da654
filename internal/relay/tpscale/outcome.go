package tpscale

import (
	"errors"

	"teaselpin.example/teaselpin/internal/relay/tpholder"
)

// ErrNotSent is the result of an order that was not sent, because this node was
// not the holder of the duty any more.
var ErrNotSent = errors.New("the node is not the holder of the duty")

// Outcome is what became of an order.
type Outcome string

// Values of Outcome.
const (
	OutcomeAccepted   Outcome = "accepted"
	OutcomeNotSent    Outcome = "notSent"
	OutcomeLimited    Outcome = "limited"    // the platform takes no call at the moment
	OutcomeNoCapacity Outcome = "noCapacity" // none are to be had in the zone
	OutcomeRefused    Outcome = "refused"    // a repetition would be refused too
	OutcomeUnknown    Outcome = "unknown"    // it may have been carried out, or may still be
)

// OutcomeOf returns the outcome of an order from the error of its call, which is
// nil, ErrNotSent or an error of tpholder.API.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeAccepted
	case errors.Is(err, ErrNotSent):
		return OutcomeNotSent
	case errors.Is(err, tpholder.ErrLimited):
		return OutcomeLimited
	case errors.Is(err, tpholder.ErrNoCapacity):
		return OutcomeNoCapacity
	case errors.Is(err, tpholder.ErrRefused):
		return OutcomeRefused
	}
	return OutcomeUnknown
}
