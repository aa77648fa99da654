package tprouter_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, 1)) }

func targets(n int) []tpmessage.Target {
	list := make([]tpmessage.Target, n)
	for i := range list {
		list[i] = tpmessage.Target{Name: fmt.Sprint("engine-", i), Zone: fmt.Sprint("zone-", i%3)}
	}
	return list
}

func config(list []tpmessage.Target) tprouter.Input {
	return tprouter.Input{Kind: tprouter.InputConfig, Snapshot: &tpmessage.Snapshot{Config: tpmessage.Config{
		Models: []tpmessage.Model{{Name: "m", Version: "2"}},
		Pools:  []tpmessage.Pool{{Name: "p", Model: "m", Targets: list}},
	}}}
}

func report(rep tpmessage.LoadReport) tprouter.Input {
	return tprouter.Input{Kind: tprouter.InputReport, Report: rep}
}

func request(id int) *tpmessage.Request {
	return &tpmessage.Request{ID: fmt.Sprint(id), Pool: "p", PromptTokens: 4096, MaxTokens: 256}
}

// Guards against requests for a leaving target, and against counts of requests
// in flight that become negative or never return to zero when retries, repeats
// and late completions mix.
func TestRouterCounts(t *testing.T) {
	t.Run("random", func(t *testing.T) { checkCounts(t, tprouter.NewRandom(1)) })
	t.Run("round robin", func(t *testing.T) { checkCounts(t, &tprouter.RoundRobin{}) })
	t.Run("least reported", func(t *testing.T) { checkCounts(t, tprouter.LeastReportedLoad{}) })
	t.Run("two choices", func(t *testing.T) { checkCounts(t, tprouter.NewTwoChoices(1)) })
}

func checkCounts[P tprouter.RoutePolicy](t *testing.T, policy P) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(rapid.IntRange(1, 6).Draw(t, "targets"))
		r := tprouter.New(tprouter.Settings{}, policy)
		r.Step(epoch, config(list))
		leaving := make(map[string]bool)
		now := epoch
		const requests = 8
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			name := func() string { return list[rapid.IntRange(0, len(list)-1).Draw(t, "target")].Name }
			id := rapid.IntRange(0, requests-1).Draw(t, "request")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				rep := tpmessage.LoadReport{Target: name(), At: now, Leaving: rapid.Bool().Draw(t, "leaving")}
				leaving[rep.Target] = rep.Leaving
				r.Step(now, report(rep))
			case 1:
				r.Step(now, tprouter.Input{Kind: tprouter.InputCompletion, Completion: tpmessage.Completion{
					RequestID: fmt.Sprint(id), Target: name(), NextTarget: name(), Final: rapid.Bool().Draw(t, "final"),
				}})
			default:
				req := request(id)
				req.PrefixHash = uint64(id)
				for _, got := range r.Choose(now, req, nil) {
					if leaving[got.Name] {
						t.Fatalf("request %d: got %s, which is leaving", id, got.Name)
					}
				}
			}
			checkNotNegative(t, r.View(), list)
		}
		for id := range requests {
			r.Step(now, tprouter.Input{Kind: tprouter.InputCompletion, Completion: tpmessage.Completion{
				RequestID: fmt.Sprint(id), Final: true,
			}})
		}
		for _, target := range list {
			if got := r.View().Candidate(target.Name).InFlight; got != 0 {
				t.Errorf("in flight at %s after all completions: got %d, want 0", target.Name, got)
			}
		}
	})
}

func checkNotNegative(t *rapid.T, v *tpload.View, list []tpmessage.Target) {
	for _, target := range list {
		c := v.Candidate(target.Name)
		if c.InFlight < 0 || c.SentCost() < 0 {
			t.Fatalf("%s: got %d in flight and %v sent, want none below 0", target.Name, c.InFlight, c.SentCost())
		}
	}
}

// Guards against a TwoChoices policy that does not select the less loaded
// target. With two targets and fresh reports it must select the same target as
// the LeastReportedLoad policy.
func TestTwoChoicesEqualsLeastReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := targets(2)
		list[1].Zone = list[0].Zone
		cfg := tprouter.Settings{Load: tpload.Settings{Zone: list[0].Zone}}
		baseline := tprouter.New(cfg, tprouter.LeastReportedLoad{})
		twoChoices := tprouter.New(cfg, tprouter.NewTwoChoices(1))
		baseline.Step(epoch, config(list))
		twoChoices.Step(epoch, config(list))
		for id := range 20 {
			now := epoch.Add(time.Duration(id+1) * time.Second)
			for _, target := range list {
				rep := tpmessage.LoadReport{Target: target.Name, At: now, Model: "m"}
				rep.WaitingPrefill = float64(rapid.IntRange(0, 3).Draw(t, "waiting"))
				baseline.Step(now, report(rep))
				twoChoices.Step(now, report(rep))
			}
			want := baseline.Choose(now, request(id), nil)
			got := twoChoices.Choose(now, request(id), nil)
			if got[0] != want[0] {
				t.Fatalf("request %d: got %s, want %s", id, got[0].Name, want[0].Name)
			}
		}
	})
}

