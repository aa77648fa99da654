package tpnode

import (
	"net/http"
	"sync"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// gate counts the requests of callers that are in progress. The zero value is
// an open gate.
type gate struct {
	mu     sync.Mutex
	idle   sync.Cond
	active int
	closed bool
}

func (g *gate) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.idle.L != nil {
		g.idle.Broadcast()
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// close refuses new requests and waits for those in progress.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.idle.L = &g.mu
	for g.active > 0 {
		g.idle.Wait()
	}
}

// stop is the planned stop. It announces that the node is leaving and fails
// /ready, so that the load balancer stops sending. After the grace period it
// refuses new requests and waits for those in progress, which end at their
// deadlines at the latest. It then runs the clean-up functions in reverse
// order.
func (n *Node) stop() {
	n.leaving.Store(true)
	n.announceLeaving()
	n.events.Record(tpmessage.Event{Kind: "leaving"})
	if n.callers != nil {
		<-n.clock.After(n.cfg.StopGrace)
		n.events.Record(tpmessage.Event{Kind: "draining"})
		n.log.Info().Str("node", n.cfg.Name).Msg("node refuses new requests and finishes its streams")
		n.gate.close()
	}
	for i := len(n.cleanup) - 1; i >= 0; i-- {
		n.cleanup[i]()
	}
	n.cleanup = nil
	n.log.Info().Str("node", n.cfg.Name).Msg("node stopped")
}

// countRequests returns a handler that counts the requests of callers in the
// gate. After the announcement it closes each connection with the answer, so
// that callers connect to another node.
func (n *Node) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.gate.enter()
		defer n.gate.leave()
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drainRefusal returns the refusal of new requests if the gate is closed, or
// nil.
func (n *Node) drainRefusal() *tpmessage.Refusal {
	if !n.gate.isClosed() {
		return nil
	}
	return &tpmessage.Refusal{
		Code: tpmessage.RefusalDraining, Reason: "this node is stopping", RetryAfter: n.cfg.StopGrace, NotRun: true,
	}
}
