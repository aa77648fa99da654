package tppeer

import (
	"errors"
	"io"
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
	// MaxMessageBytes is the maximum size of a message between nodes, after
	// decompression. A view of 12,000 targets takes about 5 MB.
	MaxMessageBytes = 16 << 20
	// maxHeaderBytes is the maximum size of the header of an answer.
	maxHeaderBytes = 64 << 10
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
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{HTTP: &http.Client{Transport: limitedTransport{transport}}, Events: events}, transport.CloseIdleConnections
}

// errMessageTooLong is returned for an answer over MaxMessageBytes.
var errMessageTooLong = errors.New("the answer of the peer is too long")

// limitedTransport limits the bodies of answers to MaxMessageBytes, because the
// twirp client reads them as a whole.
type limitedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err == nil {
		res.Body = &limitedBody{ReadCloser: res.Body, left: MaxMessageBytes}
	}
	return res, err
}

type limitedBody struct {
	io.ReadCloser
	left int // bytes that may still be read
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= n; b.left < 0 {
		return 0, errMessageTooLong
	}
	return n, err
}

func timeToWire(t tpmessage.HybridTime) *tpwire.HybridTime {
	return &tpwire.HybridTime{Wall: t.Wall, Counter: t.Counter}
}

func timeFromWire(t *tpwire.HybridTime) tpmessage.HybridTime {
	return tpmessage.HybridTime{Wall: t.GetWall(), Counter: t.GetCounter()}
}
