package tprelaynode

import (
	"context"
	"encoding/json"
	"errors"
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

// quarantineInput is a change to store or, without one, the request to read
// what is stored.
type quarantineInput struct {
	change *tpcrash.Change
}

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

// record passes a change to the filter if this node stores it: the node that
// found the change does, and the first of the ranking, because a quarantine may
// result from the evidence of several nodes.
func (f *quarantineFilter) record(c tpcrash.Change) {
	if !c.Expired && (c.Own || f.node.members.rank(quarantineTask, "") == 0) {
		_ = f.in.PutDropOldest(quarantineInput{change: &c})
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
		if !errors.Is(err, tpobject.ErrConflict) && f.ctx.Err() == nil {
			f.node.log.Warn().Str("event", "quarantinesNotStored").Bool("read", in.change == nil).Err(err).Send()
		}
		select {
		case <-f.node.clock.After(delay):
		case <-f.ctx.Done():
		}
		delay = min(2*delay, maxQuarantineRetry)
	}
}

// call reads what is stored, and stores the change of the input if there is one.
func (f *quarantineFilter) call(in quarantineInput) error {
	n := f.node
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
	if in.change == nil {
		if stored := tpcrash.Suspects(records, n.clock.Now()); len(stored) > 0 {
			_ = n.placement.in.Put(tpplace.Input{Kind: tpplace.InputSuspects, Suspects: stored})
		}
		return nil
	}
	amended, changed := tpcrash.Amend(records, n.clock.Now(), *in.change)
	if !changed {
		return nil
	}
	data, err := json.Marshal(amended)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = n.deps.Store.Put(f.ctx, name, data, o.Version)
	return err
}
