package tpnode

import (
	"context"
	"math/rand/v2"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// startRollout starts the duties that track the accepted configuration. A node
// without a platform gets it from peers or by a call of Apply.
func (n *Node) startRollout() error {
	cfg := tprollout.Settings{
		Follower: tprollout.FollowerSettings{
			Self: n.cfg.Name, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Peers:   n.members.client,
		Clock:   n.clock,
		Members: n.Members,
		Apply:   n.Apply,
	}
	if n.cfg.Platform != "" {
		client, closeClient := tpplatform.NewClient(n.cfg.Platform)
		n.onStop(closeClient)
		cfg.Store = client
	}
	r, cleanup, err := tprollout.Start(cfg, tprollout.ByGeneration{}, n.duties, &n.rings)
	if err != nil {
		return err
	}
	n.rollout.Store(r)
	n.onStop(cleanup)
	announce := r.Announce
	n.members.onGeneration.Store(&announce)
	return nil
}

// configForPeers returns the configuration that the node serves to peers.
func (n *Node) configForPeers() tprollout.Held {
	if r := n.rollout.Load(); r != nil {
		return r.Held()
	}
	return tprollout.Held{}
}

func (n *Node) rolloutServer() *tppeer.RolloutServer {
	return &tppeer.RolloutServer{Events: n.events, Held: n.configForPeers}
}

// isWatching reports whether the platform answers this node's watch of the
// configuration.
func (n *Node) isWatching() bool {
	r := n.rollout.Load()
	return r != nil && r.Watching()
}

// Status is the answer of a node to an operator's status request.
type Status struct {
	Node string `json:"node"`
	// Accepted is the highest accepted generation that the node knows of.
	Accepted uint64 `json:"accepted"`
	// InForce is the generation in force on the node; 0 means none.
	InForce uint64 `json:"inForce"`
	// Digest is a hash of the configuration in force. It is equal on all nodes
	// with the same configuration.
	Digest   string             `json:"digest"`
	Watching bool               `json:"watching"`
	Leaving  bool               `json:"leaving"`
	Members  []tpmessage.Member `json:"members"`
	// Parts holds the values that AddStatus adds, by name.
	Parts map[string]any `json:"parts,omitempty"`
}

// AddStatus adds a part to the status. Each status request calls value and
// marshals the result to JSON. AddStatus is called while the node starts.
func (n *Node) AddStatus(name string, value func() any) {
	n.statusMu.Lock()
	defer n.statusMu.Unlock()
	if n.statusParts == nil {
		n.statusParts = make(map[string]func() any)
	}
	n.statusParts[name] = value
}

// Status returns the current status of the node. It calls the functions passed
// to AddStatus.
func (n *Node) Status() Status {
	s := Status{Node: n.cfg.Name, Leaving: n.leaving.Load(), Members: n.Members(), Watching: n.isWatching()}
	if r := n.rollout.Load(); r != nil {
		s.Accepted = r.Accepted()
		s.Digest = r.Held().Digest()
	}
	if current := n.InForce(); current != nil {
		s.InForce = current.Generation
		s.Accepted = max(s.Accepted, s.InForce)
	}
	n.statusMu.Lock()
	defer n.statusMu.Unlock()
	for name, value := range n.statusParts {
		if s.Parts == nil {
			s.Parts = make(map[string]any, len(n.statusParts))
		}
		s.Parts[name] = value()
	}
	return s
}

func (n *Node) operationsServer() *tppeer.OperationsServer {
	return &tppeer.OperationsServer{
		StatusOf: func() any { return n.Status() },
		EventsOf: func(_ context.Context, req *tpwire.EventsRequest) (*tpwire.EventsResponse, error) {
			return tppeer.ServeEvents(n.events, req), nil
		},
	}
}
