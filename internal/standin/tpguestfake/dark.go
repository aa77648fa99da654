package tpguestfake

import "net"

// darkListener accepts connections that are silent from the close of dark to
// the close of ended.
type darkListener struct {
	net.Listener
	dark, ended chan struct{}
}

// Accept implements net.Listener.
func (l *darkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &darkConn{Conn: conn, listener: l}, nil
}

// darkConn neither sends nor receives while the server is dark.
type darkConn struct {
	net.Conn
	listener *darkListener
}

// Read implements net.Conn. It returns net.ErrClosed after darkness.
func (c *darkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.wasDark() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. It returns net.ErrClosed after darkness.
func (c *darkConn) Write(b []byte) (int, error) {
	if c.wasDark() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// wasDark returns false unless the server is dark. It then waits until the test
// ends.
func (c *darkConn) wasDark() bool {
	select {
	case <-c.listener.dark:
		<-c.listener.ended
		return true
	default:
		return false
	}
}
