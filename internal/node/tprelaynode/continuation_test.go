package tprelaynode_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// brokenFirst answers the first run of each request with the first three of five
// events and resets the connection. It answers the second run with the bytes
// that the request's path selects, and closes the connection.
type brokenFirst struct {
	mu      sync.Mutex
	runs    map[string]int // by request ID
	answers map[string]string
}

// ServeHTTP implements http.Handler.
func (b *brokenFirst) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Teaselpin-Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	b.runs[id]++
	n := b.runs[id]
	b.mu.Unlock()
	if n == 1 {
		w.Header().Set("X-Teaselpin-Request-Id", id)
		w.Header().Set("X-Teaselpin-Response-Stamp", "first")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, pieces(0, 1, 2)+"id: 3\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, strings.ReplaceAll(b.answers[strings.TrimPrefix(r.URL.Path, "/draft/")], "ID", id))
}

func pieces(numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

func TestNextServerAnswersWithAnError(t *testing.T) {
	const named = "X-Teaselpin-Request-Id: ID\r\nX-Teaselpin-Response-Stamp: second\r\n"
	const stream = "HTTP/1.1 200 OK\r\n" + named + "Content-Type: text/event-stream\r\n\r\n"
	const errorText = "HTTP/1.1 500 Oops\r\n" + named + "Content-Type: text/plain\r\n\r\nerror of the server\n\n"
	answers := map[string]string{
		"exact":              stream + pieces(3, 4),
		"repeats":            stream + ": comment\n\n" + pieces(1, 2, 3, 4),
		"error":              errorText,
		"error-stream":       "HTTP/1.1 500 Oops\r\n" + named + "Content-Type: text/event-stream\r\n\r\n" + pieces(3, 4),
		"unavailable":        "HTTP/1.1 503 Oops\r\n" + named + "Content-Length: 6\r\n\r\nerror\n",
		"not-run":            "HTTP/1.1 503 Oops\r\n" + named + "X-Teaselpin-Not-Run: full\r\nContent-Length: 6\r\n\r\nerror\n",
		"misdirected":        "HTTP/1.1 421 Oops\r\n" + named + "Content-Length: 6\r\n\r\nerror\n",
		"plain":              "HTTP/1.1 200 OK\r\n" + named + "Content-Type: text/plain\r\n\r\nerror\n\n",
		"json":               "HTTP/1.1 200 OK\r\n" + named + "Content-Type: application/json\r\n\r\n{\"error\":\"e\"}\n\n",
		"unnumbered":         stream + "data: error\n\n",
		"head-in-the-stream": stream + pieces(3) + errorText,
		"head-at-once":       stream + errorText,
		"no-digest":          "HTTP/1.1 200 OK\r\nX-Teaselpin-Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n" + pieces(3, 4),
		"no-identity":        "HTTP/1.1 200 OK\r\nX-Teaselpin-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n" + pieces(3, 4),
		"empty":              stream,
		"no-content":         "HTTP/1.1 204 No Content\r\n" + named + "Content-Type: text/event-stream\r\n\r\n",
		"late":               stream + pieces(4),
		"piece-missing":      stream + pieces(3, 5),
		"cut-event":          stream + pieces(3) + "id: 4\ndata",
		"no-answer":          "",
		"no-head":            "error of the server\n\n",
	}
	s := &site{}
	s.address = tpguestfake.Listen(t, &s.store)
	s.configure(1, "llm")
	engines := &brokenFirst{runs: make(map[string]int), answers: answers}
	for _, name := range []string{"d0", "d1", "d2"} {
		s.store.Set("servers", name, map[string]any{
			"service": "llm", "address": tpguestfake.Listen(t, engines), "zone": "z", "slots": 64, "state": "ready", "version": "v1", "cold_left_ms": 0, "sequence": 1, "stage": "decode", "born": 1,
		})
	}
	n := s.start(t, "node-0", tpprocess.FreeAddress(t))
	n.untilReady(t)
	for name := range answers {
		// The retry budget and the avoidance of failing targets may end a
		// request after its first run. The answer is then tried once more.
		eventually(t, func() string {
			id := fmt.Sprintf("%s-%d", name, len(engines.runsCopy()))
			got := n.post(t.Context(), id, "/draft/"+name, nil)
			runs := engines.runsCopy()[id]
			whole := got.err == nil
			switch {
			case !strings.HasPrefix(pieces(0, 1, 2, 3, 4), got.body):
				t.Errorf("%s: the client got %q", name, got.body)
			case whole && got.status == 200 && got.body != pieces(0, 1, 2, 3, 4):
				t.Errorf("%s: the client got %q as if it were complete", name, got.body)
			case runs < 2:
				return fmt.Sprintf("%s: no second run: %+v", name, got)
			case (name == "exact" || name == "repeats") && !whole:
				t.Errorf("%s: got %q, %v; want the whole stream", name, got.body, got.err)
			}
			return ""
		})
	}
}

func (b *brokenFirst) runsCopy() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}
