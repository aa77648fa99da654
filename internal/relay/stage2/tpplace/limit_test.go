package tpplace_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// namesLimit returns the notice of an answer that names a limit.
func namesLimit(perSecond float64) tpmessage.TargetNotice {
	return tpmessage.TargetNotice{Limit: perSecond, LimitStatement: tpmessage.LimitNamed}
}

func answered(sent, at time.Time, target tpmessage.RelayTarget, n tpmessage.TargetNotice) tpplace.Input {
	return tpplace.Input{Kind: tpplace.InputNotice, Notice: tpplace.Notice{TargetNotice: n, Target: target, At: at, SentAt: sent}}
}

func allowances(target tpmessage.RelayTarget, n int, left time.Duration) tpplace.Input {
	return tpplace.Input{Kind: tpplace.InputAllowances, Allowances: []tpmessage.Allowance{
		{Target: target.Name, StartedMs: target.StartedMs, Granted: n, Left: left},
	}}
}

// Guards against a step of any kind at a target with a limit for which the node has no allowance.
func TestTargetWithALimitGetsNoStepWithoutAnAllowance(t *testing.T) {
	resume := request(0, 0, 100)
	resume.ResumeAfter = 4
	for _, test := range []struct {
		name          string
		in            tpplace.Input
		limited, want string
	}{
		{"prefill", targetRequest(request(7, 8000, 1000), tpplace.StepPrefill), "p0", "p1"},
		{"run", targetRequest(request(0, 0, 100), tpplace.StepRun), "d0", "d1"},
		{"resume", targetRequest(resume, tpplace.StepRun), "d0", "d1"},
		{"call", call(epoch), "s0", "s1"},
	} {
		for _, variant := range []string{"first", "retry", "trial"} {
			list := append(fleet(2, 2), service("s0"), service("s1"))
			p := newPlacer(tpplace.LeastLoaded{}, list)
			in := test.in
			in.TargetRequest.IsRetry, in.TargetRequest.SoundOnly = variant == "retry", variant == "trial"
			if got := mustGrant(t, p, epoch, in).Target.Name; got != test.limited {
				t.Fatalf("%s, %s, without a limit: got %s, want %s", test.name, variant, got, test.limited)
			}
			for _, target := range list {
				if target.Name == test.limited {
					p.Step(epoch, answered(epoch, epoch, target, namesLimit(2.2)))
				}
			}
			if got := mustGrant(t, p, epoch, in).Target.Name; got != test.want {
				t.Errorf("%s, %s, without an allowance: got %s, want %s", test.name, variant, got, test.want)
			}
		}
	}
}

// Guards against an allowance that is used twice, or after its end.
func TestAllowanceIsUsedOnce(t *testing.T) {
	s0 := service("s0")
	p := newPlacer(tpplace.Affinity{}, []tpmessage.RelayTarget{s0, service("s1")})
	p.Step(epoch, answered(epoch, epoch, s0, namesLimit(1)))
	p.Step(epoch, allowances(s0, 2, time.Second))
	for i, want := range []string{"s0", "s0", "s1", "s1"} {
		if got := mustGrant(t, p, epoch, call(epoch)).Target.Name; got != want {
			t.Errorf("request %d: got %s, want %s", i, got, want)
		}
	}
	p.Step(epoch, allowances(s0, 3, time.Second))
	ended := epoch.Add(time.Second)
	if got := mustGrant(t, p, ended, call(ended)).Target.Name; got != "s1" {
		t.Errorf("after the end of the allowance: got %s, want s1", got)
	}
	if got, want := fmt.Sprint(p.TakeSettled(ended)), fmt.Sprint([]tpmessage.Allowance{{Target: "s0", StartedMs: 1, Returned: 3, Used: 2}}); got != want {
		t.Errorf("settled: got %s, want %s", got, want)
	}
	if got := p.TakeSettled(ended); len(got) != 0 {
		t.Errorf("settled again: got %v, want none", got)
	}
}

// Guards against a request that waits although no target may take it, and against a delay that ignores the requests of other nodes.
func TestRequestIsRefusedAtOnceIfAllTargetsAreAtTheirLimit(t *testing.T) {
	s0, s1 := service("s0"), service("s1")
	p := newPlacer(tpplace.Affinity{}, []tpmessage.RelayTarget{s0, s1})
	p.Step(epoch, answered(epoch, epoch, s0, namesLimit(2)))
	p.Step(epoch, answered(epoch, epoch, s1, namesLimit(3)))
	refused := func() time.Duration {
		g, _ := p.Step(epoch, call(epoch))
		if g.Refusal == nil || g.Refusal.Status != tpmessage.StatusUnavailable {
			t.Fatalf("got %+v, want a refusal with status 503", g)
		}
		return g.Refusal.RetryAfter
	}
	if got, want := refused(), time.Second; got > want {
		t.Errorf("delay of the first request at 5 requests a second: got %v, want %v at most", got, want)
	}
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputLoads, Nodes: 2, Loads: []tpmessage.NodeLoad{{
		Node: "node-1", At: epoch, Limits: []tpmessage.TargetLimit{{Target: "s0", StartedMs: 1, Statement: tpmessage.LimitUnstated, Demand: 20}},
	}}})
	if got, want := refused(), 4*time.Second; got < want {
		t.Errorf("delay with 20 requests a second at other nodes: got %v, want %v at least", got, want)
	}
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputTargets, Targets: []tpmessage.RelayTarget{s0, s1, service("s2")}})
	if got := mustGrant(t, p, epoch, call(epoch)).Target.Name; got != "s2" {
		t.Errorf("with another target: got %s, want s2", got)
	}
}

