package proof_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against an answer that is cut when engines die in mid-stream, two at
// the same time and then a third.
func TestStreamsEnginesKilled(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 5, Nodes: 2})
	l := newLoad(t, f)
	for _, killed := range [][]int{{0, 1}, {2}} {
		clear(l.reached)
		wg := l.askAll(20, 800)
		l.midStream(20)
		for _, i := range killed {
			f.Engines[i].Kill()
		}
		wg.Wait()
	}
	for _, op := range l.ops {
		if op.Outcome == tphistory.Unknown {
			t.Errorf("request %s: the connection ended without an end", op.RequestID)
		}
	}
}

// Guards against streams that hang while an engine is paused, and against
// chunks that it sends after it wakes.
func TestStreamsEnginePaused(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 2})
	l := newLoad(t, f)
	wg := l.askAll(12, 800)
	l.midStream(12)
	f.Engines[0].Pause(t)
	wg.Wait()
	f.Engines[0].Resume(t)
	l.askAll(12, 40).Wait()
}

// Guards against an answer that a caller cannot finish at another node after
// its entry node died.
func TestStreamsNodeKilled(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 3})
	l := newLoad(t, f)
	wg := l.askAll(18, 800)
	l.midStream(18)
	f.Nodes[0].Kill()
	f.Engines[0].Kill()
	wg.Wait()
}

// Guards against a paused node whose callers go on elsewhere, and which sends
// the rest of old answers when it wakes.
func TestStreamsNodePaused(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 2})
	l := newLoad(t, f)
	wg := l.askAll(8, 800)
	l.midStream(8)
	f.Nodes[0].Pause(t)
	wg.Wait()
	f.Nodes[0].Resume(t)
	l.askAll(8, 40).Wait()
}

// Guards against late, doubled and crossed chunks that reach a caller, alone
// and together with cuts.
func TestStreamsDamagedChunks(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 1})
	l := newLoad(t, f)
	for _, faults := range []tpenginefake.Faults{
		{LateEvery: 3},
		{DoubleEvery: 2},
		{CrossEvery: 2},
		{LateEvery: 5, DoubleEvery: 3, CrossEvery: 2, Cuts: 3, CutAfter: 9},
	} {
		for _, e := range f.Engines {
			setFaults(t, e, faults)
		}
		l.askAll(8, 200).Wait()
	}
}

// Guards against an answer that is put together from two targets that differ:
// it must end with an explicit error.
func TestStreamsDifferentAnswers(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 2, Nodes: 1})
	l := newLoad(t, f)
	setFaults(t, f.Engines[0], tpenginefake.Faults{Corrupt: true, Cuts: -1, CutAfter: 10})
	setFaults(t, f.Engines[1], tpenginefake.Faults{Cuts: -1, CutAfter: 10})
	refused := 0
	for caller := range 4 {
		id := uuid.Must(uuid.NewV7()).String()
		op := l.connect(caller, f.Nodes[0].Addresses[0], id,
			tpfront.LanguageBody{Prompt: "which voucher?", MaxTokens: 400, Seed: streamsSeed}, -1)
		corrupt := strings.Contains(op.Answer, f.Engines[0].Name)
		mixed := corrupt && strings.HasPrefix(op.Answer, tpenginefake.ChunkText(id, streamsSeed, 0))
		switch {
		case op.Outcome == tphistory.Unknown || mixed:
			t.Errorf("request %s: got %s %q, want an explicit error", id, op.Outcome, op.Answer)
		case op.Outcome == tphistory.Refused && op.Refusal.Code == tpmessage.RefusalIncomplete:
			refused++
		}
	}
	if refused == 0 {
		t.Error("answers that two targets give differently: got no explicit error")
	}
}

// Guards against a caller that does not read its answer and holds back others.
func TestStreamsSlowCaller(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 2, Nodes: 1})
	l := newLoad(t, f)
	for range 4 {
		body := strings.NewReader(`{"prompt":"a whole season","maxTokens":400000,"seed":1}`)
		req, err := http.NewRequest(http.MethodPost, "http://"+f.Nodes[0].Addresses[0]+"/v1/language", body)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+tpprocess.Token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
	}
	l.askAll(12, 200).Wait()
	for _, op := range l.ops {
		if op.Outcome != tphistory.OK {
			t.Errorf("request %s beside slow callers: got %s, want ok", op.RequestID, op.Outcome)
		}
	}
}
