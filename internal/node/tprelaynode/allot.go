package tprelaynode

import (
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// allot distributes allowances for requests to targets with a limit.
func (m *members) allot(now time.Time) {
	settled := m.node.placement.settled
	for list, err := settled.TryTake(); err == nil; list, err = settled.TryTake() {
		m.allowances.Settle(list)
	}
	m.placeAllowances(m.allowances.Step(now, m.ownLoad))
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
