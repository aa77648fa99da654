package tpallot

import (
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Exchange decides which allowances one node puts into its load reports and
// answers, and what it does with those that it receives. It is owned by one
// filter, the same as its collector.
type Exchange struct {
	Node      string // name of this node
	Zone      string // availability zone of this node
	Collector *tpcollect.Collector
	Allotter  Allotter

	settled []tpmessage.Allowance // of this node, for the next report
}

// Settle records allowances that this node has used, and those that ended
// without use.
func (e *Exchange) Settle(list []tpmessage.Allowance) { e.settled = append(e.settled, list...) }

// Step distributes allowances if this node is the collector of its zone, and
// returns those for the node itself. Own is the load of this node.
func (e *Exchange) Step(now time.Time, own tpmessage.NodeLoad) []tpmessage.Allowance {
	if !e.Collector.IsCollector() {
		e.Allotter.Reset()
		return nil
	}
	nodes, zones := e.Collector.ZoneLoads(now, own)
	e.Allotter.Receive(now, e.takeSettled())
	e.Allotter.Step(now, Input{Zone: e.Zone, Nodes: nodes, Zones: zones, IssuerZone: e.Collector.IssuerZone})
	return e.Allotter.TakeForNode(now, e.Node)
}

func (e *Exchange) takeSettled() []tpmessage.Allowance {
	out := e.settled
	e.settled = nil
	return out
}

// InReport returns the allowances in a report to an address: those that this
// node has settled, or those of another zone if this node and the receiver are
// collectors.
func (e *Exchange) InReport(now time.Time, address string) []tpmessage.Allowance {
	if !e.Collector.IsCollector() {
		return e.takeSettled()
	}
	zone, ok := e.Collector.CollectorAt(address)
	if !ok {
		return nil
	}
	return e.Allotter.TakeForZone(now, zone, e.Collector.IssuerZone)
}

// InAnswer returns the allowances in the answer to a load. Only reports of the
// nodes of this zone and of other collectors get any.
func (e *Exchange) InAnswer(now time.Time, received tpmessage.NodeLoad) []tpmessage.Allowance {
	if !e.Collector.IsCollector() || !received.Report {
		return nil
	}
	zone, collects := e.Collector.CollectedZone(received.Node)
	switch {
	case zone == e.Zone:
		return e.Allotter.TakeForNode(now, received.Node)
	case collects:
		return e.Allotter.TakeForZone(now, zone, e.Collector.IssuerZone)
	}
	return nil
}

// Receive processes the allowances of a peer's report or answer, and returns
// those for this node. A collector distributes them.
func (e *Exchange) Receive(now time.Time, list []tpmessage.Allowance) []tpmessage.Allowance {
	if !e.Collector.IsCollector() {
		return list
	}
	e.Allotter.Receive(now, list)
	return nil
}
