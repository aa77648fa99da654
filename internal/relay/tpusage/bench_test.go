package tpusage_test

import (
	"fmt"
	"testing"

	"teaselpin.example/teaselpin/internal/relay/tpusage"
)

// BenchmarkWindow measures what the holder decides for one window, with the
// answers of all members: 70 requests at each node, of 5,400 organisations.
func BenchmarkWindow(b *testing.B) {
	for _, nodes := range []int{72, 295, 370} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			s := newSim(b, tpusage.Fixed{}, nodes, exact)
			s.grant(0)
			s.run(length) // reads the clocks
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				for i, n := range s.nodes {
					for j := range 70 {
						n.counter.Add(s.now, fmt.Sprint("organisation-", (i*70+j*77)%5400))
					}
				}
				s.now = s.now.Add(length)
				b.StartTimer()
				s.stepNode(0, s.nodes[0])
			}
			if len(s.reports) < b.N {
				b.Errorf("reports: got %d of %d windows", len(s.reports), b.N)
			}
		})
	}
}
