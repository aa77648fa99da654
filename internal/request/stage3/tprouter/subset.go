package tprouter

import (
	"math"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DefaultSubsetSize is the minimum number of targets of a pool that a node
	// uses. Two random choices among this many targets are nearly as good as
	// among all targets.
	DefaultSubsetSize = 64
	// minNodesPerTarget is the minimum number of nodes that use a target, so
	// that it receives requests when nodes fail.
	minNodesPerTarget = 3
)

// Subset appends the targets that a node uses to dst. Rendezvous hashing
// chooses the same number of nodes for each target among all nodes of the
// region. All targets are therefore covered equally, and a change of one node
// moves few targets. If node is the only node or there are at most minSize
// targets, the subset contains all targets.
func Subset(node string, nodes []string, targets []tpmessage.Target, minSize int, dst []tpmessage.Target) []tpmessage.Target {
	perTarget := len(nodes)
	if len(targets) > minSize {
		wanted := math.Ceil(float64(minSize) * float64(len(nodes)) / float64(len(targets)))
		perTarget = max(int(wanted), minNodesPerTarget)
	}
	if perTarget >= len(nodes) {
		return append(dst, targets...)
	}
	ownHash := xxh3.HashString(node)
	otherHashes := make([]uint64, 0, len(nodes))
	for _, n := range nodes {
		if n != node {
			otherHashes = append(otherHashes, xxh3.HashString(n))
		}
	}
	for _, t := range targets {
		if rank(t.Name, ownHash, otherHashes, perTarget) < perTarget {
			dst = append(dst, t)
		}
	}
	return dst
}

// rank returns the number of other nodes with a larger rendezvous weight for
// target than this node, at most limit.
func rank(target string, ownHash uint64, otherHashes []uint64, limit int) int {
	weight := xxh3.HashStringSeed(target, ownHash)
	higher := 0
	for _, other := range otherHashes {
		if xxh3.HashStringSeed(target, other) <= weight {
			continue
		}
		higher++
		if higher == limit {
			return higher
		}
	}
	return higher
}
