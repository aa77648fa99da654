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
	// HeartbeatTimeout is the time limit of a heartbeat, after which the next
	// one is due, and of the read of a view.
	HeartbeatTimeout = time.Second
	// CallTimeout is the time limit of any other call of a Client.
	CallTimeout = 3 * time.Second
	// idleConnTimeout keeps a connection open between two heartbeats to the
	// same peer, which are about 14 s apart in a region of 41 nodes.
	idleConnTimeout = 90 * time.Second
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Client calls the Members, Operations and Rollout services of other nodes.
type Client struct {
	HTTP *http.Client
	// Events provides the hybrid time of outgoing messages and observes that of
	// the answers. It may be nil.
	Events *tpevent.Recorder
}

// NewClient returns a client and its clean-up function, which closes idle
// connections. events may be nil.
func NewClient(events *tpevent.Recorder) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleConnTimeout}
	return &Client{HTTP: &http.Client{Transport: transport}, Events: events}, transport.CloseIdleConnections
}

func timeToWire(t tpmessage.HybridTime) *tpwire.HybridTime {
	return &tpwire.HybridTime{Wall: t.Wall, Counter: t.Counter}
}

func timeFromWire(t *tpwire.HybridTime) tpmessage.HybridTime {
	return tpmessage.HybridTime{Wall: t.GetWall(), Counter: t.GetCounter()}
}
