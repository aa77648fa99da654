//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["dark"] = playDark }

// darkServer is a plain service whose machine goes dark at a crash: its channels stay
// open and silent, and new ones get no answer. It starts again, some seconds later,
// under the id that it had, with a later born.
type darkServer struct {
	p        *play
	book     *book
	id, zone string
	down     time.Duration
	crash    func(r *http.Request) bool

	mu      sync.Mutex
	address string
	born    int64
	life    *life
	end     chan struct{} // closed at the end of the play
}

// life is one lifetime. It is the listener of its HTTP server.
type life struct {
	address net.Addr
	conns   chan net.Conn
	dark    chan struct{}
	end     chan struct{}
}

func (l *life) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return &darkConn{Conn: c, life: l}, nil
	case <-l.dark:
	case <-l.end:
	}
	return nil, net.ErrClosed
}

func (l *life) Close() error   { return nil }
func (l *life) Addr() net.Addr { return l.address }

func (l *life) isDark() bool {
	select {
	case <-l.dark:
		return true
	default:
		return false
	}
}

// darkConn is silent for good once its lifetime has gone dark.
type darkConn struct {
	net.Conn
	life *life
}

func (c *darkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.life.isDark() {
		<-c.life.end
	}
	return n, err
}

func (c *darkConn) Write(b []byte) (int, error) {
	if c.life.isDark() {
		<-c.life.end
	}
	return c.Conn.Write(b)
}

func (c *darkConn) Close() error {
	if c.life.isDark() {
		<-c.life.end
	}
	return c.Conn.Close()
}

func (s *darkServer) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.end = l.Addr().String(), make(chan struct{})
	s.p.onClose(func() {
		close(s.end)
		_ = l.Close()
	})
	s.live(l.Addr())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			present := s.life
			s.mu.Unlock()
			select {
			case present.conns <- c:
			case <-present.dark: // nobody answers on it
			case <-s.end:
				return
			}
		}
	}()
	return nil
}

func (s *darkServer) live(address net.Addr) {
	next := &life{address: address, conns: make(chan net.Conn), dark: make(chan struct{}), end: s.end}
	s.mu.Lock()
	s.life, s.born = next, time.Now().UnixMilli()
	born := s.born
	s.mu.Unlock()
	srv := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(next) }()
	s.p.store.Set("servers", s.id, map[string]any{
		"service": "app", "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "sequence": 1, "born": born,
	})
	s.p.logf("server %s starts, born %d", s.id, born)
}

func (s *darkServer) fall(why string) {
	s.mu.Lock()
	present := s.life
	if present.isDark() {
		s.mu.Unlock()
		return
	}
	close(present.dark)
	s.mu.Unlock()
	s.book.mu.Lock()
	s.book.crashes = append(s.book.crashes, time.Now())
	n := len(s.book.crashes)
	s.book.mu.Unlock()
	s.p.logf("server %s goes dark (crash %d): %s", s.id, n, why)
	time.AfterFunc(s.down, func() { s.live(present.address) })
}

// ServeHTTP implements http.Handler.
func (s *darkServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	present := s.life
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reqID := r.Header.Get("X-Teaselpin-Request-Id")
	w.Header().Set("X-Teaselpin-Request-Id", reqID)
	if r.Header.Get("X-Teaselpin-Expect-Instance") != s.id {
		w.Header().Set("X-Teaselpin-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{id: reqID, server: s.id, method: r.Method, path: r.RequestURI, at: time.Now(), ran: true, ended: "cut"}
	s.book.mu.Lock()
	s.book.arrivals = append(s.book.arrivals, a)
	s.book.mu.Unlock()
	s.p.logf("begins    %s at %s", reqID, s.id)
	time.Sleep(30 * time.Millisecond)
	if s.crash(r) {
		s.fall(reqID + " " + r.RequestURI)
	}
	if present.isDark() {
		s.p.logf("cut       %s at %s, which has gone dark", reqID, s.id)
		<-s.end
		panic(http.ErrAbortHandler)
	}
	text := "answer to " + string(body) + strings.Repeat(".", 790)
	w.Header().Set("X-Teaselpin-Response-Stamp", s.id+"."+reqID)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	s.book.mu.Lock()
	a.ended = "whole"
	s.book.mu.Unlock()
	s.p.logf("run       %s at %s: whole", reqID, s.id)
}

// playDark sends a call that must not be repeated, and at which the machine of each
// server that runs it goes dark, again and again from one zone.
func playDark(p *play) error {
	nodes, err := region(p, "front-a-1", "front-b-1", "front-c-1", "front-a-2")
	if err != nil {
		return err
	}
	// The names give the zones: the fourth node is in the first zone, too.
	app := &book{}
	for i, zone := range zones {
		s := &darkServer{p: p, book: app, id: fmt.Sprintf("i-app%d", i), zone: zone, down: 2500 * time.Millisecond}
		s.crash = func(r *http.Request) bool { return p.trouble && strings.HasSuffix(r.URL.Path, "/poison") }
		if err := s.start(); err != nil {
			return err
		}
	}
	time.Sleep(stableWindow + time.Second)
	p.logf("traffic begins")
	stop := make(chan struct{})
	ends := background(p, func(i int) *node { return nodes[i%len(nodes)] }, 100*time.Millisecond, stop)
	for i := range 16 {
		q := request{
			id: fmt.Sprintf("poison-swap-%02d", i), method: http.MethodPost, host: host, path: pathSwap + "poison", body: "the same swap", deadline: time.Second,
		}
		n := []*node{nodes[0], nodes[3]}[i%2]
		r := send(n, &q)
		p.logf("client %s at %s: %s", q.id, n.name, r.String())
		time.Sleep(4 * time.Second)
	}
	close(stop)
	counts := ends()
	judgeRetries(p, app, "request that crashes servers", 3, func(id string) bool { return strings.HasPrefix(id, "poison") })
	p.logf("sound calls by answer: %v; begun at a server and lost with it: %d", counts, lostCalls(app))
	return nil
}
