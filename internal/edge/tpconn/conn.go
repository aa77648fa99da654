package tpconn

import (
	"context"
	"net"
	"slices"
	"sync/atomic"

	"github.com/zeebo/xxh3"
)

// maxIDsPerConn limits the memory for the IDs of one connection to 4 KiB. A
// connection that has carried so many requests is replaced.
const maxIDsPerConn = 512

// DialFunc opens a connection as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// conn is a connection that knows the IDs of the requests that it has carried.
// The transport gives it to one request at a time.
type conn struct {
	net.Conn
	ids    []uint64 // hashes; two IDs with the same hash cost a connection
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// claim reports whether the connection may carry the request, and records its
// ID if so. The transport may still hold a connection that has just been closed.
func (c *conn) claim(id string) bool {
	hash := xxh3.HashString(id)
	if c.closed.Load() || len(c.ids) >= maxIDsPerConn || slices.Contains(c.ids, hash) {
		return false
	}
	c.ids = append(c.ids, hash)
	return true
}
