package tptarget_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/request/stage5/tpsender"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// run sends one request to a handler and returns the result, the texts that
// were delivered, and how often the handler was called.
func run(t *testing.T, req tpmessage.Request, h http.HandlerFunc) (tpsender.Result, []string, int64) {
	t.Helper()
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		h(w, r)
	}))
	defer srv.Close()
	tr, cleanup := tptarget.NewTransport(tptarget.Settings{
		FirstTimeout: 200 * time.Millisecond, ChunkTimeout: 200 * time.Millisecond,
	})
	defer cleanup()
	var texts []string
	res := tr.Run(t.Context(), &req, tpmessage.Target{Name: "a", Address: srv.Listener.Addr().String()}, 0,
		func(c tpmessage.Chunk) error {
			texts = append(texts, c.Text)
			if c.End {
				return tpsender.ErrComplete
			}
			return nil
		})
	return res, texts, calls.Load()
}

// Guards against a body that is sent to a second address, or a second time,
// below the only layer that may send again.
func TestOneSend(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/calls/again", http.StatusTemporaryRedirect)
		},
		"cut": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		for _, idempotent := range []bool{false, true} {
			req := tpmessage.Request{ID: "r", Kind: tpmessage.KindCall, Key: "k", Idempotent: idempotent, Body: []byte("x")}
			if _, _, calls := run(t, req, h); calls != 1 {
				t.Errorf("%s, idempotent %v: got %d sends, want 1", name, idempotent, calls)
			}
		}
	}
}

// Guards against a silent target that holds its stream until the deadline.
func TestSilenceEndsAttempt(t *testing.T) {
	for name, lines := range map[string]string{"first chunk": "", "next chunk": `{"text":"one"}` + "\n"} {
		res, _, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true}, func(w http.ResponseWriter, r *http.Request) {
			if lines != "" {
				_, _ = io.WriteString(w, lines)
				_ = http.NewResponseController(w).Flush()
			}
			<-r.Context().Done()
		})
		if res.Outcome != tpmessage.OutcomeCut || !res.Stalled {
			t.Errorf("silence before the %s: got outcome %d, stalled %v, want a stalled cut", name, res.Outcome, res.Stalled)
		}
	}
}

// Guards against a line without end that fills the node's memory.
func TestLineIsBounded(t *testing.T) {
	res, texts, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true}, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"text":"%s"}`+"\n", strings.Repeat("x", 2*tptarget.MaxLineBytes))
	})
	if res.Outcome != tpmessage.OutcomeFailed || len(texts) != 0 {
		t.Errorf("line over the bound: got outcome %d and %d chunks, want failed and none", res.Outcome, len(texts))
	}
}

// Guards against a cut that is taken for the end, and against an end whose
// report is lost because it came before a late chunk.
func TestEndIsExplicit(t *testing.T) {
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
	}
	res, _, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true}, answer(`{"text":"one"}`+"\n"))
	if res.Outcome != tpmessage.OutcomeCut {
		t.Errorf("answer without an end: got outcome %d, want cut", res.Outcome)
	}
	res, texts, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true},
		answer(`{"text":"one"}`+"\n"+`{"text":"two","end":true,"decodePieces":2,"load":{"target":"a"}}`+"\n"))
	if res.Outcome != tpmessage.OutcomeDone || res.DecodePieces != 2 || res.Report == nil || len(texts) != 2 {
		t.Errorf("whole answer: got %+v with %d chunks, want done with its report", res, len(texts))
	}
}

// Guards against a refusal that is taken for a run, and one without the word
// that the target is leaving.
func TestRefusalOfLeavingTarget(t *testing.T) {
	res, _, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(tptarget.HeaderRefused, "true")
		w.Header().Set(tptarget.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	if res.Outcome != tpmessage.OutcomeRefused || res.Report == nil || !res.Report.Leaving {
		t.Errorf("refusal: got %+v, want refused and leaving", res)
	}
}

// Guards against a dead target that counts as alive, and a paused one that
// counts as dead.
func TestReachable(t *testing.T) {
	tr, cleanup := tptarget.NewTransport(tptarget.Settings{})
	defer cleanup()
	srv := httptest.NewServer(http.NotFoundHandler())
	alive := tpmessage.Target{Address: srv.Listener.Addr().String()}
	if !tr.Reachable(t.Context(), alive) {
		t.Error("live target: got not reachable")
	}
	srv.Close()
	if tr.Reachable(t.Context(), alive) {
		t.Error("dead target: got reachable")
	}
	dying := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer dying.Close()
	if tr.Reachable(t.Context(), tpmessage.Target{Address: dying.Listener.Addr().String()}) {
		t.Error("target that ends its connections: got reachable")
	}
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	if !tr.Reachable(t.Context(), tpmessage.Target{Address: silent.Listener.Addr().String()}) {
		t.Error("silent target: got not reachable")
	}
}
