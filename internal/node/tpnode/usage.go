package tpnode

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// usageInterval is the interval between the digests of this node's usage. It
// equals the interval of the heartbeats that carry them.
const usageInterval = time.Second

// usageExchange is the state of the exchange of usage with peers. The
// admission duty owns it.
type usageExchange struct {
	digest tpadmission.UsageDigest
	next   time.Time
	usage  []tpmessage.Usage // reused by each digest
	nodes  []string          // live nodes that publishNodes last passed on
}

// exchangeUsage passes this node's usage to the heartbeats and the live nodes
// of the region to the filters. The admission duty calls it at each tick.
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
	n.publishNodes(x)
}

// publishNodes passes the live nodes to the router and to admission if they
// have changed. If the router's ring is full, the next call retries.
func (n *Node) publishNodes(x *usageExchange) {
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
	if n.request.routerIn.TryPutBelow(in, DefaultReportCapacity) != nil {
		return
	}
	x.nodes = nodes
	n.request.outputs = n.request.admission.Step(
		n.clock.Now(), tpadmission.Input{Kind: tpadmission.InputNodes, Nodes: nodes}, n.request.outputs[:0])
	n.forwardAdmitted(n.request.outputs)
}

// mergeUsage passes the usage in a peer's heartbeat to admission. The counts
// are totals since the start of each node, so the next message makes up for a
// lost one.
func (n *Node) mergeUsage(usage []tpmessage.Usage) {
	_ = n.request.admissionIn.TryPutBelow(
		tpadmission.Input{Kind: tpadmission.InputUsage, Usage: usage}, DefaultArrivalCapacity)
}
