package tprelaynode

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTimeout is how long a server that stops waits for the first
// requests on connections that it has accepted. Clients allow a second to
// establish a connection and then send the request.
const firstRequestTimeout = time.Second

// newConns tracks the connections of a server that have not sent a request. An
// http.Server that shuts down reads such a request and closes the connection
// without an answer. The zero value is ready to use.
type newConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	empty chan struct{} // closed when conns becomes empty; nil if nothing waits
}

// track is the ConnState function of the server.
func (n *newConns) track(c net.Conn, state http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if state == http.StateNew {
		if n.conns == nil {
			n.conns = make(map[net.Conn]bool)
		}
		n.conns[c] = true
		return
	}
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
