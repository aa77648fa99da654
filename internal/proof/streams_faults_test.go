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

// Guards against an incomplete answer when engines are killed in mid-stream,
// two at the same time and then a third.
func TestStreamsEnginesKilled(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 5, Nodes: 2})
	l := newStreamLoad(t, f)
	for _, killed := range [][]int{{0, 1}, {2}} {
		clear(l.chunksReceived)
		wg := l.requestAll(20, 800)
		l.waitFirstChunks(20)
		for _, i := range killed {
			f.Engines[i].Kill()
		}
		wg.Wait()
	}
	for _, op := range l.ops {
		if op.Outcome == tphistory.OutcomeUnknown {
			t.Errorf("request %s: the connection closed before the end of the answer", op.RequestID)
		}
	}
}

// Guards against a stream that hangs while its engine is paused, and against
// chunks of old streams that the engine sends after it resumes.
func TestStreamsEnginePaused(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 2})
	l := newStreamLoad(t, f)
	wg := l.requestAll(12, 800)
	l.waitFirstChunks(12)
	f.Engines[0].Pause(t)
	wg.Wait()
	f.Engines[0].Resume(t)
	l.requestAll(12, 40).Wait()
}

// Guards against an answer that a caller cannot complete through another node
// after its entry node, and an engine with it, is killed in mid-stream.
func TestStreamsNodeKilled(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 3})
	l := newStreamLoad(t, f)
	wg := l.requestAll(18, 800)
	l.waitFirstChunks(18)
	f.Nodes[0].Kill()
	f.Engines[0].Kill()
	wg.Wait()
}

// Guards against a node that resumes after a pause and sends the rest of old
// answers, although their callers have continued at another node.
func TestStreamsNodePaused(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 2})
	l := newStreamLoad(t, f)
	wg := l.requestAll(8, 800)
	l.waitFirstChunks(8)
	f.Nodes[0].Pause(t)
	wg.Wait()
	f.Nodes[0].Resume(t)
	l.requestAll(8, 40).Wait()
}

// Guards against a caller that receives chunks out of order, twice or of
// another request, because its engine sends them so. The faults occur alone and
// together with cut streams.
func TestStreamsDamagedChunks(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 3, Nodes: 1})
	l := newStreamLoad(t, f)
	for _, faults := range []tpenginefake.Faults{
		{ReorderEvery: 3},
		{DuplicateEvery: 2},
		{ForeignEvery: 2},
		{ReorderEvery: 5, DuplicateEvery: 3, ForeignEvery: 2, Cuts: 3, CutAfter: 9},
	} {
		for _, e := range f.Engines {
			setFaults(t, e, faults)
		}
		l.requestAll(8, 200).Wait()
	}
}

// Guards against an answer that is assembled from the different outputs of two
// engines for one request. Both engines cut every stream, so that no engine
// alone completes the answer; it must end with an explicit error.
func TestStreamsDifferentAnswers(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 2, Nodes: 1})
	l := newStreamLoad(t, f)
	setFaults(t, f.Engines[0], tpenginefake.Faults{CorruptText: true, Cuts: -1, CutAfter: 10})
	setFaults(t, f.Engines[1], tpenginefake.Faults{Cuts: -1, CutAfter: 10})
	refused := 0
	for caller := range 4 {
		id := uuid.Must(uuid.NewV7()).String()
		op := l.connect(caller, f.Nodes[0].Addresses[0], id,
			tpfront.LanguageBody{Prompt: "which voucher?", MaxTokens: 400, Seed: streamsSeed}, -1)
		hasCorrupt := strings.Contains(op.Answer, f.Engines[0].Name)
		mixed := hasCorrupt && strings.HasPrefix(op.Answer, tpenginefake.ChunkText(id, streamsSeed, 0))
		switch {
		case op.Outcome == tphistory.OutcomeUnknown || mixed:
			t.Errorf("request %s: got %s %q, want an explicit error", id, op.Outcome, op.Answer)
		case op.Outcome == tphistory.OutcomeRefused && op.Refusal.Code == tpmessage.RefusalIncomplete:
			refused++
		}
	}
	if refused == 0 {
		t.Error("answers that differ between two engines: got no explicit error")
	}
}

// Guards against a caller that does not read its answer and thereby blocks the
// answers of other callers.
func TestStreamsSlowCaller(t *testing.T) {
	f := tpprocess.StartFleet(t, tpprocess.FleetSettings{Engines: 2, Nodes: 1})
	l := newStreamLoad(t, f)
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
	l.requestAll(12, 200).Wait()
	for _, op := range l.ops {
		if op.Outcome != tphistory.OutcomeOK {
			t.Errorf("request %s beside slow callers: got %s, want ok", op.RequestID, op.Outcome)
		}
	}
}
