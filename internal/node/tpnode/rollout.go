package tpnode

import (
	"context"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
)

// startRollout starts the duty that follows the accepted configuration. A node
// without a platform gets its configuration by Apply.
func (n *Node) startRollout() error {
	if n.cfg.Platform == "" {
		return nil
	}
	client, closeClient := tpplatform.NewClient(n.cfg.Platform)
	n.onStop(closeClient)
	ctx, cancel := context.WithCancel(context.Background())
	w := &tprollout.Watcher{Store: client, Clock: n.clock, Apply: n.Apply}
	wait, err := n.duties.Go("rollout", func() { w.Run(ctx) })
	if err != nil {
		cancel()
		return err
	}
	n.onStop(func() {
		cancel()
		wait()
	})
	return nil
}
