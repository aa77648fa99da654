package tprelay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// End tells how an exchange with a target ended.
type End uint8

// Ends of an exchange.
const (
	// EndWhole is a complete answer, whatever its status.
	EndWhole End = iota
	// EndNotSent means that no byte of the request was written.
	EndNotSent
	// EndNotRun means that the target said that it did not run the request.
	EndNotRun
	// EndMisdirected means that the request met another process or role, which
	// did not run it.
	EndMisdirected
	// EndCut means that bytes were written and no whole answer came.
	EndCut
	// EndSilent is a cut made by this node because the target was silent.
	EndSilent
	// EndForeign is a cut made because the answer belongs to another request.
	EndForeign
	// EndStopped means that the context ended or the client left.
	EndStopped
)

// String implements fmt.Stringer.
func (e End) String() string {
	names := [...]string{"whole", "notSent", "notRun", "misdirected", "cut", "silent", "foreign", "stopped"}
	return names[min(int(e), len(names)-1)]
}

// Result is the end of an exchange.
type Result struct {
	End    End
	Status int   // of the target's answer, or zero
	Err    error // why there is no whole answer
}

// Handle names a prompt that a target has read and keeps.
type Handle struct {
	Address string
	ID      string
}

// Sending is a request as a target gets it.
type Sending struct {
	Request     *tpmessage.RelayRequest
	Target      tpmessage.RelayTarget
	Priority    int
	Deadline    time.Time
	Handle      Handle        // prompt to take over, if ID is set
	Fetch       string        // address of a target that keeps the shared prefix
	ResumeAfter int           // last event that the client has, or -1
	FirstWithin time.Duration // silence allowed before the first byte of the answer; zero for any
	NextWithin  time.Duration // silence allowed between the parts of a stream; zero for any
}

// Upstream exchanges requests with targets.
type Upstream interface {
	// Prefill has the prompt read and returns its handle.
	Prefill(ctx context.Context, s *Sending) (Handle, Result)
	// Run passes the parts of a successful answer to deliver, and returns once
	// it is complete. An answer of another status is returned whole.
	Run(ctx context.Context, s *Sending, deliver func(tpmessage.AnswerPart) error) (Result, []tpmessage.AnswerPart)
	// Free gives up a handle that was not taken.
	Free(ctx context.Context, h Handle)
}

// Counters count what the stage did. The zero value is ready to use.
type Counters struct {
	Requests, Prefills, Runs, Calls, Retries, Resumes, Refused, Unknown, Broken, Left atomic.Uint64
}

// Relay starts the tasks of granted requests. It belongs to one filter.
type Relay struct {
	Upstream Upstream
	Clock    tpclock.Clock
	Log      *zerolog.Logger
	Counters *Counters
	// Place passes an input to the placement.
	Place func(tpplace.Input)
	// Ended is told how each request ended and how long it took.
	Ended func(outcome string, took time.Duration)

	pool pond.Pool
}

// Start sets up the pool in which at most window tasks run. The clean-up
// function waits for them.
func (r *Relay) Start(window int) func() {
	r.pool = pond.NewPool(window, pond.WithQueueSize(window))
	return r.pool.StopAndWait
}

// Handle starts the task of one granted request.
func (r *Relay) Handle(g tpplace.Grant) {
	r.pool.Submit(func() {
		t := newTask(r, g)
		defer t.close()
		t.run()
	})
}
