package tprelaynode

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// quarantineObjectPrefix is the prefix of the name of the object with the
	// quarantines of a region. The name of the region follows.
	quarantineObjectPrefix = "quarantine/"
	// quarantineRingCapacity is the number of changes that wait for the filter.
	// A full ring drops the oldest one, which the nodes still know.
	quarantineRingCapacity = 64
	// quarantineRetry is the delay after a failed call. It doubles up to
	// maxQuarantineRetry.
	quarantineRetry    = 200 * time.Millisecond
	maxQuarantineRetry = 5 * time.Second
	// quarantineTask is the task name that the ranking of the writers hashes.
	quarantineTask = "quarantine"
)

// quarantineInput holds changes to store or, without one, is the request to read
// what is stored.
type quarantineInput struct {
	changes []tpcrash.Change
}

// errEraChanged is the error of a call during which the store was restored. Its
// write may have been lost, or have replaced a version that was assigned again.
var errEraChanged = errors.New("the store was restored during the call")

// quarantineFilter holds the ring of the filter that stores the quarantines, so
// that they outlast all nodes of the region:
//
//	start, placement -> quarantines ring -> quarantines -> placement ring (what is stored)
type quarantineFilter struct {
	node *Node
	ctx  context.Context // done when the node stops
	in   *tpring.Ring[quarantineInput]
}

func newQuarantineFilter(n *Node) *quarantineFilter {
	f := &quarantineFilter{node: n, in: tpring.New[quarantineInput](tpring.Settings{Capacity: quarantineRingCapacity})}
	n.deps.Rings.Add("quarantines", f.in)
	return f
}

// startQuarantines starts the filter. When a whole region starts for the first time,
// nothing is stored.
func (n *Node) startQuarantines() error {
	f := n.quarantines
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	if err := startFilter(n, "quarantines", f.in, f.handle); err != nil {
		cancel()
		return err
	}
	n.onStop(cancel)
	if !n.cfg.Bootstrap {
		_ = f.in.TryPut(quarantineInput{}) // the ring is empty
	}
	return nil
}

// record passes the changes to the filter that this node stores: the node that
// found a change does, and the first of the ranking, because a quarantine may
// result from the evidence of several nodes.
func (f *quarantineFilter) record(changes ...tpcrash.Change) {
	first := f.node.members.rank(quarantineTask, "") == 0
	changes = slices.DeleteFunc(changes, func(c tpcrash.Change) bool { return c.Expired || !c.Own && !first })
	if len(changes) > 0 {
		_ = f.in.PutDropOldest(quarantineInput{changes: changes})
	}
}

// handle makes the calls for one input until they succeed.
func (f *quarantineFilter) handle(in quarantineInput) {
	delay := quarantineRetry
	for f.ctx.Err() == nil {
		err := f.call(in)
		if err == nil {
			return
		}
		if !errors.Is(err, tpobject.ErrConflict) && !errors.Is(err, errEraChanged) && f.ctx.Err() == nil {
			f.node.log.Warn().Str("event", "quarantinesNotStored").Bool("read", len(in.changes) == 0).Err(err).Send()
		}
		select {
		case <-f.node.clock.After(delay):
		case <-f.ctx.Done():
		}
		delay = min(2*delay, maxQuarantineRetry)
	}
}

// call reads what is stored, and stores the changes of the input if there are
// any.
func (f *quarantineFilter) call(in quarantineInput) error {
	n := f.node
	era := tpobject.EraOf(n.deps.Store)
	name := quarantineObjectPrefix + n.cfg.Region
	o, err := n.deps.Store.Get(f.ctx, name)
	if err != nil && !errors.Is(err, tpobject.ErrNotFound) {
		return err
	}
	var records []tpcrash.Record
	if err == nil {
		if err := json.Unmarshal(o.Value, &records); err != nil {
			// The next change replaces it.
			n.log.Warn().Str("event", "quarantinesUnreadable").Uint64("version", o.Version).Err(err).Send()
			records = nil
		}
	}
	if len(in.changes) == 0 {
		if stored := tpcrash.Suspects(records, n.clock.Now()); len(stored) > 0 {
			_ = n.placement.in.Put(tpplace.Input{Kind: tpplace.InputSuspects, Suspects: stored})
		}
		return nil
	}
	amended, changed := records, false
	for _, c := range in.changes {
		next, differs := tpcrash.Amend(amended, n.clock.Now(), c)
		amended, changed = next, changed || differs
	}
	if changed {
		data, err := json.Marshal(amended)
		if err != nil {
			return Error.Wrap(err)
		}
		if _, err := n.deps.Store.Put(f.ctx, name, data, o.Version); err != nil {
			return err
		}
	}
	if tpobject.EraOf(n.deps.Store) != era {
		return errEraChanged
	}
	return nil
}
