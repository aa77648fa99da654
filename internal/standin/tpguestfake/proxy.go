package tpguestfake

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Mode is what a proxy does with the bytes between a client and its server.
type Mode uint8

// Modes of a proxy.
const (
	ModePass   Mode = iota
	ModeDelay       // each part is held back for a while
	ModeSilent      // connections stay open and carry nothing
	ModeReset       // open connections are reset and new ones refused
)

// proxyDelay is how long ModeDelay holds back each part.
const proxyDelay = 150 * time.Millisecond

// Proxy forwards connections to a server on this machine, with faults on command.
type Proxy struct {
	Address string

	backend string
	mu      sync.Mutex
	changed *sync.Cond
	mode    Mode
	closed  bool
	conns   map[*net.TCPConn]bool
}

// NewProxy returns a proxy of a server that ends with the test.
func NewProxy(t testing.TB, backend string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{Address: l.Addr().String(), backend: backend, conns: make(map[*net.TCPConn]bool)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(l)
	t.Cleanup(func() {
		l.Close()
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.Set(ModeReset)
	})
	return p
}

// Set changes the mode of open and new connections.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.changed.Broadcast()
	if mode != ModeReset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	c, err := net.Dial("tcp", p.backend)
	if err != nil || !p.add(client, c.(*net.TCPConn)) {
		reset(client)
		if err == nil {
			_ = c.Close() // the client sees the reset
		}
		return
	}
	server := c.(*net.TCPConn)
	go p.copy(server, client)
	p.copy(client, server)
}

// add records a pair of connections, unless the proxy resets all.
func (p *Proxy) add(client, server *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeReset {
		return false
	}
	p.conns[client], p.conns[server] = true, true
	return true
}

// copy forwards one direction until it ends, and closes the other side as the
// first one was closed.
func (p *Proxy) copy(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !p.wait() {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.end(to, from, err)
			return
		}
	}
}

// wait holds back a part as the mode asks. It returns false at the end.
func (p *Proxy) wait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeDelay {
		p.mu.Unlock()
		time.Sleep(proxyDelay) // a fault on command
		p.mu.Lock()
	}
	for p.mode == ModeSilent && !p.closed {
		p.changed.Wait()
	}
	return p.mode != ModeReset
}

func (p *Proxy) end(to, from *net.TCPConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, to)
	delete(p.conns, from)
	if !errors.Is(err, io.EOF) {
		reset(to)
	}
	// The other direction may have closed both already.
	_ = to.Close()
	_ = from.Close()
}

// reset closes a connection so that its peer sees a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
