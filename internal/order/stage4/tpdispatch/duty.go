package tpdispatch

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/alitto/pond/v2"

	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Duty performs actions as tasks of a bounded pool. Its fields are set before
// Start.
type Duty struct {
	Store   tpobject.Store
	Engines *Engines
	// Confirm reads a lease again and fails unless this process still holds
	// the grant of that fencing number.
	Confirm func(ctx context.Context, lease string, fencing uint64) error
	// Sink receives each result.
	Sink func(tporder.Result)

	tasks pond.Pool
	ctx   context.Context
}

// Start prepares the pool of tasks. The clean-up function lets the tasks in
// progress finish.
func (d *Duty) Start(tasks int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	d.tasks = pond.NewPool(tasks)
	return func() {
		d.tasks.StopAndWait()
		cancel()
	}
}

// Handle starts one action. It does not wait for its end.
func (d *Duty) Handle(a tporder.Action) {
	d.tasks.Submit(func() { d.Sink(d.do(d.ctx, a)) })
}

func (d *Duty) do(ctx context.Context, a tporder.Action) tporder.Result {
	r := tporder.Result{Action: a}
	switch a.Kind {
	case tporder.ActionReadRecord:
		r.Record, r.Version, r.Err = ReadRecord(ctx, d.Store, a.Target.Name)
	case tporder.ActionWriteRecord:
		r.Version, r.Err = d.writeRecord(ctx, a)
	case tporder.ActionReadStatus:
		r.Status, r.Err = d.Engines.Status(ctx, a.Target.Address, a.Load)
	case tporder.ActionSend:
		confirm := func(ctx context.Context) error { return d.Confirm(ctx, a.Lease, a.Record.Order.Fencing) }
		r.Err = d.Engines.Send(ctx, a.Target.Address, a.Record.Order, a.Type, confirm)
	}
	return r
}

// ReadRecord reads an engine's order object. A missing object is a zero
// record and version.
func ReadRecord(ctx context.Context, store tpobject.Store, engine string) (tporder.Record, uint64, error) {
	var r tporder.Record
	o, err := store.Get(ctx, tporder.ObjectName(engine))
	if errors.Is(err, tpobject.ErrNotFound) {
		return r, 0, nil
	}
	if err != nil {
		return r, 0, err
	}
	return r, o.Version, Error.Wrap(json.Unmarshal(o.Value, &r))
}

func (d *Duty) writeRecord(ctx context.Context, a tporder.Action) (uint64, error) {
	value, err := json.Marshal(a.Record)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return d.Store.Put(ctx, tporder.ObjectName(a.Target.Name), value, a.Version)
}
