// Package proof_test tests the programs as separate processes, with stand-ins
// for the platform, the engines and the services.
package proof_test

import (
	"os"
	"testing"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
)

func TestMain(m *testing.M) { os.Exit(tpprocess.RunTests(m)) }

// Guards against a request path that works only inside one process: each of two
// nodes, started as a process of its own, streams a complete answer and ends
// with status 0 on SIGTERM.
func TestPathThroughProcesses(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 2, Nodes: 2})
	c := tphistory.NewCaller(0, tpprocess.Token)
	for _, node := range f.Nodes {
		id := uuid.Must(uuid.NewV7()).String()
		body := tpfront.LanguageBody{Prompt: "which voucher?", MaxTokens: 20, Seed: 3}
		op := c.Stream(t.Context(), node.Addresses[0], "/v1/language", id, body, -1)
		want := ""
		for n := range 5 {
			want += tpenginefake.ChunkText(id, 3, n)
		}
		if op.Outcome != tphistory.OutcomeOK || op.Answer != want {
			t.Errorf("%s: got %s %q (%+v), want ok %q", node.Name, op.Outcome, op.Answer, op.Refusal, want)
		}
	}
	for _, node := range f.Nodes {
		if err := node.Stop(t, tpprocess.StartTimeout); err != nil {
			t.Errorf("planned stop of %s: got %v, want status 0", node.Name, err)
		}
	}
}
