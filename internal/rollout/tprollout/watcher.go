package tprollout

import (
	"context"
	"encoding/json"
	"time"

	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// RetryDelay is the wait after a failed call to the platform.
const RetryDelay = 500 * time.Millisecond

// Watcher is the duty that follows the head on the platform.
type Watcher struct {
	Store tpobject.Store
	Clock tpclock.Clock
	// Apply is called with each configuration of a higher generation.
	Apply func(*tpmessage.Snapshot)

	held    Held
	version uint64
}

// Run follows the head until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.next(ctx); err != nil {
			w.pause(ctx)
		}
	}
}

// next waits for one change of the head and applies it.
func (w *Watcher) next(ctx context.Context) error {
	changes, err := w.Store.Watch(ctx, HeadName, w.version)
	if err != nil || len(changes) == 0 {
		return err
	}
	o := changes[len(changes)-1].Object
	var head tpmessage.Head
	if err := json.Unmarshal(o.Value, &head); err != nil {
		return Error.Wrap(err)
	}
	if head.Generation > w.held.Head.Generation {
		if err := w.take(ctx, head); err != nil {
			return err
		}
	}
	w.version = o.Version
	return nil
}

func (w *Watcher) take(ctx context.Context, head tpmessage.Head) error {
	held, err := ReadParts(ctx, w.Store, head, w.held)
	if err != nil {
		return err
	}
	cfg, err := Join(held.Parts)
	if err != nil {
		return err
	}
	w.held = held
	w.Apply(&tpmessage.Snapshot{Generation: head.Generation, Config: cfg})
	return nil
}

func (w *Watcher) pause(ctx context.Context) {
	select {
	case <-w.Clock.After(RetryDelay):
	case <-ctx.Done():
	}
}
