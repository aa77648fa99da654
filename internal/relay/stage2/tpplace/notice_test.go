package tpplace_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var app = tpmessage.RelayPool{Name: "app"}

func service(name string) tpmessage.RelayTarget {
	return tpmessage.RelayTarget{
		Target: tpmessage.Target{Name: name, Address: name + ":80", Zone: "a"}, Pool: "app", StartedMs: 1,
	}
}

func call(now time.Time) tpplace.Input {
	return targetRequest(&tpmessage.RelayRequest{
		ID: "r", Pool: app, ResumeAfter: -1, Arrived: now, Deadline: now.Add(5 * time.Second),
	}, tpplace.StepFirst)
}

func notice(at time.Time, target tpmessage.RelayTarget, n tpmessage.TargetNotice) tpplace.Input {
	return tpplace.Input{Kind: tpplace.InputNotice, Notice: tpplace.Notice{TargetNotice: n, Target: target, At: at}}
}

var saysLeaving = tpmessage.TargetNotice{Leaving: true}

// Guards against a prompt, a run, a retry, a resume or a call at a target that
// has said that it is leaving while its registration says ready.
func TestLeavingTargetGetsNoStep(t *testing.T) {
	list := append(fleet(2, 2), service("s0"), service("s1"))
	p := newPlacer(tpplace.Affinity{}, list)
	for _, i := range []int{0, 2, 4} { // p0, d0, s0
		p.Step(epoch, notice(epoch, list[i], saysLeaving))
	}
	resume := request(0, 0, 100)
	resume.ResumeAfter = 4
	for _, test := range []struct {
		name string
		in   tpplace.Input
		want string
	}{
		{"prefill", targetRequest(request(7, 8000, 1000), tpplace.StepPrefill), "p1"},
		{"run", targetRequest(request(0, 0, 100), tpplace.StepRun), "d1"},
		{"resume", targetRequest(resume, tpplace.StepRun), "d1"},
		{"call", call(epoch), "s1"},
	} {
		for _, isRetry := range []bool{false, true} {
			in := test.in
			in.TargetRequest.IsRetry = isRetry
			if got := mustGrant(t, p, epoch, in).Target.Name; got != test.want {
				t.Errorf("%s, retry %v: got %s, want %s", test.name, isRetry, got, test.want)
			}
		}
	}
}

// Guards against a leaving target that is used as the last one of its pool.
func TestOnlyLeavingTargetIsRefused(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, []tpmessage.RelayTarget{service("s0")})
	p.Step(epoch, notice(epoch, service("s0"), saysLeaving))
	g, _ := p.Step(epoch, call(epoch))
	if g.Refusal == nil || g.Refusal.Status != tpmessage.StatusUnavailable || g.Refusal.RetryAfter <= 0 {
		t.Errorf("without another target: got %+v, want a refusal with status 503 and a delay", g)
	}
}

// Guards against a leaving target that is used again because another list of
// the same process arrives, and against a new process of the same name that
// stays out of use.
func TestLeavingBelongsToTheProcess(t *testing.T) {
	ready := service("s0")
	p := newPlacer(tpplace.Affinity{}, []tpmessage.RelayTarget{ready})
	p.Step(epoch, notice(epoch, ready, saysLeaving))
	otherRevision, restarted, moved := ready, ready, ready
	otherRevision.Revision = 9
	restarted.StartedMs = 2
	moved.Address = "s0:81"
	for _, test := range []struct {
		name    string
		list    []tpmessage.RelayTarget
		refused bool
	}{
		{"newer list", []tpmessage.RelayTarget{otherRevision}, true},
		{"older list", []tpmessage.RelayTarget{ready}, true},
		{"lapsed registration", nil, true},
		{"registration that returns", []tpmessage.RelayTarget{ready}, true},
		{"new process", []tpmessage.RelayTarget{restarted}, false},
		{"new address", []tpmessage.RelayTarget{moved}, false},
		{"old process again", []tpmessage.RelayTarget{ready}, true},
	} {
		p.Step(epoch, tpplace.Input{Kind: tpplace.InputTargets, Targets: test.list})
		g, _ := p.Step(epoch, call(epoch))
		if got := g.Refusal != nil; got != test.refused {
			t.Errorf("%s: got refused %v, want %v", test.name, got, test.refused)
		}
	}
}

// Guards against a late answer of an ended process that takes the new process
// of the same name out of use.
func TestNoticeOfAnEndedProcess(t *testing.T) {
	restarted := service("s0")
	restarted.StartedMs = 2
	p := newPlacer(tpplace.Affinity{}, []tpmessage.RelayTarget{restarted})
	p.Step(epoch, notice(epoch, service("s0"), saysLeaving))
	mustGrant(t, p, epoch, call(epoch))
}

// Guards against a prompt that makes its target fetch a prefix from a target
// that is leaving.
func TestLeavingTargetIsNoPrefixSource(t *testing.T) {
	list := fleet(2, 1)
	p := newPlacer(tpplace.Affinity{}, list)
	g := mustGrant(t, p, epoch, targetRequest(request(7, 13000, 3000), tpplace.StepFirst))
	p.Step(epoch, notice(epoch, g.Target, saysLeaving))
	next := mustGrant(t, p, epoch, targetRequest(request(7, 13000, 3000), tpplace.StepFirst))
	if next.Target.Name == g.Target.Name || next.FetchAddress != "" {
		t.Errorf("next prompt: got target %s and source %q, want another target than %s and no source", next.Target.Name, next.FetchAddress, g.Target.Name)
	}
}

// Guards against a log line for each answer of a leaving target, and against
// notices that are kept for ever after their process has gone.
func TestNoticesAreNewOnceAndExpire(t *testing.T) {
	p := newPlacer(tpplace.Affinity{}, []tpmessage.RelayTarget{service("s0")})
	n := notice(epoch, service("s0"), saysLeaving).Notice
	if !p.HandleNotice(n) {
		t.Error("first notice: got known, want new")
	}
	if p.HandleNotice(n) {
		t.Error("second notice: got new, want known")
	}
	later := epoch.Add(2 * time.Hour)
	p.Step(later, tpplace.Input{Kind: tpplace.InputTargets, Targets: []tpmessage.RelayTarget{service("s0")}})
	if p.HandleNotice(n) {
		t.Error("notice of a process that is registered: got new after two hours, want known")
	}
	p.Step(later, tpplace.Input{Kind: tpplace.InputTargets})
	if !p.HandleNotice(n) {
		t.Error("notice of a process that has gone two hours ago: got known, want forgotten")
	}
}
