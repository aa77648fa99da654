package tptarget_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/request/stage5/tpsender"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// run sends one request to a handler and returns the result, the texts of the
// delivered chunks, and the number of calls of the handler.
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
		FirstChunkTimeout: 200 * time.Millisecond, ChunkGapTimeout: 200 * time.Millisecond,
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

// Guards against a transport that sends a body a second time, after a redirect
// or after the connection ended without an answer. Only the sender may retry.
func TestOneSend(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/calls/again", http.StatusTemporaryRedirect)
		},
		"cut": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		for _, idempotent := range []bool{false, true} {
			req := tpmessage.Request{ID: "r", Kind: tpmessage.KindServiceCall, Key: "k", Idempotent: idempotent, Body: []byte("x")}
			if _, _, calls := run(t, req, h); calls != 1 {
				t.Errorf("%s, idempotent %v: got %d sends, want 1", name, idempotent, calls)
			}
		}
	}
}

// Guards against a target that sends nothing and keeps its stream open until
// the deadline.
func TestSilenceEndsAttempt(t *testing.T) {
	for name, lines := range map[string]string{"first chunk": "", "next chunk": `{"text":"one"}` + "\n"} {
		res, _, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true}, func(w http.ResponseWriter, r *http.Request) {
			if lines != "" {
				_, _ = io.WriteString(w, lines)
				_ = http.NewResponseController(w).Flush()
			}
			<-r.Context().Done()
		})
		if res.Outcome != tpmessage.OutcomeInterrupted || !res.Stalled {
			t.Errorf("silence before the %s: got outcome %d, stalled %v, want interrupted and stalled", name, res.Outcome, res.Stalled)
		}
	}
}

