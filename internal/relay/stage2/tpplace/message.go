package tpplace

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Step is what a target is asked to do.
type Step uint8

// Steps of a request.
const (
	// StepFirst leaves the choice of the first step to the placement.
	StepFirst Step = iota
	// StepPrefill reads the prompt and keeps it under a handle.
	StepPrefill
	// StepRun generates, from a handle or from the whole prompt.
	StepRun
	// StepCall is a call to a plain service.
	StepCall
)

// String implements fmt.Stringer.
func (s Step) String() string {
	return [...]string{"first", "prefill", "run", "call"}[min(int(s), 3)]
}

// Ask asks for a target.
type Ask struct {
	Work tpmessage.RelayWork
	Step Step
	// Extra is true if the pool has already been sent an arrival of this kind
	// for the request, so that a further one is taken from the retry budget.
	Extra bool
	// Loaded is true for a run that takes its prompt from a handle.
	Loaded bool
	// Exclude holds the names of targets that must not be chosen.
	Exclude []string
	// Reply takes the grant of an ask that a task makes; it is nil for a new
	// request, whose grant goes down the pipeline.
	Reply *tpring.Ring[Grant]
}

// Charge is the work that a grant has counted at a target.
type Charge struct {
	Target   string
	Priority int
	Prefill  int // tokens to be read
	Runs     int
	Tokens   int // memory, in tokens
	// Alone tells that no other prompt was known to be read at the target.
	Alone bool
	Read  time.Duration // for reading the prompt at the reference speed
	Batch int           // runs at the target with this one
}

// Grant is the answer to an Ask: a target, or a refusal.
type Grant struct {
	Work    tpmessage.RelayWork
	Step    Step
	Target  tpmessage.RelayTarget
	Charge  Charge // with the priority under which the target gets the request
	Basis   Basis
	Fetch   string        // address of a target that keeps the shared prefix, if another
	Wait    time.Duration // expected until the target begins
	Read    time.Duration // expected for reading the prompt
	Refusal *tpmessage.RelayRefusal
}

// Basis is what a grant rests on, for the log.
type Basis struct {
	Candidates int           // targets of the best rank
	Rank       int           // 0 if the target seems sound
	Runs       int           // outstanding at the target, of all nodes
	Prefill    int           // tokens to be read there, of all nodes
	Nodes      int           // nodes whose load is known
	OldestLoad time.Duration // age of the oldest of these loads
}

// Done tells how a granted step ended.
type Done struct {
	Charge  Charge
	Outcome Outcome
	Route   string
	Took    time.Duration // of a prompt that was read for another target
	// Events, of EventTokens each, came within Streamed after the first one.
	Events      int
	EventTokens int
	Streamed    time.Duration
}

// Outcome is what the end of a step says about its target.
type Outcome uint8

// Outcomes of a step.
const (
	OutcomeServed    Outcome = iota // the target answered
	OutcomeRefused                  // the target refused before it ran anything
	OutcomeMisplaced                // another process or another role has the address
	OutcomeLost                     // no connection, a reset, silence, or bytes that are no answer
	OutcomeFailed                   // the target answered with a failure of its own
	OutcomeAbandoned                // the client left, or the time was over
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	names := [...]string{"served", "refused", "misplaced", "lost", "failed", "abandoned"}
	return names[min(int(o), len(names)-1)]
}

// Kind tells what an Input holds.
type Kind uint8

// Kinds of inputs.
const (
	InputAsk Kind = iota
	InputDone
	InputTargets
	InputLoads
	InputChanging
	InputTick
)

// Input is one message to the placement filter.
type Input struct {
	Kind    Kind
	Ask     Ask
	Done    Done
	Targets []tpmessage.RelayTarget
	Nodes   int // live nodes, of InputLoads
	Loads   []tpmessage.NodeLoad
	// Changing names the targets that this node has ordered to another role.
	Changing []string
}
