package tprelaynode

import (
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/tpallot"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// allot distributes the requests that targets with a limit take, if this node is
// the collector of its zone, and takes its own part.
func (m *members) allot(now time.Time) {
	if list, err := m.node.placement.returned.TryTake(); err == nil {
		m.returned = append(m.returned, list...)
	}
	if !m.collector.IsCollector() {
		m.allotter.Reset()
		return
	}
	nodes, zones := m.collector.ZoneLoads(now, m.ownLoad)
	m.allotter.Receive(now, m.takeReturned())
	m.allotter.Step(now, tpallot.Input{
		Zone: m.node.cfg.Zone, Nodes: nodes, Zones: zones, IssuerZone: m.collector.AllocatorZone,
	})
	m.placeAllowances(m.allotter.TakeForNode(now, m.node.cfg.Name))
}

func (m *members) takeReturned() []tpmessage.Allowance {
	out := m.returned
	m.returned = nil
	return out
}

// allowancesForSender returns the allowances in the answer to a heartbeat. Only
// the reports of the nodes of this zone and of other collectors get any.
func (m *members) allowancesForSender(now time.Time, hb tpmessage.Heartbeat) []tpmessage.Allowance {
	if !m.collector.IsCollector() || len(hb.Loads) == 0 || !hb.Loads[0].Report {
		return nil
	}
	sender := hb.Loads[0].Node
	zone, collects := m.collector.CollectedZone(sender)
	switch {
	case zone == m.node.cfg.Zone:
		return m.allotter.TakeForNode(now, sender)
	case collects:
		return m.allotter.TakeForZone(now, zone, m.collector.AllocatorZone)
	}
	return nil
}

// allowancesForCollector returns the allowances in a report: those that this
// node has not used, or those of another zone if the report is an exchange of
// collectors.
func (m *members) allowancesForCollector(now time.Time, address string) []tpmessage.Allowance {
	if !m.collector.IsCollector() {
		return m.takeReturned()
	}
	zone, ok := m.collector.CollectorAt(address)
	if !ok {
		return nil
	}
	return m.allotter.TakeForZone(now, zone, m.collector.AllocatorZone)
}

// receiveAllowances passes the allowances in a peer's heartbeat to the allotter
// of a collector. At other nodes they are for the node itself.
func (m *members) receiveAllowances(now time.Time, list []tpmessage.Allowance) {
	if len(list) == 0 {
		return
	}
	if m.collector.IsCollector() {
		m.allotter.Receive(now, list)
		return
	}
	m.placeAllowances(list)
}

// placeAllowances passes allowances of this node to the placement filter. A full
// placement ring discards them.
func (m *members) placeAllowances(list []tpmessage.Allowance) {
	if len(list) == 0 {
		return
	}
	in := tpplace.Input{Kind: tpplace.InputAllowances, Allowances: list}
	_ = m.node.placement.in.TryPutBelow(in, newRequestLimit)
}
