package tpmessage

import (
	"context"
	"time"

	"teaselpin.example/teaselpin/pkg/tpring"
)

// PieceTokens is the number of tokens in one piece of work, the unit in which
// engines and shares count prefill and decode.
const PieceTokens = 4096

// Kind tells language work from calls to plain services.
type Kind uint8

// Kinds of requests.
const (
	KindLanguage Kind = iota
	KindCall
)

// Request is one accepted or proposed piece of a caller's work.
type Request struct {
	ID           string // UUID version 7, given by the entry node or the caller
	Organisation string
	Site         string
	Route        string // path of the declared route
	Pool         string // pool of targets that serves the route
	Kind         Kind
	Model        string
	Adapter      string
	Idempotent   bool
	Key          string // idempotency key, a UUID version 7
	Fingerprint  uint64 // hash of the content, the same for a repeated request
	PrefixHash   uint64 // hash of the prompt's leading part
	PromptTokens int
	MaxTokens    int // upper bound of generated tokens
	Seed         int64
	Resume       int // number of the first chunk that the caller still lacks
	Priority     int
	Arrived      time.Time
	Deadline     time.Time
	Body         []byte
}

// PrefillPieces returns the estimated prefill work in pieces.
func (r *Request) PrefillPieces() float64 { return float64(r.PromptTokens) / PieceTokens }

// DecodePieces returns the estimated decode work in pieces.
func (r *Request) DecodePieces() float64 { return float64(r.MaxTokens) / PieceTokens }

// Work is a request on its way through the request pipeline of one node.
type Work struct {
	Request Request
	// Chunks carries the answer to the caller's handler, which closes it
	// when the caller is gone.
	Chunks *tpring.Ring[Chunk]
	// Ctx is done when the caller is gone. It travels with the work because
	// the pipeline, not a call stack, carries the request.
	Ctx context.Context
	// Attempt identifies this node's try to run the request.
	Attempt string
}

// Assignment is work with the targets that may serve it, best first.
type Assignment struct {
	Work    Work
	Targets []Target
}

// Outcome tells how an attempt at a target ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeDone      Outcome = iota // the whole answer was received
	OutcomeNotSent                  // no byte was handed to the target
	OutcomeRefused                  // the target refused before it ran anything
	OutcomeCut                      // the target vanished after bytes were handed to it
	OutcomeFailed                   // the target answered with a failure
	OutcomeCancelled                // the caller went away
)

// Completion reports the end of a request, or of one attempt, to the filters
// that account for it.
type Completion struct {
	RequestID     string
	Organisation  string
	Target        string // empty if no target was tried
	Next          string // target of the attempt that follows, if it is known
	Final         bool   // no further attempt follows
	Outcome       Outcome
	Lost          bool    // the target takes no connections after a cut
	PrefillPieces float64 // actual work done
	DecodePieces  float64
	Fingerprint   uint64
	At            time.Time
}
