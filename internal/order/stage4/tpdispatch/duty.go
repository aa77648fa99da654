package tpdispatch

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/alitto/pond/v2"

	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Duty performs actions as tasks on a bounded worker pool. The caller sets the
// exported fields before Start.
type Duty struct {
	Store        tpobject.Store
	EngineClient *EngineClient
	// Confirm reads the lease from the platform. It returns an error unless the
	// lease is still granted to this process with the given fencing number.
	Confirm func(ctx context.Context, lease string, fencing uint64) error
	// Sink receives the result of each action. Tasks call it concurrently.
	Sink func(tporder.Result)

	tasks pond.Pool
	ctx   context.Context
}

// Start starts a pool that runs at most the given number of tasks at once. The
// clean-up function waits until the submitted tasks are complete.
func (d *Duty) Start(tasks int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	d.tasks = pond.NewPool(tasks)
	return func() {
		d.tasks.StopAndWait()
		cancel()
	}
}

// Handle submits one action to the pool. It does not wait for the result.
func (d *Duty) Handle(a tporder.Action) {
	d.tasks.Submit(func() { d.Sink(d.perform(d.ctx, a)) })
}

func (d *Duty) perform(ctx context.Context, a tporder.Action) tporder.Result {
	r := tporder.Result{Action: a}
	switch a.Kind {
	case tporder.ActionReadRecord:
		r.Record, r.Version, r.Err = ReadRecord(ctx, d.Store, a.Target.Name)
	case tporder.ActionWriteRecord:
		r.Version, r.Err = d.writeRecord(ctx, a)
	case tporder.ActionReadStatus:
		r.Status, r.Err = d.EngineClient.Status(ctx, a.Target.Address, a.Load)
	case tporder.ActionSend:
		confirm := func(ctx context.Context) error { return d.Confirm(ctx, a.Lease, a.Record.Order.Fencing) }
		r.Err = d.EngineClient.Send(ctx, a.Target.Address, a.Record.Order, a.Type, confirm)
	}
	return r
}

// ReadRecord reads an engine's order object. If the object does not exist,
// ReadRecord returns a zero record, version 0 and no error.
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
