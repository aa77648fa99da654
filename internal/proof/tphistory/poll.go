package tphistory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/node/tpnode"
)

// pollInterval is the time between two reports of a node.
const pollInterval = 50 * time.Millisecond

// ConfigRecorder asks nodes for their status over time.
type ConfigRecorder struct {
	mu      sync.Mutex
	reports []ConfigReport
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// NewConfigRecorder returns a recorder that stops with Stop or with ctx.
func NewConfigRecorder(ctx context.Context) *ConfigRecorder {
	r := &ConfigRecorder{}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

// Follow records what the process at address reports as the node of that name,
// until the process ends or the recorder stops. A frozen process reports again
// when it wakes.
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

// Last returns the newest generation that a node reported, or 0.
func (r *ConfigRecorder) Last(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.reports) - 1; i >= 0; i-- {
		if r.reports[i].Node == name {
			return r.reports[i].InForce
		}
	}
	return 0
}

// Stop ends the recording and returns the reports.
func (r *ConfigRecorder) Stop() []ConfigReport {
	r.cancel()
	r.wg.Wait()
	return r.reports
}

// Status returns what the node at address tells of itself.
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
