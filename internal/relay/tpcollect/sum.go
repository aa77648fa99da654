package tpcollect

import (
	"cmp"
	"maps"
	"slices"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// loadSum adds up the loads of several nodes.
type loadSum struct {
	total    tpmessage.NodeLoad
	targets  map[string]tpmessage.TargetLoad
	changing map[string]bool
	prefixes map[tpmessage.CachedPrefix]bool
}

func newLoadSum() *loadSum {
	return &loadSum{
		targets: make(map[string]tpmessage.TargetLoad), changing: make(map[string]bool),
		prefixes: make(map[tpmessage.CachedPrefix]bool),
	}
}

func (s *loadSum) add(l tpmessage.NodeLoad) {
	s.total.Nodes += max(1, l.Nodes)
	s.total.PrefillDemand += l.PrefillDemand
	s.total.DecodeDemand += l.DecodeDemand
	for _, name := range l.Changing {
		s.changing[name] = true
	}
	for _, p := range l.Prefixes {
		s.prefixes[p] = true
	}
	for _, add := range l.Loads {
		t := s.targets[add.Target]
		t.Target = add.Target
		for i, tokens := range add.Prefill {
			t.Prefill[i] += tokens
		}
		t.Runs += add.Runs
		t.Tokens += add.Tokens
		t.Failing = t.Failing || add.Failing
		s.targets[add.Target] = t
	}
}

// result returns the sum as the load of the node that computed it.
func (s *loadSum) result(node string) tpmessage.NodeLoad {
	out := s.total
	out.Node = node
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		out.Loads = append(out.Loads, s.targets[name])
	}
	out.Changing = slices.Sorted(maps.Keys(s.changing))
	out.Prefixes = slices.SortedFunc(maps.Keys(s.prefixes), func(a, b tpmessage.CachedPrefix) int {
		return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// subtract returns a sum without the load of one of its nodes. The prefixes and
// the targets that change their role remain: another node may have named them
// too, and the node knows its own. Targets are sorted by name in both.
func subtract(sum, l tpmessage.NodeLoad) tpmessage.NodeLoad {
	sum.Nodes--
	sum.PrefillDemand -= l.PrefillDemand
	sum.DecodeDemand -= l.DecodeDemand
	sum.Loads = slices.Clone(sum.Loads)
	for _, own := range l.Loads {
		i, found := slices.BinarySearchFunc(sum.Loads, own.Target, func(t tpmessage.TargetLoad, name string) int {
			return cmp.Compare(t.Target, name)
		})
		if !found {
			continue
		}
		t := &sum.Loads[i]
		for k, tokens := range own.Prefill {
			t.Prefill[k] -= tokens
		}
		t.Runs -= own.Runs
		t.Tokens -= own.Tokens
	}
	return sum
}
