package tpshift

import (
	"math"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
)

const (
	// DefaultPrefillPart is the part of the engines that read prompts while no
	// demand is known. With the sheets' mix it gives both roles equal load.
	DefaultPrefillPart = 0.58
	// minDemand is the demand, in engines, below which the mix says nothing.
	minDemand = 1e9
	// hysteresis is the number of engines by which the balance must be off
	// before roles change. Bursts of single routes move it by one or two.
	hysteresis = 3
	// minPart keeps a part of the engines in each role, so that a sudden shift
	// finds some.
	minPart = 0.25
)

// Balance gives both roles the same load. It is a tprole.Policy.
type Balance struct {
	// Part is the part of the engines that read prompts while no demand is
	// known; zero means DefaultPrefillPart.
	Part float64
}

var _ tprole.Policy = (*Balance)(nil)

// Want implements tprole.Policy.
func (b *Balance) Want(o tprole.Observation) int {
	n := o.Split.Changeable()
	part := b.Part
	if part <= 0 {
		part = DefaultPrefillPart
	}
	start := int(math.Round(part * float64(n)))
	total := o.Demand.Prefill + o.Demand.Decode
	if total < minDemand {
		return start
	}
	low, high := int(math.Ceil(minPart*float64(n))), int(float64(n)*(1-minPart))
	want := min(max(int(math.Round(float64(n)*o.Demand.Prefill/total)), low), high)
	if off := want - o.Split.Prefill; off > -hysteresis && off < hysteresis {
		return o.Split.Prefill
	}
	return want
}