// Guards against an unbounded line that exhausts the node's memory.
func TestLineIsBounded(t *testing.T) {
	res, texts, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true}, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"text":"%s"}`+"\n", strings.Repeat("x", 2*tptarget.MaxLineBytes))
	})
	if res.Outcome != tpmessage.OutcomeFailed || len(texts) != 0 {
		t.Errorf("line over the bound: got outcome %d and %d chunks, want failed and none", res.Outcome, len(texts))
	}
}

// Guards against an answer without an end that counts as complete, and against
// the loss of the cost and the load report of an end that arrives before a
// delayed chunk.
func TestEndIsExplicit(t *testing.T) {
	handlerOf := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
	}
	res, _, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true}, handlerOf(`{"text":"one"}`+"\n"))
	if res.Outcome != tpmessage.OutcomeInterrupted {
		t.Errorf("answer without an end: got outcome %d, want interrupted", res.Outcome)
	}
	res, texts, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true},
		handlerOf(`{"text":"one"}`+"\n"+`{"text":"two","end":true,"decodePieces":2,"load":{"target":"a"}}`+"\n"))
	if res.Outcome != tpmessage.OutcomeDone || res.DecodePieces != 2 || res.Report == nil || len(texts) != 2 {
		t.Errorf("whole answer: got %+v with %d chunks, want done with its report", res, len(texts))
	}
}

// Guards against a refusal that counts as a run, and against the loss of its
// report that the target is leaving.
func TestRefusalOfLeavingTarget(t *testing.T) {
	res, _, _ := run(t, tpmessage.Request{ID: "r", Idempotent: true}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(tptarget.HeaderNotRun, "true")
		w.Header().Set(tptarget.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	if res.Outcome != tpmessage.OutcomeRefused || res.Report == nil || !res.Report.Leaving {
		t.Errorf("refusal: got %+v, want refused and leaving", res)
	}
}

// Guards against a target that counts as reachable although it has ended or
// closes its connections, and against a paused target that counts as
// unreachable.
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
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	if tr.Reachable(t.Context(), tpmessage.Target{Address: aborting.Listener.Addr().String()}) {
		t.Error("target that ends its connections: got reachable")
	}
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	if !tr.Reachable(t.Context(), tpmessage.Target{Address: silent.Listener.Addr().String()}) {
		t.Error("silent target: got not reachable")
	}
	if tr.Responds(t.Context(), tpmessage.Target{Address: silent.Listener.Addr().String()}) {
		t.Error("a target that accepts a connection and does not answer: got a response, want none")
	}
}

// Guards against a second copy of an answer, late, on a connection that is used
// again: the answer of a plain service does not name its request.
func TestLateCopyIsNobodysAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var served atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				last := ""
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					if last != "" {
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(last), last)
					}
					last = fmt.Sprint("answer ", served.Add(1))
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(last), last)
				}
			}()
		}
	}()
	tr, cleanup := tptarget.NewTransport(tptarget.Settings{})
	defer cleanup()
	for i := 1; i <= 5; i++ {
		req := tpmessage.Request{ID: fmt.Sprint("r", i), Kind: tpmessage.KindServiceCall, Idempotent: true, Body: []byte("x")}
		got := ""
		res := tr.Run(t.Context(), &req, tpmessage.Target{Name: "a", Address: l.Addr().String()}, 0, func(c tpmessage.Chunk) error {
			got = c.Text
			return tpsender.ErrComplete
		})
		if want := fmt.Sprint("answer ", i); res.Outcome != tpmessage.OutcomeDone || got != want {
			t.Errorf("call %d: got %q (%v), want %q", i, got, res.Err, want)
		}
	}
}

func TestCopyOfRefusalRefusesNothing(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond} {
		for _, withNext := range []bool{false, true} {
			for _, withID := range []bool{false, true} {
				t.Run(fmt.Sprintf("delay %v, with the next request %v, identity %v", delay, withNext, withID), func(t *testing.T) {
					t.Parallel()
					checkCopyOfRefusal(t, delay, withNext, withID)
				})
			}
		}
	}
}

// checkCopyOfRefusal sends requests to an engine that refuses the first and the
// second request of a connection and runs the third. The refusals name their
// requests. The copy of the second one is written after the delay, or with the
// next request, and names its request if withID is true.
func checkCopyOfRefusal(t *testing.T, delay time.Duration, withNext, withID bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var mu sync.Mutex
	ran := make(map[string]bool)
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get(tptarget.HeaderRequestID)
			copied := "HTTP/1.1 503 Full\r\nNot-Run: true\r\nContent-Length: 4\r\n"
			refusal := copied + "Request-Id: " + id + "\r\n\r\nfull"
			if copied += "\r\nfull"; withID {
				copied = strings.ReplaceAll(refusal, id, "another")
			}
			switch {
			case n < 2:
				_, _ = io.WriteString(c, refusal)
				if n == 1 && !withNext {
					time.Sleep(delay) // time between the two copies
					_, _ = io.WriteString(c, copied)
				}
				continue
			case withNext:
				_, _ = io.WriteString(c, copied)
				time.Sleep(delay) // time between the copy and the answer
			}
			mu.Lock()
			ran[id] = true
			mu.Unlock()
			line := fmt.Sprintf(`{"requestId":%q,"text":"x","end":true}`, id)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(line)+1, line)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	tr, cleanup := tptarget.NewTransport(tptarget.Settings{})
	defer cleanup()
	for i := range 9 {
		req := tpmessage.Request{ID: fmt.Sprint("request-", i), Idempotent: true}
		res := tr.Run(t.Context(), &req, tpmessage.Target{Name: "a", Address: l.Addr().String()}, 0, func(c tpmessage.Chunk) error {
			if c.RequestID == req.ID && c.End {
				return tpsender.ErrComplete
			}
			return nil
		})
		if i < 2 && res.Outcome != tpmessage.OutcomeRefused {
			t.Errorf("%s: got outcome %v (%v), want refused", req.ID, res.Outcome, res.Err)
		}
		time.Sleep(delay) // a request that was sent reaches the engine in that time
		mu.Lock()
		if ran[req.ID] && (res.Outcome == tpmessage.OutcomeRefused || res.Outcome == tpmessage.OutcomeNotSent) {
			t.Errorf("%s ran, and has outcome %v: %v", req.ID, res.Outcome, res.Err)
		}
		mu.Unlock()
	}
}

// Guards against an answer whose head was cut off and that counts as complete.
func TestHeadThatIsCutIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Type: text/plain\r\n"
	for name, end := range map[string]string{"with a length": "Content-Length: 12\r\n\r\n", "without a length": "\r\n", "in chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
		whole := head + end
		for length := range len(whole) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, whole[:length])
				c.Close()
			}()
			tr, cleanup := tptarget.NewTransport(tptarget.Settings{})
			req := tpmessage.Request{ID: "r", Kind: tpmessage.KindServiceCall, Body: []byte("x")}
			delivered := 0
			res := tr.Run(t.Context(), &req, tpmessage.Target{Name: "a", Address: l.Addr().String()}, 0, func(tpmessage.Chunk) error {
				delivered++
				return nil
			})
			if res.Outcome != tpmessage.OutcomeInterrupted || delivered > 0 {
				t.Errorf("answer %s, cut after %d of %d bytes of the head: got outcome %d with %d chunks, want an interrupted one",
					name, length, len(whole), res.Outcome, delivered)
			}
			cleanup()
			l.Close()
		}
	}
}
