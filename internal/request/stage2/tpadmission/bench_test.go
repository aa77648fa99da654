package tpadmission_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// BenchmarkAdmission measures one arrival and the completion that admits the
// next request, while every organisation has a backlog.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{10, 5400} {
		b.Run(fmt.Sprintf("organisations=%d/fair", n), func(b *testing.B) { benchAdmission(b, tpadmission.NewFair(), n) })
		b.Run(fmt.Sprintf("organisations=%d/fcfs", n), func(b *testing.B) { benchAdmission(b, &tpadmission.FCFS{}, n) })
	}
}

func organisations(n int) []tpmessage.Organisation {
	orgs := make([]tpmessage.Organisation, n)
	for i := range orgs {
		orgs[i] = tpmessage.Organisation{Name: fmt.Sprintf("org-%04d", i), Share: 1 / float64(n)}
	}
	return orgs
}

func benchAdmission[Q tpadmission.Queue](b *testing.B, queue Q, n int) {
	orgs := organisations(n)
	a := tpadmission.New(tpadmission.Settings{Window: 64, MaxQueued: 4 * n, MaxQueuedPerOrganisation: 4 * n}, queue)
	a.Step(epoch, shares(orgs...), nil)
	reqs := make([]tpmessage.Work, 8*n+128)
	for i := range reqs {
		reqs[i] = work(i, orgs[i%n].Name, 4096, 256, 100*time.Hour)
	}
	var outs []tpadmission.Output
	var running []tpmessage.Request
	next := 0
	step := func(now time.Time) {
		outs = a.Step(now, arrival(reqs[next%len(reqs)]), outs[:0])
		running = appendAdmitted(running, outs)
		next++
		if len(running) < 64 {
			return
		}
		in := completion(&running[0])
		running = append(running[:0], running[1:]...)
		running = appendAdmitted(running, a.Step(now, in, outs[:0]))
	}
	for range 2*n + 128 {
		step(epoch)
	}
	b.ReportAllocs()
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		step(now)
	}
}

// BenchmarkCharge measures charging the usage in one peer's heartbeat.
func BenchmarkCharge(b *testing.B) {
	for _, n := range []int{10, 5400} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			q := tpadmission.NewFair()
			orgs := organisations(n)
			q.SetShares(orgs)
			usage := make([]tpmessage.Usage, min(n, tpadmission.UsageDigestSize))
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(300 * time.Millisecond)
				for i := range usage {
					usage[i] = tpmessage.Usage{Node: "peer", Organisation: orgs[i].Name, PrefillPieces: usage[i].PrefillPieces + 1}
				}
				q.ChargePeerUsage(now, usage)
			}
		})
	}
}
