package tpintake

import "time"

// Conn is a connection of a client.
type Conn struct {
	Address string
	Busy    bool      // a request is in progress
	Silent  time.Time // start of the silence: the last event of the connection
}

// ConnPolicy chooses the connection that is closed for a new one. Counts holds the
// connections of each address, with the new one. The result is nil if none is
// closed, so that the new one is refused.
type ConnPolicy interface {
	ChooseConn(incoming *Conn, conns map[*Conn]bool, counts map[string]int) *Conn
}

// SilentLongest chooses, of the connections without a request in progress, that
// of the address with the most connections that has been silent longest. A single
// connection of an address is not closed for one of an address with several.
type SilentLongest struct{}

// ChooseConn implements ConnPolicy.
func (SilentLongest) ChooseConn(incoming *Conn, conns map[*Conn]bool, counts map[string]int) *Conn {
	var chosen *Conn
	for c := range conns {
		if c == incoming || c.Busy {
			continue
		}
		if chosen == nil || counts[c.Address] > counts[chosen.Address] ||
			counts[c.Address] == counts[chosen.Address] && c.Silent.Before(chosen.Silent) {
			chosen = c
		}
	}
	if chosen != nil && counts[chosen.Address] < counts[incoming.Address] && counts[chosen.Address] == 1 {
		return nil
	}
	return chosen
}

// RefuseNew is the naive variant: the new connection is refused.
type RefuseNew struct{}

// ChooseConn implements ConnPolicy.
func (RefuseNew) ChooseConn(*Conn, map[*Conn]bool, map[string]int) *Conn { return nil }

// Conns counts connections. The zero value has no bound. It is not safe for
// concurrent use.
type Conns[P ConnPolicy] struct {
	Max    int // connections, zero for no bound
	Policy P

	conns  map[*Conn]bool
	counts map[string]int
}

// Reserve adds a connection. It returns the connection to close in its place, which
// is removed, or nil. The result is false if the new connection is refused and not
// added.
func (c *Conns[P]) Reserve(n *Conn) (*Conn, bool) {
	if c.conns == nil {
		c.conns, c.counts = make(map[*Conn]bool), make(map[string]int)
	}
	c.conns[n] = true
	c.counts[n.Address]++
	if c.Max <= 0 || len(c.conns) <= c.Max {
		return nil, true
	}
	victim := c.Policy.ChooseConn(n, c.conns, c.counts)
	if victim == nil {
		c.Release(n)
		return nil, false
	}
	c.Release(victim)
	return victim, true
}

// Release removes a connection. It does nothing if the connection was removed.
func (c *Conns[P]) Release(n *Conn) {
	if !c.conns[n] {
		return
	}
	delete(c.conns, n)
	if c.counts[n.Address]--; c.counts[n.Address] == 0 {
		delete(c.counts, n.Address)
	}
}

// Has reports whether a connection is counted.
func (c *Conns[P]) Has(n *Conn) bool { return c.conns[n] }

// Held returns the number of connections.
func (c *Conns[P]) Held() int { return len(c.conns) }
