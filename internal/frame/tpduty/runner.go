package tpduty

import (
	"expvar"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// DefaultMaxDuties is the limit of a Runner whose Settings.MaxDuties is zero or
// negative.
const DefaultMaxDuties = 64

// Error is the class of the errors that this package returns.
var Error = errs.Class("duty")

// Settings configures a Runner. The zero value is the default.
type Settings struct {
	// MaxDuties is the largest number of duties that run at the same time.
	MaxDuties int
}

// Runner runs the duties of one process. Its methods are safe for concurrent
// use.
type Runner struct {
	pool    pond.Pool
	running atomic.Int64
	started atomic.Int64
	panics  atomic.Int64
	onPanic atomic.Pointer[func(Panic)]
}

// Panic describes a panic in a duty.
type Panic struct {
	Duty  string
	Value string // of the panic
	Input string // value that a filter was handling, shortened, or empty
	Stack string
	// Ended is true if the duty has ended. A filter or a timer goes on with its
	// next value.
	Ended bool
}

// maxPanicInput limits Panic.Input, in bytes.
const maxPanicInput = 1 << 10

// NewRunner returns a runner and its clean-up function, which waits until every
// duty has returned. The owner of each duty must first make it return, usually
// by closing its input.
func NewRunner(cfg Settings) (*Runner, func()) {
	n := cfg.MaxDuties
	if n <= 0 {
		n = DefaultMaxDuties
	}
	r := &Runner{pool: pond.NewPool(n, pond.WithQueueSize(1), pond.WithNonBlocking(true))}
	return r, r.pool.StopAndWait
}

// Go starts a duty and returns a function that waits until it returns. It
// returns an error if the runner already runs MaxDuties duties. Name appears in
// the error.
func (r *Runner) Go(name string, duty func()) (wait func(), err error) {
	task := r.pool.Submit(func() {
		r.running.Add(1)
		r.started.Add(1)
		defer r.running.Add(-1)
		defer r.recover(name, nil, true)
		duty()
	})
	select {
	case <-task.Done():
		if err := task.Wait(); err != nil {
			return nil, Error.New("start %q: %w", name, err)
		}
	default:
	}
	return func() { _ = task.Wait() }, nil
}

// OnPanic sets a function that is called after each panic in a duty, in the
// goroutine of that duty.
func (r *Runner) OnPanic(f func(Panic)) { r.onPanic.Store(&f) }

// recover ends a panic of the function that defers it, and reports it.
func (r *Runner) recover(name string, input any, ended bool) {
	if value := recover(); value != nil {
		r.report(name, value, input, ended)
	}
}

// report counts a panic and passes it to the function of OnPanic. Input is the
// value that a filter was handling, or nil.
func (r *Runner) report(name string, value, input any, ended bool) {
	r.panics.Add(1)
	f := r.onPanic.Load()
	if f == nil {
		return
	}
	p := Panic{Duty: name, Value: fmt.Sprint(value), Stack: string(debug.Stack()), Ended: ended}
	if input != nil {
		p.Input = fmt.Sprintf("%+v", input)
		p.Input = p.Input[:min(len(p.Input), maxPanicInput)]
	}
	(*f)(p)
}

// Running returns the number of duties that are running.
func (r *Runner) Running() int64 { return r.running.Load() }

// Var returns an expvar variable with the numbers of running duties, of those
// started so far, and of panics.
func (r *Runner) Var() expvar.Var {
	return expvar.Func(func() any {
		return map[string]int64{"running": r.running.Load(), "started": r.started.Load(), "panics": r.panics.Load()}
	})
}

// panicDelay is the delay of a timer after a call that panicked.
const panicDelay = time.Second

// StartTimer starts a duty that calls f at once and then repeatedly, each time
// after the delay that the last call returned, or after panicDelay if it
// panicked. The clean-up function ends the duty and waits for it.
func StartTimer(r *Runner, name string, clock tpclock.Clock, f func() time.Duration) (cleanup func(), err error) {
	stop := make(chan struct{})
	call := func() (delay time.Duration) {
		defer func() {
			if value := recover(); value != nil {
				r.report(name, value, nil, false)
				delay = panicDelay
			}
		}()
		return f()
	}
	wait, err := r.Go(name, func() {
		for {
			select {
			case <-clock.After(call()):
			case <-stop:
				return
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return func() {
		close(stop)
		wait()
	}, nil
}

// StartFilter starts a duty that receives values from in until the ring is
// closed and empty, and passes each value to handle. A panic of handle concerns
// that value alone. The clean-up function closes in and waits until the duty has
// handled all values.
func StartFilter[T any](r *Runner, name string, in *tpring.Ring[T], handle func(T)) (cleanup func(), err error) {
	guarded := func(v T) {
		defer r.recover(name, v, false)
		handle(v)
	}
	wait, err := r.Go(name, func() {
		for {
			v, err := in.Take()
			if err != nil {
				return
			}
			guarded(v)
		}
	})
	if err != nil {
		return nil, err
	}
	return func() {
		in.Close()
		wait()
	}, nil
}
