package tpjournal

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpring"
)

// OpKind is the kind of an Op.
type OpKind uint8

// OpClaim precedes a call. OpSettle also releases the claim of a call not run.
const (
	OpClaim  OpKind = iota // claims the right to run a call
	OpSettle               // records how the claimed call ended
)

// Op is one operation on a key.
type Op struct {
	Kind         OpKind
	Key          string
	Attempt      string // unique for each claim that is sent
	Organisation string
	Fingerprint  uint64
	Pool         string
	Queryable    bool // the services of the pool can report whether they ran a key
	// NotRun, Status, Result and Omitted describe the end of a settled call.
	NotRun  bool
	Status  int
	Result  []byte
	Omitted bool
	// Reply receives exactly one answer and has capacity for it. If Reply is
	// nil, the answer is discarded.
	Reply *tpring.Ring[Answer]
}

// AnswerState is the outcome of an operation.
type AnswerState string

// The outcomes of operations. Only AnswerCommitted allows an attempt to send
// its call.
const (
	AnswerCommitted     AnswerState = "committed"    // the claim is durable
	AnswerDone          AnswerState = "done"         // the call has run; the answer carries its result
	AnswerResultOmitted AnswerState = "omitted"      // the call has run; its result was not kept
	AnswerUnknown       AnswerState = "unknown"      // another attempt holds the claim
	AnswerExpired       AnswerState = "expired"      // the key is older than the retention
	AnswerKeyInFuture   AnswerState = "ahead"        // the time in the key is too far in the future
	AnswerMismatch      AnswerState = "mismatch"     // the key was used for another call
	AnswerNotHolder     AnswerState = "notHolder"    // nothing was written; the shard has another holder
	AnswerRefused       AnswerState = "refused"      // nothing was written
	AnswerUndetermined  AnswerState = "undetermined" // the claim may have been written; the attempt must not send
	AnswerSettled       AnswerState = "settled"      // the end is recorded, or no longer matters
)

// Answer is the answer to one operation. Status and Result are set only for
// AnswerDone.
type Answer struct {
	State  AnswerState
	Status int
	Result []byte
}

// InputKind selects the field of an Input that is set.
type InputKind uint8

// Server.Do creates InputOp. A store task creates InputResult for a command.
const (
	InputOp     InputKind = iota // Op is set
	InputResult                  // Result is set
)

// Input is one message to the holder filter.
type Input struct {
	Kind   InputKind
	Shard  int
	Op     Op
	Result CommandResult
}

// CommandKind is the kind of a Command.
type CommandKind uint8

// Server carries out each command in a store task, not in the holder filter.
const (
	CommandGet    CommandKind = iota // reads the object Name
	CommandPut                       // writes Record to Name if the object has version Version
	CommandDelete                    // deletes the object Name
	CommandWait                      // returns a result at Until
	CommandQuery                     // queries the services of Pool about Key
)

// Command is a task for the store duty. Each command yields one CommandResult.
type Command struct {
	Kind    CommandKind
	Shard   int
	Name    string
	Version uint64
	Record  Record
	Until   time.Time
	Key     string
	Pool    string
}

// CommandResult is the result of a command. Err matches a sentinel error of
// tpobject.
type CommandResult struct {
	Command Command
	Record  Record // content read by CommandGet
	Version uint64 // version of the object that was read or written
	Ran     bool   // CommandQuery: a service ran the call of the key
	Status  int    // CommandQuery: status of the call
	Result  []byte // CommandQuery: result of the call
	Err     error
}

// Output is a command if Command is not nil, or else the answer to Op.
type Output struct {
	Op      Op
	Answer  Answer
	Command *Command
}

// Scheme decides how the claims and results of one shard become durable. It
// belongs to the holder filter and is not safe for concurrent use.
type Scheme interface {
	// Step processes one input and appends the resulting outputs to dst.
	Step(now time.Time, in Input, dst []Output) []Output
}

// Settings configures the scheme of one shard. Region, Shard and Holder have no
// default. The zero value of any other field selects its default.
type Settings struct {
	Region string
	Shard  int
	// Holder identifies this incarnation of the node. No other process uses the
	// same value.
	Holder string
	// Interval is the minimum time between the starts of two group commits.
	Interval time.Duration
	// TailEntries and TailBytes bound a tail. A tail that reaches either bound
	// is archived.
	TailEntries int
	TailBytes   int
	// Retention overrides the constant Retention.
	Retention time.Duration
}

// Defaults of Settings, and the bounds of a shard.
const (
	// DefaultInterval limits 16 shards to less than 270 writes a second in
	// total, which leaves headroom in the several hundred that the platform
	// allows.
	DefaultInterval    = 60 * time.Millisecond
	DefaultTailEntries = 64
	DefaultTailBytes   = 64 << 10
	// MaxPendingOps bounds the number of operations that wait for a group. A
	// claim is refused at this number, and a settlement at twice this number.
	MaxPendingOps = 4096
	// MaxGroupBytes bounds the entries of one group, so that a tail with its
	// list of archives stays below the platform's largest value.
	MaxGroupBytes = 256 << 10
	// MaxConcurrentQueries is the maximum number of keys of a shard that are
	// queried concurrently.
	MaxConcurrentQueries = 4

	// ConfirmInterval is the time for which a holder answers AnswerUnknown
	// without reading the tail. If the members disagree about the holder of the
	// shard, another holder may have recorded the result in the meantime.
	ConfirmInterval = time.Second

	// minBackoff and maxBackoff bound the delay after a failed platform call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minDropStep is the minimum increase of DropBefore. It keeps increases
	// rare, because each one visits all entries.
	minDropStep = 30 * time.Second
)

func (s *Settings) setDefaults() {
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.TailEntries <= 0 {
		s.TailEntries = DefaultTailEntries
	}
	if s.TailBytes <= 0 {
		s.TailBytes = DefaultTailBytes
	}
	if s.Retention <= 0 {
		s.Retention = Retention
	}
}

// Holder is the state of all shards on one node. It belongs to one filter and
// is not safe for concurrent use.
type Holder[S Scheme] struct {
	shards []S
}

// NewHolder returns a holder that calls newShard once for each shard.
func NewHolder[S Scheme](newShard func(shard int) S) *Holder[S] {
	h := &Holder[S]{shards: make([]S, Shards)}
	for i := range h.shards {
		h.shards[i] = newShard(i)
	}
	return h
}

// Step passes the input to its shard and appends the resulting outputs to dst.
func (h *Holder[S]) Step(now time.Time, in Input, dst []Output) []Output {
	first := len(dst)
	dst = h.shards[in.Shard].Step(now, in, dst)
	for i := first; i < len(dst); i++ {
		if dst[i].Command != nil {
			dst[i].Command.Shard = in.Shard
		}
	}
	return dst
}