// Guards against a request that goes to a target with another model, version
// or adapter, to a target in another zone, or to an overloaded target that
// holds its prefix.
func TestTwoChoicesPreferences(t *testing.T) {
	list := targets(2) // engine-0 is in the node's zone
	tests := []struct {
		name    string
		reports [2]tpmessage.LoadReport
		adapter string
		cached  bool // engine-1 holds the prefix
		want    string
	}{
		{name: "zone", want: "engine-0"},
		{name: "zone gives way to load", reports: [2]tpmessage.LoadReport{{WaitingPrefill: 1}, {}}, want: "engine-1"},
		{name: "model", reports: [2]tpmessage.LoadReport{{Model: "other"}, {}}, want: "engine-1"},
		{name: "version", reports: [2]tpmessage.LoadReport{{Version: "1"}, {Version: "2"}}, want: "engine-1"},
		{name: "outdated versions only", reports: [2]tpmessage.LoadReport{{Version: "1"}, {Version: "1"}}, want: "engine-0"},
		{name: "adapter", reports: [2]tpmessage.LoadReport{{}, {Adapter: "a"}}, adapter: "a", want: "engine-1"},
		{name: "adapter not loaded", adapter: "a", want: "engine-0"},
		{name: "prefix", cached: true, reports: [2]tpmessage.LoadReport{{}, {WaitingPrefill: 0.5}}, want: "engine-1"},
		{name: "prefix overloads", cached: true, reports: [2]tpmessage.LoadReport{{}, {WaitingPrefill: 2}}, want: "engine-0"},
		{name: "leaving", reports: [2]tpmessage.LoadReport{{Leaving: true}, {}}, want: "engine-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := tprouter.New(tprouter.Settings{Load: tpload.Settings{Zone: "zone-0"}}, tprouter.NewTwoChoices(1))
			r.Step(epoch, config(list))
			for i, rep := range tt.reports {
				rep.Target = list[i].Name
				rep.At = epoch
				r.Step(epoch, report(rep))
			}
			req := request(0)
			req.Adapter = tt.adapter
			req.PrefixHash = 9
			if tt.cached {
				r.Step(epoch, tprouter.Input{Kind: tprouter.InputCacheEvent, CacheEvent: tpmessage.CacheEvent{
					Target: "engine-1", Sequence: 1, PrefixHash: 9,
				}})
			}
			if got := r.Choose(epoch, req, nil)[0].Name; got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against targets that no node uses, and against a lost node that moves
// more than its own targets. Each target must have the same number of nodes.
func TestSubsetCoversAllTargets(t *testing.T) {
	list := targets(1333)
	nodes := make([]string, 41)
	for i := range nodes {
		nodes[i] = fmt.Sprint("node-", i)
	}
	count := make(map[string]int)
	for _, n := range nodes {
		subset := tprouter.Subset(n, nodes, list, tprouter.DefaultSubsetSize, nil)
		if len(subset) < 48 || len(subset) > 130 {
			t.Errorf("%s: got %d targets, want about 65 to 98", n, len(subset))
		}
		for _, target := range subset {
			count[target.Name]++
		}
	}
	for _, target := range list {
		if got := count[target.Name]; got != 3 {
			t.Errorf("%s: got %d nodes, want 3", target.Name, got)
		}
	}
}

// Guards against alternatives that depend on the first choice. They would send
// all requests of a failed target to one other target.
func TestAlternativesSpread(t *testing.T) {
	const seed = 3
	r := tprouter.New(tprouter.Settings{Seed: seed}, tprouter.NewRandom(seed))
	r.Step(epoch, config(targets(10)))
	second := make(map[string]int)
	for id := range 1000 {
		if got := r.Choose(epoch, request(id), nil); got[0].Name == "engine-4" {
			second[got[1].Name]++
		}
	}
	if len(second) != 9 {
		t.Errorf("alternatives to engine-4: got %v, want all 9 others", second)
	}
}

func ExampleRouter() {
	r := tprouter.New(tprouter.Settings{}, tprouter.NewTwoChoices(1))
	r.Step(epoch, config(targets(2)))
	r.Step(epoch, report(tpmessage.LoadReport{Target: "engine-0", At: epoch, WaitingPrefill: 5}))
	r.Step(epoch, report(tpmessage.LoadReport{Target: "engine-1", At: epoch, WaitingPrefill: 1}))
	out, _ := r.Step(epoch, tprouter.Input{Kind: tprouter.InputWork, Work: tpmessage.Work{Request: *request(0)}})
	fmt.Println(out.Assignment.Targets[0].Name)
	// Output: engine-1
}
