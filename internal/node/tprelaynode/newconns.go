package tprelaynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTimeout is how long a server that stops waits for the first
// requests on connections that it has accepted. Clients allow a second to
// establish a connection and then send the request.
const firstRequestTimeout = time.Second

// newConns tracks the connections of a server whose first request has not
// reached the handler. An http.Server that shuts down reads such a request and
// closes the connection without an answer. The zero value is ready to use.
type newConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	empty chan struct{} // closed when conns becomes empty; nil if nothing waits
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn is the ConnContext function of the server.
func (n *newConns) withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// handler returns h, which ends the tracking of the connection of each request.
func (n *newConns) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			n.forget(c)
		}
		h.ServeHTTP(w, r)
	})
}

// track is the ConnState function of the server. A connection becomes active
// before the server checks whether it shuts down, so it stays tracked then.
func (n *newConns) track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.conns == nil {
			n.conns = make(map[net.Conn]bool)
		}
		n.conns[c] = true
	case http.StateActive:
	default:
		n.forget(c)
	}
}

func (n *newConns) forget(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	if len(n.conns) == 0 && n.empty != nil {
		close(n.empty)
		n.empty = nil
	}
}

// wait returns when each connection has sent a request or has been closed, and
// at the latest when timeout receives. Only one goroutine may wait.
func (n *newConns) wait(timeout <-chan time.Time) {
	n.mu.Lock()
	if len(n.conns) == 0 {
		n.mu.Unlock()
		return
	}
	empty := make(chan struct{})
	n.empty = empty
	n.mu.Unlock()
	select {
	case <-empty:
	case <-timeout:
	}
}

// close closes the connections. It must be called after the server has begun to
// shut down, so that it does not pass on a request that arrives at the same
// time.
func (n *newConns) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		_ = c.Close() // the client may have closed it
	}
}
