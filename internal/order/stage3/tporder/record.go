package tporder

import (
	"errors"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Prefix is the first part of the names of order objects.
const Prefix = "order/"

// ObjectName returns the name of the object that holds an engine's order.
func ObjectName(engine string) string { return Prefix + engine }

// Phase tells how far an order has come.
type Phase string

// Phases of an order. An order is sent only after PhaseSending was recorded,
// so an order in any earlier phase has certainly not reached the engine.
const (
	PhaseDraining  Phase = "draining"  // new work is kept away from the engine
	PhaseSending   Phase = "sending"   // the order may have reached the engine
	PhaseSettled   Phase = "settled"   // the engine was seen to be done with it
	PhasePostponed Phase = "postponed" // withdrawn before it was sent
)

// Record is the value of an order object.
type Record struct {
	Order  tpmessage.Order `json:"order"`
	Phase  Phase           `json:"phase"`
	Reason string          `json:"reason,omitempty"`
}

// Drains reports whether the engine shall get no new work.
func (r *Record) Drains() bool { return r.Phase == PhaseDraining || r.Phase == PhaseSending }

// Status is what an engine tells of its orders and its load.
type Status struct {
	State   tpmessage.EngineState
	Number  uint64 // of the last order that it took up
	Fencing uint64
	Busy    bool // the order is still being carried out
	Idle    bool // no stream runs or waits
}

// Results of a send, besides nil for an order that the engine took up.
var (
	// ErrNotSent means that no byte of the order's body was written.
	ErrNotSent = errors.New("order was not sent")
	// ErrSendUnknown means that the engine may have taken the order up.
	ErrSendUnknown = errors.New("outcome of the order is unknown")
	// ErrRefused means that the engine refused the order for its content.
	ErrRefused = errors.New("engine refused the order")
	// ErrFenced means that the engine has seen a newer fencing number.
	ErrFenced = errors.New("engine has seen a newer fencing number")
)

// ActionKind tells what the log asks of the dispatch duty.
type ActionKind uint8

// Kinds of actions.
const (
	ActionReadRecord ActionKind = iota
	ActionWriteRecord
	ActionReadStatus
	ActionSend
)

// Action is one call to the platform or to an engine.
type Action struct {
	Kind    ActionKind
	Serial  uint64 // rises with each action of a log
	Pool    string
	Lease   string
	Target  tpmessage.Target
	Type    tpmessage.EngineType
	Record  Record // to write, or to send
	Version uint64 // of ActionWriteRecord: the version that is replaced
	Load    bool   // of ActionReadStatus: read the load too
}

// Result is the end of an action.
type Result struct {
	Action  Action
	Err     error  // matches a sentinel of tpobject or of this package
	Record  Record // of ActionReadRecord
	Version uint64 // of the record; 0 if there is none
	Status  Status // of ActionReadStatus
}

// Wanted is the state that an engine shall have. An empty model means that
// the engine keeps its model, version and adapter.
type Wanted struct {
	Target tpmessage.Target
	State  tpmessage.EngineState
}

// Plan is what the configuration and the role policy want of one pool.
type Plan struct {
	Pool    string
	Lease   string
	Type    tpmessage.EngineType
	Engines []Wanted
}

// Safe reports whether orders to engines of a type can be kept from a former
// holder.
func Safe(t tpmessage.EngineType) bool { return t.ChecksFencing || t.OrderReadTimeout > 0 }

// Kind tells what an Input holds.
type Kind uint8

// Kinds of inputs.
const (
	InputTick Kind = iota
	InputPlans
	InputAuthority
	InputResult
)

// Input is one message to the order log.
type Input struct {
	Kind      Kind
	Plans     []Plan // all pools with engines
	Policy    tpmessage.Policy
	Authority tpmessage.Authority
	Result    Result
}

// Raise asks for a grant of a lease with a fencing number above Above.
type Raise struct {
	Lease string
	Above uint64
}

// Output is an action to perform, an event to record, or a fencing number
// that is to rise.
type Output struct {
	Action *Action
	Event  *tpmessage.Event
	Raise  *Raise
}

// Kinds of the events that the log reports.
const (
	EventRefused    = "ordersRefused" // the engine type is not safe
	EventGranted    = "leaseGranted"
	EventDrainBegun = "drainBegun"
	EventSent       = "orderSent"
	EventSettled    = "orderSettled"
	EventPostponed  = "orderPostponed"
)
