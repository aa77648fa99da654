package tpadmission_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, 1)) }

func work(id int, org string, prompt, tokens int, deadline time.Duration) tpmessage.Work {
	return tpmessage.Work{Request: tpmessage.Request{
		ID: fmt.Sprint(id), Organisation: org, PromptTokens: prompt, MaxTokens: tokens, Deadline: epoch.Add(deadline),
	}}
}

func arrival(w tpmessage.Work) tpadmission.Input {
	return tpadmission.Input{Kind: tpadmission.InputArrival, Work: w}
}

func completion(r *tpmessage.Request) tpadmission.Input {
	return tpadmission.Input{Kind: tpadmission.InputCompletion, Completion: tpmessage.Completion{
		RequestID: r.ID, Organisation: r.Organisation, Final: true, Outcome: tpmessage.OutcomeDone,
		PrefillPieces: r.PrefillPieces(), DecodePieces: r.DecodePieces(),
	}}
}

func shares(orgs ...tpmessage.Organisation) tpadmission.Input {
	snapshot := &tpmessage.Snapshot{Config: tpmessage.Config{Organisations: orgs}}
	return tpadmission.Input{Kind: tpadmission.InputConfig, Snapshot: snapshot}
}

// Guards against a fair queue that reorders, loses or refuses requests of a
// single organisation, for which it must equal first come, first served.
func TestFairEqualsFCFSForOneOrganisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := tpadmission.Settings{Window: rapid.IntRange(1, 4).Draw(t, "window"), MaxQueued: 6, MaxQueuedPerOrganisation: 6}
		fcfs := tpadmission.New(cfg, &tpadmission.FCFS{})
		fair := tpadmission.New(cfg, tpadmission.NewFair())
		declared := shares(tpmessage.Organisation{Name: "bergamo", Share: 1})
		fcfs.Step(epoch, declared, nil)
		fair.Step(epoch, declared, nil)
		now := epoch
		var running []tpmessage.Request
		for id := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			in := tpadmission.Input{Kind: tpadmission.InputTick}
			switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
			case op < 2:
				w := work(id, "bergamo", rapid.IntRange(0, 9000).Draw(t, "prompt"), rapid.IntRange(0, 900).Draw(t, "tokens"), 0)
				w.Request.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 9).Draw(t, "deadline")) * time.Second)
				in = arrival(w)
			case op < 4 && len(running) > 0:
				in = completion(&running[0])
				running = running[1:]
			}
			want := fcfs.Step(now, in, nil)
			got := fair.Step(now, in, nil)
			if formatOutputs(got) != formatOutputs(want) {
				t.Fatalf("step %d: got %s, want %s", id, formatOutputs(got), formatOutputs(want))
			}
			for _, out := range want {
				if out.Refusal == nil {
					running = append(running, out.Work.Request)
				}
			}
		}
	})
}

func formatOutputs(outs []tpadmission.Output) string {
	var s string
	for _, out := range outs {
		s += out.Work.Request.ID
		if out.Refusal != nil {
			s += fmt.Sprintf(" %s %v", out.Refusal.Code, out.Refusal.RetryAfter)
		}
		s += ";"
	}
	return s
}

// Guards against idle capacity while requests wait, against an organisation
// that exceeds its share by more than one request, and against starvation.
func TestFairKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "organisations")
		orgs := make([]tpmessage.Organisation, n)
		for i := range orgs {
			orgs[i] = tpmessage.Organisation{Name: fmt.Sprint("org-", i), Share: float64(rapid.IntRange(1, 9).Draw(t, "share")) / 50}
		}
		const each = 40
		a := tpadmission.New(tpadmission.Settings{Window: 1, MaxQueued: n*each + 1}, tpadmission.NewFair())
		a.Step(epoch, shares(orgs...), nil)
		var running []tpmessage.Request
		largest := 0.0
		for id := range n * each {
			w := work(id, orgs[id%n].Name, rapid.IntRange(1, 8192).Draw(t, "prompt"), 0, time.Hour)
			largest = max(largest, w.Request.PrefillPieces())
			running = appendAdmitted(running, a.Step(epoch, arrival(w), nil))
		}
		served := make(map[string]float64)
		count := make(map[string]int)
		for len(running) > 0 {
			if a.InFlight() != 1 {
				t.Fatalf("in flight: got %d, want 1 while work waits", a.InFlight())
			}
			r := running[0]
			served[r.Organisation] += r.PrefillPieces()
			count[r.Organisation]++
			for i, x := range orgs {
				for _, y := range orgs[:i] {
					if count[x.Name] == each || count[y.Name] == each {
						continue
					}
					difference := served[x.Name]/x.Share - served[y.Name]/y.Share
					if bound := largest/x.Share + largest/y.Share; max(difference, -difference) > bound {
						t.Fatalf("usage per share of %s and %s differs by %v, want at most %v", x.Name, y.Name, difference, bound)
					}
				}
			}
			running = appendAdmitted(running[1:], a.Step(epoch, completion(&r), nil))
		}
		for _, o := range orgs {
			if count[o.Name] != each {
				t.Errorf("%s: got %d served, want %d", o.Name, count[o.Name], each)
			}
		}
	})
}

