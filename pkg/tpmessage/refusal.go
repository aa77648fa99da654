package tpmessage

import "time"

// RefusalCode is the reason for a refusal that callers receive.
type RefusalCode string

// Refusal codes. Each states whether the request may have run.
const (
	RefusalNotRun      RefusalCode = "notRun"      // not run; the caller may retry
	RefusalUnknown     RefusalCode = "unknown"     // may have run; the outcome is unknown
	RefusalTooLarge    RefusalCode = "tooLarge"    // not run; over an input limit
	RefusalQuarantined RefusalCode = "quarantined" // not run again; its content crashed targets
	RefusalOverShare   RefusalCode = "overShare"   // not run; the organisation is over its share in overload
	RefusalDraining    RefusalCode = "draining"    // not run; this node is stopping
	RefusalBadRequest  RefusalCode = "badRequest"  // not run; the request is malformed
	RefusalExpired     RefusalCode = "expired"     // not run now; whether the key ran before, or its result, is no longer kept
	RefusalIncomplete  RefusalCode = "incomplete"  // ran in part; the answer could not be completed
)

// Refusal ends a request that has no complete answer. Reason is text for the
// caller.
type Refusal struct {
	Code       RefusalCode
	Reason     string
	RetryAfter time.Duration // zero if a retry is not advised
	// NotRun is true only if no byte of the request was sent to a target.
	NotRun bool
}
