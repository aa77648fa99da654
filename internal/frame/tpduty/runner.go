package tpduty

import (
	"expvar"
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
}

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

// Running returns the number of duties that are running.
func (r *Runner) Running() int64 { return r.running.Load() }

// Var returns an expvar variable with the number of running duties and of those
// started so far.
func (r *Runner) Var() expvar.Var {
	return expvar.Func(func() any {
		return map[string]int64{"running": r.running.Load(), "started": r.started.Load()}
	})
}

// StartTimer starts a duty that calls f at once and then repeatedly, each time
// after the delay that the last call returned. The clean-up function ends the
// duty and waits for it.
func StartTimer(r *Runner, name string, clock tpclock.Clock, f func() time.Duration) (cleanup func(), err error) {
	stop := make(chan struct{})
	wait, err := r.Go(name, func() {
		for {
			select {
			case <-clock.After(f()):
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
// closed and empty, and passes each value to handle. The clean-up function
// closes in and waits until the duty has handled all values.
func StartFilter[T any](r *Runner, name string, in *tpring.Ring[T], handle func(T)) (cleanup func(), err error) {
	wait, err := r.Go(name, func() {
		for {
			v, err := in.Take()
			if err != nil {
				return
			}
			handle(v)
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
