package tpnode

import (
	"context"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/guard/tpquarantine"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	// objectPoll is the time between two reads of the region's object by one
	// node: 370 nodes cost the platform 12 reads a second.
	objectPoll = 30 * time.Second
	// objectRetry is the time to the next try after a failed write.
	objectRetry = 500 * time.Millisecond
)

// startQuarantineObject starts the duties that write and read the region's
// object of quarantined fingerprints.
func (n *Node) startQuarantineObject() error {
	if n.cfg.Platform == "" {
		return nil
	}
	client, closeClient := tpplatform.NewClient(n.cfg.Platform)
	n.onStop(closeClient)
	ctx, cancel := context.WithCancel(context.Background())
	n.onStop(cancel)
	wait, err := n.duties.Go("quarantine writer", func() { n.writeQuarantine(ctx, client) })
	if err != nil {
		return err
	}
	n.onStop(func() {
		n.quarantine.written.Close()
		cancel()
		wait()
	})
	waitReader, err := n.duties.Go("quarantine reader", func() { n.readQuarantine(ctx, client) })
	if err != nil {
		return err
	}
	n.onStop(func() {
		cancel()
		waitReader()
	})
	return nil
}

// writeQuarantine adds each new list to the object. It tries until it
// succeeds, with the newest list each time.
func (n *Node) writeQuarantine(ctx context.Context, store tpobject.Store) {
	for {
		add, err := n.quarantine.written.Take()
		if err != nil {
			return
		}
		for ctx.Err() == nil {
			all, err := tpquarantine.Add(ctx, store, n.cfg.Region, add)
			if err == nil {
				n.MergeSuspects(all)
				break
			}
			select {
			case <-ctx.Done():
			case <-n.clock.After(objectRetry):
			}
			if newer, err := n.quarantine.written.TryTake(); err == nil {
				add = newer
			}
		}
	}
}

// readQuarantine reads the object from time to time. A node that starts learns
// from it what peers no longer tell.
func (n *Node) readQuarantine(ctx context.Context, store tpobject.Store) {
	for {
		if all, _, err := tpquarantine.Read(ctx, store, n.cfg.Region); err == nil {
			n.MergeSuspects(all)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(objectPoll):
		}
	}
}
