package tpnode

import (
	"context"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/guard/tpquarantine"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	// objectPollInterval is the interval between a node's reads of the region's
	// object. 370 nodes cause 12 reads per second on the platform.
	objectPollInterval = 30 * time.Second
	// objectRetryDelay is the delay before a failed write is retried.
	objectRetryDelay = 500 * time.Millisecond
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
		n.quarantine.writeQueue.Close()
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

// writeQuarantine adds each new list to the object. It retries until the write
// succeeds, each time with the latest list.
func (n *Node) writeQuarantine(ctx context.Context, store tpobject.Store) {
	for {
		add, err := n.quarantine.writeQueue.Take()
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
			case <-n.clock.After(objectRetryDelay):
			}
			if newer, err := n.quarantine.writeQueue.TryTake(); err == nil {
				add = newer
			}
		}
	}
}

// readQuarantine reads the object periodically. A node that starts gets from it
// the quarantined fingerprints that the heartbeats of peers no longer carry.
func (n *Node) readQuarantine(ctx context.Context, store tpobject.Store) {
	for {
		if all, _, err := tpquarantine.Read(ctx, store, n.cfg.Region); err == nil {
			n.MergeSuspects(all)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(objectPollInterval):
		}
	}
}
