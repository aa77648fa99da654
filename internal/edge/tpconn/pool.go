package tpconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// errNoClaim is returned for an attempt on a connection that may not carry the
// request. Send makes another attempt.
var errNoClaim = errors.New("the connection may not carry the request")

// Pool sends each request once, on a connection that has not carried its ID
// before. It is safe for concurrent use.
type Pool struct {
	transport *http.Transport
}

// NewPool returns a pool that opens and keeps connections as the transport
// does, and a function that closes its idle connections. The transport must
// have a DialContext. The pool takes it over.
func NewPool(t *http.Transport) (*Pool, func()) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Pool{transport: t}, t.CloseIdleConnections
}

// Exchange is one request and its answer on a connection. The zero value is an
// exchange without a connection.
type Exchange struct {
	// RequestWrite is the write of the request.
	RequestWrite
	conn        *conn
	reused      bool
	connectedAt time.Time
	wrote       atomic.Bool
}

// ConnectedAt returns when the request had its connection, or zero if it had
// none. The process that answers was running then.
func (x *Exchange) ConnectedAt() time.Time { return x.connectedAt }

// MayHaveArrived reports whether a byte of the request may have been written.
func (x *Exchange) MayHaveArrived() bool { return x.wrote.Load() }

// Connection returns this end's address of the connection, or an empty string
// if there was none, and whether the connection had carried another exchange.
func (x *Exchange) Connection() (localAddress string, reused bool) {
	if x.conn == nil {
		return "", false
	}
	return x.conn.LocalAddr().String(), x.reused
}

// Abandon closes the connection, so that no other exchange takes place on it.
func (x *Exchange) Abandon() {
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// Send sends a request with the given ID and body, which replaces the body of
// r, and returns once the header of the answer has arrived. The exchange is
// never nil. The error is that of http.Transport.RoundTrip.
//
// A connection that has carried the ID is closed before a byte of the request
// is written, and another one is used.
func (p *Pool) Send(r *http.Request, id string, body []byte) (*http.Response, *Exchange, error) {
	for {
		x := &Exchange{RequestWrite: NewRequestWrite()}
		res, err := p.attempt(x, r, id, body)
		if !errors.Is(err, errNoClaim) {
			return res, x, err
		}
		if r.Context().Err() != nil {
			return nil, &Exchange{}, context.Cause(r.Context())
		}
	}
}

// attempt sends the request on the connection that the transport chooses. It
// returns errNoClaim if that may not carry the ID.
func (p *Pool) attempt(x *Exchange, r *http.Request, id string, body []byte) (*http.Response, error) {
	claimed := true
	out := r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.connectedAt = time.Now()
			x.conn, x.reused = info.Conn.(*conn), info.Reused // all connections are those of DialContext
			if claimed = x.conn.claim(id); !claimed {
				_ = x.conn.Close()
			}
		},
		WroteHeaderField: func(string, []string) { x.wrote.Store(true) },
		WroteRequest:     x.Record,
	}))
	out.Body, out.ContentLength = nil, int64(len(body))
	if len(body) > 0 || transportMayRetry(r) {
		// After a failure on a reused connection, the transport retries a
		// request without a body on its own, although the first attempt may
		// have run. It does not retry a request whose body it cannot read
		// again, and this body has no GetBody.
		out.Body, out.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	}
	res, err := p.transport.RoundTrip(out)
	if claimed {
		return res, err
	}
	if err == nil {
		// An answer that had been read from the connection before it was closed
		// belongs to an earlier exchange.
		res.Body.Close()
	}
	return nil, errNoClaim
}

// transportMayRetry reports whether http.Transport may retry r if r has no
// body.
func transportMayRetry(r *http.Request) bool {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	// The transport tests for the field, which may have an empty value.
	return r.Header["Idempotency-Key"] != nil || r.Header["X-Idempotency-Key"] != nil
}
