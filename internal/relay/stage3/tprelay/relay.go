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

// End is the way in which an exchange with a target ended.
type End uint8

// The ends of an exchange.
const (
	// EndComplete is a complete answer of any status.
	EndComplete End = iota
	// EndNotSent means that no byte of the request was written.
	EndNotSent
	// EndNotRun means that the target answered that it did not run the request.
	EndNotRun
	// EndMisdirected means that the request reached another process or a target
	// of another role, which did not run it.
	EndMisdirected
	// EndIncomplete means that bytes were written and the answer is incomplete.
	EndIncomplete
	// EndTimeout means that this node ended the exchange because the target was
	// silent.
	EndTimeout
	// EndWrongRequest means that this node ended the exchange because the
	// answer belongs to another request.
	EndWrongRequest
	// EndCancelled means that the context ended or the client disconnected.
	EndCancelled
)

// String implements fmt.Stringer.
func (e End) String() string {
	names := [...]string{"whole", "notSent", "notRun", "misdirected", "cut", "silent", "foreign", "stopped"}
	return names[min(int(e), len(names)-1)]
}

// Result is the result of an exchange.
type Result struct {
	End    End
	Status int   // of the target's answer, or 0
	Err    error // why the answer is incomplete
	// LocalAddress is this node's end of the connection, or empty if there was
	// none. Reused is true if the connection had carried another exchange.
	LocalAddress string
	Reused       bool
	// Cut is true if the target closed or reset the connection after bytes of
	// the request were written, as it does when it crashes.
	Cut bool
	// Silent is true if bytes of the request were written, and neither an answer
	// nor the end of the connection arrived.
	Silent bool
}

// Handle identifies a prompt that a target has read and keeps.
type Handle struct {
	Address string
	ID      string
}

// UpstreamRequest is a request as it is sent to a target.
type UpstreamRequest struct {
	Request          *tpmessage.RelayRequest
	Target           tpmessage.RelayTarget
	Priority         int
	Deadline         time.Time
	Handle           Handle        // prompt to take over, if Handle.ID is not empty
	FetchAddress     string        // address of a target that holds the shared prefix, or empty
	ResumeAfter      int           // number of the last event that the client has, or -1
	FirstByteTimeout time.Duration // silence before the first byte of the answer that is reported; 0 means none
	GapTimeout       time.Duration // silence between the parts of a stream that is reported; 0 means none
	// OnSilence is called when the target has been silent for one of the
	// timeouts; begun reports whether it has sent a part of the answer. It
	// returns the time after which it is called again if the silence lasts, or
	// zero to end the exchange with EndTimeout. It is never called after the
	// exchange has ended. If it is nil, the first timeout ends the exchange.
	OnSilence func(begun bool) time.Duration
	// Notice, if it is not nil, is called when the head of an answer arrives in
	// which the target says something about itself, or in which a target that
	// IsLimited has no limit any more. The end of the answer may be many seconds
	// later. SentAt is when the request had a connection to the target.
	Notice func(n tpmessage.TargetNotice, sentAt time.Time)
	// IsLimited reports whether the target is known to have a limit. If it is
	// nil, the target has none.
	IsLimited func() bool
}

// Upstream exchanges requests with targets.
type Upstream interface {
	// Prefill has a target read the prompt and returns the handle of the
	// prompt.
	Prefill(ctx context.Context, s *UpstreamRequest) (Handle, Result)
	// Run passes the parts of a successful answer to deliver and returns when
	// the answer is complete. It returns the parts of an answer with any other
	// status instead.
	Run(ctx context.Context, s *UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (Result, []tpmessage.AnswerPart)
	// Free releases a handle that no run has taken over.
	Free(ctx context.Context, h Handle)
}

// Counters counts the operations of the stage. The zero value is ready to use.
type Counters struct {
	Requests, Prefills, Runs, Calls, Retries, Resumes, Refused, Unknown, Broken, Disconnected, Panics, Quarantined atomic.Uint64
}

// Relay runs a task for each granted request. It is owned by one filter.
type Relay struct {
	Upstream Upstream
	Clock    tpclock.Clock
	Log      *zerolog.Logger
	Counters *Counters
	// Place passes an input to the placer.
	Place func(tpplace.Input)
	// IsBlocked reports whether nothing may be sent to a target now. If it is
	// nil, no target is blocked.
	IsBlocked func(*tpmessage.RelayTarget) bool
	// IsLimited reports whether a target has named a limit. If it is nil, none
	// has.
	IsLimited func(*tpmessage.RelayTarget) bool
	// RecordEnd is called at the end of each request with its outcome and the
	// time since its arrival.
	RecordEnd func(outcome string, took time.Duration)
	// RecordBegin is called once for each request of an organisation that began
	// to run, with the time at which it began. If it is nil, nothing is counted.
	RecordBegin func(organisation string, at time.Time)

	workers    pond.Pool
	trials     pond.Pool // runs the steps that begin while the target before keeps the request
	window     int64
	inProgress atomic.Int64 // tasks that have been started and have not ended
}

// Start starts the workers, which run at most window tasks at a time. The
// returned function waits for all tasks.
func (r *Relay) Start(window int) func() {
	r.window = int64(window)
	r.workers = pond.NewPool(window, pond.WithQueueSize(window))
	// A task has at most one trial with which it proceeds and another one that
	// replaces it.
	r.trials = pond.NewPool(2*window, pond.WithQueueSize(2*window))
	return func() {
		r.workers.StopAndWait()
		r.trials.StopAndWait()
	}
}

// Handle starts the task of a granted request. If all workers are busy, it
// refuses the request at once, because nothing limits the time until one of
// them is free.
func (r *Relay) Handle(g tpplace.Grant) {
	t := newTask(r, g)
	if r.inProgress.Load() >= r.window {
		t.refuseForWindow()
		t.close()
		return
	}
	r.inProgress.Add(1)
	r.workers.Submit(func() {
		defer r.inProgress.Add(-1)
		defer t.close()
		defer t.recover()
		t.run()
	})
}
