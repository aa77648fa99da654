package tphistory

import (
	"fmt"
	"sort"
	"time"
)

// ConfigReport is what a node told of its configuration at an instant.
type ConfigReport struct {
	Node    string
	At      time.Time
	InForce uint64 // 0 means none
	Digest  string // of the configuration in force; empty if it is not known
}

// AcceptedConfig is a configuration that an operator was told is accepted.
type AcceptedConfig struct {
	Author     string
	Generation uint64
}

// CheckRollout returns the violations of promise 9 in a history that ends after
// all faults. A configuration never reverts on a node, whatever process runs
// there; each accepted generation belongs to one operator and has the same
// content everywhere; at the end every node has the highest one in force.
func CheckRollout(reports []ConfigReport, accepted []AcceptedConfig) []string {
	var faults []string
	authors := make(map[uint64]string)
	highest := uint64(0)
	for _, a := range accepted {
		if other, ok := authors[a.Generation]; ok {
			faults = append(faults, fmt.Sprintf("generation %d was accepted from %s and from %s", a.Generation, other, a.Author))
		}
		authors[a.Generation] = a.Author
		highest = max(highest, a.Generation)
	}
	reports = append([]ConfigReport(nil), reports...)
	sort.SliceStable(reports, func(i, j int) bool { return reports[i].At.Before(reports[j].At) })
	last := make(map[string]uint64)
	top := make(map[string]uint64)
	digests := make(map[uint64]string)
	for _, r := range reports {
		last[r.Node] = r.InForce
		if r.InForce == 0 {
			continue
		}
		if r.InForce < top[r.Node] {
			faults = append(faults, fmt.Sprintf("%s reverted from generation %d to %d", r.Node, top[r.Node], r.InForce))
		}
		top[r.Node] = max(top[r.Node], r.InForce)
		if d, ok := digests[r.InForce]; ok && r.Digest != "" && d != r.Digest {
			faults = append(faults, fmt.Sprintf("generation %d differs on %s", r.InForce, r.Node))
		}
		if r.Digest != "" {
			digests[r.InForce] = r.Digest
		}
	}
	for node, generation := range last {
		if generation < highest {
			faults = append(faults, fmt.Sprintf("%s ends at generation %d, accepted is %d", node, generation, highest))
		}
	}
	return faults
}