// Guards against a limit that ends because an answer without one overtakes an answer with one.
func TestLimitEndsWithALaterRequestOnly(t *testing.T) {
	s0 := service("s0")
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name     string
		sent, at int
		n        tpmessage.TargetNotice
		limited  bool
	}{
		{"sent before the limit was named", 90, 200, tpmessage.TargetNotice{}, true},
		{"sent after", 110, 200, tpmessage.TargetNotice{}, false},
		{"malformed limit", 110, 200, tpmessage.TargetNotice{LimitStatement: tpmessage.LimitUnstated}, true},
		{"another limit", 110, 200, namesLimit(9), true},
	} {
		p := newPlacer(tpplace.Affinity{}, []tpmessage.RelayTarget{s0})
		p.Step(epoch, answered(at(50), at(100), s0, namesLimit(2)))
		p.Step(epoch, answered(at(test.sent), at(test.at), s0, test.n))
		notices := p.Notices()
		if got := notices.IsLimited(&s0); got != test.limited {
			t.Errorf("%s: got limited %v, want %v", test.name, got, test.limited)
		}
	}
}

// Guards against a node that exceeds a limit of which only other nodes have heard, also after those are gone.
func TestLimitOfAPeerIsKept(t *testing.T) {
	s0 := service("s0")
	p := newPlacer(tpplace.Affinity{}, []tpmessage.RelayTarget{s0, service("s1")})
	loads := func(at time.Time, statement tpmessage.LimitStatement, age time.Duration) tpplace.Input {
		return tpplace.Input{Kind: tpplace.InputLoads, Nodes: 2, Loads: []tpmessage.NodeLoad{{Node: "node-1", At: at, Limits: []tpmessage.TargetLimit{
			{Target: "s0", StartedMs: 1, Statement: statement, PerSecond: 2, Age: age},
		}}}}
	}
	p.Step(epoch, loads(epoch, tpmessage.LimitNamed, 300*time.Millisecond))
	p.Step(epoch, tpplace.Input{Kind: tpplace.InputLoads, Nodes: 1})
	if got := mustGrant(t, p, epoch, call(epoch)).Target.Name; got != "s1" {
		t.Errorf("limit of a node that is gone: got %s, want s1", got)
	}
	p.Step(epoch, loads(epoch, tpmessage.LimitAbsent, 400*time.Millisecond))
	if got := mustGrant(t, p, epoch, call(epoch)).Target.Name; got != "s1" {
		t.Errorf("after an older answer without a limit: got %s, want s1", got)
	}
	p.Step(epoch, loads(epoch, tpmessage.LimitAbsent, 200*time.Millisecond))
	restarted := s0
	restarted.StartedMs = 2
	notices := p.Notices()
	if notices.IsLimited(&s0) || notices.IsLimited(&restarted) {
		t.Error("after a later answer without a limit: the target still has one")
	}
}

// Guards against a prefix that is fetched from a target with a limit.
func TestTargetWithALimitIsNoSourceOfAPrefix(t *testing.T) {
	list := fleet(3, 1)
	fetches := func(limited bool) string {
		p := newPlacer(tpplace.LeastLoaded{}, list)
		source := mustGrant(t, p, epoch, targetRequest(request(7, 8000, 1000), tpplace.StepPrefill)).Target
		if limited {
			p.Step(epoch, answered(epoch, epoch, source, namesLimit(2)))
		}
		return mustGrant(t, p, epoch, targetRequest(request(7, 8000, 1000), tpplace.StepPrefill)).FetchAddress
	}
	if got, want := fetches(false), "p0:80"; got != want {
		t.Errorf("without a limit: got fetch address %q, want %q", got, want)
	}
	if got := fetches(true); got != "" {
		t.Errorf("with a limit: got fetch address %q, want none", got)
	}
}

// Guards against prompts that are read although no target may generate from them.
func TestPromptIsNotReadWithoutATargetThatMayGenerate(t *testing.T) {
	list := fleet(2, 1)
	p := newPlacer(tpplace.Affinity{}, list)
	p.Step(epoch, answered(epoch, epoch, list[2], namesLimit(2)))
	if g, _ := p.Step(epoch, targetRequest(request(7, 8000, 1000), tpplace.StepFirst)); g.Refusal == nil {
		t.Errorf("got a step at %s, want a refusal", g.Target.Name)
	}
	p.Step(epoch, allowances(list[2], 1, time.Second))
	if got := mustGrant(t, p, epoch, targetRequest(request(7, 8000, 1000), tpplace.StepFirst)).Step; got != tpplace.StepPrefill {
		t.Errorf("with an allowance: got step %v, want %v", got, tpplace.StepPrefill)
	}
}

// Guards against load reports that grow with the number of targets.
func TestLoadNamesABoundedNumberOfLimits(t *testing.T) {
	var list []tpmessage.RelayTarget
	for i := range 500 {
		list = append(list, service(fmt.Sprintf("s%03d", i)))
	}
	p := newPlacer(tpplace.Affinity{}, list)
	for _, target := range list {
		p.Step(epoch, answered(epoch, epoch, target, namesLimit(2)))
	}
	g, _ := p.Step(epoch, call(epoch))
	if g.Refusal == nil {
		t.Errorf("got a step at %s, want a refusal", g.Target.Name)
	}
	limits := p.Load(epoch).Limits
	if got, want := len(limits), 64; got != want {
		t.Errorf("limits in a load: got %d, want %d", got, want)
	}
	if len(limits) > 0 && limits[0].Demand == 0 {
		t.Error("the first limit in a load has no demand")
	}
}
