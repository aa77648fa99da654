package tpplace

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// lostBackoff is the time for which a target is avoided after a lost
	// exchange. It doubles with each consecutive one. A crashed server is back
	// after some seconds.
	lostBackoff = 500 * time.Millisecond
	// maxLostBackoff bounds the doubled lostBackoff.
	maxLostBackoff = 4 * time.Second
	// refusedBackoff is the time for which a target is avoided after a refusal.
	// A full batch finishes a few requests in about that time. It doubles with
	// each consecutive refusal, because a target that changes its role refuses
	// for seconds.
	refusedBackoff = 250 * time.Millisecond
	// maxRefusedBackoff bounds the doubled refusedBackoff.
	maxRefusedBackoff = 2 * time.Second
	// misdirectedBackoff is the time for which a target is avoided after
	// another process or role was found at its address. The new registration
	// arrives within that time.
	misdirectedBackoff = time.Second
	// failuresToAvoid is the number of consecutive failed answers after which a
	// target counts as failing. A single failure may be caused by the request.
	failuresToAvoid = 3
)

// target is the state of a registered target at this node.
type target struct {
	tpmessage.RelayTarget
	prefill           [tpmessage.NumPriorities]int // prompt tokens to read for this node, by priority
	cumulativePrefill [tpmessage.NumPriorities]int // prompt tokens to read for all nodes, of each priority and all more urgent ones
	runs              int                          // of this node
	tokens            int                          // KV memory of the runs of this node
	peerLoad          tpmessage.TargetLoad         // sum over the other nodes
	losses            int                          // consecutive lost exchanges
	failures          int                          // consecutive failed answers
	refusals          int                          // consecutive refusals
	changing          bool                         // ordered to another role
	allowed           bool                         // has a limit, and this node an allowance, at the placement in progress
	notices           noticeState                  // of the target's process
	startsBy          time.Time                    // when the process was first registered at this node
	avoidUntil        time.Time                    // until then used only if no other target is left
	failing           bool                         // avoidUntil was set by a loss or by repeated failures
	speeds            speeds
	factors           factors
}

func (t *target) applyResult(now time.Time, r *StepResult) {
	t.prefill[r.Reservation.Priority] = max(0, t.prefill[r.Reservation.Priority]-r.Reservation.Prefill)
	t.updatePrefillSums()
	t.runs = max(0, t.runs-r.Reservation.Runs)
	t.tokens = max(0, t.tokens-r.Reservation.Tokens)
	switch r.Outcome {
	case OutcomeServed:
		t.losses, t.failures, t.refusals = 0, 0, 0
		t.avoidUntil, t.failing = time.Time{}, false
	case OutcomeFailed:
		t.failures++
		if t.failures >= failuresToAvoid {
			t.avoidUntil, t.failing = now.Add(lostBackoff), true
		}
	case OutcomeLost:
		pause := min(lostBackoff<<min(t.losses, 4), maxLostBackoff)
		t.losses++
		t.avoidUntil, t.failing = now.Add(pause), true
	case OutcomeRefused:
		// A full target is not failing. If all nodes avoided it, the remaining
		// targets would be full next.
		t.avoidUntil = now.Add(min(refusedBackoff<<min(t.refusals, 4), maxRefusedBackoff))
		t.refusals++
	case OutcomeMisdirected:
		t.avoidUntil = now.Add(misdirectedBackoff)
	}
}

// rank returns the group of the target. A target is chosen only if no target of
// a lower rank can do the step. The ranks are 0 without a known fault, 1
// reported as failing by a peer, 2 avoided by this node, 3 changing its role.
func (t *target) rank(now time.Time) int {
	switch {
	case t.changing:
		return 3
	case now.Before(t.avoidUntil):
		return 2
	case t.peerLoad.Failing:
		return 1
	}
	return 0
}

func (t *target) load() tpmessage.TargetLoad {
	return tpmessage.TargetLoad{
		Target: t.Name, Prefill: t.prefill, Runs: t.runs, Tokens: t.tokens, Failing: t.failing,
	}
}

// totalPrefill returns the prompt tokens to read at the target, for all
// priorities and nodes.
func (t *target) totalPrefill() int { return t.cumulativePrefill[tpmessage.NumPriorities-1] }

// updatePrefillSums recomputes cumulativePrefill. It must be called after each
// change of prefill or peerLoad.
func (t *target) updatePrefillSums() {
	sum := 0
	for i := range t.cumulativePrefill {
		sum += t.prefill[i] + t.peerLoad.Prefill[i]
		t.cumulativePrefill[i] = sum
	}
}

func (t *target) totalRuns() int   { return t.runs + t.peerLoad.Runs }
func (t *target) totalTokens() int { return t.tokens + t.peerLoad.Tokens }
