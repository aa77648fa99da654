package tpjournal

import "time"

// NoJournal grants every claim and records nothing, as a retry without a
// journal would. It is unsafe, because a repeated call runs again. Tests use it
// to verify that the history check detects a second run. No node uses it.
type NoJournal struct{}

// Step implements Scheme.
func (NoJournal) Step(_ time.Time, in Input, dst []Output) []Output {
	if in.Kind != InputOp {
		return dst
	}
	state := AnswerCommitted
	if in.Op.Kind == OpSettle {
		state = AnswerSettled
	}
	return append(dst, Output{Op: in.Op, Answer: Answer{State: state}})
}
