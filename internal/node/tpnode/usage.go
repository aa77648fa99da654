package tpnode

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// usageInterval is the time between two digests of the own usage, that of the
// heartbeats which carry them.
const usageInterval = time.Second

// usageExchange is the admission duty's part in the exchange with peers.
type usageExchange struct {
	digest tpadmission.Digest
	next   time.Time
	usage  []tpmessage.Usage // scratch
	nodes  []string          // live nodes that the filters were told last
}

// exchangeUsage hands the own usage to the heartbeats and tells the filters
// the live nodes of the region. The admission duty calls it at each tick.
func (n *Node) exchangeUsage() {
	x := &n.request.exchange
	now := n.clock.Now()
	if now.Before(x.next) {
		return
	}
	x.next = now.Add(usageInterval)
	x.usage = n.request.admission.Usage(x.usage[:0])
	// The heartbeats keep the slice, so each digest has its own.
	own := x.digest.Select(x.usage, nil)
	for i := range own {
		own[i].Node = n.cfg.Name
	}
	if len(own) > 0 {
		n.SetUsage(own)
	}
	n.tellNodes(x)
}

// tellNodes passes changed live nodes on. If the router's ring is full, the
// next call tries again.
func (n *Node) tellNodes(x *usageExchange) {
	var nodes []string
	for _, m := range n.Members() {
		if !m.Leaving {
			nodes = append(nodes, m.Name)
		}
	}
	slices.Sort(nodes)
	if slices.Equal(nodes, x.nodes) {
		return
	}
	in := tprouter.Input{Kind: tprouter.InputNodes, Nodes: nodes}
	if n.request.routerIn.TryPutBelow(in, DefaultReports) != nil {
		return
	}
	x.nodes = nodes
	n.request.outputs = n.request.admission.Step(
		n.clock.Now(), tpadmission.Input{Kind: tpadmission.InputNodes, Nodes: nodes}, n.request.outputs[:0])
	n.pass(n.request.outputs)
}

// peersUsed takes the usage that a heartbeat brought. The counts are those
// since the start of each node, so a lost message is made up for by the next.
func (n *Node) peersUsed(usage []tpmessage.Usage) {
	_ = n.request.admissionIn.TryPutBelow(
		tpadmission.Input{Kind: tpadmission.InputUsage, Usage: usage}, DefaultArrivals)
}
