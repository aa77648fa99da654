package tpplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	// CallTimeout is the time limit of a call other than a watch.
	CallTimeout = 3 * time.Second
	// WatchTimeout is the time limit of a watch. The platform ends a watch
	// without changes earlier.
	WatchTimeout = 40 * time.Second
	// maxHeaderBytes and maxBodyBytes are the maximum sizes of the header and of
	// the body of an answer. An object has at most 1 MB.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 64 << 20
)

// Error is the class of errors of this package. Errors also match the
// sentinels of tpobject.
var Error = errs.Class("platform")

// Client implements tpobject.Store with calls to the platform over HTTP.
type Client struct {
	callClient  *resty.Client
	watchClient *resty.Client
}

// NewClient returns a client of the platform at the base URL, such as
// http://10.0.0.1:7000, and its clean-up function, which closes idle
// connections.
func NewClient(base string) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 32, MaxResponseHeaderBytes: maxHeaderBytes}
	newClient := func(timeout time.Duration) *resty.Client {
		return NewHTTPClient(transport, base, timeout).SetResponseBodyLimit(maxBodyBytes)
	}
	c := &Client{callClient: newClient(CallTimeout), watchClient: newClient(WatchTimeout)}
	return c, transport.CloseIdleConnections
}

// NewHTTPClient returns a client whose calls have a timeout. A call that gets no
// answer closes the kept connections of the transport: if one of them has gone
// silent, so may the others have, and each would fail a call.
func NewHTTPClient(transport *http.Transport, base string, timeout time.Duration) *resty.Client {
	return resty.New().SetTransport(transport).SetBaseURL(base).SetTimeout(timeout).
		OnError(func(*resty.Request, error) { transport.CloseIdleConnections() })
}

// Get implements tpobject.Store.
func (c *Client) Get(ctx context.Context, name string) (tpobject.Object, error) {
	var o tpobject.Object
	resp, err := c.callClient.R().SetContext(ctx).SetResult(&o).Get(PathObjects + name)
	return o, CheckResponse(resp, err, false, "get "+name)
}

// Put implements tpobject.Store.
func (c *Client) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	var answer PutResponse
	resp, err := c.callClient.R().SetContext(ctx).SetBody(value).SetResult(&answer).
		SetHeader("Content-Type", "application/octet-stream").
		SetQueryParam("version", strconv.FormatUint(version, 10)).
		Put(PathObjects + name)
	return answer.Version, CheckResponse(resp, err, true, "put "+name)
}

// Delete implements tpobject.Store.
func (c *Client) Delete(ctx context.Context, name string, version uint64) error {
	resp, err := c.callClient.R().SetContext(ctx).
		SetQueryParam("version", strconv.FormatUint(version, 10)).
		Delete(PathObjects + name)
	return CheckResponse(resp, err, true, "delete "+name)
}

// List implements tpobject.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]tpobject.Object, error) {
	var list []tpobject.Object
	resp, err := c.callClient.R().SetContext(ctx).SetResult(&list).SetQueryParam("prefix", prefix).Get(PathList)
	return list, CheckResponse(resp, err, false, "list "+prefix)
}

// Watch implements tpobject.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]tpobject.Change, error) {
	var changes []tpobject.Change
	resp, err := c.watchClient.R().SetContext(ctx).SetResult(&changes).
		SetQueryParam("prefix", prefix).
		SetQueryParam("after", strconv.FormatUint(after, 10)).
		Get(PathWatch)
	return changes, CheckResponse(resp, err, false, "watch "+prefix)
}

// VMs returns the platform's list of VMs, which lags behind their actual state.
// It skips an element that cannot be decoded or has no name.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var elements []json.RawMessage
	resp, err := c.callClient.R().SetContext(ctx).SetResult(&elements).Get(PathVMs)
	if err := CheckResponse(resp, err, false, "list VMs"); err != nil {
		return nil, err
	}
	list := make([]VM, 0, len(elements))
	for _, e := range elements {
		var vm VM
		if json.Unmarshal(e, &vm) == nil && vm.Name != "" {
			list = append(list, vm)
		}
	}
	return list, nil
}

// CheckResponse returns nil if the call succeeded, or else an error that
// matches a sentinel of tpobject. A write that got no answer or an unexpected
// status has an unknown outcome; such a read counts as unavailable.
func CheckResponse(resp *resty.Response, err error, isWrite bool, operation string) error {
	if err != nil && isWrite {
		return Error.New("%s: %w: %w", operation, tpobject.ErrOutcomeUnknown, err)
	}
	if err != nil {
		return Error.New("%s: %w: %w", operation, tpobject.ErrUnavailable, err)
	}
	switch resp.StatusCode() {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return Error.New("%s: %w", operation, tpobject.ErrNotFound)
	case http.StatusConflict:
		return Error.New("%s: %w", operation, tpobject.ErrConflict)
	case http.StatusGone:
		return Error.New("%s: %w", operation, tpobject.ErrHistoryGone)
	case http.StatusRequestEntityTooLarge:
		return Error.New("%s: %w", operation, tpobject.ErrTooLarge)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Error.New("%s: %w: %s", operation, tpobject.ErrUnavailable, resp.Status())
	}
	if isWrite {
		return Error.New("%s: %w: %s", operation, tpobject.ErrOutcomeUnknown, resp.Status())
	}
	return Error.New("%s: %w: %s", operation, tpobject.ErrUnavailable, resp.Status())
}
