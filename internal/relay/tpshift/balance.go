package tpshift

import (
	"math"

	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
)

const (
	// DefaultPrefillPart is the part of the engines that read prompts while no
	// demand is known. With the sheets' mix it gives both roles equal load.
	DefaultPrefillPart = 0.58
	// tolerance is the number of engines by which the split may be off while
	// targets are replaced. Each change takes an engine away for seconds.
	tolerance = 1
)

// Balance gives both roles the same load. It is a tprole.Policy.
type Balance struct {
	// Part is the part of the engines that read prompts while no demand is
	// known; zero means DefaultPrefillPart.
	Part float64

	reached bool // the wanted split was reached
}

var _ tprole.Policy = (*Balance)(nil)

// Want implements tprole.Policy.
func (b *Balance) Want(o tprole.Observation) int {
	part := b.Part
	if part <= 0 {
		part = DefaultPrefillPart
	}
	want := int(math.Round(part * float64(o.Split.Changeable())))
	off := want - o.Split.Prefill
	if b.reached && off >= -tolerance && off <= tolerance {
		return o.Split.Prefill
	}
	b.reached = off == 0
	return want
}
