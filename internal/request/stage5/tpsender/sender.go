package tpsender

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/alitto/pond/v2"

	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/internal/request/stage6/tpanswer"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Result is the end of one attempt at a target.
type Result struct {
	Outcome tpmessage.Outcome
	// PrefillPieces and DecodePieces are the work that the target reports.
	PrefillPieces float64
	DecodePieces  float64
	Report        *tpmessage.LoadReport // rode on the answer; nil if none
	Err           error
}

// Transport runs a request at a target.
type Transport interface {
	// Run sends the request, asks for the answer from chunk number from, and
	// passes each chunk to deliver until the end or until deliver fails.
	Run(ctx context.Context, req *tpmessage.Request, t tpmessage.Target, from int,
		deliver func(tpmessage.Chunk) error) Result
}

// Sinks are the feedback of the stage. Each is called from stream tasks.
type Sinks struct {
	Completion func(tpmessage.Completion)
	Report     func(tpmessage.LoadReport)
	// Settled is called with the end of a non-idempotent request.
	Settled func(w tpmessage.Work, o tpmessage.Outcome, handed bool, last *tpmessage.Chunk)
}

// Counters count the stage's events. The zero value is ready to use.
type Counters struct {
	Streams, Retries, Resumes, Crossed, Doubled, Late, Incomplete atomic.Uint64
}

// Sender starts the stream tasks. It belongs to the sender duty.
type Sender struct {
	Transport Transport
	Clock     tpclock.Clock
	Sinks     Sinks
	Events    *tpevent.Recorder
	Budget    *Budget
	Counters  *Counters

	pool pond.Pool
}

// Start sets up the pool of stream tasks, of which window run at the same
// time. The clean-up function waits for the running tasks.
func (s *Sender) Start(window int) func() {
	s.pool = pond.NewPool(window, pond.WithQueueSize(window))
	return s.pool.StopAndWait
}

// Handle starts the stream task of one assignment.
func (s *Sender) Handle(a tpmessage.Assignment) {
	s.pool.Submit(func() { s.run(a) })
}

// run is the stream task.
func (s *Sender) run(a tpmessage.Assignment) {
	s.Counters.Streams.Add(1)
	w := a.Work
	defer w.Chunks.Close()
	parent := w.Ctx
	if !w.Request.Idempotent {
		// The result is recorded even if the caller has gone.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, w.Request.Deadline)
	defer cancel()

	plan := NewPlan(&a)
	asm := tpanswer.New(w.Request.ID, w.Request.Resume)
	target := plan.First()
	s.Budget.Sent()
	var last *tpmessage.Chunk
	for {
		res := s.attempt(ctx, &w, target, asm, &last)
		next, again := plan.Next(s.Clock.Now(), res.Outcome, s.Budget.Take)
		s.complete(&w, target, res, !again)
		if !again {
			s.finish(&w, plan, asm, res, last)
			return
		}
		s.Counters.Retries.Add(1)
		s.Events.Record(tpmessage.Event{
			Kind: "retry", Request: w.Request.ID, Target: next.Name, Organisation: w.Request.Organisation,
		})
		target = next
	}
}

// attempt runs the request at one target and delivers its chunks.
func (s *Sender) attempt(ctx context.Context, w *tpmessage.Work, t tpmessage.Target,
	asm *tpanswer.Assembler, last **tpmessage.Chunk,
) Result {
	s.Events.Record(tpmessage.Event{
		Kind: "send", Request: w.Request.ID, Target: t.Name, Organisation: w.Request.Organisation,
	})
	from := asm.ResumeFrom()
	if from > w.Request.Resume {
		s.Counters.Resumes.Add(1)
	}
	res := s.Transport.Run(ctx, &w.Request, t, from, func(c tpmessage.Chunk) error {
		ok, err := asm.Accept(&c)
		if err != nil || !ok {
			return err
		}
		*last = &c
		return w.Chunks.Put(c)
	})
	if errors.Is(res.Err, tpanswer.ErrDiverged) {
		res.Outcome = tpmessage.OutcomeFailed
	}
	if res.Outcome == tpmessage.OutcomeDone && !asm.Ended() {
		res.Outcome = tpmessage.OutcomeCut
	}
	if ctx.Err() != nil && !asm.Ended() {
		res.Outcome = tpmessage.OutcomeCancelled
	}
	if res.Report != nil {
		s.Sinks.Report(*res.Report)
	}
	return res
}

func (s *Sender) complete(w *tpmessage.Work, t tpmessage.Target, res Result, final bool) {
	s.Sinks.Completion(tpmessage.Completion{
		RequestID:     w.Request.ID,
		Organisation:  w.Request.Organisation,
		Target:        t.Name,
		Final:         final,
		Outcome:       res.Outcome,
		PrefillPieces: res.PrefillPieces,
		DecodePieces:  res.DecodePieces,
		Fingerprint:   w.Request.Fingerprint,
		At:            s.Clock.Now(),
	})
}

// finish makes the end of the answer explicit.
func (s *Sender) finish(w *tpmessage.Work, plan *Plan, asm *tpanswer.Assembler, res Result, last *tpmessage.Chunk) {
	st := asm.Stats()
	s.Counters.Crossed.Add(st.Crossed)
	s.Counters.Doubled.Add(st.Doubled)
	s.Counters.Late.Add(st.Late)
	if s.Sinks.Settled != nil && !w.Request.Idempotent {
		s.Sinks.Settled(*w, res.Outcome, plan.handed, last)
	}
	s.Events.Record(tpmessage.Event{
		Kind: "end", Request: w.Request.ID, Organisation: w.Request.Organisation, Detail: outcomeName(res.Outcome),
	})
	if asm.Ended() {
		return
	}
	reason := "the targets could not finish the request"
	if res.Err != nil {
		reason = res.Err.Error()
	}
	s.Counters.Incomplete.Add(1)
	ref := plan.Refusal(res.Outcome, asm.Next()-w.Request.Resume, reason)
	_ = w.Chunks.Put(tpmessage.Chunk{RequestID: w.Request.ID, Number: asm.Next(), Refusal: ref})
}

func outcomeName(o tpmessage.Outcome) string {
	names := [...]string{"done", "notSent", "refused", "cut", "failed", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
