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

const (
	benchOrganisations = 5400
	benchTargets       = 1334 // 12,000 in 9 regions
	changeInterval     = 24 * time.Hour / 34_000
	benchPhase         = 20 * time.Second
	benchChanges       = 7
)

// BenchmarkControl measures what configuration and membership cost with nodes
// as separate processes in one region: the time from accepted to in force on
// all nodes, and for each node the bytes, processor time and memory, and the
// platform's calls, when idle and at 34,000 changes a day. Run it with
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
		// One share changes, as when an operator moves a promise.
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
		tpprocess.Eventually(b, n.Name+" sees all", func() bool { return len(status(b, n).Members) == nodes })
	}
	time.Sleep(benchPhase / 2) // until the last addresses and watches are settled
	for b.Loop() {
		phase(b, f, "idle", func() { time.Sleep(benchPhase) })
		phase(b, f, "changing", func() {
			for end := time.Now().Add(benchPhase); time.Now().Before(end); time.Sleep(changeInterval) {
				publish()
			}
		})
		var times []time.Duration
		for range benchChanges {
			generation := publish()
			start := time.Now()
			for _, n := range f.Nodes {
				for status(b, n).InForce < generation {
					time.Sleep(time.Millisecond)
				}
			}
			times = append(times, time.Since(start))
			time.Sleep(time.Second)
		}
		slices.Sort(times)
		b.ReportMetric(times[len(times)/2].Seconds()*1000, "median-ms-to-all")
		b.ReportMetric(times[len(times)-1].Seconds()*1000, "max-ms-to-all")
		b.ReportMetric(0, "ns/op")
	}
}

// phase reports the use of all nodes and of the platform while f runs.
func phase(b *testing.B, f *tpprocess.Fleet, name string, run func()) {
	var before, after tpprocess.Usage
	calls := allPlatformCalls(b, f)
	for _, n := range f.Nodes {
		before = add(before, n.Usage(b))
	}
	start := time.Now()
	run()
	seconds := time.Since(start).Seconds()
	for _, n := range f.Nodes {
		after = add(after, n.Usage(b))
	}
	count := float64(len(f.Nodes))
	b.ReportMetric(float64(after.ReadBytes-before.ReadBytes)/seconds/count, name+"-readB/s/node")
	b.ReportMetric(float64(after.WrittenBytes-before.WrittenBytes)/seconds/count, name+"-writtenB/s/node")
	b.ReportMetric(100*(after.Processor-before.Processor).Seconds()/seconds/count, name+"-%core/node")
	b.ReportMetric(float64(after.Resident)/count/(1<<20), name+"-MB/node")
	b.ReportMetric(float64(allPlatformCalls(b, f)-calls)/seconds, name+"-calls/s")
}

func add(a, c tpprocess.Usage) tpprocess.Usage {
	return tpprocess.Usage{
		ReadBytes:    a.ReadBytes + c.ReadBytes,
		WrittenBytes: a.WrittenBytes + c.WrittenBytes,
		Processor:    a.Processor + c.Processor,
		Resident:     a.Resident + c.Resident,
	}
}

// allPlatformCalls returns the number of calls of every kind so far.
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

// benchConfig returns a configuration of the size that is expected in two
// years, for one region.
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
