package tpplace

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Step is the kind of work that a target does for a request.
type Step uint8

// The steps of a request.
const (
	// StepFirst lets the placer choose between StepPrefill and StepRun.
	StepFirst Step = iota
	// StepPrefill reads the prompt and keeps its KV cache under a handle.
	StepPrefill
	// StepRun generates, either from a handle or from the whole prompt.
	StepRun
	// StepCall is a call to a plain service.
	StepCall
)

// String implements fmt.Stringer.
func (s Step) String() string {
	return [...]string{"first", "prefill", "run", "call"}[min(int(s), 3)]
}

// TargetRequest asks the placer to assign one step of a relayed request to a
// target.
type TargetRequest struct {
	Work tpmessage.RelayWork
	Step Step
	// IsRetry is true if the step counts against the retry budget of the pool,
	// because an earlier attempt at the request has reached a target. The first
	// successful reading of the prompt is not such an attempt.
	IsRetry bool
	// HasHandle is true for a run that continues from a handle, so that the
	// target does not read the prompt.
	HasHandle bool
	// Begun is true if the client has received a part of the answer, so that it
	// does not wait for the first event any more.
	Begun bool
	// SoundOnly is true if the target replaces a silent one, which may go on. A
	// target with a known fault is then worse than none.
	SoundOnly bool
	// Exclude names the targets that must not be chosen.
	Exclude []string
	// Only names the only target that may be chosen, whatever is known of it. If
	// it is empty, all may be.
	Only string
	// Avoid names the targets that are chosen only if no other one of the same
	// rank can do the step.
	Avoid []string
	// Reply receives the grant for a further step of a running task. It is nil
	// for a new relayed request, whose grant goes to the next stage of the
	// pipeline.
	Reply *tpring.Ring[Grant]
}

// Reservation is the load that a grant adds to its target until the step ends.
type Reservation struct {
	Target   string
	Priority int
	Prefill  int // prompt tokens to read
	Runs     int // generating requests
	Tokens   int // KV memory in tokens
	// NoBacklog is true if no other prompt was known to be waiting or being
	// read at the target.
	NoBacklog bool
	// ReadsPrefix is true if Prefill includes the shared prefix of the prompt,
	// which the target may hold after all.
	ReadsPrefix bool
	ReadTime    time.Duration // time to read the prompt at the reference speed
	BatchSize   int           // runs at the target, including this one
}

// Grant assigns a step to a target or refuses it.
type Grant struct {
	Work         tpmessage.RelayWork
	Step         Step
	Target       tpmessage.RelayTarget
	Reservation  Reservation // its priority is also sent to the target
	Diagnostics  Diagnostics
	FetchAddress string        // address of another target that holds the shared prefix, or empty
	QueueDelay   time.Duration // expected queue delay at the target
	ReadTime     time.Duration // expected time to read the prompt
	Refusal      *tpmessage.RelayRefusal
}

// Diagnostics holds the figures behind a grant. They are only logged.
type Diagnostics struct {
	Candidates int           // targets of the best rank that could do the step
	Rank       int           // 0 if no fault of the target is known
	Runs       int           // at the target, of all nodes
	Prefill    int           // prompt tokens to read at the target, of all nodes
	Nodes      int           // other nodes whose load is known
	OldestLoad time.Duration // age of the oldest of these loads
	// ReadFactor and StreamFactor are the times that the target is expected to
	// take for reading and generating, relative to the mean of its pool.
	ReadFactor, StreamFactor float64
}

// StepResult is the result of a granted step.
type StepResult struct {
	Reservation Reservation
	Outcome     Outcome
	Route       string
	Elapsed     time.Duration // time to read a prompt for another target; zero for other steps
	// Events is the number of events of a stream, of EventTokens tokens each.
	// All but the first one arrived within Streamed after it.
	Events      int
	EventTokens int
	Streamed    time.Duration
	// Request and the start of the target's process, in Unix milliseconds,
	// identify what a crash has cut.
	Request   *tpmessage.RelayRequest
	StartedMs int64
	// Cut is true if the target cut the connection of a run or a call before
	// any part of its answer arrived. Timeouts and failed connects are no cuts.
	Cut bool
	// Silent is true if a run or a call got no part of an answer although its
	// connection stayed open, and Broken if its answer ended in the middle, in
	// either way. It was sent at SentAt.
	Silent bool
	Broken bool
	SentAt time.Time
	// Answered is true if a run or a call was answered completely and with
	// success.
	Answered bool
}

// Outcome is the result of a step as far as it concerns the target.
type Outcome uint8

// The outcomes of a step.
const (
	OutcomeServed      Outcome = iota // the target answered
	OutcomeRefused                    // the target refused before it ran anything
	OutcomeMisdirected                // the address belongs to another process, or the target has another role
	OutcomeLost                       // no connection, a reset, a timeout, or an invalid response
	OutcomeFailed                     // the target answered with an error of its own
	OutcomeAbandoned                  // the client disconnected, or the request's deadline passed
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	names := [...]string{"served", "refused", "misplaced", "lost", "failed", "abandoned"}
	return names[min(int(o), len(names)-1)]
}

// Kind selects the field of an Input that is set.
type Kind uint8

// Each kind names the fields that are set. InputTick sets none and has no
// effect on the placer.
const (
	InputTargetRequest Kind = iota
	InputStepResult
	InputTargets
	InputLoads
	InputRoleChanging
	InputNotice
	InputTick
	InputStreamBegun // the first event of a run has arrived; no effect on the placer
	InputSuspects    // evidence of a peer; no effect on the placer
	InputAllowances  // for requests to targets with a limit
)

// Input is one message to the placement filter.
type Input struct {
	Kind          Kind
	TargetRequest TargetRequest
	StepResult    StepResult
	Targets       []tpmessage.RelayTarget
	Nodes         int // live nodes, with InputLoads
	Loads         []tpmessage.NodeLoad
	// RoleChanging names the targets that this node has ordered to another
	// role.
	RoleChanging []string
	Begun        *tpmessage.RelayRequest    // with InputStreamBegun
	Suspects     []tpmessage.SuspectRequest // with InputSuspects
	Notice       Notice
	Allowances   []tpmessage.Allowance
}
