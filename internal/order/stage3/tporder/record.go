package tporder

import (
	"errors"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Prefix is the prefix of the names of order objects on the platform.
const Prefix = "order/"

// ObjectName returns the name of the platform object that stores the order
// record of an engine.
func ObjectName(engine string) string { return Prefix + engine }

// Phase is the progress of an order as stored in its record.
type Phase string

// Phases of an order. An order is sent only after PhaseSending was recorded, so
// an order that is recorded as draining or postponed has not reached the
// engine.
const (
	PhaseDraining  Phase = "draining"  // the engine receives no new work
	PhaseSending   Phase = "sending"   // the order may have reached the engine
	PhaseSettled   Phase = "settled"   // the engine's status shows that it finished or refused the order
	PhasePostponed Phase = "postponed" // cancelled before it was sent
)

// Record is the value of an order object: the latest order of one engine.
// Reason says why the order was postponed or refused.
type Record struct {
	Order  tpmessage.Order `json:"order"`
	Phase  Phase           `json:"phase"`
	Reason string          `json:"reason,omitempty"`
}

// BlocksNewWork reports whether the engine must receive no new work.
func (r *Record) BlocksNewWork() bool { return r.Phase == PhaseDraining || r.Phase == PhaseSending }

// Status is an engine's report of its state, its latest order and its load.
type Status struct {
	State   tpmessage.EngineState
	Number  uint64 // of the last order that it accepted
	Fencing uint64 // of the last order that it accepted
	Busy    bool   // the engine is still carrying out the order
	Idle    bool   // no stream runs or waits; set only if the load was read
}

// Errors of a send. A nil error means that the engine accepted the order.
var (
	// ErrNotSent means that no byte of the order's body was written.
	ErrNotSent = errors.New("order was not sent")
	// ErrSendUnknown means that the engine may have accepted the order.
	ErrSendUnknown = errors.New("outcome of the order is unknown")
	// ErrRefused means that the engine refused the order because of its
	// content.
	ErrRefused = errors.New("engine refused the order")
	// ErrFenced means that the engine rejected the order because it knows a
	// higher fencing number.
	ErrFenced = errors.New("engine knows a higher fencing number than the order's")
)

// ActionKind is the kind of a call that the dispatch duty performs for the log.
type ActionKind uint8

// Kinds of actions. The first two access the engine's order object on the
// platform, the other two the engine itself.
const (
	ActionReadRecord ActionKind = iota
	ActionWriteRecord
	ActionReadStatus
	ActionSend
)

// Action is one call to the platform or to an engine.
type Action struct {
	Kind    ActionKind
	Serial  uint64 // increases with each action of a log
	Pool    string
	Lease   string
	Target  tpmessage.Target
	Type    tpmessage.EngineType
	Record  Record // to write, or to send
	Version uint64 // of ActionWriteRecord: the version to replace
	Load    bool   // of ActionReadStatus: read the load too
}

// Result is the result of an action.
type Result struct {
	Action  Action
	Err     error  // matches an error of tpobject or of this package
	Record  Record // of ActionReadRecord
	Version uint64 // of the record; 0 if the object does not exist
	Status  Status // of ActionReadStatus
}

// DesiredEngine is the desired state of an engine. An empty model means that
// the engine keeps its model, version and adapter.
type DesiredEngine struct {
	Target tpmessage.Target
	State  tpmessage.EngineState
}

// Plan is the desired state of one pool, from the configuration and the role
// policy.
type Plan struct {
	Pool    string
	Lease   string
	Type    tpmessage.EngineType
	Engines []DesiredEngine
}

// ExcludesFormerHolder reports whether engines of a type can be protected from
// the orders of a former lease holder: they check the fencing number, or they
// declare the time after which they discard an order's body.
func ExcludesFormerHolder(t tpmessage.EngineType) bool {
	return t.ChecksFencing || t.OrderReadTimeout > 0
}

// Kind is the kind of an Input. It determines which fields are set.
type Kind uint8

// InputTick sets only Kind. The other kinds also set the fields named here.
const (
	InputTick      Kind = iota // time has passed
	InputPlans                 // Plans and Policy replace all earlier ones
	InputAuthority             // Authority has changed
	InputResult                // Result ends an action
)

// Input is one message to a Log.
type Input struct {
	Kind      Kind
	Plans     []Plan // all pools with engines
	Policy    tpmessage.Policy
	Authority tpmessage.Authority
	Result    Result
}

// RaiseRequest asks the lease duty for a grant with a fencing number above
// Above.
type RaiseRequest struct {
	Lease string
	Above uint64
}

// Output is an action to perform, an event to record, or a request to raise a
// fencing number. Exactly one field is not nil.
type Output struct {
	Action       *Action
	Event        *tpmessage.Event
	RaiseRequest *RaiseRequest
}

// Kinds of the events that a Log reports.
const (
	EventRefused    = "ordersRefused" // ExcludesFormerHolder is false for the engine type, so its pool gets no orders
	EventGranted    = "leaseGranted"
	EventDrainBegun = "drainBegun"
	EventSent       = "orderSent"
	EventSettled    = "orderSettled"
	EventPostponed  = "orderPostponed"
)
