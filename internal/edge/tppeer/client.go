package tppeer

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// HeartbeatTimeout bounds one heartbeat; the next one is due by then.
	HeartbeatTimeout = time.Second
	// CallTimeout bounds any other call to a peer.
	CallTimeout = 3 * time.Second
	// idleTimeout keeps connections between heartbeats: a region of 41 nodes
	// meets each peer about every 14 s.
	idleTimeout = 90 * time.Second
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Client calls other nodes by address.
type Client struct {
	HTTP *http.Client
	// Events stamps outgoing messages and observes the answers; it may be nil.
	Events *tpevent.Recorder
}

// NewClient returns a client and its clean-up function.
func NewClient(events *tpevent.Recorder) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout}
	return &Client{HTTP: &http.Client{Transport: transport}, Events: events}, transport.CloseIdleConnections
}

func timeToWire(t tpmessage.HybridTime) *tpwire.HybridTime {
	return &tpwire.HybridTime{Wall: t.Wall, Counter: t.Counter}
}

func timeFromWire(t *tpwire.HybridTime) tpmessage.HybridTime {
	return tpmessage.HybridTime{Wall: t.GetWall(), Counter: t.GetCounter()}
}
