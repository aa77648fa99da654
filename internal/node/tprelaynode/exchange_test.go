package tprelaynode_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// rawBodyLimit is the largest body of a request to a rawServer.
const rawBodyLimit = 1 << 20

// rawServer answers requests with bytes that a test chooses.
type rawServer struct {
	// answer writes the answer to a request. It returns false if the server
	// closes the connection.
	answer func(c net.Conn, r *http.Request) bool
}

func (s rawServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !s.answer(c, req) {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

// startRaw starts a node whose only route leads to a server that answers with
// the given function, and returns a connection to the node.
func startRaw(t *testing.T, answer func(c net.Conn, r *http.Request) bool) net.Conn {
	t.Helper()
	return startRawNode(t, answer).dial(t)
}

// dial opens a connection of a client to the node.
func (n *node) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return c
}

func startRawNode(t *testing.T, answer func(c net.Conn, r *http.Request) bool) *node {
	t.Helper()
	return startRawNodeWith(t, tprelaynode.Settings{}, answer)
}

// startRawNodeWith is startRawNode with settings.
func startRawNodeWith(t *testing.T, cfg tprelaynode.Settings, answer func(c net.Conn, r *http.Request) bool) *node {
	t.Helper()
	s := &site{}
	startRawSite(t, s, 1, answer)
	cfg.Name, cfg.Peers = "node-0", tpprocess.FreeAddress(t)
	n := s.startWith(t, cfg)
	n.untilReady(t)
	return n
}

// startRawSite starts the store of a site and a raw server that is registered
// under the given number of names.
func startRawSite(t *testing.T, s *site, names int, answer func(c net.Conn, r *http.Request) bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go rawServer{answer}.serve(c)
		}
	}()
	s.address = tpguestfake.Listen(t, &s.store)
	s.store.Set("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "raw", "host": "one.example", "path_prefix": "/raw/", "kind": "unsafe", "service": "raw", "timeout_ms": 5000, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "raw"}},
		"limits":   map[string]any{"max_body_bytes": rawBodyLimit},
	})
	for i := range names {
		s.store.Set("servers", fmt.Sprint("r", i), map[string]any{
			"service": "raw", "address": l.Addr().String(), "zone": "z", "slots": 64, "state": "ready", "version": "v1", "cold_left_ms": 0, "sequence": 1, "stage": "", "born": 1,
		})
	}
}

// rawHead returns the head of a request without the empty line that ends it.
func rawHead(method, id string) string {
	return fmt.Sprintf("%s /raw/x HTTP/1.1\r\nHost: one.example\r\nX-Teaselpin-Request-Id: %s\r\nX-Teaselpin-Deadline: 4000\r\n", method, id)
}

func serverHead(r *http.Request, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d S\r\nX-Teaselpin-Request-Id: %s\r\nX-Teaselpin-Response-Stamp: s\r\n",
		status, r.Header.Get("X-Teaselpin-Request-Id"))
}

func TestUnusualAnswers(t *testing.T) {
	for _, test := range []struct {
		name, method, answer string
		status               int
		closes               bool // the server closes the connection at the end
		want                 string
		wantLength           int64
	}{
		{"empty", "POST", "Content-Length: 0\r\n\r\n", 200, false, "", 0},
		{"empty in chunks", "POST", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, false, "", -1},
		{"no content", "POST", "\r\n", 204, false, "", 0},
		{"without a length", "GET", "\r\nanswer", 200, true, "answer", -1},
		{"empty without a length", "GET", "\r\n", 200, true, "", -1},
		{"HEAD", "HEAD", "Content-Length: 6\r\n\r\n", 200, false, "", 6},
		{"HEAD of an error", "HEAD", "Content-Length: 6\r\n\r\n", 404, false, "", 6},
		{"HEAD without a length", "HEAD", "\r\n", 200, false, "", -1},
		{"empty error", "POST", "Content-Length: 0\r\n\r\n", 500, false, "", 0},
		{"not modified", "GET", "\r\n", 304, false, "", 0},
		{"closing with a length", "POST", "Connection: close\r\nContent-Length: 6\r\n\r\nanswer", 200, true, "answer", 6},
	} {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, early), func(t *testing.T) {
				c := startRaw(t, func(c net.Conn, r *http.Request) bool {
					if early {
						_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
					}
					_, _ = io.WriteString(c, serverHead(r, test.status)+test.answer)
					return !test.closes
				})
				reader := bufio.NewReader(c)
				for i := range 3 {
					_, _ = io.WriteString(c, rawHead(test.method, fmt.Sprint(i))+"\r\n")
					res, err := http.ReadResponse(reader, &http.Request{Method: test.method})
					for err == nil && res.StatusCode < 200 {
						res, err = http.ReadResponse(reader, &http.Request{Method: test.method})
					}
					if err != nil {
						t.Fatalf("request %d: %v", i, err)
					}
					body, err := io.ReadAll(res.Body)
					if err != nil || string(body) != test.want || res.StatusCode != test.status || res.ContentLength != test.wantLength || res.Close {
						t.Fatalf("request %d: got %d with %q, length %d, closing %t, error %v", i, res.StatusCode, body, res.ContentLength, res.Close, err)
					}
				}
			})
		}
	}
}

