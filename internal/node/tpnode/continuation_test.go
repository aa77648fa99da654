package tpnode_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// lines returns the lines of an engine's answer for the chunks from first to the
// last one, which ends the answer if ended is true.
func lines(id string, first, last int, ended bool) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		_ = json.NewEncoder(&b).Encode(tptarget.GenerateLine{
			RequestID: id, Number: n, Text: fmt.Sprintf("piece %d ", n), Tokens: 1, End: ended && n == last,
		})
	}
	return b.String()
}

func TestNextEngineAnswersWithAnError(t *testing.T) {
	const errorHead = "HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\n\r\nerror of the engine\n\n"
	type answer struct {
		status int
		body   func(id string, first int) string
		whole  bool
	}
	body := func(text string) func(string, int) string { return func(string, int) string { return text } }
	for name, next := range map[string]answer{
		"exact":           {200, func(id string, first int) string { return lines(id, first, 5, true) }, true},
		"from the start":  {200, func(id string, _ int) string { return lines(id, 0, 5, true) }, true},
		"error":           {500, body("error of the engine\n"), false},
		"error with data": {500, func(id string, first int) string { return lines(id, first, 5, true) }, false},
		"text":            {200, body("error of the engine\n\n"), false},
		"other JSON":      {200, body(`{"text":"error of the engine","end":true}` + "\n"), false},
		"error line":      {200, func(id string, first int) string { return lines(id, first, 3, false) + `{"error":"oops"}` + "\n" }, false},
		"head in the stream": {200, func(id string, first int) string {
			return lines(id, first, 3, false) + errorHead
		}, false},
		"empty":           {200, body(""), false},
		"no content":      {204, body(""), false},
		"starts later":    {200, func(id string, _ int) string { return lines(id, 4, 5, true) }, false},
		"piece missing":   {200, func(id string, first int) string { return lines(id, first, 3, false) + lines(id, 5, 5, true) }, false},
		"no end":          {200, func(id string, first int) string { return lines(id, first, 5, false) }, false},
		"another request": {200, func(_ string, first int) string { return lines("another", first, 5, true) }, false},
		"other text": {200, func(id string, first int) string {
			return strings.ReplaceAll(lines(id, first, 5, true), "piece", "other")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			runs := 0
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var req tptarget.GenerateRequest
				if r.URL.Path != tptarget.PathGenerate || json.NewDecoder(r.Body).Decode(&req) != nil {
					http.NotFound(w, r)
					return
				}
				mu.Lock()
				runs++
				n := runs
				mu.Unlock()
				if n == 1 {
					_, _ = io.WriteString(w, lines(req.RequestID, 0, 2, false)+`{"requestId":`)
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(next.status)
				_, _ = io.WriteString(w, next.body(req.RequestID, req.FirstChunk))
			}))
			t.Cleanup(engine.Close)
			var targets []tpmessage.Target
			for i := range 3 {
				targets = append(targets, tpmessage.Target{Name: fmt.Sprint("engine-", i), Address: engine.Listener.Addr().String(), Zone: "milano-a"})
			}
			got, err := stream(startNode(t, targets), uuid.Must(uuid.NewV7()).String(), "question", 40)
			const whole = "piece 0 piece 1 piece 2 piece 3 piece 4 piece 5 "
			mu.Lock()
			defer mu.Unlock()
			if runs < 2 {
				t.Fatalf("got %d runs, want a second one", runs)
			}
			if next.whole && (err != nil || got != whole) {
				t.Errorf("got %q, %v; want the whole answer", got, err)
			}
			if !next.whole && err == nil {
				t.Errorf("got %q as if it were complete", got)
			}
			if !strings.HasPrefix(whole, got) {
				t.Errorf("got %q, want the beginning of the answer", got)
			}
		})
	}
}
