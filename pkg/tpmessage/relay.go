package tpmessage

import (
	"context"
	"time"

	"teaselpin.example/teaselpin/pkg/tpring"
)

// RelayRoute sends requests to pools by their Host and PathPrefix. The content
// of a request has no influence.
type RelayRoute struct {
	Name         string
	Host         string
	PathPrefix   string
	Backends     []WeightedPool
	Stream       bool // the answer is a series of numbered events
	Idempotent   bool // a request may run more than once
	Resumable    bool // another target may continue a stream that was cut
	Public       bool // a request needs no key
	MaxAttempts  int  // maximum number of targets that may run one request
	Priority     int  // 0 is the most urgent
	Timeout      time.Duration
	LatencyGoal  time.Duration // time to the answer, or to its first event
	EventGapGoal time.Duration // time between two events of a stream
}

// Retryable reports whether a request of the route may run again after a
// failed attempt.
func (r *RelayRoute) Retryable() bool {
	if r.Stream {
		return r.Resumable
	}
	return r.Idempotent
}

// A client of a stream disconnects if the first event does not arrive within
// the longest of a fixed minimum, a multiple of the route's LatencyGoal and a
// multiple of its EventGapGoal. The three values are those of the platform's
// clients.
const (
	minFirstEventTimeout = 2 * time.Second
	goalTimeoutFactor    = 4
	gapTimeoutFactor     = 8
)

// FirstEventTimeout returns the time for which clients of the route wait for
// the first event of a stream before they disconnect. It returns zero if
// answers of the route are not streams.
func (r *RelayRoute) FirstEventTimeout() time.Duration {
	if !r.Stream {
		return 0
	}
	return max(minFirstEventTimeout, goalTimeoutFactor*r.LatencyGoal, gapTimeoutFactor*r.EventGapGoal)
}

// WeightedPool is a pool that receives requests of a route in proportion to
// Weight.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// RelayPool is a set of targets that serve the same routes.
type RelayPool struct {
	Name   string
	Engine *EngineTraits // nil for a plain service
	// Autoscale is nil if the number of targets is not to be changed.
	// AutoscaleFault says why, if the configuration asks for it with values that
	// cannot be used. It names the field.
	Autoscale      *Autoscale
	AutoscaleFault string
}

// Autoscale says how many targets a pool may have, and what they cost. Targets
// of both kinds count: those that the platform may reclaim (spot) and the others
// (plain).
type Autoscale struct {
	Min, Max  int           // targets in each availability zone
	Startup   time.Duration // from an order until a new target starts to serve
	SpotPrice float64       // of a spot target relative to a plain one; zero if there are none
	// ZonePrices holds the relative price of a target by availability zone. It
	// is 1 for zones that are not named.
	ZonePrices map[string]float64
}

