package tpcollect_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// BenchmarkAnswer measures the processing of one report by a collector, without
// speeds of targets and with them.
func BenchmarkAnswer(b *testing.B) {
	for _, size := range []struct{ nodes, targets int }{{3, 21}, {25, 63}, {59, 325}, {14, 1333}} {
		for _, told := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/targets=%d/speeds=%v", size.nodes, size.targets, told), func(b *testing.B) { benchmarkAnswer(b, size.nodes, size.targets, told) })
		}
	}
}

func benchmarkAnswer(b *testing.B, nodes, targets int, told bool) {
	var members []tpmessage.Member
	for i := range nodes {
		members = append(members, tpmessage.Member{Name: fmt.Sprint("n", i), Address: fmt.Sprint("n", i), Zone: "z"})
	}
	var c *tpcollect.Collector
	for _, m := range members {
		c = tpcollect.New(m)
		c.SetMembers(members)
		if c.IsCollector() {
			break
		}
	}
	now := epoch
	loads := make([]tpmessage.NodeLoad, nodes)
	for i, m := range members {
		loads[i] = tpmessage.NodeLoad{Node: m.Name, Report: true}
		// Each node has runs at a sixth of the targets.
		for t := i; t < targets; t += 6 {
			loads[i].Loads = append(loads[i].Loads, tpmessage.TargetLoad{Target: fmt.Sprint("t", t), Runs: 1})
		}
		if told {
			loads[i].Speeds = speeds(targets)
		}
		c.Record(now, loads[i])
	}
	i := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l := loads[i%len(loads)]
		c.Record(now, l)
		c.Answer(now, tpmessage.NodeLoad{}, l)
		i++
	}
}