// Guards against a body that ends exactly at the limit and is refused.
func TestBodyAtTheLimit(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{rawBodyLimit, rawBodyLimit + 1, 2 * rawBodyLimit} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				c := startRaw(t, func(c net.Conn, r *http.Request) bool {
					n, err := io.Copy(io.Discard, r.Body)
					text := fmt.Sprint(n, err)
					_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", serverHead(r, 200), len(text), text)
					return true
				})
				body := strings.Repeat("x", size)
				text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", rawHead("POST", "1"), size, body)
				if chunked {
					text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", rawHead("POST", "1"), size, body)
				}
				go func() { _, _ = io.WriteString(c, text) }() // fails if the node closes the connection after its answer
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(res.Body)
				want := 200
				if size > rawBodyLimit {
					want = 413
				}
				if err != nil || res.StatusCode != want || want == 200 && string(got) != fmt.Sprint(size, " <nil>") {
					t.Errorf("got %d with %q, error %v, want %d", res.StatusCode, got, err, want)
				}
			})
		}
	}
}

// Guards against pipelined requests that are lost, or whose answers change places.
func TestPipelinedRequests(t *testing.T) {
	c := startRaw(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(300 * time.Millisecond) // the silence of the simulated server
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", serverHead(r, 200), len(body), body)
		return true
	})
	var all strings.Builder
	for i := range 5 {
		fmt.Fprintf(&all, "%sContent-Length: 1\r\n\r\n%d", rawHead("POST", fmt.Sprint(i)), i)
	}
	_, _ = io.WriteString(c, all.String())
	reader := bufio.NewReader(c)
	for i := range 5 {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if got, err := io.ReadAll(res.Body); string(got) != fmt.Sprint(i) || err != nil {
			t.Errorf("answer %d: got %q, error %v", i, got, err)
		}
	}
}

// Guards against a client that waits for permission to send its body.
func TestClientExpectsContinue(t *testing.T) {
	c := startRaw(t, func(c net.Conn, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", serverHead(r, 200), len(body), body)
		return true
	})
	reader := bufio.NewReader(c)
	for i := range 2 {
		_, _ = io.WriteString(c, rawHead("POST", fmt.Sprint(i))+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		if res, err := http.ReadResponse(reader, nil); err != nil || res.StatusCode != http.StatusContinue {
			t.Fatalf("got %+v, error %v, want status 100", res, err)
		}
		_, _ = io.WriteString(c, "text")
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(res.Body); string(got) != "text" || err != nil {
			t.Errorf("got %q, error %v", got, err)
		}
	}
}

// Guards against an answer that a server has reset and that appears complete.
func TestResetAnswerWithoutLength(t *testing.T) {
	c := startRaw(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, serverHead(r, 200)+"\r\n"+strings.Repeat("answer", 100_000))
		time.Sleep(50 * time.Millisecond) // so that the node reads some of the answer
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, _ = io.WriteString(c, rawHead("GET", "1")+"\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return // no answer
	}
	if _, err = io.Copy(io.Discard, res.Body); err == nil && res.StatusCode == 200 {
		t.Error("an answer that was reset ended like a complete one")
	}
}

func TestAnswerBeforeLongBody(t *testing.T) {
	for _, status := range []int{200, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := startRaw(t, func(c net.Conn, r *http.Request) bool {
				extra := ""
				if status == 503 {
					extra = "X-Teaselpin-Not-Run: 1\r\n"
				}
				_, _ = io.WriteString(c, serverHead(r, status)+extra+"Content-Length: 6\r\n\r\nanswer")
				time.Sleep(700 * time.Millisecond) // reads on later
				return true
			})
			reader := bufio.NewReader(c)
			for i := range 3 {
				_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", rawHead("POST", fmt.Sprint(i)), 1<<20, strings.Repeat("x", 1<<20))
				if err != nil {
					t.Fatal(err)
				}
				res, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(res.Body)
				if err != nil || res.StatusCode != status || status == 200 && string(body) != "answer" {
					t.Errorf("request %d: got %d with %q, error %v", i, res.StatusCode, body, err)
				}
			}
		})
	}
}

