package tprelay_test

import (
	"testing"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a request that is counted twice because it reached two targets,
// against one that is counted although nothing began, and against one that may
// have run and is not counted.
func TestBeginIsCountedOnce(t *testing.T) {
	const (
		none   = iota
		atSend // before the first run began
		atAnswer
	)
	repeatable := tpmessage.RelayRoute{Idempotent: true, MaxAttempts: 2}
	for _, test := range []struct {
		name     string
		step     tpplace.Step
		route    tpmessage.RelayRoute
		attempts []attempt
		want     int
	}{
		{"stream", tpplace.StepRun, resumable, []attempt{{3, tprelay.EndComplete, 200}}, atAnswer},
		{"stream resumed at another engine", tpplace.StepRun, resumable, []attempt{{2, tprelay.EndIncomplete, 200}, {1, tprelay.EndComplete, 200}}, atAnswer},
		{"stream without a token", tpplace.StepRun, notResumable, []attempt{{0, tprelay.EndIncomplete, 200}}, none},
		{"engine that refuses", tpplace.StepRun, resumable, []attempt{{0, tprelay.EndNotRun, 0}}, none},
		{"call", tpplace.StepCall, notRepeatable, []attempt{{0, tprelay.EndComplete, 200}}, atAnswer},
		{"call answered with an error", tpplace.StepCall, notRepeatable, []attempt{{0, tprelay.EndComplete, 500}}, atAnswer},
		{"call that fails twice", tpplace.StepCall, repeatable, []attempt{{0, tprelay.EndComplete, 500}, {0, tprelay.EndComplete, 500}}, atAnswer},
		{"call whose answer is cut", tpplace.StepCall, notRepeatable, []attempt{{0, tprelay.EndIncomplete, 200}}, atAnswer},
		{"call with an unknown outcome", tpplace.StepCall, notRepeatable, []attempt{{0, tprelay.EndTimeout, 0}}, atSend},
		{"call refused by all", tpplace.StepCall, notRepeatable, []attempt{{0, tprelay.EndNotRun, 0}}, none},
		{"call that was not sent", tpplace.StepCall, notRepeatable, []attempt{{0, tprelay.EndNotSent, 0}}, none},
	} {
		u := &scriptedUpstream{attempts: test.attempts, silent: test.want == atSend}
		runScript(t, u, test.route, test.step, len(test.attempts)-1)
		got := none
		if len(u.begins) > 0 {
			got = atAnswer
			if u.begins[0].Before(u.runAt[0]) {
				got = atSend
			}
		}
		if got != test.want || len(u.begins) > 1 {
			t.Errorf("%s: got %d begins, the first of kind %d, want kind %d", test.name, len(u.begins), got, test.want)
		}
	}
}