func appendAdmitted(dst []tpmessage.Request, outs []tpadmission.Output) []tpmessage.Request {
	for _, out := range outs {
		if out.Refusal == nil {
			dst = append(dst, out.Work.Request)
		}
	}
	return dst
}

// Guards against a small organisation that waits behind the backlog of a large
// one, and against a random order of equal start tags.
func TestFairServesNewcomerAfterOneRequestOfEachRival(t *testing.T) {
	q := tpadmission.NewFair()
	for id := range 50 {
		q.Push(epoch, work(id, "rival", 4096, 0, time.Hour))
	}
	for range 20 {
		q.Pop(epoch)
	}
	q.Push(epoch, work(50, "small", 4096, 0, time.Hour))
	var got []string
	for range 3 {
		w, _ := q.Pop(epoch)
		got = append(got, w.Request.ID)
	}
	if want := []string{"50", "20", "21"}; !slices.Equal(got, want) {
		t.Errorf("order: got %v, want %v", got, want)
	}
}

// Guards against accounts that are not corrected from the estimated to the
// actual cost, that ignore usage on peers, or that charge a peer's usage from
// before its first report.
func TestFairAccounts(t *testing.T) {
	used := func(org string, pieces float64) []tpmessage.Usage {
		return []tpmessage.Usage{{Node: "peer", Organisation: org, PrefillPieces: pieces}}
	}
	tests := []struct {
		name   string
		settle float64 // actual pieces of a, estimated at 1
		charge []float64
		want   string // served first
	}{
		{name: "equal", settle: 1, want: "a"},
		{name: "a took more", settle: 3, want: "b"},
		{name: "a took less", settle: 0.2, want: "a"},
		{name: "baseline is not charged", settle: 1, charge: []float64{1000}, want: "a"},
		{name: "remote usage is charged", settle: 1, charge: []float64{1000, 1003}, want: "b"},
		{name: "restarted peer is charged from zero", settle: 1, charge: []float64{1000, 3}, want: "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := tpadmission.NewFair()
			q.SetShares([]tpmessage.Organisation{{Name: "a", Share: 0.5}, {Name: "b", Share: 0.5}})
			for id, org := range []string{"a", "b", "a", "b"} {
				q.Push(epoch, work(id, org, 4096, 0, time.Hour))
			}
			q.Pop(epoch)
			q.Pop(epoch)
			q.Settle(epoch, tpmessage.Completion{
				RequestID: "0", Organisation: "a", Final: true, Outcome: tpmessage.OutcomeDone, PrefillPieces: tt.settle,
			})
			for _, pieces := range tt.charge {
				q.ChargePeerUsage(epoch, used("a", pieces))
			}
			w, _ := q.Pop(epoch)
			if got := w.Request.Organisation; got != tt.want {
				t.Errorf("served first: got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a usage count that decreases after a correction, which a peer
// would take for a restart.
func TestUsageOnlyRises(t *testing.T) {
	q := tpadmission.NewFair()
	q.Push(epoch, work(0, "a", 8192, 4096, time.Hour))
	q.Pop(epoch)
	want := tpmessage.Usage{Organisation: "a", PrefillPieces: 2, DecodePieces: 1}
	for range 2 {
		if got := q.Usage(nil); len(got) != 1 || got[0] != want {
			t.Errorf("usage: got %v, want %v", got, want)
		}
		q.Settle(epoch, tpmessage.Completion{RequestID: "0", Final: true, Outcome: tpmessage.OutcomeRefused})
	}
}

// Guards against a full queue that excludes organisations below their share,
// and against the refusal code overShare for an organisation within its share.
func TestFullQueue(t *testing.T) {
	a := tpadmission.New(tpadmission.Settings{Window: 1, MaxQueued: 4, MaxQueuedPerOrganisation: 3}, tpadmission.NewFair())
	a.Step(epoch, shares(tpmessage.Organisation{Name: "a", Share: 0.5}, tpmessage.Organisation{Name: "b", Share: 0.5}), nil)
	steps := []struct{ org, want string }{
		{"a", "0;"},              // admitted
		{"a", ""},                // waits
		{"a", ""},                //
		{"a", ""},                //
		{"a", "4 notRun 1s;"},    // limit of the organisation; no other organisation waits
		{"b", ""},                //
		{"a", "6 overShare 1s;"}, // limit of the organisation
		{"b", "3 overShare 1s;"}, // evicts the newest request of a
		{"b", "8 notRun 1s;"},    // both have two waiting requests
		{"b", "9 notRun 1s;"},    //
	}
	for id, s := range steps {
		if got := formatOutputs(a.Step(epoch, arrival(work(id, s.org, 4096, 0, time.Hour)), nil)); got != s.want {
			t.Errorf("arrival %d of %s: got %q, want %q", id, s.org, got, s.want)
		}
	}
}

// Guards against queueing a request that cannot meet its deadline, and against
// early refusals before a service rate has been measured.
func TestEarlyRefusal(t *testing.T) {
	a := tpadmission.New(tpadmission.Settings{Window: 1}, &tpadmission.FCFS{})
	now := epoch
	id := 0
	for ; id < 30; id++ {
		if got := formatOutputs(a.Step(now, arrival(work(id, "a", 4096, 0, time.Hour)), nil)); id > 0 && got != "" {
			t.Fatalf("arrival %d: got %q, want none", id, got)
		}
	}
	for done := range 10 { // one prefilled piece every 0.5 s
		now = now.Add(500 * time.Millisecond)
		a.Step(now, completion(&tpmessage.Request{ID: fmt.Sprint(done), PromptTokens: 4096}), nil)
	}
	// 19 pieces wait at 5 s and take 9.5 s.
	tests := []struct {
		deadline time.Duration
		want     string
	}{
		{14 * time.Second, "30 notRun 9.5s;"},
		{15 * time.Second, ""},
	}
	for _, tt := range tests {
		if got := formatOutputs(a.Step(now, arrival(work(id, "a", 1, 0, tt.deadline)), nil)); got != tt.want {
			t.Errorf("deadline %v: got %q, want %q", tt.deadline, got, tt.want)
		}
	}
}

// Guards against a window so large that requests queue in the targets, and
// against a window that does not change with the number of nodes or targets.
func TestWindowOfTargets(t *testing.T) {
	a := tpadmission.New(tpadmission.Settings{Window: 20, PerTarget: 5}, &tpadmission.FCFS{})
	pools := func(n int) tpadmission.Input {
		in := shares()
		in.Snapshot.Config.Pools = []tpmessage.Pool{{Targets: make([]tpmessage.Target, n)}}
		return in
	}
	nodes := func(n int) tpadmission.Input {
		return tpadmission.Input{Kind: tpadmission.InputNodes, Nodes: make([]string, n)}
	}
	for id := range 30 {
		a.Step(epoch, arrival(work(id, "a", 1, 0, time.Hour)), nil)
	}
	if got := a.InFlight(); got != 20 {
		t.Fatalf("without targets: got %d in flight, want 20", got)
	}
	steps := []struct {
		in   tpadmission.Input
		want int
	}{
		{pools(3), 15},
		{nodes(2), 8},
		{pools(1), 3},
		{pools(9), 20},
	}
	next := 0
	for i, s := range steps {
		a.Step(epoch, s.in, nil)
		for a.InFlight() > s.want {
			a.Step(epoch, completion(&tpmessage.Request{ID: fmt.Sprint(next)}), nil)
			next++
			a.Step(epoch, arrival(work(100+next, "a", 1, 0, time.Hour)), nil)
			if next > 200 {
				t.Fatalf("step %d: got %d in flight, want %d", i, a.InFlight(), s.want)
			}
		}
		if got := a.InFlight(); got != s.want {
			t.Errorf("step %d: got %d in flight, want %d", i, got, s.want)
		}
	}
}

func ExampleFair() {
	q := tpadmission.NewFair()
	q.SetShares([]tpmessage.Organisation{{Name: "large", Share: 0.75}, {Name: "small", Share: 0.25}})
	for id := range 8 {
		q.Push(epoch, work(id, []string{"large", "small"}[id%2], 4096, 0, time.Hour))
	}
	for range 5 {
		w, _ := q.Pop(epoch)
		fmt.Print(w.Request.Organisation, " ")
	}
	// Output: large small large large small
}
