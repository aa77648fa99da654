package proof_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/guard/tpquarantine"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// requestOnce makes one connection for a new short request and does not retry.
func (l *streamLoad) requestOnce(caller int, node string) tphistory.Operation {
	id := uuid.Must(uuid.NewV7()).String()
	return l.connect(caller, node, id, tpfront.LanguageBody{Prompt: "one more", MaxTokens: 8, Seed: streamsSeed}, -1)
}

// Guards against a request that crashes engines and, sent repeatedly through
// all nodes, crashes more than two of them. Also guards against the quarantine
// of other requests that ran on the crashed engines: these must get complete
// answers.
func TestStreamsPoison(t *testing.T) {
	const otherCallers = 12
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{
		Engines: 6, Nodes: 2, EngineArgs: []string{"--poison", "POISON"},
	})
	l := newStreamLoad(t, f)
	var stop atomic.Bool
	wg := l.requestUntil(otherCallers, 600, &stop)
	l.waitFirstChunks(otherCallers)
	body := tpfront.LanguageBody{Prompt: "a dossier with POISON in it", MaxTokens: 100, Seed: streamsSeed}
	refusedBy := make(map[string]int)
	tpprocess.Eventually(t, "both nodes refuse the request that crashes engines", func() bool {
		for _, n := range f.Nodes {
			op := l.connect(otherCallers, n.Addresses[0], uuid.Must(uuid.NewV7()).String(), body, -1)
			if op.Outcome == tphistory.OutcomeOK {
				t.Fatal("the request that crashes engines got a complete answer")
			}
			if op.Refusal.Code == tpmessage.RefusalQuarantined {
				refusedBy[n.Name]++
			}
		}
		return refusedBy[f.Nodes[0].Name] >= 5 && refusedBy[f.Nodes[1].Name] >= 5
	})
	stop.Store(true)
	wg.Wait()
	if got := countEnded(f.Engines); got > tpquarantine.MaxCrashes {
		t.Errorf("engines crashed: got %d, want at most %d", got, tpquarantine.MaxCrashes)
	}
	for caller := range otherCallers {
		l.requestAndCheck(caller, fmt.Sprintf("question 0 of caller %d", caller), 40)
	}
	for _, op := range l.ops {
		if op.Caller < otherCallers && op.Outcome != tphistory.OutcomeOK && !op.Refusal.NotRun {
			t.Errorf("other request %s: got %s %+v, want the complete answer over one connection, or a refusal as not run", op.RequestID, op.Outcome, op.Refusal)
		}
	}
}

// countEnded counts the processes that have ended.
func countEnded(processes []*tpprocess.Process) int {
	n := 0
	for _, p := range processes {
		select {
		case <-p.Done():
			n++
		default:
		}
	}
	return n
}
