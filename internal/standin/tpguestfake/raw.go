package tpguestfake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// RawRun is one run of a request at a RawServer. It ends when the answer is
// whole, or when the server notices that its caller has left.
type RawRun struct {
	ID, Server string
	Begin, End time.Time
}

// RawServer simulates a model engine or a plain service that writes its answers
// itself, so that it can send any bytes at any time. About one answer in eight
// is faulty. Its exported fields must be set before Listen, which sets Address.
type RawServer struct {
	ID      string
	Stage   string // prefill, decode, or empty for a plain service
	Random  *rand.Rand
	Address string

	mu    sync.Mutex
	runs  []*RawRun
	conns map[*net.TCPConn]bool
}

// rawFault is what is wrong with an answer.
type rawFault uint8

const (
	rawSound      rawFault = iota
	rawRefusal             // refused as not run
	rawBusy                // status 503 without a statement that the request did not run
	rawLost                // runs and closes without an answer
	rawReset               // runs and resets without an answer
	rawCut                 // runs and closes in the middle of the answer
	rawCutHead             // runs and closes in the middle of the head
	rawCopy                // sends a second copy of the answer at once
	rawLateCopy            // sends a second copy of the answer some time later
	rawSlow                // answers half a second later
	rawError               // runs and answers 500
	rawCloseAfter          // closes after a whole answer without saying so
	rawSilent              // is silent in the middle of the answer and goes on
	rawFaults              // number of faults
)

const (
	// rawIdle is the time after which an idle connection is closed without a
	// notice.
	rawIdle = time.Second
	// rawWork is the time for which a request runs, or for each event.
	rawWork = 30 * time.Millisecond
	// rawEvents is the number of events of a stream.
	rawEvents = 9
)

// Listen starts the server, which ends with the test.
func (s *RawServer) Listen(t testing.TB) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Address, s.conns = l.Addr().String(), make(map[*net.TCPConn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		l.Close()
		s.CloseConnections()
	})
}

// CloseConnections closes all connections, as a server does that ends.
func (s *RawServer) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close() // the caller may have closed it
	}
}

// Runs returns all runs. A run in progress ends now.
func (s *RawServer) Runs() []RawRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []RawRun
	for _, r := range s.runs {
		run := *r
		if run.End.IsZero() {
			run.End = time.Now()
		}
		runs = append(runs, run)
	}
	return runs
}

// draw returns what is wrong with the next answer, the delay of a second copy,
// and the length of a silence.
func (s *RawServer) draw() (fault rawFault, delay, silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = []time.Duration{0, 5 * time.Millisecond, 500 * time.Millisecond}[s.Random.IntN(3)]
	silence = 500*time.Millisecond + time.Duration(s.Random.Int64N(int64(2*time.Second)))
	switch {
	case s.Random.IntN(8) > 0:
		return rawSound, delay, silence
	case s.Random.IntN(3) == 0:
		return rawSilent, delay, silence
	}
	return rawFault(s.Random.IntN(int(rawFaults))), delay, silence
}

func (s *RawServer) serve(c *net.TCPConn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		_ = c.Close() // the caller may have closed it
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(rawIdle)) // fails only on a closed connection
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.answer(c, r, req) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends.
func (s *RawServer) answer(c *net.TCPConn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("X-Teaselpin-Request-Id")
	head := "X-Teaselpin-Request-Id: " + id + "\r\n"
	switch {
	case req.URL.Path == "/teaselpin/report":
		body := fmt.Sprintf(`{"stage":%q,"busy":false,"sequence":0}`, s.Stage)
		return s.write(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", body)
	case req.URL.Path == "/teaselpin/order":
		return s.write(c, "HTTP/1.1 409 Conflict\r\n", "{}")
	case req.Method == http.MethodDelete:
		return s.write(c, "HTTP/1.1 200 OK\r\n", "")
	}
	fault, delay, silence := s.draw()
	if expected := req.Header.Get("X-Teaselpin-Expect-Instance"); expected != "" && expected != s.ID {
		return s.write(c, "HTTP/1.1 421 Misdirected Request\r\n"+head, "")
	}
	var text string
	switch {
	case fault == rawRefusal:
		head, text = "HTTP/1.1 503 Service Unavailable\r\nX-Teaselpin-Not-Run: full\r\n"+head, "full"
		// A refusal may come twice, too.
		return s.write(c, head, text) && (delay == 0 || s.copy(c, delay, head, text))
	case req.Header.Get("X-Teaselpin-Stage") == "prefill":
		// Longer than a node waits before it tries another target.
		if fault == rawSilent && !callerStays(c, r, silence+1500*time.Millisecond) {
			return false
		}
		head, text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+head, `{"handle":"h`+id+`","tokens":1,"version":1}`
		if fault == rawCopy || fault == rawLateCopy {
			return s.write(c, head, text) && s.copy(c, delay, head, text)
		}
		return s.write(c, head, text)
	}
	run := &RawRun{ID: id, Server: s.ID, Begin: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.End = time.Now()
	}()
	if !callerStays(c, r, rawWork) {
		return false
	}
	stamp := "X-Teaselpin-Response-Stamp: " + s.ID + "." + id + "\r\n"
	switch fault {
	case rawBusy:
		return s.write(c, "HTTP/1.1 503 Service Unavailable\r\n"+head+stamp, "busy")
	case rawError:
		return s.write(c, "HTTP/1.1 500 Internal Server Error\r\n"+head+stamp, "error")
	case rawLost:
		return false
	case rawReset:
		reset(c)
		return false
	case rawSlow:
		if !callerStays(c, r, 500*time.Millisecond) {
			return false
		}
	case rawSilent:
		if s.Stage == "" && !callerStays(c, r, silence) {
			return false
		}
	case rawCutHead:
		_, _ = io.WriteString(c, ("HTTP/1.1 200 OK\r\n" + head + stamp)[:20+len(id)])
		return false
	}
	if s.Stage != "" {
		return s.stream(c, r, req, fault, silence, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+head+stamp)
	}
	head, text = "HTTP/1.1 200 OK\r\n"+head+stamp, "answer to "+id
	switch fault {
	case rawCut:
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text[:len(text)/2])
		return false
	case rawCopy, rawLateCopy:
		return s.write(c, head, text) && s.copy(c, delay, head, text)
	}
	return s.write(c, head, text) && fault != rawCloseAfter
}

// stream writes the events after the Last-Event-Id of the request.
func (s *RawServer) stream(
	c *net.TCPConn, r *bufio.Reader, req *http.Request, fault rawFault, silence time.Duration, head string,
) bool {
	first := 0
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	if _, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for i := first; i < rawEvents; i++ {
		middle := i == (first+rawEvents)/2
		if fault == rawCut && middle || fault == rawSilent && middle && !callerStays(c, r, silence) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || !callerStays(c, r, rawWork) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil && fault != rawCloseAfter
}

func (s *RawServer) write(c *net.TCPConn, head, body string) bool {
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// copy sends a second copy of an answer.
func (s *RawServer) copy(c *net.TCPConn, delay time.Duration, head, body string) bool {
	time.Sleep(delay) // the next request may arrive meanwhile
	return s.write(c, head, body)
}

// callerStays waits and returns false if the caller closes the connection
// meanwhile.
func callerStays(c *net.TCPConn, r *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d)) // fails only on a closed connection
	_, err := r.Peek(1)
	if err == nil {
		return true
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}
