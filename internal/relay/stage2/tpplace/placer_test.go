package tpplace_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, 1)) }

var engines = tpmessage.RelayPool{Name: "llm", Engine: &tpmessage.EngineTraits{Slots: 64, KVTokens: 400000}}

func engine(name string, role tpmessage.Role) tpmessage.RelayTarget {
	return tpmessage.RelayTarget{
		Target: tpmessage.Target{Name: name, Address: name + ":80", Zone: "a"}, Pool: "llm", Role: role, StartedMs: 1,
	}
}

// fleet returns prefill engines p0, p1, … and decode engines d0, d1, ….
func fleet(prefill, decode int) []tpmessage.RelayTarget {
	var list []tpmessage.RelayTarget
	for i := range prefill {
		list = append(list, engine(fmt.Sprint("p", i), tpmessage.RolePrefill))
	}
	for i := range decode {
		list = append(list, engine(fmt.Sprint("d", i), tpmessage.RoleDecode))
	}
	return list
}

func newPlacer[P tpplace.Policy](policy P, list []tpmessage.RelayTarget) *tpplace.Placer[P] {
	p := tpplace.New(tpplace.Settings{
		Node: "node-0", Zone: "a", Budget: tpplace.BudgetSettings{Ratio: 0.2, Slack: 8, Window: 10 * time.Second},
	}, policy)
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputTargets, Targets: list})
	return p
}

// request returns a request whose prompt consists of shared tokens with the
// given prefix hash and of own tokens.
func request(prefix uint64, shared, own int) *tpmessage.RelayRequest {
	return &tpmessage.RelayRequest{
		ID: "r", Pool: engines, Route: tpmessage.RelayRoute{Stream: true},
		PromptParts:  []tpmessage.PromptPart{{Hash: prefix, Tokens: shared}, {Hash: ^prefix, Tokens: own}},
		PromptTokens: shared + own, MaxOutputTokens: 100, ResumeAfter: -1, Arrived: epoch, Deadline: epoch.Add(5 * time.Second),
	}
}

func targetRequest(req *tpmessage.RelayRequest, step tpplace.Step) tpplace.Input {
	req.CompletionDeadline = req.Deadline
	return tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: tpplace.TargetRequest{
		Work: tpmessage.RelayWork{Request: req, Ctx: context.Background()}, Step: step,
	}}
}

func mustGrant[P tpplace.Policy](t *testing.T, p *tpplace.Placer[P], at time.Time, in tpplace.Input) tpplace.Grant {
	t.Helper()
	g, ok := p.Step(at, in)
	if !ok || g.Refusal != nil {
		t.Fatalf("no target was granted: %+v", g.Refusal)
	}
	return g
}

// Guards against prompts that leave the target that holds their prefix because
// of a small backlog, so that another target reads the prefix again, and
// against a backlog there that grows without a limit.
func TestAffinityIsBounded(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(4, 2))
	first := mustGrant(t, p, epoch, targetRequest(request(7, 13000, 3000), tpplace.StepFirst))
	if got, want := first.Step, tpplace.StepPrefill; got != want {
		t.Fatalf("first step: got %v, want %v", got, want)
	}
	second := mustGrant(t, p, epoch, targetRequest(request(7, 13000, 3000), tpplace.StepFirst))
	if got, want := second.Target.Name, first.Target.Name; got != want {
		t.Errorf("target of the second prompt: got %s, want %s", got, want)
	}
	if got, want := second.Reservation.Prefill, 3000; got != want {
		t.Errorf("tokens to read after a held prefix: got %d, want %d", got, want)
	}
	var other tpplace.Grant
	for range 40 {
		if other = mustGrant(t, p, epoch, targetRequest(request(7, 13000, 3000), tpplace.StepFirst)); other.Target.Name != first.Target.Name {
			break
		}
	}
	if other.Target.Name == first.Target.Name {
		t.Fatal("40 prompts of 3,000 tokens were all given to one target")
	}
	if got, want := other.FetchAddress, first.Target.Address; got != want {
		t.Errorf("source of the prefix: got %q, want %q", got, want)
	}
}

// Guards against an Affinity policy that reads at least as many prefix tokens
// as the LeastLoaded policy.
func TestAffinityReadsLessThanLeastLoaded(t *testing.T) {
	if got, leastLoaded := missedPrefixTokens(t, tpplace.Affinity{}), missedPrefixTokens(t, tpplace.LeastLoaded{}); got >= leastLoaded {
		t.Errorf("tokens of prefixes that were read: got %d, want less than %d", got, leastLoaded)
	}
}

