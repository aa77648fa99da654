package proof_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Sizes of BenchmarkControl.
const (
	benchOrganisations = 5400
	benchTargets       = 1334                    // in one region, of 12,000 in 9 regions
	changeInterval     = 24 * time.Hour / 34_000 // 34,000 changes a day
	benchPhaseDuration = 20 * time.Second        // of a measurement of costs
	benchTimedChanges  = 7                       // changes whose rollout time is measured
)

// BenchmarkControl measures the cost of configuration and membership in one
// region, with nodes as separate processes: the time from the acceptance of a
// configuration until it is in force on all nodes; for each node the bytes read
// and written, CPU time and memory; and the calls to the platform. The
// costs are measured when idle and at 34,000 changes a day. Run it with
//
//	go test -run '^$' -bench Control -benchtime 1x ./internal/proof
func BenchmarkControl(b *testing.B) {
	for _, nodes := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) { benchControl(b, nodes) })
	}
}

func benchControl(b *testing.B, nodes int) {
	f := tpprocess.StartFleet(b, tpprocess.FleetSettings{})
	cfg := benchConfig()
	publish := func() uint64 {
		head, _, err := tprollout.ReadHead(b.Context(), f.Client)
		if err != nil {
			b.Fatal(err)
		}
		// One organisation's share changes, as when an operator adjusts it.
		cfg.Organisations[int(head.Generation)%benchOrganisations].Share *= 1.001
		head, err = tprollout.Publish(b.Context(), f.Client, &cfg, head.Generation, "bench")
		if err != nil {
			b.Fatal(err)
		}
		return head.Generation
	}
	publish()
	for i := range nodes {
		var seeds []string
		for _, n := range f.Nodes[:min(3, len(f.Nodes))] {
			seeds = append(seeds, n.Addresses[1])
		}
		f.Nodes = append(f.Nodes, f.StartNode(b, fmt.Sprintf("node-%d", i), seeds...))
	}
	for _, n := range f.Nodes {
		tpprocess.WaitReady(b, n)
	}
	for _, n := range f.Nodes {
		tpprocess.Eventually(b, n.Name+" reports all members", func() bool { return len(status(b, n).Members) == nodes })
	}
	time.Sleep(benchPhaseDuration / 2) // until the last changes of addresses and watches are over
	for b.Loop() {
		measurePhase(b, f, "idle", func() { time.Sleep(benchPhaseDuration) })
		measurePhase(b, f, "changing", func() {
			for end := time.Now().Add(benchPhaseDuration); time.Now().Before(end); time.Sleep(changeInterval) {
				publish()
			}
		})
		var rolloutTimes []time.Duration
		for range benchTimedChanges {
			generation := publish()
			start := time.Now()
			for _, n := range f.Nodes {
				for status(b, n).InForce < generation {
					time.Sleep(time.Millisecond)
				}
			}
			rolloutTimes = append(rolloutTimes, time.Since(start))
			time.Sleep(time.Second)
		}
		slices.Sort(rolloutTimes)
		b.ReportMetric(rolloutTimes[len(rolloutTimes)/2].Seconds()*1000, "median-ms-to-all")
		b.ReportMetric(rolloutTimes[len(rolloutTimes)-1].Seconds()*1000, "max-ms-to-all")
		b.ReportMetric(0, "ns/op")
	}
}

// measurePhase reports the resource usage of a node, averaged over all nodes,
// and the rate of platform calls while run runs.
func measurePhase(b *testing.B, f *tpprocess.Fleet, name string, run func()) {
	var before, after tpprocess.Usage
	calls := allPlatformCalls(b, f)
	for _, n := range f.Nodes {
		before = addUsage(before, n.Usage(b))
	}
	start := time.Now()
	run()
	seconds := time.Since(start).Seconds()
	for _, n := range f.Nodes {
		after = addUsage(after, n.Usage(b))
	}
	count := float64(len(f.Nodes))
	b.ReportMetric(float64(after.ReadBytes-before.ReadBytes)/seconds/count, name+"-readB/s/node")
	b.ReportMetric(float64(after.WrittenBytes-before.WrittenBytes)/seconds/count, name+"-writtenB/s/node")
	b.ReportMetric(100*(after.CPUTime-before.CPUTime).Seconds()/seconds/count, name+"-%core/node")
	b.ReportMetric(float64(after.ResidentBytes)/count/(1<<20), name+"-MB/node")
	b.ReportMetric(float64(allPlatformCalls(b, f)-calls)/seconds, name+"-calls/s")
}

func addUsage(a, c tpprocess.Usage) tpprocess.Usage {
	return tpprocess.Usage{
		ReadBytes:     a.ReadBytes + c.ReadBytes,
		WrittenBytes:  a.WrittenBytes + c.WrittenBytes,
		CPUTime:       a.CPUTime + c.CPUTime,
		ResidentBytes: a.ResidentBytes + c.ResidentBytes,
	}
}

// allPlatformCalls returns the number of calls of every kind that the platform
// has received.
func allPlatformCalls(b *testing.B, f *tpprocess.Fleet) uint64 {
	b.Helper()
	var c tpplatformfake.Counts
	if err := getJSON(f.Platform.Addresses[0]+"/counts", &c); err != nil {
		b.Fatal(err)
	}
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.VMs
}

func status(b *testing.B, n *tpprocess.Process) (s struct {
	InForce uint64
	Members []tpmessage.Member
},
) {
	st, err := tphistory.Status(b.Context(), n.Addresses[1])
	if err != nil {
		b.Fatal(err)
	}
	s.InForce, s.Members = st.InForce, st.Members
	return s
}

// benchConfig returns a configuration for one region, of the size that is
// expected in two years.
func benchConfig() tpmessage.Config {
	cfg := tpmessage.Config{Deployment: "bench", Region: "nord-ovest", Zones: []tpmessage.Zone{{Name: "milano-a"}}}
	pool := tpmessage.Pool{Name: "language", Kind: tpmessage.PoolEngine}
	for i := range benchTargets {
		pool.Targets = append(pool.Targets, tpmessage.Target{
			Name: fmt.Sprintf("language-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Zone: "milano-a",
		})
	}
	cfg.Pools = []tpmessage.Pool{pool}
	for i := range benchOrganisations {
		cfg.Organisations = append(cfg.Organisations, tpmessage.Organisation{
			Name: fmt.Sprintf("organisation-%05d", i), Share: 1.0 / benchOrganisations, TokenHash: fmt.Sprintf("%064x", i),
		})
	}
	return cfg
}