// EngineTraits holds the properties that the model engines of a pool share.
type EngineTraits struct {
	Slots          int           // maximum number of requests in one batch
	KVTokens       int           // capacity of the KV cache in tokens
	RoleSwitchTime time.Duration // duration of a change of role
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// RelayLimits holds the limits of a client's request.
type RelayLimits struct {
	MaxBodyBytes int64 // zero for the default of the front end
}

// RelayConfig is the whole configuration of a relay node.
type RelayConfig struct {
	Generation uint64
	Routes     []RelayRoute
	Pools      []RelayPool
	Limits     RelayLimits
	// HasOrganisations is true if requests need a key of one of Organisations,
	// which may be empty.
	HasOrganisations bool
	Organisations    []RelayOrganisation
	// OrganisationFaults holds the entries that are left out of Organisations.
	OrganisationFaults []OrganisationFault
}

// RelayTarget is a registered target.
type RelayTarget struct {
	Target           // Name is the identity under which the target registered
	Pool      string // empty if the registration cannot be read
	Slots     int    // number of slots that the target registered
	Draining  bool
	Spot      bool // the platform may reclaim the target at any time
	Role      Role
	StartedMs int64  // start of the target's process in Unix milliseconds
	Revision  uint64 // of the registration
	// LeavesIn is the time from the registration until a draining target is
	// taken away, or zero if the registration does not say it.
	LeavesIn time.Duration
}

// TargetNotice is what a target says about itself in an answer. The zero value
// is an answer that says nothing.
type TargetNotice struct {
	Leaving bool // the target will exit and takes no new work
	// Pause is the time for which the target wants no request from this node,
	// from the arrival of the answer on. Zero means that it does not ask for
	// one.
	Pause time.Duration
	// Limit is the number of requests a second that the target takes from all
	// nodes together. It is set if LimitStatement is LimitNamed.
	Limit          float64
	LimitStatement LimitStatement
}

// LimitStatement is what an answer says about the limit of its target.
type LimitStatement uint8

// The statements about a limit.
const (
	LimitAbsent   LimitStatement = iota // the target has no limit
	LimitNamed                          // the target has a limit
	LimitUnstated                       // nothing that can be used
)

// PromptPart is one part of a prompt. Requests can have parts in common. A
// target can reuse its cache for a part only if all parts before it are the
// same, too.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// RelayRequest is a request that the relay forwards without changing its body.
type RelayRequest struct {
	ID     string
	Method string
	URI    string // path and query as the client sent them
	Host   string
	Header map[string][]string // without hop-by-hop fields and those that the system sets
	Body   []byte
	// OrganisationHeader holds the client's fields that may name a key or an
	// organisation. They are forwarded only if the configuration has no
	// organisations. It is nil once the request has been routed.
	OrganisationHeader map[string][]string
	Credential         Credential
	Organisation       string // name of the key's organisation, or empty
	// Caller names the organisation whose key the request bears, whether or not
	// the key may have been removed, or is empty. It is a part of the identity of
	// the request: requests of two callers are not the same.
	Caller          string
	Route           RelayRoute
	Pool            RelayPool
	Generation      uint64 // of the configuration that routed the request
	PromptParts     []PromptPart
	PromptTokens    int
	MaxOutputTokens int
	ResumeAfter     int // number of the last event that the client received, or -1
	Arrived         time.Time
	Deadline        time.Time // for the beginning of the answer
	// CompletionDeadline is the deadline for the end of an answer that began by
	// Deadline.
	CompletionDeadline time.Time
}

// SharedTokens returns the number of tokens and the hash of the prefix that
// other requests may share: all parts but the last. It returns zeros if the
// prompt has fewer than two parts.
func (r *RelayRequest) SharedTokens() (tokens int, prefix uint64) {
	if len(r.PromptParts) < 2 {
		return 0, 0
	}
	for _, p := range r.PromptParts[:len(r.PromptParts)-1] {
		tokens += p.Tokens
		prefix = prefix*0x9E3779B97F4A7C15 + p.Hash
	}
	return tokens, prefix
}

// RelayWork is a request in the relay pipeline.
type RelayWork struct {
	Request *RelayRequest
	// Answer carries the answer to the client's handler. The handler closes it
	// when the client disconnects.
	Answer *tpring.Ring[AnswerPart]
	// Ctx is done when the client has disconnected.
	Ctx context.Context
	// Authority is done when the request must end because its key was removed.
	// It is nil for a request that does not end for that reason.
	Authority context.Context
}

// AnswerHead is the HTTP status and the header of an answer.
type AnswerHead struct {
	Status int
	Header map[string][]string
	// MediaType is the type of the answer's content, or empty if the answer
	// states none.
	MediaType string
	// Framed is true if the answer says itself where it ends, by a length or in
	// chunks, so that the end of its connection alone is no end.
	Framed bool
}

// AnswerPart is one part of an answer. The first part of an answer has a Head
// or a Refusal.
type AnswerPart struct {
	Head *AnswerHead
	Data []byte
	// Event is the number of the event that Data holds, or -1.
	Event int
	// Comment is true if Data holds a part of a stream that is no event.
	Comment bool
	End     bool
	// Broken is true on the last part of an answer that began and cannot be
	// completed.
	Broken  bool
	Refusal *RelayRefusal
}

// RelayRefusal is the answer of the system itself to a request that no target
// answers.
type RelayRefusal struct {
	Status     int // HTTP status
	Reason     string
	RetryAfter time.Duration // zero if a retry is not advised
}

// NumPriorities is the number of request priorities that engines distinguish.
// Priority 0 is the most urgent.
const NumPriorities = 10

// TargetLoad is the outstanding work that one node has placed at a target.
type TargetLoad struct {
	Target  string
	Prefill [NumPriorities]int // prompt tokens to process, by priority
	Runs    int                // number of requests that are running or waiting
	Tokens  int                // KV cache that these requests need, in tokens
	// Failing is true while the node avoids the target after failures.
	Failing bool
}

// TargetLimit is what a node, or several together, know of the limit of a
// target's process, and the requests for which they want a part of it.
type TargetLimit struct {
	Target string
	// StartedMs is the start of the target's process in Unix milliseconds, as far
	// as the sender knows it.
	StartedMs int64
	// Statement is what the latest answer of the process to these nodes said. It
	// is LimitUnstated if there was none.
	Statement LimitStatement
	PerSecond float64       // requests a second that the process takes from all nodes, if named
	Age       time.Duration // from the arrival of that answer to the time of the load
	Demand    float64       // requests a second that placement would send there without a limit
	Room      int           // further requests for which an allowance would be of use
}

// Allowance is a number of requests that a node may send to a target with a
// limit.
type Allowance struct {
	Target    string
	StartedMs int64         // start of the target's process in Unix milliseconds
	Granted   int           // for the receiver
	Left      time.Duration // time for which the granted requests may be sent
	Returned  int           // granted before to the sender, which has not used them
	Used      int           // granted before to the sender, which has used them
}

// CachedPrefix is a shared prompt prefix that a target has processed and may
// hold in its KV cache.
type CachedPrefix struct {
	Prefix uint64 // hash, as RelayRequest.SharedTokens returns it
	Target string
}

// NodeLoad is the outstanding work of one node at all targets, or the sum of
// the outstanding work of several nodes.
type NodeLoad struct {
	Node string
	// Nodes is the number of nodes in a sum that Node computed. It is zero for
	// the load of Node itself.
	Nodes int
	// Report is true if the sender requests the load of the other nodes.
	Report bool
	Loads  []TargetLoad
	// Limits holds the targets that have a limit, or had one.
	Limits []TargetLimit
	// Changing holds the names of the targets that the node has ordered to
	// change their role and that do not report the new role yet.
	Changing []string
	// Prefixes holds the shared prefixes that the node has recently placed at
	// targets.
	Prefixes []CachedPrefix
	// PrefillDemand and DecodeDemand are the arrival rates of work at the node,
	// expressed as the number of engines that the work keeps busy.
	PrefillDemand float64
	DecodeDemand  float64
	At            time.Time // when this node computed or received it
	// Speeds holds the observed speeds of targets, sorted by process. A load
	// without speeds leaves those of an earlier load of the sender in force.
	// SpeedWitnesses is the number of nodes, of those in the load, whose own
	// observations show that targets differ. SpeedsAt is the time at which this
	// node received both.
	Speeds         []TargetSpeed
	SpeedWitnesses int
	SpeedsAt       time.Time
}

// HTTP statuses of the system's own answers to relayed requests.
const (
	StatusUnauthorized = 401 // the configuration has no such key
	StatusNotFound     = 404 // the configuration has no such route
	StatusUnknown      = 502 // the request may have run
	StatusUnavailable  = 503 // the request has not run and will not run
	StatusTimeout      = 504 // the deadline has passed and the request may have run
)
