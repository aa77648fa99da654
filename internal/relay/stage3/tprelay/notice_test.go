package tprelay_test

import (
	"testing"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

func blocks(names ...string) func(*tpmessage.RelayTarget) bool {
	return func(t *tpmessage.RelayTarget) bool {
		for _, name := range names {
			if t.Name == name {
				return true
			}
		}
		return false
	}
}

// Guards against a granted request that is sent although its target said that it is leaving, or asked for a pause.
func TestGrantedRequestIsWithheld(t *testing.T) {
	u := &scriptedUpstream{attempts: []attempt{{0, tprelay.EndComplete, 200}}}
	out, results := runScriptBlocked(t, u, notRepeatable, tpplace.StepCall, 1, blocks("t0"))
	if !out.ended || len(u.runs) != 1 || u.runs[0].Target.Name != "t1" {
		t.Errorf("call: got %+v after %d runs, want a complete answer of t1 after one", out, len(u.runs))
	}
	if len(results) != 2 || results[0].Outcome != tpplace.OutcomeAbandoned {
		t.Errorf("results reported to the placer: got %+v, want the first abandoned", results)
	}
	u = &scriptedUpstream{prefill: []tprelay.End{tprelay.EndComplete}, attempts: []attempt{{2, tprelay.EndComplete, 200}}}
	out, _ = runScriptBlocked(t, u, notResumable, tpplace.StepPrefill, 2, blocks("t0"))
	if !out.ended || u.runs[0].Handle.Address != "t1:1" || u.runs[0].Target.Name != "t2" {
		t.Errorf("prefill: got %+v, want a run at t2 from a handle of t1", out)
	}
}

// Guards against an answer other than a promise that the request has not run when all its targets are blocked.
func TestWithheldRequestIsRefused(t *testing.T) {
	out, _ := runScriptBlocked(t, &scriptedUpstream{}, notRepeatable, tpplace.StepCall, 0, blocks("t0"))
	if out.refusal == nil || out.refusal.Status != tpmessage.StatusUnavailable || out.refusal.RetryAfter <= 0 {
		t.Errorf("call: got %+v, want a refusal with status 503 and a delay", out)
	}
	u := &scriptedUpstream{attempts: []attempt{{3, tprelay.EndIncomplete, 200}}}
	out, results := runScriptBlocked(t, u, resumable, tpplace.StepRun, 1, blocks("t1"))
	if out.ended || !out.broken {
		t.Errorf("resumed stream: got ended %v, broken %v, want a broken answer", out.ended, out.broken)
	}
	if len(results) != 2 || results[1].Events != 0 {
		t.Errorf("results reported to the placer: got %+v, want no event of the withheld run", results)
	}
}

func TestHandleOfBlockedTargetExpires(t *testing.T) {
	u := &scriptedUpstream{prefill: []tprelay.End{tprelay.EndComplete}}
	wasRead := false
	out, _ := runScriptBlocked(t, u, notResumable, tpplace.StepPrefill, 0, func(*tpmessage.RelayTarget) bool {
		defer func() { wasRead = true }()
		return wasRead
	})
	if out.refusal == nil || len(u.freed) != 0 {
		t.Errorf("got refusal %+v and freed %v, want a refusal and no handle freed", out.refusal, u.freed)
	}
}
