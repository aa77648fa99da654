package tprouter

import (
	"math"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DefaultSubset is the number of targets that a node works with at least.
	// Choosing among so many, two choices come near to choosing among all.
	DefaultSubset = 64
	// minNodesPerTarget is the number of nodes that work with a target at
	// least, so that it gets work when nodes fail.
	minNodesPerTarget = 3
)

// Subset appends the targets that a node works with to dst. Each target is
// taken by the same number of nodes, which rendezvous hashing chooses among
// all nodes of the region, so that all targets are covered equally and a
// change of one node moves few targets. Without other nodes, or if there are
// at most size targets, the subset is the whole.
func Subset(node string, nodes []string, targets []tpmessage.Target, size int, dst []tpmessage.Target) []tpmessage.Target {
	perTarget := len(nodes)
	if len(targets) > size {
		wanted := math.Ceil(float64(size) * float64(len(nodes)) / float64(len(targets)))
		perTarget = max(int(wanted), minNodesPerTarget)
	}
	if perTarget >= len(nodes) {
		return append(dst, targets...)
	}
	own := xxh3.HashString(node)
	others := make([]uint64, 0, len(nodes))
	for _, n := range nodes {
		if n != node {
			others = append(others, xxh3.HashString(n))
		}
	}
	for _, t := range targets {
		if rank(t.Name, own, others, perTarget) < perTarget {
			dst = append(dst, t)
		}
	}
	return dst
}

// rank returns how many of the others come before own for a target, up to limit.
func rank(target string, own uint64, others []uint64, limit int) int {
	weight := xxh3.HashStringSeed(target, own)
	before := 0
	for _, other := range others {
		if xxh3.HashStringSeed(target, other) <= weight {
			continue
		}
		before++
		if before == limit {
			return before
		}
	}
	return before
}
