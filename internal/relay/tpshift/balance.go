package tpshift

import (
	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
)

const (
	// DefaultPrefillPart is the part of the engines that read prompts if the
	// settings name none. With the mix of both deployments 12 of 18 earn more
	// than 11, 10 or 9.
	DefaultPrefillPart = 0.67
	// tolerance is the number of prefill engines that may be missing while
	// targets are replaced. Each change takes an engine away for seconds. No
	// decode engine may be missing, because runs that find no room fail, while
	// prompts that wait are only late.
	tolerance = 1
	// idleDemand is the demand, in engines, below which a change takes nothing
	// from anybody, so that the split is made exact.
	idleDemand = 0.1
	// rounding favours decode engines, for the same reason.
	rounding = 0.1
)

// Balance keeps a part of the engines reading prompts while engines come and
// go. It is a tprole.Policy.
type Balance struct {
	// Part is the part of the engines that read prompts; zero means
	// DefaultPrefillPart.
	Part float64
}

var _ tprole.Policy = (*Balance)(nil)

// Want implements tprole.Policy.
func (b *Balance) Want(o tprole.Observation) int {
	part := b.Part
	if part <= 0 {
		part = DefaultPrefillPart
	}
	want := int(part*float64(o.Split.Changeable()) + rounding)
	off := want - o.Split.Prefill
	if o.Demand.Prefill+o.Demand.Decode > idleDemand && off >= 0 && off <= tolerance {
		return o.Split.Prefill
	}
	return want
}
