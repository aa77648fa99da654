package tprouter_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// BenchmarkChoose measures one choice and the completion that follows, with a
// load report for every fourth choice, for several numbers of targets.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 1000, 12000} {
		for _, nodes := range []int{1, 370} {
			name := fmt.Sprintf("targets=%d/nodes=%d/", n, nodes)
			b.Run(name+"twoChoices", func(b *testing.B) { benchChoose(b, tprouter.NewTwoChoices(1), n, nodes) })
			b.Run(name+"random", func(b *testing.B) { benchChoose(b, tprouter.NewRandom(1), n, nodes) })
			b.Run(name+"roundRobin", func(b *testing.B) { benchChoose(b, &tprouter.RoundRobin{}, n, nodes) })
			b.Run(name+"leastReported", func(b *testing.B) { benchChoose(b, tprouter.LeastReportedLoad{}, n, nodes) })
		}
	}
}

func benchChoose[P tprouter.RoutePolicy](b *testing.B, policy P, n, nodes int) {
	r := newBenchRouter(policy, n, nodes)
	list := targets(n)
	const requests = 1024
	reqs := make([]*tpmessage.Request, requests)
	for i := range reqs {
		reqs[i] = request(i)
		reqs[i].PrefixHash = uint64(i%64 + 1)
	}
	now := epoch
	dst := make([]tpmessage.Target, 0, tprouter.MaxCandidates)
	step := func(i int) {
		now = now.Add(time.Millisecond)
		if i%4 == 0 {
			r.Step(now, report(tpmessage.LoadReport{Target: list[i%n].Name, At: now, WaitingPrefill: float64(i % 7)}))
		}
		req := reqs[i%requests]
		dst = r.Choose(now, req, dst[:0])
		r.Step(now, tprouter.Input{Kind: tprouter.InputCompletion, Completion: tpmessage.Completion{
			RequestID: req.ID, Target: dst[0].Name, Final: true,
		}})
	}
	for i := range 4 * n { // allocates the records of the sends to each target
		step(i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		step(i)
		i++
	}
}

func newBenchRouter[P tprouter.RoutePolicy](policy P, n, nodes int) *tprouter.Router[P] {
	r := tprouter.New(tprouter.Settings{Node: "node-0"}, policy)
	names := make([]string, nodes)
	for i := range names {
		names[i] = fmt.Sprint("node-", i)
	}
	r.Step(epoch, tprouter.Input{Kind: tprouter.InputNodes, Nodes: names})
	r.Step(epoch, config(targets(n)))
	return r
}

// BenchmarkConfigure measures the choice of a node's subset, which follows
// each change of the configuration or of the nodes.
func BenchmarkConfigure(b *testing.B) {
	for _, n := range []int{18, 1000, 12000} {
		b.Run(fmt.Sprintf("targets=%d/nodes=370", n), func(b *testing.B) {
			r := newBenchRouter(tprouter.NewTwoChoices(1), n, 370)
			in := config(targets(n))
			for b.Loop() {
				r.Step(epoch, in)
			}
		})
	}
}
