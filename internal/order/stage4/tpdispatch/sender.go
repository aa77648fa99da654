package tpdispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// CallTimeout bounds a call to an engine other than an order.
	CallTimeout = 3 * time.Second
	// SendTimeout bounds one attempt to send an order.
	SendTimeout = 10 * time.Second
	// maxAnswerBytes bounds an engine's answer.
	maxAnswerBytes = 64 << 10
)

// Error is the class of errors of this package.
var Error = errs.Class("dispatch")

// Engines speaks to engines over HTTP.
type Engines struct {
	status *http.Client
	orders *http.Client
}

// NewEngines returns a client and its clean-up function, which closes idle
// connections.
func NewEngines() (*Engines, func()) {
	base := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: tptarget.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	// An order has a connection of its own. net/http repeats a request by
	// itself only on a connection that was used before.
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	// The body waits for 100 Continue and is never sent on a timeout instead.
	fresh.ExpectContinueTimeout = 24 * time.Hour
	return &Engines{
		status: &http.Client{Transport: base, Timeout: CallTimeout},
		orders: &http.Client{Transport: fresh},
	}, base.CloseIdleConnections
}

// Status reads an engine's state, and its load if that is asked for.
func (c *Engines) Status(ctx context.Context, address string, load bool) (tporder.Status, error) {
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

func (c *Engines) get(ctx context.Context, url string, into any) error {
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
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into))
}

// Send sends an order. For an engine that ignores the fencing number, confirm
// reads the lease again between the engine's 100 Continue and the body; the
// body is not written if it fails. The error matches a sentinel of tporder.
func (c *Engines) Send(ctx context.Context, address string, order tpmessage.Order, t tpmessage.EngineType,
	confirm func(context.Context) error,
) error {
	if !tporder.Safe(t) {
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
		return body.classify(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return body.answered(resp, text)
}

// guardedBody is an order's body. net/http first reads it after the engine's
// 100 Continue, and then confirm decides whether a byte of it is written.
type guardedBody struct {
	data    bytes.Reader
	ctx     context.Context
	confirm func(context.Context) error
	passed  atomic.Bool // a byte may have been written
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.confirm != nil && !b.passed.Load() {
		if err := b.confirm(b.ctx); err != nil {
			return 0, err
		}
	}
	b.passed.Store(true)
	return b.data.Read(p)
}

// classify returns the error of a send that got no answer.
func (b *guardedBody) classify(err error) error {
	if b.passed.Load() {
		return Error.New("%w: %w", tporder.ErrSendUnknown, err)
	}
	return Error.New("%w: %w", tporder.ErrNotSent, err)
}

// answered returns the error that an engine's answer stands for.
func (b *guardedBody) answered(resp *http.Response, text []byte) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusPreconditionFailed:
		return Error.New("%w: %s", tporder.ErrFenced, text)
	case http.StatusUnprocessableEntity:
		return Error.New("%w: %s", tporder.ErrRefused, text)
	}
	return b.classify(errors.New(resp.Status))
}
