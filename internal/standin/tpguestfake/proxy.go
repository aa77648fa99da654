package tpguestfake

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// Mode selects how a Proxy treats the bytes between a client and its server.
type Mode uint8

// Modes of a Proxy. The zero value forwards without a fault.
const (
	ModePass   Mode = iota // forwards all bytes
	ModeDelay              // delays each block by 150 ms
	ModeStall              // keeps connections open and forwards nothing
	ModeReset              // resets open and new connections
	ModeOneWay             // forwards only what the client sends
)

// proxyDelay is the delay of each block in ModeDelay.
const proxyDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to a server on this machine. Its mode injects
// network faults. Address is the host:port on which it listens.
type Proxy struct {
	Address string

	backend string
	local   net.Addr // from which the server is called, or nil
	mu      sync.Mutex
	changed *sync.Cond
	mode    Mode
	closed  bool
	conns   map[*net.TCPConn]bool
	mute    map[*net.TCPConn]bool // connections that forward nothing for good
}

// NewProxy starts a proxy for the server at backend, a host:port. The proxy
// ends with the test.
func NewProxy(t testing.TB, backend string) *Proxy {
	t.Helper()
	return NewProxyFrom(t, backend, "")
}

// NewProxyFrom is NewProxy with the IP address from which the proxy calls the
// server. An empty string means any.
func NewProxyFrom(t testing.TB, backend, ip string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{Address: l.Addr().String(), backend: backend, conns: make(map[*net.TCPConn]bool), mute: make(map[*net.TCPConn]bool)}
	p.changed = sync.NewCond(&p.mu)
	if ip != "" {
		p.local = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
	go p.accept(l)
	t.Cleanup(func() {
		l.Close()
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.SetMode(ModeReset)
	})
	return p
}

// SetMode changes the mode for open and new connections.
func (p *Proxy) SetMode(mode Mode) {
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

// Mute makes the open connections silent for good. New ones are not affected.
func (p *Proxy) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.mute[c] = true
	}
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
	c, err := (&net.Dialer{LocalAddr: p.local}).Dial("tcp", p.backend)
	if err != nil || !p.track(client, c.(*net.TCPConn)) {
		reset(client)
		if err == nil {
			_ = c.Close() // only the client needs a reset
		}
		return
	}
	server := c.(*net.TCPConn)
	go p.copy(server, client, ModeStall)
	p.copy(client, server, ModeStall, ModeOneWay)
}

// track records a pair of connections, so that SetMode can reset them. It
// returns false in ModeReset.
func (p *Proxy) track(client, server *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeReset {
		return false
	}
	p.conns[client], p.conns[server] = true, true
	return true
}

// copy forwards one direction until it ends, and nothing in the given modes. It
// then closes both connections, and resets the destination unless the source
// ended with an EOF.
func (p *Proxy) copy(dst, src *net.TCPConn, blocked ...Mode) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if !p.waitForMode(src, blocked) {
			return
		}
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.closePair(dst, src, err)
			return
		}
	}
}

// waitForMode delays a block as the mode requires. It returns false if the
// connections have been reset.
func (p *Proxy) waitForMode(src *net.TCPConn, blocked []Mode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeDelay {
		p.mu.Unlock()
		time.Sleep(proxyDelay) // injected fault
		p.mu.Lock()
	}
	for (slices.Contains(blocked, p.mode) || p.mute[src]) && !p.closed {
		p.changed.Wait()
	}
	return p.mode != ModeReset
}

func (p *Proxy) closePair(dst, src *net.TCPConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, dst)
	delete(p.conns, src)
	if !errors.Is(err, io.EOF) {
		reset(dst)
	}
	// The goroutine of the other direction may have closed both already.
	_ = dst.Close()
	_ = src.Close()
}

// reset closes a connection with a TCP reset: a linger time of 0 discards
// unsent data.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
