//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crashWork is the time that a server works on a request that crashes it.
const crashWork = 10 * time.Millisecond

// arrival is a request that a server got.
type arrival struct {
	at  time.Time
	id  string
	ran bool
	// paused is true if the answer was 503 with Retry-After.
	paused bool
}

// server is a plain service with a number of slots and a queue.
type server struct {
	f       *fleet
	id      string
	address string
	slots   chan struct{}
	queue   int
	work    time.Duration
	limit   atomic.Pointer[string] // value of Server-Limit, or nil
	waiting atomic.Int64

	// crashes reports whether a request crashes the server that runs it, or is nil.
	// The server is back at its address after crashedTime, with a new start.
	crashes  func(r *http.Request) bool
	register func(born int64)
	// downTime is the time from a crash to the next start, and registerDelay the
	// time from that start to the next write of the entry.
	downTime, registerDelay time.Duration
	// pause is the Retry-After, in seconds, with which the server turns all
	// requests away until pausesUntil, in Unix nanoseconds.
	pause       string
	pausesUntil atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
	running  *http.Server
	crashed  []time.Time
}

func (f *fleet) addServer(id, service, zone string, slots, queue int, work time.Duration) (*server, error) {
	s := &server{f: f, id: id, address: f.address(), slots: make(chan struct{}, slots), queue: queue, work: work, downTime: crashedTime}
	s.register = func(born int64) {
		f.store.Set("servers", id, map[string]any{
			"service": service, "address": s.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			"cold_left_ms": 0, "sequence": 1, "born": born,
		})
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	s.register(time.Now().UnixMilli())
	return s, nil
}

// start starts a process of the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.running = &http.Server{Handler: s}
	go func(running *http.Server) { _ = running.Serve(l) }(s.running)
	s.mu.Unlock()
	s.waiting.Store(0)
	return nil
}

// exit ends the process as planned, for good.
func (s *server) exit() {
	s.mu.Lock()
	running := s.running
	s.running = nil
	s.mu.Unlock()
	_ = running.Close()
}

// crash ends the process. All its connections are closed.
func (s *server) crash(id string) {
	s.mu.Lock()
	running := s.running
	s.running = nil
	if running != nil {
		s.crashed = append(s.crashed, time.Now())
	}
	s.mu.Unlock()
	if running == nil {
		return
	}
	s.f.note("%s crashes at %s", s.id, id)
	_ = running.Close()
	time.AfterFunc(s.downTime, func() {
		born := time.Now().UnixMilli()
		if err := s.start(); err != nil {
			s.f.note("%s does not start: %v", s.id, err)
			return
		}
		s.f.note("%s is back", s.id)
		time.AfterFunc(s.registerDelay, func() {
			s.register(born)
			s.f.note("%s registers with born %d", s.id, born)
		})
	})
}

func (s *server) list() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *server) record(id, what string, ran bool) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, ran: ran, paused: strings.HasPrefix(what, "asks")})
	s.mu.Unlock()
	s.f.note("%s %s %s", s.id, what, id)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Teaselpin-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Teaselpin-Request-Id")
	h.Set("X-Teaselpin-Request-Id", id)
	if limit := s.limit.Load(); limit != nil {
		h.Set("Server-Limit", *limit)
	}
	if expected := r.Header.Get("X-Teaselpin-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if time.Now().UnixNano() < s.pausesUntil.Load() {
		s.record(id, "asks for a pause of "+s.pause+" s at", false)
		h.Set("X-Teaselpin-Not-Run", "1")
		h.Set("Retry-After", s.pause)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.waiting.Add(1) > int64(cap(s.slots)+s.queue) {
		s.waiting.Add(-1)
		s.record(id, "rejects", false)
		h.Set("X-Teaselpin-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { s.waiting.Add(-1) }()
	budget, _ := strconv.ParseFloat(r.Header.Get("X-Teaselpin-Deadline"), 64)
	over := time.After(time.Duration(budget * float64(time.Millisecond)))
	select {
	case s.slots <- struct{}{}:
	case <-over:
		s.record(id, "rejects late", false)
		h.Set("X-Teaselpin-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		s.record(id, "drops", false)
		return
	}
	defer func() { <-s.slots }()
	s.record(id, "runs", true)
	if s.crashes != nil && s.crashes(r) {
		time.Sleep(crashWork)
		s.crash(id)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Teaselpin-Response-Stamp", fmt.Sprintf("%s.%s", s.id, id))
	_, _ = io.WriteString(w, "answer to "+id)
}
