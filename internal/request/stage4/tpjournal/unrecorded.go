package tpjournal

import "time"

// Unrecorded grants every claim and records nothing, as a retry without a
// journal does. It is unsafe: a repeated call runs again. Tests use it to show
// that the history check catches a second run; no node is wired with it.
type Unrecorded struct{}

// Step implements Scheme.
func (Unrecorded) Step(_ time.Time, in Input, dst []Output) []Output {
	if in.Kind != InputOp {
		return dst
	}
	state := AnswerCommitted
	if in.Op.Kind == OpSettle {
		state = AnswerSettled
	}
	return append(dst, Output{Op: in.Op, Answer: Answer{State: state}})
}
