package tpguestfake

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// crashDelay is the time that a server works on a request before its answer
// begins and crashes the server. Other requests arrive meanwhile.
const crashDelay = 20 * time.Millisecond

// restartingServer is the process of a Server that crashes and starts again.
type restartingServer struct {
	t        testing.TB
	server   *Server
	address  string
	downTime time.Duration
	started  func(born int64)

	mu      sync.Mutex
	running *http.Server // nil while the process is down
	// listener is that of the running process, and dark are those that went dark.
	listener *darkListener
	dark     []func()
	ended    bool
	timer    *time.Timer
}

// ListenRestarting serves s at a host:port until the end of the test. A crash
// closes all connections of the server, or darkens them if CrashDark is set. The
// server starts again at the address after downTime. Dark connections stay open
// until the end of the test. It calls started with the start of the new process in Unix
// milliseconds.
func ListenRestarting(t testing.TB, s *Server, address string, downTime time.Duration, started func(born int64)) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &restartingServer{t: t, server: s, address: address, downTime: downTime, started: started}
	s.crash = p.crash
	p.serve(l)
	t.Cleanup(p.close)
}

// Crashes returns the times at which the server has crashed, oldest first.
func (s *Server) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashes...)
}

func (p *restartingServer) serve(l net.Listener) {
	p.running = &http.Server{Handler: p.server, ReadHeaderTimeout: time.Minute}
	p.listener = &darkListener{Listener: l, dark: make(chan struct{}), ended: make(chan struct{})}
	go func(running *http.Server, l net.Listener) { _ = running.Serve(l) }(p.running, p.listener)
}

func (p *restartingServer) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil || p.ended {
		return
	}
	p.server.mu.Lock()
	p.server.crashes = append(p.server.crashes, time.Now())
	p.server.mu.Unlock()
	if p.server.CrashDark {
		close(p.listener.dark)
		_ = p.listener.Close()
		p.dark = append(p.dark, p.endDarkness(p.running, p.listener))
	} else {
		_ = p.running.Close()
	}
	p.running = nil
	p.timer = time.AfterFunc(p.downTime, p.restart)
}

func (p *restartingServer) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		p.t.Errorf("server %s does not start again: %v", p.server.ID, err)
		return
	}
	p.serve(l)
	p.started(time.Now().UnixMilli())
}

// endDarkness returns a function that closes the connections of a process that
// went dark.
func (p *restartingServer) endDarkness(process *http.Server, l *darkListener) func() {
	return func() {
		_ = process.Close()
		close(l.ended)
	}
}

func (p *restartingServer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, end := range p.dark {
		end()
	}
	p.ended = true
	if p.timer != nil {
		p.timer.Stop()
	}
	if p.running != nil {
		_ = p.running.Close()
	}
}
