package tpcollect

import (
	"cmp"
	"maps"
	"slices"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// sum adds up loads of several nodes.
type sum struct {
	total    tpmessage.NodeLoad
	targets  map[string]tpmessage.TargetLoad
	changing map[string]bool
	prefixes map[tpmessage.HeldPrefix]bool
}

func newSum() *sum {
	return &sum{
		targets: make(map[string]tpmessage.TargetLoad), changing: make(map[string]bool),
		prefixes: make(map[tpmessage.HeldPrefix]bool),
	}
}

func (s *sum) add(l tpmessage.NodeLoad) {
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

// load returns the sum under the name of the node that made it.
func (s *sum) load(node string) tpmessage.NodeLoad {
	out := s.total
	out.Node = node
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		out.Loads = append(out.Loads, s.targets[name])
	}
	out.Changing = slices.Sorted(maps.Keys(s.changing))
	out.Prefixes = slices.SortedFunc(maps.Keys(s.prefixes), func(a, b tpmessage.HeldPrefix) int {
		return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Target, b.Target))
	})
	return out
}
