package tphistory

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"teaselpin.example/teaselpin/internal/standin/tpservicefake"
)

// CheckTimeout bounds the search for a linearization of the calls. CheckCalls
// fails if the search has not ended by then.
const CheckTimeout = time.Minute

// callInput is a call and the service's runs with its request ID.
type callInput struct {
	op   Operation
	runs []tpservicefake.Run
}

// keyState is the state of one idempotency key in callModel.
type keyState struct {
	ran    bool
	result string
}

// callModel is the sequential specification of non-idempotent calls. A key runs
// at most once, in one of its calls. An answer is the result of that run. A
// call that was refused as not run has no run. The model checks each key on its
// own.
var callModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(callInput).op.Key
			byKey[key] = append(byKey[key], op)
		}
		partitions := make([][]porcupine.Operation, 0, len(byKey))
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, in := state.(keyState), input.(callInput)
		if len(in.runs) > 0 {
			if s.ran || len(in.runs) > 1 || (in.op.Outcome == OutcomeRefused && in.op.Refusal.NotRun) {
				return false, s
			}
			s = keyState{ran: true, result: in.runs[0].Result}
		}
		if in.op.Outcome == OutcomeOK && (!s.ran || s.result != in.op.Answer) {
			return false, s
		}
		return true, s
	},
	DescribeOperation: func(input, _ any) string {
		in := input.(callInput)
		return fmt.Sprintf("%s: %s %s, %d runs", in.op.Key, in.op.Outcome, in.op.Refusal.Code, len(in.runs))
	},
}

// CheckCalls returns an error unless the callers' operations and the services'
// runs are linearizable with at most one run for each key. A call whose outcome
// its caller does not know may have run at any later time. CheckCalls also
// returns an error for a run of a request that no caller sent.
func CheckCalls(ops []Operation, runs []tpservicefake.Run) error {
	byRequest := make(map[string][]tpservicefake.Run)
	for _, run := range runs {
		byRequest[run.RequestID] = append(byRequest[run.RequestID], run)
	}
	history := make([]porcupine.Operation, 0, len(ops))
	for _, op := range ops {
		end := op.Returned.UnixNano()
		if op.Outcome == OutcomeUnknown || (op.Outcome == OutcomeRefused && !op.Refusal.NotRun) {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			ClientId: op.Caller, Call: op.Invoked.UnixNano(), Return: end,
			Input: callInput{op: op, runs: byRequest[op.RequestID]},
		})
		delete(byRequest, op.RequestID)
	}
	for id, unknownRuns := range byRequest {
		return fmt.Errorf("the service ran request %s with key %s, which no caller sent", id, unknownRuns[0].Key)
	}
	if got := porcupine.CheckOperationsTimeout(callModel, history, CheckTimeout); got != porcupine.Ok {
		return fmt.Errorf("%d calls and %d runs are not linearizable with at most one run for each key: %s%s",
			len(ops), len(runs), got, describeViolations(ops, runs))
	}
	return nil
}

// describeViolations lists the calls that violate the model regardless of their
// order: calls of a key with more than one run, answers that differ from the
// key's run, and calls that were refused as not run although the key ran.
func describeViolations(ops []Operation, runs []tpservicefake.Run) string {
	count := make(map[string]int)
	for _, run := range runs {
		count[run.Key]++
	}
	result := make(map[string]string)
	for _, run := range runs {
		result[run.Key] = run.Result
	}
	text := ""
	for _, op := range ops {
		if count[op.Key] > 1 || (op.Outcome == OutcomeOK && op.Answer != result[op.Key]) ||
			(op.Refusal.NotRun && count[op.Key] > 0) {
			text += fmt.Sprintf("\n%s caller %d request %s: %s %s %q, key ran %d times",
				op.Key, op.Caller, op.RequestID, op.Outcome, op.Refusal.Code, op.Answer, count[op.Key])
		}
	}
	return text
}
