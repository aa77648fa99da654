package tpdispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// CallTimeout is the timeout of a status or load request to an engine.
	CallTimeout = 3 * time.Second
	// SendTimeout is the timeout of one attempt to send an order.
	SendTimeout = 10 * time.Second
	// maxResponseBytes is the number of bytes read of an engine's response.
	maxResponseBytes = 64 << 10
)

// Error is the class of errors of this package.
var Error = errs.Class("dispatch")

// EngineClient is an HTTP client for engines. It is safe for concurrent use.
//
// Each request uses a new connection. A state or load names no request: on a
// reused connection, a second copy of an earlier answer would be taken for it.
// An order is sent once, because net/http retries a request by itself only on a
// connection that was used before.
type EngineClient struct {
	status *http.Client
	orders *http.Client
}

// NewEngineClient returns a client.
func NewEngineClient() *EngineClient {
	statusTransport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: tptarget.DialTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: tptarget.MaxHeaderBytes,
	}
	orderTransport := statusTransport.Clone()
	// The timeout is longer than any send, so the body is sent only after 100
	// Continue and never because this timeout has passed.
	orderTransport.ExpectContinueTimeout = 24 * time.Hour
	return &EngineClient{
		status: &http.Client{Transport: statusTransport, Timeout: CallTimeout, CheckRedirect: refuseRedirect},
		orders: &http.Client{Transport: orderTransport, CheckRedirect: refuseRedirect},
	}
}

// refuseRedirect prevents a client from taking the answer of another process for
// that of the engine.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Status reads an engine's state. If load is true, it also reads the load and
// sets Idle.
func (c *EngineClient) Status(ctx context.Context, address string, load bool) (tporder.Status, error) {
	var s tptarget.EngineStatus
	if err := c.get(ctx, address+tptarget.PathState, &s); err != nil {
		return tporder.Status{}, err
	}
	status := tporder.Status{State: s.State, Number: s.Number, Fencing: s.Fencing, Busy: s.Busy}
	if !load {
		return status, nil
	}
	var r tpmessage.LoadReport
	if err := c.get(ctx, address+tptarget.PathLoad, &r); err != nil {
		return status, err
	}
	status.Idle = r.Running == 0 && r.WaitingPrefill == 0 && r.WaitingDecode == 0
	return status, nil
}

func (c *EngineClient) get(ctx context.Context, url string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := c.status.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Error.New("%s: %s", url, resp.Status)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result))
}

// Send sends an order to an engine. If the engine type does not check the
// fencing number, Send calls confirm between the engine's 100 Continue and the
// body, and does not write the body if confirm returns an error. An error of
// Send matches an error of tporder.
func (c *EngineClient) Send(ctx context.Context, address string, order tpmessage.Order, t tpmessage.EngineType,
	confirm func(context.Context) error,
) error {
	if !tporder.ExcludesFormerHolder(t) {
		return Error.New("%w: engine type %q declares neither checksFencing nor orderReadTimeout",
			tporder.ErrNotSent, t.Name)
	}
	data, err := json.Marshal(order)
	if err != nil {
		return Error.New("%w: %w", tporder.ErrNotSent, err)
	}
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	body := &guardedBody{data: *bytes.NewReader(data), ctx: ctx}
	if !t.ChecksFencing {
		body.confirm = confirm
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+tptarget.PathOrders, body)
	if err != nil {
		return Error.New("%w: %w", tporder.ErrNotSent, err)
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	if !t.ChecksFencing {
		req.Header.Set("Expect", "100-continue")
	}
	resp, err := c.orders.Do(req)
	if err != nil {
		return body.sendError(err)
	}
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return body.responseError(resp, detail)
}

// errSendEnded is returned to net/http for a body that it reads after Send has
// reported that the order was not sent.
var errSendEnded = errors.New("the order was given up")

// guardedBody is the request body of an order. If confirm is set, net/http
// reads the body only after the engine's 100 Continue, and confirm then decides
// whether any byte of it is written. An engine may answer before the body is
// read; the body then stays unread if Send reports that it was not sent.
type guardedBody struct {
	data    bytes.Reader
	ctx     context.Context
	confirm func(context.Context) error

	mu      sync.Mutex
	started bool // a byte of the body may have been written
	ended   bool // no byte of the body was or will be written
}

// Read implements io.Reader. It returns the error of confirm before the first
// byte.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.confirm != nil && !b.hasStarted() {
		if err := b.confirm(b.ctx); err != nil {
			return 0, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return 0, errSendEnded
	}
	b.started = true
	return b.data.Read(p)
}

func (b *guardedBody) hasStarted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started
}

// sendError returns the error of a send without a usable response. It depends
// on whether a byte of the body may have been written. If none was, none will be.
func (b *guardedBody) sendError(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started {
		return Error.New("%w: %w", tporder.ErrSendUnknown, err)
	}
	b.ended = true
	return Error.New("%w: %w", tporder.ErrNotSent, err)
}

// responseError returns the error that corresponds to an engine's response, or
// nil if the engine accepted the order.
func (b *guardedBody) responseError(resp *http.Response, detail []byte) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusPreconditionFailed:
		return Error.New("%w: %s", tporder.ErrFenced, detail)
	case http.StatusUnprocessableEntity:
		return Error.New("%w: %s", tporder.ErrRefused, detail)
	}
	return b.sendError(errors.New(resp.Status))
}
