package tprelaynode

import (
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// allot distributes allowances for requests to targets with a limit.
func (m *members) allot(now time.Time) {
	returned := m.node.placement.returned
	for list, err := returned.TryTake(); err == nil; list, err = returned.TryTake() {
		m.allowances.Return(list)
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
