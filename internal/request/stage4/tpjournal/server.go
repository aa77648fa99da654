package tpjournal

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/alitto/pond/v2"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// MaxQueuedOps is the maximum number of operations that wait for the holder
	// filter.
	MaxQueuedOps = 2 * MaxPendingOps
	// storeWorkers is the number of concurrent commands: for each shard one
	// store command and the maximum number of concurrent queries to services.
	storeWorkers = Shards * (1 + MaxConcurrentQueries)
	// storeQueueCapacity is the number of commands that wait for a worker.
	storeQueueCapacity = 1024
)

// CallQuerier queries the services of a pool. Its method reports in ran whether
// one of them ran the call of the key, and returns the call's status and
// result.
type CallQuerier interface {
	QueryCall(ctx context.Context, pool, key string) (ran bool, status int, result []byte, err error)
}

// ServerSettings configures a Server. Store has no default.
type ServerSettings struct {
	Store       tpobject.Store
	Clock       tpclock.Clock // nil selects the system clock
	CallQuerier CallQuerier   // nil if no service can be queried
}

// Server runs the holder filter and, behind it, the store duty:
//
//	Do -> holder ring -> holder filter -> store tasks -> holder ring
//
// The holder ring reserves capacity for the result of every command that can be
// outstanding, so that a store task never waits for the filter.
type Server[S Scheme] struct {
	cfg     ServerSettings
	holder  *Holder[S]
	in      *tpring.Ring[Input]
	tasks   pond.Pool
	ctx     context.Context // cancelled when the server stops; ends the waits of store tasks
	outputs []Output        // scratch buffer of the holder filter
}

// NewServer starts the holder filter and the store tasks. The clean-up function
// stops them. Operations that are unanswered by then get AnswerUndetermined.
func NewServer[S Scheme](cfg ServerSettings, holder *Holder[S], duties *tpduty.Runner, rings *tpring.Group) (*Server[S], func(), error) {
	if cfg.Clock == nil {
		cfg.Clock = tpclock.System{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server[S]{
		cfg:    cfg,
		holder: holder,
		in:     tpring.New[Input](tpring.Settings{Capacity: MaxQueuedOps + storeWorkers + storeQueueCapacity + 1}),
		tasks:  pond.NewPool(storeWorkers, pond.WithQueueSize(storeQueueCapacity)),
		ctx:    ctx,
	}
	rings.Add("holder", s.in)
	stopFilter, err := tpduty.StartFilter(duties, "holder", s.in, s.handle)
	if err != nil {
		cancel()
		s.tasks.StopAndWait()
		return nil, nil, err
	}
	return s, func() {
		cancel()
		stopFilter()
		s.tasks.StopAndWait()
	}, nil
}

// Do carries out one operation and waits for its answer. It returns
// AnswerUndetermined if ctx ends first, and AnswerRefused if the server is
// overloaded or stopped.
func (s *Server[S]) Do(ctx context.Context, op Op) Answer {
	op.Reply = tpring.New[Answer](tpring.Settings{Capacity: 1})
	in := Input{Kind: InputOp, Shard: ShardOf(op.Key), Op: op}
	if err := s.in.TryPutBelow(in, MaxQueuedOps); err != nil {
		return Answer{State: AnswerRefused}
	}
	stop := context.AfterFunc(ctx, op.Reply.Close)
	defer stop()
	stopServer := context.AfterFunc(s.ctx, op.Reply.Close)
	defer stopServer()
	a, err := op.Reply.Take()
	if err != nil {
		return Answer{State: AnswerUndetermined}
	}
	return a
}

// handle processes one input in the holder filter.
func (s *Server[S]) handle(in Input) {
	s.outputs = s.holder.Step(s.cfg.Clock.Now(), in, s.outputs[:0])
	for _, out := range s.outputs {
		if out.Command != nil {
			cmd := *out.Command
			s.tasks.Submit(func() { s.run(cmd) })
			continue
		}
		if out.Op.Reply != nil {
			_ = out.Op.Reply.TryPut(out.Answer)
		}
	}
	clear(s.outputs)
}

// run carries out one command in a store task and returns the result to the
// holder filter.
func (s *Server[S]) run(cmd Command) {
	res := CommandResult{Command: cmd}
	switch cmd.Kind {
	case CommandGet:
		var o tpobject.Object
		o, res.Err = s.cfg.Store.Get(s.ctx, cmd.Name)
		if res.Err == nil {
			res.Version = o.Version
			res.Err = Error.Wrap(json.Unmarshal(o.Value, &res.Record))
		}
	case CommandPut:
		res.Version, res.Err = s.put(cmd)
	case CommandDelete:
		var o tpobject.Object
		if o, res.Err = s.cfg.Store.Get(s.ctx, cmd.Name); res.Err == nil {
			res.Err = s.cfg.Store.Delete(s.ctx, cmd.Name, o.Version)
		}
	case CommandWait:
		s.wait(cmd.Until)
	case CommandQuery:
		res.Ran, res.Status, res.Result, res.Err = s.queryCall(cmd)
	}
	// The scheme keeps the record that it wrote, so the result omits it.
	res.Command.Record = Record{}
	_ = s.in.Put(Input{Kind: InputResult, Shard: cmd.Shard, Result: res})
}

func (s *Server[S]) put(cmd Command) (uint64, error) {
	value, err := json.Marshal(cmd.Record)
	if err != nil {
		return 0, Error.New("%w: %w", tpobject.ErrTooLarge, err)
	}
	return s.cfg.Store.Put(s.ctx, cmd.Name, value, cmd.Version)
}

func (s *Server[S]) wait(until time.Time) {
	select {
	case <-s.cfg.Clock.After(until.Sub(s.cfg.Clock.Now())):
	case <-s.ctx.Done():
	}
}

// errNoQuerier is returned if no service can be queried.
var errNoQuerier = errors.New("no service can be queried")

func (s *Server[S]) queryCall(cmd Command) (bool, int, []byte, error) {
	if s.cfg.CallQuerier == nil {
		return false, 0, nil, errNoQuerier
	}
	return s.cfg.CallQuerier.QueryCall(s.ctx, cmd.Pool, cmd.Key)
}
