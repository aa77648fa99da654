package tptarget_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/request/stage5/tpsender"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// serveConns passes each connection of a new listener to serve and returns the
// address. The connections end with the test.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	var served sync.WaitGroup
	served.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			served.Go(func() {
				defer c.Close()
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		served.Wait()
	})
	return l.Addr().String()
}

// readRequest reads a whole request from a connection.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

// runOnce sends a request to an address and returns the result and the text of
// the last chunk that names the request.
func runOnce(t *testing.T, tr *tptarget.Transport, id, name, address string) (tpsender.Result, string) {
	t.Helper()
	req := tpmessage.Request{ID: id, Idempotent: true}
	text := ""
	res := tr.Run(t.Context(), &req, tpmessage.Target{Name: name, Address: address}, 0, func(c tpmessage.Chunk) error {
		if c.RequestID != id {
			return nil
		}
		if text = c.Text; c.End {
			return tpsender.ErrComplete
		}
		return nil
	})
	return res, text
}

// lateEngine is an engine that refuses the first attempt of each request and
// runs the next one. The second copy of the refusal is written on the
// connection of the first attempt after the arrival of the next one.
type lateEngine struct {
	delay time.Duration // from the arrival of the next attempt to the copy

	mu      sync.Mutex
	refused map[string]net.Conn // by request ID
	runs    map[string]int      // by request ID
}

func (e *lateEngine) serve(c net.Conn) {
	for r := bufio.NewReader(c); ; {
		req, err := readRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(tptarget.HeaderRequestID)
		refusal := "HTTP/1.1 503 Full\r\nNot-Run: true\r\nContent-Length: 4\r\nRequest-Id: " + id + "\r\n\r\nfull"
		e.mu.Lock()
		first, again := e.refused[id]
		e.refused[id] = c
		if again {
			e.runs[id]++
		}
		e.mu.Unlock()
		if !again {
			_, _ = io.WriteString(c, refusal)
			continue
		}
		time.Sleep(e.delay)
		_, _ = io.WriteString(first, refusal)
		time.Sleep(100*time.Millisecond - e.delay) // duration of the run
		line := fmt.Sprintf(`{"requestId":%q,"text":"x","end":true}`+"\n", id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(line), line)
	}
}

// Guards against a request that counts as refused while an engine runs it, because a copy of its earlier refusal arrives on the same connection.
func TestCopyOfAnEarlierRefusalOfTheSameRequestRefusesNothing(t *testing.T) {
	for _, again := range []string{"a", "b"} { // name of the engine at the second attempt
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("engine %s, %v", again, delay), func(t *testing.T) {
				t.Parallel()
				e := &lateEngine{delay: delay, refused: make(map[string]net.Conn), runs: make(map[string]int)}
				address := serveConns(t, e.serve)
				tr, cleanup := tptarget.NewTransport(tptarget.Settings{})
				defer cleanup()
				for i := range 3 {
					id := fmt.Sprint("request-", i)
					if res, _ := runOnce(t, tr, id, "a", address); res.Outcome != tpmessage.OutcomeRefused {
						t.Errorf("%s, first attempt: got outcome %v (%v), want refused", id, res.Outcome, res.Err)
					}
					time.Sleep(10 * time.Millisecond) // the transport keeps the connection in that time
					res, text := runOnce(t, tr, id, again, address)
					e.mu.Lock()
					if e.runs[id] != 1 || res.Outcome != tpmessage.OutcomeDone || text != "x" {
						t.Errorf("%s, second attempt: ran %d times, got outcome %v (%v) and %q, want one run that is done",
							id, e.runs[id], res.Outcome, res.Err, text)
					}
					e.mu.Unlock()
				}
			})
		}
	}
}

// Guards against a connection that is kept after a copy was taken for an answer, so that each further request gets the answer to the one before.
func TestConnectionWithACopyIsNotKept(t *testing.T) {
	const line = `{"requestId":"another","text":"x","end":true}` + "\n"
	for name, copied := range map[string]string{
		"refusal without a body": "HTTP/1.1 503 Full\r\nNot-Run: true\r\nRequest-Id: another\r\nContent-Length: 0\r\n\r\n",
		"refusal with a body":    "HTTP/1.1 503 Full\r\nNot-Run: true\r\nRequest-Id: another\r\nContent-Length: 4\r\n\r\nfull",
		"lines":                  fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: %d\r\n\r\n%s", len(line), line),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveConns(t, func(c net.Conn) {
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := readRequest(r)
					if err != nil {
						return
					}
					if n == 1 {
						_, _ = io.WriteString(c, copied)
					}
					time.Sleep(50 * time.Millisecond) // the next request may arrive before the answer
					line := fmt.Sprintf(`{"requestId":%q,"text":"x","end":true}`+"\n", req.Header.Get(tptarget.HeaderRequestID))
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
				}
			})
			tr, cleanup := tptarget.NewTransport(tptarget.Settings{})
			defer cleanup()
			for i, want := range []tpmessage.Outcome{
				tpmessage.OutcomeDone, tpmessage.OutcomeInterrupted, tpmessage.OutcomeDone, tpmessage.OutcomeInterrupted, tpmessage.OutcomeDone,
			} {
				id := fmt.Sprint("request-", i)
				if res, _ := runOnce(t, tr, id, "a", address); res.Outcome != want {
					t.Errorf("%s: got outcome %v (%v), want %v", id, res.Outcome, res.Err, want)
				}
				time.Sleep(10 * time.Millisecond) // the transport notices a closed connection in that time
			}
		})
	}
}