// missedPrefixTokens returns the prefix tokens that are read by targets which
// do not hold them, for a fixed series of prompts.
func missedPrefixTokens[P tpplace.Policy](t *testing.T, policy P) int {
	p := newPlacer(policy, fleet(6, 2))
	cached := make(map[string]bool)
	read := 0
	now := epoch
	var running []tpplace.Reservation
	for i := range 400 {
		now = now.Add(25 * time.Millisecond)
		req := request(uint64(i*7%40+1), 8000, 2000)
		req.Arrived, req.Deadline = now, now.Add(5*time.Second)
		g := mustGrant(t, p, now, targetRequest(req, tpplace.StepPrefill))
		key := fmt.Sprint(g.Target.Name, i*7%40)
		if !cached[key] {
			read += 8000
		}
		cached[key] = true
		running = append(running, g.Reservation)
		if len(running) > 10 {
			p.Step(now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{Reservation: running[0]}})
			running = running[1:]
		}
	}
	return read
}

// Guards against new work for a target that is draining, is changing its role,
// is excluded, or has the wrong role.
func TestUnusableTargetsGetNothing(t *testing.T) {
	list := fleet(2, 3)
	list[2].Draining = true // d0
	p := newPlacer(tpplace.Affinity{}, list)
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputLoads, Nodes: 2, Loads: []tpmessage.NodeLoad{
		{Node: "node-1", At: epoch, Changing: []string{"d1"}},
	}})
	for range 20 {
		g := mustGrant(t, p, epoch, targetRequest(request(0, 0, 100), tpplace.StepRun))
		if got, want := g.Target.Name, "d2"; got != want {
			t.Fatalf("target of a run: got %s, want %s", got, want)
		}
	}
	in := targetRequest(request(0, 0, 100), tpplace.StepRun)
	in.TargetRequest.Exclude = []string{"d1", "d2"}
	if g, _ := p.Step(epoch, in); g.Refusal == nil {
		t.Errorf("without a usable target: got %s, want a refusal", g.Target.Name)
	}
}

// Guards against runs at a lost target while another one works, against a load
// that does not report the lost target as failing, and against a lost target
// that is never used again.
func TestFailingTargetsComeLast(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(0, 2))
	g := mustGrant(t, p, epoch, targetRequest(request(0, 0, 100), tpplace.StepRun))
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{Reservation: g.Reservation, Outcome: tpplace.OutcomeLost}})
	for range 10 {
		if again := mustGrant(t, p, epoch, targetRequest(request(0, 0, 100), tpplace.StepRun)); again.Target.Name == g.Target.Name {
			t.Fatalf("a run was given to %s, which was lost", g.Target.Name)
		}
	}
	if load := p.Load(epoch); len(load.Loads) != 2 || !load.Loads[0].Failing && !load.Loads[1].Failing {
		t.Errorf("load announced to peers: got %+v, want the lost target failing", load.Loads)
	}
	later := epoch.Add(5 * time.Second)
	retried := false
	for range 20 {
		req := request(0, 0, 100)
		req.Arrived, req.Deadline = later, later.Add(time.Second)
		retried = retried || mustGrant(t, p, later, targetRequest(req, tpplace.StepRun)).Target.Name == g.Target.Name
	}
	if !retried {
		t.Errorf("%s is not used again after its backoff", g.Target.Name)
	}
}

// Guards against runs that preempt each other because they do not fit into the
// KV memory that the runs of other nodes leave free at a target.
func TestRunsFitIntoMemory(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(0, 1))
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputLoads, Nodes: 2, Loads: []tpmessage.NodeLoad{
		{Node: "node-1", At: epoch, Loads: []tpmessage.TargetLoad{{Target: "d0", Runs: 10, Tokens: 330000}}},
	}})
	if g, _ := p.Step(epoch, targetRequest(request(0, 0, 20000), tpplace.StepRun)); g.Refusal == nil {
		t.Error("a run of 20,000 tokens was granted at a target with 330,000 of 400,000 tokens in use")
	}
	mustGrant(t, p, epoch, targetRequest(request(0, 0, 1000), tpplace.StepRun))
}

// Guards against accepting requests whose prompt cannot be read in time. They
// would use the time of requests that can be served.
func TestTooLateIsRefusedAtOnce(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, fleet(1, 1))
	req := request(7, 13000, 30000)
	req.Deadline = epoch.Add(500 * time.Millisecond)
	g, _ := p.Step(epoch, targetRequest(req, tpplace.StepFirst))
	if g.Refusal == nil || g.Refusal.Status != tpmessage.StatusUnavailable || g.Refusal.RetryAfter <= 0 {
		t.Errorf("prompt of 43,000 tokens within 0.5 s: got %+v, want a refusal with a positive RetryAfter", g.Refusal)
	}
	if load := p.Load(epoch); len(load.Loads) != 0 {
		t.Errorf("outstanding after a refusal: got %+v, want nothing", load.Loads)
	}
}

