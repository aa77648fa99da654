package tprelaynode

import (
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"teaselpin.example/teaselpin/internal/relay/tpintake"
	"teaselpin.example/teaselpin/pkg/tpclock"
)

const (
	// MemoryLimitFraction is the fraction of the process's memory that the heap
	// may reach before the runtime collects garbage more often.
	MemoryLimitFraction = 0.6
	// baseBytes is the memory of a node without clients, in the heap and outside
	// of it each. An idle node has 19 MB resident.
	baseBytes = 16 << 20
	// bodyFraction is the part of the heap beyond baseBytes that bodies may take.
	// The rest is for connections and answers, so that the collector need not run
	// all the time.
	bodyFraction = 0.75
	// addressFraction is the part of the memory for bodies that one address may
	// take. The others have the rest, also if the bodies of one wait for targets.
	addressFraction = 0.75
	// connReadBuffer is the receive buffer that is asked for on a connection. The
	// kernel takes twice as much, which holds bytes that were not read.
	connReadBuffer = 24 << 10
	// minMemoryMB is the least memory for which the bounds leave room for one body
	// of 4 MiB, the default limit, while it grows.
	minMemoryMB = 48
	// reservedFDs are the descriptors that connections may not take.
	reservedFDs = 200
	bytesPerMB  = 1 << 20
	// defaultPeerConns bounds the connections of peers without MaxFDs. A region
	// has 370 nodes.
	defaultPeerConns = 512
	// defaultProbeConns bounds the connections of the readiness and the metrics
	// address without MaxFDs.
	defaultProbeConns = 64
)

// connLimits holds the largest number of connections of each server. Zero means
// no bound.
type connLimits struct {
	front, peers, ready, metrics int
}

// warnBodyLimit logs a body limit of the configuration for which the bounds leave
// no room. A body takes one and a half times its size when it grows for the last
// time.
func (n *Node) warnBodyLimit(limit int64) {
	if bound := n.cfg.BodyLimits().AddressBytes; bound > 0 && limit+limit/2 > bound {
		n.log.Warn().Str("event", "bodyLimitAboveMemory").Int64("limit", limit).Int64("bound", bound).Int("memoryMB", n.cfg.MemoryMB).Send()
	}
}

// isBounded reports whether the settings ask for bounds.
func (s *Settings) isBounded() bool { return s.MemoryMB > 0 || s.MaxFDs > 0 }

// BodyLimits returns the bounds for the bodies of requests in bytes. They are zero
// without MemoryMB.
func (s *Settings) BodyLimits() tpintake.Limits {
	if s.MemoryMB <= 0 {
		return tpintake.Limits{}
	}
	heap := MemoryLimitFraction*float64(s.MemoryMB)*bytesPerMB - baseBytes
	bodies := bodyFraction * heap
	return tpintake.Limits{Bytes: int64(bodies), AddressBytes: int64(addressFraction * bodies)}
}

// connLimits returns the bounds for connections. Three eighths of the descriptors
// are for clients, an eighth for peers, a 32nd each for the readiness and the
// metrics address. The rest, seven sixteenths, is for connections to targets, of
// which a request in progress has one at a time, and to the store.
func (s *Settings) connLimits() connLimits {
	if !s.isBounded() {
		return connLimits{}
	}
	l := connLimits{peers: defaultPeerConns, ready: defaultProbeConns, metrics: defaultProbeConns}
	if s.MemoryMB > 0 {
		outside := (1-MemoryLimitFraction)*float64(s.MemoryMB)*bytesPerMB - baseBytes
		l.front = int(outside / (2 * connReadBuffer))
	}
	if s.MaxFDs > 0 {
		n := s.MaxFDs - reservedFDs
		if l.front == 0 || n*3/8 < l.front {
			l.front = n * 3 / 8
		}
		l.peers, l.ready, l.metrics = min(l.peers, n/8), min(l.ready, n/32), min(l.metrics, n/32)
	}
	return l
}

