package tpplatform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	// CallTimeout bounds a call other than a watch.
	CallTimeout = 3 * time.Second
	// WatchTimeout bounds a watch; the platform ends it earlier by itself.
	WatchTimeout = 40 * time.Second
)

// Error is the class of errors of this package. Errors also match the
// sentinels of tpobject.
var Error = errs.Class("platform")

// Client is a tpobject.Store over HTTP.
type Client struct {
	calls   *resty.Client
	watches *resty.Client
}

// NewClient returns a client of the platform at base, as http://10.0.0.1:7000,
// and its clean-up function.
func NewClient(base string) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 32}
	c := &Client{
		calls:   resty.New().SetTransport(transport).SetBaseURL(base).SetTimeout(CallTimeout),
		watches: resty.New().SetTransport(transport).SetBaseURL(base).SetTimeout(WatchTimeout),
	}
	return c, transport.CloseIdleConnections
}

// Get implements tpobject.Store.
func (c *Client) Get(ctx context.Context, name string) (tpobject.Object, error) {
	var o tpobject.Object
	resp, err := c.calls.R().SetContext(ctx).SetResult(&o).Get(PathObjects + name)
	return o, Check(resp, err, false, "get "+name)
}

// Put implements tpobject.Store.
func (c *Client) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	var answer PutAnswer
	resp, err := c.calls.R().SetContext(ctx).SetBody(value).SetResult(&answer).
		SetHeader("Content-Type", "application/octet-stream").
		SetQueryParam("version", strconv.FormatUint(version, 10)).
		Put(PathObjects + name)
	return answer.Version, Check(resp, err, true, "put "+name)
}

// Delete implements tpobject.Store.
func (c *Client) Delete(ctx context.Context, name string, version uint64) error {
	resp, err := c.calls.R().SetContext(ctx).
		SetQueryParam("version", strconv.FormatUint(version, 10)).
		Delete(PathObjects + name)
	return Check(resp, err, true, "delete "+name)
}

// List implements tpobject.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]tpobject.Object, error) {
	var list []tpobject.Object
	resp, err := c.calls.R().SetContext(ctx).SetResult(&list).SetQueryParam("prefix", prefix).Get(PathList)
	return list, Check(resp, err, false, "list "+prefix)
}

// Watch implements tpobject.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]tpobject.Change, error) {
	var changes []tpobject.Change
	resp, err := c.watches.R().SetContext(ctx).SetResult(&changes).
		SetQueryParam("prefix", prefix).
		SetQueryParam("after", strconv.FormatUint(after, 10)).
		Get(PathWatch)
	return changes, Check(resp, err, false, "watch "+prefix)
}

// VMs returns the platform's list, which lags behind.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var list []VM
	resp, err := c.calls.R().SetContext(ctx).SetResult(&list).Get(PathVMs)
	return list, Check(resp, err, false, "list VMs")
}

// Check turns an answer into an error that matches a sentinel of tpobject. A
// write without an answer has an unknown outcome.
func Check(resp *resty.Response, err error, write bool, what string) error {
	if err != nil && write {
		return Error.New("%s: %w: %w", what, tpobject.ErrOutcomeUnknown, err)
	}
	if err != nil {
		return Error.New("%s: %w: %w", what, tpobject.ErrUnavailable, err)
	}
	switch resp.StatusCode() {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return Error.New("%s: %w", what, tpobject.ErrNotFound)
	case http.StatusConflict:
		return Error.New("%s: %w", what, tpobject.ErrConflict)
	case http.StatusGone:
		return Error.New("%s: %w", what, tpobject.ErrHistoryGone)
	case http.StatusRequestEntityTooLarge:
		return Error.New("%s: %w", what, tpobject.ErrTooLarge)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Error.New("%s: %w: %s", what, tpobject.ErrUnavailable, resp.Status())
	}
	if write {
		return Error.New("%s: %w: %s", what, tpobject.ErrOutcomeUnknown, resp.Status())
	}
	return Error.New("%s: %w: %s", what, tpobject.ErrUnavailable, resp.Status())
}
