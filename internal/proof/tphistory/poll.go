package tphistory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/node/tpnode"
)

// pollInterval is the time between two status requests to a node.
const pollInterval = 50 * time.Millisecond

// ConfigRecorder polls nodes for their status and records the configuration
// that each has in force.
type ConfigRecorder struct {
	mu      sync.Mutex
	reports []ConfigReport
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// NewConfigRecorder returns a recorder that polls until Stop is called or ctx
// is done.
func NewConfigRecorder(ctx context.Context) *ConfigRecorder {
	r := &ConfigRecorder{}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

// Follow starts to poll the process at address, a host:port, and records its
// reports under the node's name. The polling ends when ended is closed or the
// recorder stops. Failed requests are skipped, so that the reports of a paused
// process continue after it is resumed.
func (r *ConfigRecorder) Follow(name, address string, ended <-chan struct{}) {
	r.wg.Go(func() {
		for {
			if s, err := Status(r.ctx, address); err == nil {
				r.mu.Lock()
				r.reports = append(r.reports, ConfigReport{Node: name, At: time.Now(), InForce: s.InForce, Digest: s.Digest})
				r.mu.Unlock()
			}
			select {
			case <-time.After(pollInterval):
			case <-ended:
				return
			case <-r.ctx.Done():
				return
			}
		}
	})
}

// LastGeneration returns the generation in the latest report of a node, or 0 if
// there is no report.
func (r *ConfigRecorder) LastGeneration(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.reports) - 1; i >= 0; i-- {
		if r.reports[i].Node == name {
			return r.reports[i].InForce
		}
	}
	return 0
}

// Stop ends the polling and returns the reports. It waits for the requests in
// progress.
func (r *ConfigRecorder) Stop() []ConfigReport {
	r.cancel()
	r.wg.Wait()
	return r.reports
}

// Status requests the status of the node at address, a host:port.
func Status(ctx context.Context, address string) (tpnode.Status, error) {
	var s tpnode.Status
	client, closeClient := tppeer.NewClient(nil)
	defer closeClient()
	data, err := client.Status(ctx, address)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}
