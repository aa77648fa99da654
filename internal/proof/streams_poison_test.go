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

// askOnce makes one connection for a new short request.
func (l *load) askOnce(caller int, node string) tphistory.Operation {
	id := uuid.Must(uuid.NewV7()).String()
	return l.connect(caller, node, id, tpfront.LanguageBody{Prompt: "one more", MaxTokens: 8, Seed: streamsSeed}, -1)
}

// Guards against a request that takes down more than two engines when its
// caller sends it again and again through all nodes, and against the innocent
// requests beside it, which must get whole answers and must not be blamed.
func TestStreamsPoison(t *testing.T) {
	const innocents = 12
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{
		Engines: 6, Nodes: 2, EngineArgs: []string{"--poison", "POISON"},
	})
	l := newLoad(t, f)
	var stop atomic.Bool
	wg := l.keepAsking(innocents, 600, &stop)
	l.midStream(innocents)
	body := tpfront.LanguageBody{Prompt: "a dossier with POISON in it", MaxTokens: 100, Seed: streamsSeed}
	refusedBy := make(map[string]int)
	tpprocess.Eventually(t, "both nodes refuse the poison", func() bool {
		for _, n := range f.Nodes {
			op := l.connect(innocents, n.Addresses[0], uuid.Must(uuid.NewV7()).String(), body, -1)
			if op.Outcome == tphistory.OK {
				t.Fatal("the poison got an answer")
			}
			if op.Refusal.Code == tpmessage.RefusalQuarantined {
				refusedBy[n.Name]++
			}
		}
		return refusedBy[f.Nodes[0].Name] >= 5 && refusedBy[f.Nodes[1].Name] >= 5
	})
	stop.Store(true)
	wg.Wait()
	if got := ended(f.Engines); got > tpquarantine.MaxCrashes {
		t.Errorf("engines lost: got %d, want at most %d", got, tpquarantine.MaxCrashes)
	}
	for caller := range innocents {
		l.askWhole(caller, fmt.Sprintf("question 0 of caller %d", caller), 40)
	}
	for _, op := range l.ops {
		if op.Caller < innocents && op.Outcome != tphistory.OK && !op.Refusal.NotRun {
			t.Errorf("innocent request %s: got %s %+v, want its whole answer at once", op.RequestID, op.Outcome, op.Refusal)
		}
	}
}

// ended counts the processes that have ended.
func ended(processes []*tpprocess.Process) int {
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