func TestFirstRequestAtPlannedStop(t *testing.T) {
	n := startRawNode(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, serverHead(r, 200)+"Content-Length: 6\r\n\r\nanswer")
		return true
	})
	used, unused := n.dial(t), n.dial(t)
	exchange := func(c net.Conn, id string) {
		t.Helper()
		_, _ = io.WriteString(c, rawHead("GET", id)+"\r\n")
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		if body, err := io.ReadAll(res.Body); string(body) != "answer" || err != nil || res.Close != n.Closing() {
			t.Errorf("request %s: got %q, closing %t, error %v", id, body, res.Close, err)
		}
	}
	exchange(used, "1")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.stop()
	}()
	eventually(t, func() string {
		c, err := net.Dial("tcp", n.front)
		if err != nil {
			return ""
		}
		c.Close()
		return "the node accepts connections"
	})
	exchange(unused, "2")
	<-stopped
}

// Guards against a planned stop that waits for seconds because a client has opened a connection and sends nothing.
func TestUnusedConnectionAtPlannedStop(t *testing.T) {
	n := startRawNode(t, func(net.Conn, *http.Request) bool { return false })
	unused := n.dial(t)
	began := time.Now()
	n.stop()
	if took := time.Since(began); took > 4*time.Second { // an http.Server waits 5 s
		t.Errorf("the stop took %v", took)
	}
	if _, err := unused.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("unused connection: got error %v, want EOF", err)
	}
}

// Guards against a request that a stopping node takes late and cuts off without an answer at the end of its grace.
func TestLateRequestAtPlannedStopIsRefused(t *testing.T) {
	var ran atomic.Int32
	n := startRawNodeWith(t, tprelaynode.Settings{StopGrace: 2 * time.Second}, func(c net.Conn, r *http.Request) bool {
		if ran.Add(1) > 1 {
			time.Sleep(3 * time.Second) // longer than the grace, within the time budget
		}
		_, _ = io.WriteString(c, serverHead(r, 200)+"Content-Length: 6\r\n\r\nanswer")
		return true
	})
	short, long := n.dial(t), n.dial(t)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.stop()
	}()
	eventually(t, func() string {
		c, err := net.Dial("tcp", n.front)
		if err != nil {
			return ""
		}
		c.Close()
		return "the node accepts connections"
	})
	for _, test := range []struct {
		c      net.Conn
		budget time.Duration
		status int
	}{{short, 500 * time.Millisecond, 200}, {long, 4 * time.Second, 503}} {
		_, _ = fmt.Fprintf(test.c, "POST /raw/x HTTP/1.1\r\nHost: one.example\r\nX-Teaselpin-Request-Id: r%d\r\nX-Teaselpin-Deadline: %d\r\nContent-Length: 0\r\n\r\n",
			test.status, test.budget.Milliseconds())
		res, err := http.ReadResponse(bufio.NewReader(test.c), nil)
		if err != nil || res.StatusCode != test.status {
			t.Errorf("request with %v left, late in a planned stop: got %+v, error %v, want status %d", test.budget, res, err, test.status)
		}
	}
	if got := ran.Load(); got != 1 {
		t.Errorf("requests that the server ran: got %d, want only the one that ends in time", got)
	}
	<-stopped
}

// Guards against an answer in very small pieces that fills the memory of the node before it is complete.
func TestTrickledAnswerTakesLittleMemory(t *testing.T) {
	const requests, most = 8, 64 << 20
	var sent atomic.Int64
	n := startRawNode(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, serverHead(r, 200)+"\r\n")
		for err == nil {
			if _, err = io.WriteString(c, "x"); err == nil {
				sent.Add(1)
			}
			time.Sleep(50 * time.Microsecond) // so that the node reads each piece by itself
		}
		return false
	})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range requests {
		_, _ = io.WriteString(n.dial(t), rawHead("GET", fmt.Sprint("trickle-", i))+"\r\n")
	}
	eventually(t, func() string {
		if got := sent.Load(); got < requests*3000 {
			return fmt.Sprintf("the servers have sent %d pieces", got)
		}
		return ""
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	if got := int64(after.HeapAlloc) - int64(before.HeapAlloc); got > most {
		t.Errorf("heap after %d pieces of %d answers: grew by %d bytes, want %d at most", sent.Load(), requests, got, most)
	}
}