// checkIntake returns the contradictions between the settings for bounds.
func (s *Settings) checkIntake() error {
	var faults []error
	if s.MemoryMB != 0 && s.MemoryMB < minMemoryMB {
		faults = append(faults, fmt.Errorf("memoryMB: want 0 or at least %d, found %d", minMemoryMB, s.MemoryMB))
	}
	if s.MaxFDs != 0 && s.MaxFDs < reservedFDs+32 {
		faults = append(faults, fmt.Errorf("maxFDs: want 0 or at least %d, found %d", reservedFDs+32, s.MaxFDs))
	}
	if len(faults) > 0 || !s.isBounded() {
		return errors.Join(faults...)
	}
	memory := Settings{MemoryMB: s.MemoryMB}
	if n := memory.connLimits().front; s.MemoryMB > 0 && s.Window > n {
		faults = append(faults, fmt.Errorf("window, memoryMB: %d MB are enough for %d connections, found a window of %d", s.MemoryMB, n, s.Window))
	}
	fds := Settings{MaxFDs: s.MaxFDs}
	if n := fds.connLimits().front; s.MaxFDs > 0 && s.Window > n {
		faults = append(faults, fmt.Errorf("window, maxFDs: %d descriptors are enough for %d connections, found a window of %d", s.MaxFDs, n, s.Window))
	}
	return errors.Join(faults...)
}

// connBound bounds the connections of one server. A mutex guards the decision,
// because the server asks for it on the goroutine that accepts and on those of the
// connections.
type connBound struct {
	clock tpclock.Clock
	// turnedAway is called for a connection that was closed or refused.
	turnedAway func(address, reason string)

	mu      sync.Mutex
	conns   tpintake.Conns[tpintake.SilentLongest]
	entries map[net.Conn]*tpintake.Conn
	byEntry map[*tpintake.Conn]net.Conn

	closed, refused atomic.Uint64
}

func newConnBound(clock tpclock.Clock, limit int, turnedAway func(address, reason string)) *connBound {
	b := &connBound{
		clock: clock, turnedAway: turnedAway,
		entries: make(map[net.Conn]*tpintake.Conn), byEntry: make(map[*tpintake.Conn]net.Conn),
	}
	b.conns.Max = limit
	return b
}

// admit counts a connection. It returns false if the caller is to close it.
func (b *connBound) admit(c net.Conn) bool {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	entry := &tpintake.Conn{Address: host, Silent: b.clock.Now()}
	b.mu.Lock()
	victim, ok := b.conns.Reserve(entry)
	var closing net.Conn
	if victim != nil {
		closing = b.byEntry[victim]
		delete(b.entries, closing)
		delete(b.byEntry, victim)
	}
	if ok {
		b.entries[c], b.byEntry[entry] = entry, c
	}
	b.mu.Unlock()
	if closing != nil {
		closing.Close()
		b.closed.Add(1)
		b.turnedAway(victim.Address, "silent")
	}
	if !ok {
		b.refused.Add(1)
		b.turnedAway(host, "full")
	}
	return ok
}

// track records a state that the server reports.
func (b *connBound) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.entries[c]
	if entry == nil {
		return
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		b.conns.Release(entry)
		delete(b.entries, c)
		delete(b.byEntry, entry)
	default:
		entry.Busy, entry.Silent = false, b.clock.Now()
	}
}

// begin records that a request is in progress. It returns false if the connection
// was closed before.
func (b *connBound) begin(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.entries[c]
	if entry == nil {
		return false
	}
	entry.Busy = true
	return true
}

// handler returns h for the requests of connections that are not closed.
func (b *connBound) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !b.begin(c) {
			panic(http.ErrAbortHandler) // the client has not got an answer, and the request must not run
		}
		h.ServeHTTP(w, r)
	})
}

func (b *connBound) stats() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]uint64{"connections": uint64(b.conns.Held()), "closed": b.closed.Load(), "refused": b.refused.Load()}
}

// boundedListener returns the connections that the bound admits.
type boundedListener struct {
	net.Listener
	bound *connBound
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.bound.admit(c) {
			c.Close()
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(connReadBuffer) // the connection works with a larger one
		}
		return c, nil
	}
}

// RecordTurnedAway logs a request that was refused because of the memory for
// bodies. Reason is "gaveWay" or "full".
func (n *Node) RecordTurnedAway(requestID, address, reason string) {
	n.log.Info().Str("event", "bodyTurnedAway").Str("request", requestID).Str("address", address).Str("reason", reason).Send()
}

// intakeVar returns the metrics of bodies and connections.
func (n *Node) intakeVar() expvar.Var {
	return expvar.Func(func() any {
		out := make(map[string]any)
		for name, b := range n.connBounds {
			out[name] = b.stats()
		}
		if n.deps.BodyStats != nil {
			s := n.deps.BodyStats()
			out["bodies"] = map[string]uint64{
				"bytes": uint64(s.Bytes), "bodies": uint64(s.Bodies), "gaveWay": s.GaveWay, "full": s.Full,
			}
		}
		return out
	})
}
