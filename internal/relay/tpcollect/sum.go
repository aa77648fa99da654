package tpcollect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// loadSum adds up the loads of several nodes at one time.
type loadSum struct {
	at       time.Time
	total    tpmessage.NodeLoad
	targets  map[string]tpmessage.TargetLoad
	changing map[string]bool
	prefixes map[tpmessage.CachedPrefix]bool
	limits   map[string]tpmessage.TargetLimit
}

func newLoadSum(at time.Time) *loadSum {
	return &loadSum{
		at: at, limits: make(map[string]tpmessage.TargetLimit),
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
	for _, add := range l.Limits {
		s.addLimit(l.At, add)
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

// addLimit adds a limit in a load of the given time. The latest statement counts.
func (s *loadSum) addLimit(loadAt time.Time, l tpmessage.TargetLimit) {
	if !loadAt.IsZero() {
		l.Age += max(0, s.at.Sub(loadAt))
	}
	sum, known := s.limits[l.Target]
	if !known {
		s.limits[l.Target] = l
		return
	}
	demand, room := sum.Demand+l.Demand, sum.Room+l.Room
	if sum.Statement == tpmessage.LimitUnstated || l.Statement != tpmessage.LimitUnstated && l.Age < sum.Age {
		sum = l
	}
	sum.Demand, sum.Room = demand, room
	s.limits[l.Target] = sum
}

// result returns the sum as the load of the node that computed it.
func (s *loadSum) result(node string) tpmessage.NodeLoad {
	out := s.total
	out.Node = node
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		out.Loads = append(out.Loads, s.targets[name])
	}
	for _, target := range slices.Sorted(maps.Keys(s.limits)) {
		out.Limits = append(out.Limits, s.limits[target])
	}
	out.Changing = slices.Sorted(maps.Keys(s.changing))
	out.Prefixes = slices.SortedFunc(maps.Keys(s.prefixes), func(a, b tpmessage.CachedPrefix) int {
		return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// subtract returns a sum without the load of one of its nodes. The prefixes and
// the targets that change their role remain: another node may have named them
// too, and the node knows its own. So do the statements about limits, without the
// node's demand. Targets are sorted by name in both.
func subtract(sum, l tpmessage.NodeLoad) tpmessage.NodeLoad {
	sum.Nodes--
	sum.PrefillDemand -= l.PrefillDemand
	sum.DecodeDemand -= l.DecodeDemand
	sum.Loads, sum.Limits = slices.Clone(sum.Loads), slices.Clone(sum.Limits)
	for _, own := range l.Limits {
		i := slices.IndexFunc(sum.Limits, func(t tpmessage.TargetLimit) bool { return t.Target == own.Target })
		if i >= 0 {
			sum.Limits[i].Demand = max(0, sum.Limits[i].Demand-own.Demand)
			sum.Limits[i].Room = max(0, sum.Limits[i].Room-own.Room)
		}
	}
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
