package tpadmission

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DefaultWindow is the number of requests in flight if Settings say none.
	DefaultWindow = 1024
	// DefaultMaxQueued is the number of waiting requests if Settings say none.
	DefaultMaxQueued = 4096
	// RetryAfter is the advice given with a refusal in overload.
	RetryAfter = time.Second
)

// Settings configures an Admission. The zero value is the default.
type Settings struct {
	// Window is the number of requests that may be in flight.
	Window int
	// MaxQueued is the number of requests that may wait.
	MaxQueued int
}

// Queue orders waiting work. Implementations are used by one goroutine.
type Queue interface {
	// Push adds work at an instant.
	Push(now time.Time, w tpmessage.Work)
	// Pop removes the work to serve next.
	Pop(now time.Time) (tpmessage.Work, bool)
	// Expire removes the work whose deadline has passed or whose caller is
	// gone, and appends it to dst.
	Expire(now time.Time, dst []tpmessage.Work) []tpmessage.Work
	// Len returns the number of waiting requests.
	Len() int
	// Settle corrects the accounts by the work that a request really took.
	Settle(now time.Time, c tpmessage.Completion)
	// SetShares replaces the promised shares.
	SetShares(orgs []tpmessage.Organisation)
}

// Kind tells what an Input holds.
type Kind uint8

// Kinds of inputs.
const (
	InputArrival Kind = iota
	InputCompletion
	InputConfig
	InputTick
)

// Input is one message to the admission filter.
type Input struct {
	Kind       Kind
	Work       tpmessage.Work
	Completion tpmessage.Completion
	Snapshot   *tpmessage.Snapshot
}

// Output is one decision: admit the work, or refuse it.
type Output struct {
	Work    tpmessage.Work
	Refusal *tpmessage.Refusal // nil if admitted
}

// Admission decides which work goes on. It belongs to one filter.
type Admission[Q Queue] struct {
	cfg      Settings
	queue    Q
	inFlight int
	expired  []tpmessage.Work
}

// New returns an admission decision over an empty queue.
func New[Q Queue](cfg Settings, queue Q) *Admission[Q] {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = DefaultMaxQueued
	}
	return &Admission[Q]{cfg: cfg, queue: queue}
}

// Step takes one input and appends the decisions that follow to dst.
func (a *Admission[Q]) Step(now time.Time, in Input, dst []Output) []Output {
	switch in.Kind {
	case InputArrival:
		dst = a.arrive(now, in.Work, dst)
	case InputCompletion:
		a.queue.Settle(now, in.Completion)
		if in.Completion.Final {
			a.inFlight--
		}
	case InputConfig:
		a.queue.SetShares(in.Snapshot.Config.Organisations)
	case InputTick:
		dst = a.expire(now, dst)
	}
	return a.release(now, dst)
}

// InFlight returns the number of admitted requests without a final completion.
func (a *Admission[Q]) InFlight() int { return a.inFlight }

func (a *Admission[Q]) arrive(now time.Time, w tpmessage.Work, dst []Output) []Output {
	if a.queue.Len() >= a.cfg.MaxQueued {
		return append(dst, Output{Work: w, Refusal: notRun("the queue of this node is full")})
	}
	a.queue.Push(now, w)
	return dst
}

func (a *Admission[Q]) expire(now time.Time, dst []Output) []Output {
	a.expired = a.queue.Expire(now, a.expired[:0])
	for _, w := range a.expired {
		dst = append(dst, Output{Work: w, Refusal: notRun("the deadline passed in the queue")})
	}
	return dst
}

func (a *Admission[Q]) release(now time.Time, dst []Output) []Output {
	for a.inFlight < a.cfg.Window {
		w, ok := a.queue.Pop(now)
		if !ok {
			return dst
		}
		if !now.Before(w.Request.Deadline) {
			dst = append(dst, Output{Work: w, Refusal: notRun("the deadline passed in the queue")})
			continue
		}
		a.inFlight++
		dst = append(dst, Output{Work: w})
	}
	return dst
}

func notRun(reason string) *tpmessage.Refusal {
	return &tpmessage.Refusal{
		Code:       tpmessage.RefusalNotRun,
		Reason:     reason,
		RetryAfter: RetryAfter,
		NotRun:     true,
	}
}
