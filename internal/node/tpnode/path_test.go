package tpnode_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/node/tpnode"
	"teaselpin.example/teaselpin/internal/request/stage1/tpintake"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against answers that are truncated, mixed up or out of order on the
// path from caller to engine and back, with more callers than one batch holds.
func TestLanguagePath(t *testing.T) {
	node := startNode(t, startEngines(t, 3))
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			id := uuid.Must(uuid.NewV7()).String()
			got, err := stream(node, id, fmt.Sprintf("question %d", i), 40)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			var want strings.Builder
			for number := range 10 {
				want.WriteString(tpenginefake.ChunkText(id, 7, number))
			}
			if got != want.String() {
				t.Errorf("request %d: got %q, want %q", i, got, want.String())
			}
		})
	}
	wg.Wait()
}

func startEngines(t *testing.T, n int) []tpmessage.Target {
	t.Helper()
	duties, stop := tpduty.NewRunner(tpduty.Settings{})
	t.Cleanup(stop)
	targets := make([]tpmessage.Target, n)
	for i := range targets {
		name := fmt.Sprintf("engine-%d", i)
		e, cleanup, err := tpenginefake.New(tpenginefake.Settings{Name: name}, duties)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(srv.Close)
		targets[i] = tpmessage.Target{Name: name, Address: srv.Listener.Addr().String(), Zone: "milano-a"}
	}
	return targets
}

func startNode(t *testing.T, engines []tpmessage.Target) *tpnode.Node {
	t.Helper()
	n, cleanup, err := tpnode.New(tpnode.Settings{
		Name: "node-0", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", StopGrace: time.Millisecond,
	}, tpnode.Deps{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	n.Apply(&tpmessage.Snapshot{Generation: 1, Config: tpmessage.Config{
		Pools:         []tpmessage.Pool{{Name: "language", Kind: tpmessage.PoolEngine, Targets: engines}},
		Routes:        []tpmessage.Route{{Path: "/v1/language", Pool: "language", Idempotent: true}},
		Organisations: []tpmessage.Organisation{{Name: "bergamo", Share: 1, TokenHash: tpintake.TokenHash("secret")}},
	}})
	return n
}

// stream sends one language request and returns its whole answer.
func stream(n *tpnode.Node, id, prompt string, maxTokens int) (string, error) {
	body, err := json.Marshal(tpfront.LanguageBody{Prompt: prompt, MaxTokens: maxTokens, Seed: 7})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress()+"/v1/language", strings.NewReader(string(body)))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set(tpfront.HeaderRequestID, id)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return "", fmt.Errorf("status %s: %s", resp.Status, text)
	}
	return readAnswer(resp.Body)
}

func readAnswer(r io.Reader) (string, error) {
	var answer strings.Builder
	ended := false
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		if kind, ok := strings.CutPrefix(line, "event: "); ok {
			if kind == "error" {
				return answer.String(), fmt.Errorf("the stream ended with an error event")
			}
			ended = kind == "end"
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			var c tpfront.ChunkData
			if err := json.Unmarshal([]byte(data), &c); err != nil {
				return "", err
			}
			answer.WriteString(c.Text)
		}
	}
	if !ended {
		return answer.String(), fmt.Errorf("the stream ended without an end event")
	}
	return answer.String(), scanner.Err()
}
