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
// itself, so that it can send any bytes at any time. About one answer in
// FaultEvery is faulty. Its exported fields must be set before Listen, which
// sets Address.
type RawServer struct {
	ID           string
	Stage        string // prefill, decode, or empty for a plain service
	Random       *rand.Rand
	Address      string
	FaultEvery   int  // answers for each faulty one; 0 means 8
	RefusalEvery int  // answers for each further refusal; 0 means none
	AnyName      bool // runs requests for a server of another name, too

	mu       sync.Mutex
	runs     []*RawRun
	conns    map[*rawConn]bool
	refusals map[string]rawRefused // by request ID, with a copy that waits for the same request
}

// rawConn is a connection of a RawServer.
type rawConn struct {
	*net.TCPConn
	busy    sync.Mutex // held while a request is answered
	refusal string     // is written once more when the next request has arrived
}

// rawRefused is a refusal and its connection.
type rawRefused struct {
	c    *rawConn
	text string
}

// rawDraw tells how one answer is given.
type rawDraw struct {
	fault   rawFault
	delay   time.Duration // of a second copy
	silence time.Duration
	copy    rawCopyTime // of a refusal
}

// rawCopyTime is when a refusal is written once more.
type rawCopyTime uint8

const (
	rawCopyDelayed  rawCopyTime = iota // after a delay
	rawCopyWithNext                    // when the next request has arrived on the connection
	rawCopyWithSame                    // when the same request has arrived again
	rawCopyTimes                       // number of times
)

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
	s.Address, s.conns, s.refusals = l.Addr().String(), make(map[*rawConn]bool), make(map[string]rawRefused)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(&rawConn{TCPConn: c.(*net.TCPConn)})
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

// Rename gives the server another name. Its connections and runs go on.
func (s *RawServer) Rename(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ID = id
}

func (s *RawServer) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ID
}

func (s *RawServer) draw() rawDraw {
	s.mu.Lock()
	defer s.mu.Unlock()
	faultEvery := s.FaultEvery
	if faultEvery == 0 {
		faultEvery = 8
	}
	d := rawDraw{
		delay:   []time.Duration{0, 5 * time.Millisecond, 500 * time.Millisecond}[s.Random.IntN(3)],
		silence: 500*time.Millisecond + time.Duration(s.Random.Int64N(int64(2*time.Second))),
		copy:    rawCopyTime(s.Random.IntN(int(rawCopyTimes))),
	}
	switch {
	case s.RefusalEvery > 0 && s.Random.IntN(s.RefusalEvery) == 0:
		d.fault = rawRefusal
	case s.Random.IntN(faultEvery) > 0:
	case s.Random.IntN(3) == 0:
		d.fault = rawSilent
	default:
		d.fault = rawFault(s.Random.IntN(int(rawFaults)))
	}
	return d
}

func (s *RawServer) serve(c *rawConn) {
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
		c.busy.Lock()
		goesOn := s.answer(c, r, req)
		c.busy.Unlock()
		if !goesOn {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends.
func (s *RawServer) answer(c *rawConn, r *bufio.Reader, req *http.Request) bool {
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
	d, name := s.draw(), s.name()
	fault, delay, silence := d.fault, d.delay, d.silence
	s.copyRefusals(c, id, delay)
	expected := req.Header.Get("X-Teaselpin-Expect-Instance")
	var text string
	switch {
	case !s.AnyName && expected != "" && expected != name:
		return s.refuse(c, id, &d, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
	case fault == rawRefusal:
		return s.refuse(c, id, &d, "HTTP/1.1 503 Service Unavailable\r\nX-Teaselpin-Not-Run: full\r\n"+head+"Content-Length: 4\r\n\r\nfull")
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
	run := &RawRun{ID: id, Server: name, Begin: time.Now()}
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
	stamp := "X-Teaselpin-Response-Stamp: " + name + "." + id + "\r\n"
	switch fault {
	case rawBusy:
		return s.write(c, "HTTP/1.1 503 Service Unavailable\r\n"+head+stamp, "busy")
	case rawError:
		return s.write(c, "HTTP/1.1 500 Internal Server Error\r\n"+head+stamp, "error")
	case rawLost:
		return false
	case rawReset:
		reset(c.TCPConn)
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
	c *rawConn, r *bufio.Reader, req *http.Request, fault rawFault, silence time.Duration, head string,
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

func (s *RawServer) write(c *rawConn, head, body string) bool {
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// copy sends a second copy of an answer.
func (s *RawServer) copy(c *rawConn, delay time.Duration, head, body string) bool {
	time.Sleep(delay) // the next request may arrive meanwhile
	return s.write(c, head, body)
}

// refuse writes a refusal, which may come twice, too.
func (s *RawServer) refuse(c *rawConn, id string, d *rawDraw, refusal string) bool {
	switch d.copy {
	case rawCopyWithNext:
		c.refusal = refusal
	case rawCopyWithSame:
		s.mu.Lock()
		s.refusals[id] = rawRefused{c: c, text: refusal}
		s.mu.Unlock()
	}
	if _, err := io.WriteString(c, refusal); err != nil || d.copy != rawCopyDelayed || d.delay == 0 {
		return err == nil
	}
	time.Sleep(d.delay) // the next request may arrive meanwhile
	_, err := io.WriteString(c, refusal)
	return err == nil
}

// copyRefusals writes the copies that waited for a request. A copy on another
// connection is written unless an answer is being written there.
func (s *RawServer) copyRefusals(c *rawConn, id string, delay time.Duration) {
	next := c.refusal
	c.refusal = ""
	s.mu.Lock()
	same := s.refusals[id]
	delete(s.refusals, id)
	s.mu.Unlock()
	if next == "" && same.c == nil {
		return
	}
	time.Sleep(min(delay, 10*time.Millisecond)) // time between the request and the copy
	_, _ = io.WriteString(c, next)              // the caller may have closed the connection
	switch {
	case same.c == c:
		_, _ = io.WriteString(c, same.text)
	case same.c != nil && same.c.busy.TryLock():
		_, _ = io.WriteString(same.c, same.text)
		same.c.busy.Unlock()
	}
}

// callerStays waits and returns false if the caller closes the connection
// meanwhile.
func callerStays(c *rawConn, r *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d)) // fails only on a closed connection
	_, err := r.Peek(1)
	if err == nil {
		return true
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}