// Guards against a new process that inherits the outstanding load of the ended
// process of the same name and therefore gets too little work.
func TestRebornTargetStartsEmpty(t *testing.T) {
	list := fleet(0, 1)
	p := newPlacer(tpplace.Affinity{}, list)
	mustGrant(t, p, epoch, targetRequest(request(0, 0, 100), tpplace.StepRun))
	list[0].StartedMs = 2
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputTargets, Targets: list})
	if load := p.Load(epoch); len(load.Loads) != 0 {
		t.Errorf("outstanding at the new process: got %+v, want nothing", load.Loads)
	}
}

// Guards against a node that makes more retries in a sliding window of 10 s
// than its share of the budget allows, for any order of requests and retries.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 2
		p := newPlacer(tpplace.Affinity{}, fleet(0, 1))
		p.Step(epoch, tpplace.Input{Kind: tpplace.InputLoads, Nodes: nodes})
		var requests, retries []time.Time
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			req := request(0, 0, 10)
			req.Deadline = now.Add(time.Minute)
			in := targetRequest(req, tpplace.StepFirst)
			in.TargetRequest.IsRetry = rapid.Bool().Draw(t, "extra")
			g, _ := p.Step(now, in)
			switch {
			case !in.TargetRequest.IsRetry:
				requests = append(requests, now)
			case g.Refusal == nil:
				retries = append(retries, now)
			}
			p.Step(now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{Reservation: g.Reservation}})
			window := func(list []time.Time) (n float64) {
				for _, at := range list {
					if now.Sub(at) < 10*time.Second {
						n++
					}
				}
				return n
			}
			// Callers also count the requests of the preceding window. Counting
			// only the current window is the strictest check.
			if got, want := window(retries), 0.2*window(requests)+8.0/nodes; got > want {
				t.Fatalf("retries in 10 s: got %v, want at most %v", got, want)
			}
		}
	})
}

// BenchmarkPlace measures one placement with its end, where two of three targets
// are prefill engines.
func BenchmarkPlace(b *testing.B) {
	for _, targets := range []int{90, 1333} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			p := newPlacer(tpplace.Affinity{}, fleet(targets-targets/3, targets/3))
			req := request(7, 13000, 3000)
			b.ReportAllocs()
			for b.Loop() {
				g, _ := p.Step(epoch, targetRequest(req, tpplace.StepFirst))
				p.Step(epoch, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{Reservation: g.Reservation}})
			}
		})
	}
}

// Guards against the rest of an answer that nobody may be asked for, because the replacement that has refused it took the last retry of the budget.
func TestReplacementReservesARetry(t *testing.T) {
	list := fleet(0, 3)
	for name, test := range map[string]struct {
		begun bool
		want  int // replacements that a budget of four retries allows
	}{"begun": {true, 2}, "not begun": {false, 4}} {
		p := tpplace.New(tpplace.Settings{Budget: tpplace.BudgetSettings{Slack: 4 / 0.75, Window: 10 * time.Second}}, tpplace.Affinity{})
		p.Step(epoch, tpplace.Input{Kind: tpplace.InputTargets, Targets: list})
		got := 0
		for range 8 {
			in := targetRequest(request(1, 100, 100), tpplace.StepRun)
			in.TargetRequest.IsRetry, in.TargetRequest.SoundOnly, in.TargetRequest.Begun = true, true, test.begun
			if g, ok := p.Step(epoch, in); ok && g.Refusal == nil {
				got++
			}
		}
		if got != test.want {
			t.Errorf("%s: got %d replacements, want %d", name, got, test.want)
		}
		in := targetRequest(request(1, 100, 100), tpplace.StepRun)
		in.TargetRequest.Begun, in.TargetRequest.Only, in.TargetRequest.Exclude = true, list[1].Name, []string{list[0].Name}
		if g, _ := p.Step(epoch, in); g.Refusal != nil || g.Target.Name != list[1].Name {
			t.Errorf("%s: the relieved target: got %q, refusal %+v, want %q", name, g.Target.Name, g.Refusal, list[1].Name)
		}
	}
}

// Guards against a request that stays at a target that has crashed at it, or that no target takes because all have.
func TestAvoidedTargetsComeLast(t *testing.T) {
	list := fleet(0, 3)
	p := newPlacer(tpplace.Affinity{}, list)
	in := targetRequest(request(1, 100, 100), tpplace.StepRun)
	in.TargetRequest.Avoid = []string{list[0].Name, list[1].Name}
	for range 4 {
		if got, want := mustGrant(t, p, epoch, in).Target.Name, list[2].Name; got != want {
			t.Errorf("two targets avoided: got %s, want %s", got, want)
		}
	}
	in.TargetRequest.Avoid = append(in.TargetRequest.Avoid, list[2].Name)
	mustGrant(t, p, epoch, in)
}
