package tpmessage

import (
	"context"
	"time"

	"teaselpin.example/teaselpin/pkg/tpring"
)

// PieceTokens is the number of tokens in one piece of work. Engines report
// prefill and decode work in pieces, and shares are counted in them.
const PieceTokens = 4096

// Kind is the kind of target that a request is for.
type Kind uint8

// Values of Kind.
const (
	KindLanguage    Kind = iota // language work for a model engine
	KindServiceCall             // call to a plain service
)

// Request is a request of a caller. For KindLanguage, PromptTokens is an
// estimate from the length of the prompt.
type Request struct {
	ID           string // UUID version 7, set by the entry node or the caller
	Organisation string
	Site         string
	Route        string // path of the declared route
	Pool         string // pool of targets that serves the route
	Kind         Kind
	Model        string
	Adapter      string
	Idempotent   bool
	Key          string // idempotency key, a UUID version 7
	Fingerprint  uint64 // hash of the organisation, the route and the content; equal for repeated requests
	PrefixHash   uint64 // hash of the beginning of the prompt
	PromptTokens int
	MaxTokens    int // maximum number of generated tokens
	Seed         int64
	ResumeFrom   int // number of the first chunk that the caller has not received
	Priority     int
	Arrived      time.Time
	Deadline     time.Time
	Body         []byte
}

// PrefillPieces returns the estimated prefill work of r in pieces.
func (r *Request) PrefillPieces() float64 { return float64(r.PromptTokens) / PieceTokens }

// DecodePieces returns the estimated decode work of r in pieces, which is that
// of MaxTokens.
func (r *Request) DecodePieces() float64 { return float64(r.MaxTokens) / PieceTokens }

// Work is a request in the request pipeline of one node.
type Work struct {
	Request Request
	// Chunks carries the answer to the caller's handler. The handler closes it
	// when the caller disconnects.
	Chunks *tpring.Ring[Chunk]
	// Ctx is done when the caller has disconnected. It is a field because the
	// request passes through the filters of the pipeline, not down a call
	// stack.
	Ctx context.Context
	// Attempt identifies this node's attempt to run the request.
	Attempt string
}

// Assignment is work with the candidate targets for it, in order of preference.
type Assignment struct {
	Work    Work
	Targets []Target
}

// Outcome is the result of an attempt to run a request on a target.
type Outcome uint8

// Values of Outcome.
const (
	OutcomeDone        Outcome = iota // the complete answer was received
	OutcomeNotSent                    // no byte of the request was sent to the target
	OutcomeRefused                    // the target refused the request before running it
	OutcomeInterrupted                // no complete answer arrived after bytes were sent to the target
	OutcomeFailed                     // the target answered with an error
	OutcomeCancelled                  // the caller disconnected
)

// Completion reports the end of an attempt at a target, or of a whole request,
// to the filters that account for its work.
type Completion struct {
	RequestID    string
	Organisation string
	Target       string // empty if there was no attempt
	NextTarget   string // target of the next attempt, if it is known
	Final        bool   // there is no next attempt
	Outcome      Outcome
	Lost         bool // the target has ended: it accepts no connection, or answers nothing
	// LossUnchecked is true if the target left the request unanswered until the
	// end of its time, and it is not known yet whether the target is lost. A
	// report of the loss, or of a target that has gone on, follows.
	LossUnchecked bool
	PrefillPieces float64 // work actually done
	DecodePieces  float64
	Fingerprint   uint64
	At            time.Time
}
