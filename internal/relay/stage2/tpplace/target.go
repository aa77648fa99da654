package tpplace

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// lostPause is how long a target is avoided after the first failure; it
	// doubles with each further one. A crashed server is back after seconds.
	lostPause = 500 * time.Millisecond
	// maxLostPause bounds lostPause.
	maxLostPause = 4 * time.Second
	// fullPause is how long a target is avoided after it refused once. It is
	// about the time in which a full batch ends a few requests. It doubles with
	// each further refusal, since a target that changes its role refuses for
	// seconds.
	fullPause = 250 * time.Millisecond
	// maxFullPause bounds fullPause.
	maxFullPause = 2 * time.Second
	// misplacedPause is how long a target is avoided that another process or
	// role has replaced; the registration follows within that time.
	misplacedPause = time.Second
	// failuresToAvoid is the number of failed answers in a row after which a
	// target counts as failing. Single failures belong to the request.
	failuresToAvoid = 3
)

// target is what a node knows of a registered target.
type target struct {
	tpmessage.RelayTarget
	prefill  [tpmessage.Priorities]int // outstanding work of this node, by priority
	upTo     [tpmessage.Priorities]int // of all nodes, of a priority and the more urgent ones
	runs     int
	tokens   int
	peers    tpmessage.TargetLoad // sum over the other nodes
	losses   int                  // failures in a row
	failures int                  // failed answers in a row
	refusals int                  // in a row
	changing bool                 // ordered to another role
	avoid    time.Time            // not used before, if another target is left
	failing  bool                 // avoid was set by a loss
}

func (t *target) settle(now time.Time, d *Done) {
	t.prefill[d.Charge.Priority] = max(0, t.prefill[d.Charge.Priority]-d.Charge.Prefill)
	t.count()
	t.runs = max(0, t.runs-d.Charge.Runs)
	t.tokens = max(0, t.tokens-d.Charge.Tokens)
	switch d.Outcome {
	case OutcomeServed:
		t.losses, t.failures, t.refusals = 0, 0, 0
		t.avoid, t.failing = time.Time{}, false
	case OutcomeFailed:
		t.failures++
		if t.failures >= failuresToAvoid {
			t.avoid, t.failing = now.Add(lostPause), true
		}
	case OutcomeLost:
		pause := min(lostPause<<min(t.losses, 4), maxLostPause)
		t.losses++
		t.avoid, t.failing = now.Add(pause), true
	case OutcomeRefused:
		t.avoid, t.failing = now.Add(min(fullPause<<min(t.refusals, 4), maxFullPause)), true
		t.refusals++
	case OutcomeMisplaced:
		t.avoid = now.Add(misplacedPause)
	}
}

// rank orders targets before their load is compared: those that seem sound,
// those that peers call failing, those that this node avoids, and those that
// change their role.
func (t *target) rank(now time.Time) int {
	switch {
	case t.changing:
		return 3
	case now.Before(t.avoid):
		return 2
	case t.peers.Failing:
		return 1
	}
	return 0
}

func (t *target) load() tpmessage.TargetLoad {
	return tpmessage.TargetLoad{
		Target: t.Name, Prefill: t.prefill, Runs: t.runs, Tokens: t.tokens, Failing: t.failing,
	}
}

// totalPrefill returns the tokens to be read of all priorities.
func (t *target) totalPrefill() int { return t.upTo[tpmessage.Priorities-1] }

// count adds up the tokens to be read after one of its terms has changed.
func (t *target) count() {
	sum := 0
	for i := range t.upTo {
		sum += t.prefill[i] + t.peers.Prefill[i]
		t.upTo[i] = sum
	}
}

func (t *target) totalRuns() int   { return t.runs + t.peers.Runs }
func (t *target) totalTokens() int { return t.tokens + t.peers.Tokens }
