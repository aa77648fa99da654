package tpusage_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpusage"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// BenchmarkWindow measures what the holder does for one window: it takes the
// counts of 70 requests of 5,400 organisations from each member, fixes them and
// sends them.
func BenchmarkWindow(b *testing.B) {
	for _, nodes := range []int{72, 295, 370} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			clock := tpusage.Clock{Length: length, Wall: simStart, Start: simStart}
			r := tpusage.NewReporter(tpusage.Settings{Late: late}, clock, tpusage.Fixed{})
			members := make([]tpmessage.Member, nodes)
			statements := make([]tpmessage.UsageStatement, nodes)
			for i := range members {
				members[i] = tpmessage.Member{Name: fmt.Sprint("node-", i), Incarnation: "1"}
				w := tpmessage.UsageReport{}
				for j := range 70 {
					name := fmt.Sprint("organisation-", (i*70+j*77)%5400)
					w.Counts = append(w.Counts, tpmessage.OrganisationCount{Organisation: name, Requests: 1})
				}
				statements[i] = tpmessage.UsageStatement{Source: tpusage.Source(members[i].Name, "1"), Windows: []tpmessage.UsageReport{w}}
			}
			now, version := simStart, uint64(0)
			r.SetHolder(true, 1)
			sent := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(length)
				r.SetMembers(members)
				window := clock.Window(now) - 1
				for actions := r.Step(now); len(actions) > 0; actions = r.Step(now) {
					for _, a := range actions {
						switch a.Kind {
						case tpusage.ActionAsk:
							var i int
							_, _ = fmt.Sscanf(a.Member.Name, "node-%d", &i)
							statements[i].Windows[0].Window = window
							r.HandleAnswer(tpusage.Answer{
								Member: a.Member, Request: a.Request, SentAt: now, ArrivedAt: now.Add(-time.Second),
								Answer: tpmessage.UsageAnswer{Closed: window, TimeMs: now.UnixMilli(), Statements: statements[i : i+1]},
							})
						case tpusage.ActionRead:
							r.HandleRead(now, 0, tpusage.Record{}, 0, nil)
						case tpusage.ActionStore:
							version++
							r.HandleStored(now, 0, version, nil)
						case tpusage.ActionSend:
							sent++
							r.HandleSent(now, a.Report.Window, nil)
						}
					}
				}
				r.TakeOutcomes()
			}
			if sent < b.N {
				b.Errorf("reports: got %d in %d windows", sent, b.N)
			}
		})
	}
}
