package tphistory

import (
	"fmt"
	"sort"
	"time"
)

// ConfigReport is a node's report about its configuration at one time.
type ConfigReport struct {
	Node    string
	At      time.Time // when the report was received
	InForce uint64    // generation in force; 0 means none
	Digest  string    // digest of the configuration in force; empty if unknown
}

// AcceptedConfig is a configuration whose acceptance was confirmed to an
// operator.
type AcceptedConfig struct {
	Author     string // operator
	Generation uint64
}

// CheckRollout returns the violations of the rollout guarantee (promise 9) in a
// history that extends beyond the last fault. The configuration of a node never
// reverts, even if another process runs as that node. Each accepted generation
// belongs to one operator and has the same content on all nodes. At the end,
// every node that reported has the highest accepted generation in force.
func CheckRollout(reports []ConfigReport, accepted []AcceptedConfig) []string {
	var violations []string
	authors := make(map[uint64]string)
	highest := uint64(0)
	for _, a := range accepted {
		if otherAuthor, ok := authors[a.Generation]; ok {
			violations = append(violations, fmt.Sprintf("generation %d was accepted from %s and from %s", a.Generation, otherAuthor, a.Author))
		}
		authors[a.Generation] = a.Author
		highest = max(highest, a.Generation)
	}
	reports = append([]ConfigReport(nil), reports...)
	sort.SliceStable(reports, func(i, j int) bool { return reports[i].At.Before(reports[j].At) })
	lastGeneration := make(map[string]uint64)
	highestOnNode := make(map[string]uint64)
	digests := make(map[uint64]string)
	for _, r := range reports {
		lastGeneration[r.Node] = r.InForce
		if r.InForce == 0 {
			continue
		}
		if r.InForce < highestOnNode[r.Node] {
			violations = append(violations, fmt.Sprintf("%s reverted from generation %d to %d", r.Node, highestOnNode[r.Node], r.InForce))
		}
		highestOnNode[r.Node] = max(highestOnNode[r.Node], r.InForce)
		if d, ok := digests[r.InForce]; ok && r.Digest != "" && d != r.Digest {
			violations = append(violations, fmt.Sprintf("generation %d differs on %s", r.InForce, r.Node))
		}
		if r.Digest != "" {
			digests[r.InForce] = r.Digest
		}
	}
	for node, generation := range lastGeneration {
		if generation < highest {
			violations = append(violations, fmt.Sprintf("%s ends at generation %d, accepted is %d", node, generation, highest))
		}
	}
	return violations
}
