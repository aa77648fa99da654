package tpmessage

import (
	"context"
	"time"

	"teaselpin.example/teaselpin/pkg/tpring"
)

// RelayRoute sends the requests of a host below a path prefix to pools,
// whatever the requests contain.
type RelayRoute struct {
	Name        string
	Host        string
	PathPrefix  string
	Backends    []WeightedPool
	Stream      bool // the answer is a series of numbered events
	Idempotent  bool // a request may run more than once
	Resumable   bool // a stream may go on at another target
	MaxAttempts int  // targets that may run one request
	Priority    int  // 0 is the most urgent
	Timeout     time.Duration
	Goal        time.Duration // until the answer, or its first event
	GapGoal     time.Duration // between two events
}

// Repeatable reports whether a request of the route may run again.
func (r *RelayRoute) Repeatable() bool {
	if r.Stream {
		return r.Resumable
	}
	return r.Idempotent
}

// The patience of clients with a stream, by the platform's description of them:
// the longest of a fixed time, of some goals, and of some pauses that are on time.
const (
	leastPatience = 2 * time.Second
	goalPatience  = 4
	gapPatience   = 8
)

// FirstEventPatience returns how long clients of the route wait for the first
// event of a stream before they leave. It is zero for other answers.
func (r *RelayRoute) FirstEventPatience() time.Duration {
	if !r.Stream {
		return 0
	}
	return max(leastPatience, goalPatience*r.Goal, gapPatience*r.GapGoal)
}

// WeightedPool is a pool that takes a part of a route's requests.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// RelayPool is a set of targets that serve the same routes.
type RelayPool struct {
	Name   string
	Engine *EngineTraits // nil for a plain service
}

// EngineTraits describes the model engines of a pool.
type EngineTraits struct {
	Slots      int           // requests in one batch
	KVTokens   int           // tokens that the memory holds
	RoleSwitch time.Duration // that a change of role takes
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// RelayLimits bound what a client may send.
type RelayLimits struct {
	BodyBytes int64
}

// RelayConfig is a whole configuration of routes and pools.
type RelayConfig struct {
	Generation uint64
	Routes     []RelayRoute
	Pools      []RelayPool
	Limits     RelayLimits
}

// RelayTarget is a registered target.
type RelayTarget struct {
	Target          // Name is the identity under which it registered
	Pool     string // empty if the registration cannot be read
	Slots    int
	Draining bool
	Role     Role
	Born     int64  // start of the process, Unix milliseconds
	Revision uint64 // of the registration
}

// PromptPart is one part of a prompt. Requests share parts; a part is cached
// only behind the same parts before it.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// RelayRequest is a request that is passed on as it is.
type RelayRequest struct {
	ID          string
	Method      string
	URI         string // path and query as the client sent them
	Host        string
	Header      map[string][]string // without those of one connection and those that the system sets
	Body        []byte
	Route       RelayRoute
	Pool        RelayPool
	Generation  uint64 // of the configuration that the request was routed by
	Parts       []PromptPart
	Prompt      int // tokens
	MaxOutput   int // tokens
	ResumeAfter int // last event that the client has, or -1
	Arrived     time.Time
	Deadline    time.Time
	// Latest is the end for an answer that has begun by the Deadline.
	Latest time.Time
}

// SharedTokens returns the tokens of the parts that other requests may share,
// which are all but the last, and the hash of that prefix.
func (r *RelayRequest) SharedTokens() (tokens int, prefix uint64) {
	if len(r.Parts) < 2 {
		return 0, 0
	}
	for _, p := range r.Parts[:len(r.Parts)-1] {
		tokens += p.Tokens
		prefix = prefix*0x9E3779B97F4A7C15 + p.Hash
	}
	return tokens, prefix
}

// RelayWork is a request on its way through the relay pipeline.
type RelayWork struct {
	Request *RelayRequest
	// Answer carries the answer to the client's handler, which closes it when
	// the client is gone.
	Answer *tpring.Ring[AnswerPart]
	// Ctx is done when the client is gone.
	Ctx context.Context
}

// AnswerHead is the status and the header of an answer.
type AnswerHead struct {
	Status int
	Header map[string][]string
}

// AnswerPart is one part of an answer. The first part has a head or a refusal.
type AnswerPart struct {
	Head *AnswerHead
	Data []byte
	// Event is the number of the event that Data holds, or -1.
	Event int
	End   bool
	// Broken is true on the last part of an answer that cannot be completed.
	Broken  bool
	Refusal *RelayRefusal
}

// RelayRefusal is the system's own answer to a request.
type RelayRefusal struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // zero if none is advised
}

// Priorities is the number of priorities that engines know. Priority 0 is the
// most urgent.
const Priorities = 10

// TargetLoad is the work that one node has outstanding at a target.
type TargetLoad struct {
	Target  string
	Prefill [Priorities]int // tokens to be read, by priority
	Runs    int             // requests that run or wait
	Tokens  int             // memory of the runs, in tokens
	// Failing is true while the node avoids the target after failures.
	Failing bool
}

// HeldPrefix is a shared prefix that a target has read.
type HeldPrefix struct {
	Prefix uint64
	Target string
}

// NodeLoad is what one node has outstanding at all targets, or a sum of that.
type NodeLoad struct {
	Node string
	// Nodes is the number of nodes in a sum, which Node has made, and zero for
	// the load of Node itself.
	Nodes int
	// Report is true if the sender asks for what the other nodes have.
	Report bool
	Loads  []TargetLoad
	// Changing holds the names of targets that the node has ordered to another
	// role and that have not shown it yet.
	Changing []string
	// Prefixes are those that targets have lately been given by the node.
	Prefixes []HeldPrefix
	// PrefillDemand and DecodeDemand are the work that arrives at the node, in
	// engines that it keeps busy.
	PrefillDemand float64
	DecodeDemand  float64
	At            time.Time // when it was received
}

// Statuses of the system's own answers to relayed requests.
const (
	StatusNotFound    = 404 // the configuration has no such route
	StatusUnknown     = 502 // the request may have run
	StatusUnavailable = 503 // the request has not run and will not run
	StatusTimeout     = 504 // the time is over and the request may have run
)
