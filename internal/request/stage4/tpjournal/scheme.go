package tpjournal

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpring"
)

// OpKind tells what an Op asks.
type OpKind uint8

// Kinds of operations.
const (
	OpClaim  OpKind = iota // ask for the right to run a call
	OpSettle               // record how the claimed call ended
)

// Op is one operation on a key.
type Op struct {
	Kind         OpKind
	Key          string
	Attempt      string // unique for each claim that is sent
	Organisation string
	Fingerprint  uint64
	Pool         string
	CanAsk       bool // the pool's services can be asked about a key
	// NotRun, Status, Result and Omitted tell the end of a settled call.
	NotRun  bool
	Status  int
	Result  []byte
	Omitted bool
	// Reply takes the one answer; it has room for it. Nil discards the answer.
	Reply *tpring.Ring[Answer]
}

// AnswerState is the answer to an operation.
type AnswerState string

// Answers. Only AnswerCommitted allows an attempt to send its call.
const (
	AnswerCommitted    AnswerState = "committed"    // the claim is durable
	AnswerDone         AnswerState = "done"         // the call has run; its result follows
	AnswerOmitted      AnswerState = "omitted"      // the call has run; its result was not kept
	AnswerUnknown      AnswerState = "unknown"      // another attempt holds the claim
	AnswerExpired      AnswerState = "expired"      // the key is older than what is remembered
	AnswerAhead        AnswerState = "ahead"        // the key's time is too far in the future
	AnswerMismatch     AnswerState = "mismatch"     // the key belongs to another call
	AnswerNotHolder    AnswerState = "notHolder"    // nothing was written; ask the shard's holder
	AnswerRefused      AnswerState = "refused"      // nothing was written
	AnswerUndetermined AnswerState = "undetermined" // the claim may be written; the attempt must not send
	AnswerSettled      AnswerState = "settled"      // the end is recorded, or no longer matters
)

// Answer is the answer to one operation.
type Answer struct {
	State  AnswerState
	Status int
	Result []byte
}

// InputKind tells what an Input holds.
type InputKind uint8

// Kinds of inputs.
const (
	InputOp InputKind = iota
	InputResult
)

// Input is one message to the holder filter.
type Input struct {
	Kind   InputKind
	Shard  int
	Op     Op
	Result CommandResult
}

// CommandKind tells what a Command asks of the store duty.
type CommandKind uint8

// Kinds of commands.
const (
	CommandGet    CommandKind = iota // read the object Name
	CommandPut                       // write Record to Name if its version is Version
	CommandDelete                    // remove Name
	CommandWait                      // come back at Until
	CommandAsk                       // ask the services of Pool about Key
)

// Command is work for the store duty. Each gives one CommandResult.
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

// CommandResult is the end of a command. Err matches a sentinel of tpobject.
type CommandResult struct {
	Command Command
	Record  Record // read by CommandGet
	Version uint64 // of the object read or written
	Ran     bool   // CommandAsk: the service ran the key
	Status  int    // CommandAsk
	Result  []byte // CommandAsk
	Err     error
}

// Output is an answer to an operation, or a command if Command is set.
type Output struct {
	Op      Op
	Answer  Answer
	Command *Command
}

// Scheme decides how the claims and results of one shard become durable. It
// belongs to the holder filter.
type Scheme interface {
	// Step takes one input and appends what follows from it to dst.
	Step(now time.Time, in Input, dst []Output) []Output
}

// Settings configures a scheme of one shard. Region, Shard and Holder have no
// default; the zero value of every other field is the default.
type Settings struct {
	Region string
	Shard  int
	// Holder names this incarnation of the node; no other process uses it.
	Holder string
	// Interval is the time between the starts of two group commits.
	Interval time.Duration
	// TailEntries and TailBytes bound a tail; a tail that reaches either is
	// archived.
	TailEntries int
	TailBytes   int
	// Retention replaces the constant of that name.
	Retention time.Duration
}

// Defaults of Settings and bounds of a shard.
const (
	// DefaultInterval keeps 16 shards under 270 writes a second together,
	// which leaves room in the platform's several hundred.
	DefaultInterval    = 60 * time.Millisecond
	DefaultTailEntries = 64
	DefaultTailBytes   = 64 << 10
	// MaxWaiting is the number of claims that wait for a group.
	MaxWaiting = 4096
	// MaxGroupBytes bounds the entries of one group, so that a tail with its
	// list of archives stays under the platform's largest value.
	MaxGroupBytes = 256 << 10
	// MaxAsks is the number of keys of a shard that are asked about at once.
	MaxAsks = 4

	// ConfirmFor is the time for which a holder answers "unknown" without a
	// look at the tail. Another holder may have recorded the result meanwhile
	// if the members disagree on who holds the shard.
	ConfirmFor = time.Second

	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// dropStep is the least rise of DropBefore; each rise walks all entries.
	dropStep = 30 * time.Second
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

// Holder is the state of all shards on one node. It belongs to one filter.
type Holder[S Scheme] struct {
	shards []S
}

// NewHolder returns a holder whose shards are made by newShard.
func NewHolder[S Scheme](newShard func(shard int) S) *Holder[S] {
	h := &Holder[S]{shards: make([]S, Shards)}
	for i := range h.shards {
		h.shards[i] = newShard(i)
	}
	return h
}

// Step passes the input to its shard.
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
