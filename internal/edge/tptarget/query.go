package tptarget

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// QueryTimeout is the time limit of a query to one service.
const QueryTimeout = time.Second

// CallResult is the JSON answer of a plain service to a query for a key that it
// ran. It holds the result of the call.
type CallResult struct {
	Key    string `json:"key"`
	Status int    `json:"status"` // HTTP status of the call's answer
	Result string `json:"result"`
}

// CallQuerier queries plain services for whether they ran the call of an
// idempotency key. It implements tpjournal.CallQuerier.
type CallQuerier struct {
	pool   func(name string) (tpmessage.Pool, bool)
	client *resty.Client
}

// NewCallQuerier returns a querier. pool returns the pool of a name from the
// configuration in force, and false if there is none.
func NewCallQuerier(pool func(name string) (tpmessage.Pool, bool)) *CallQuerier {
	// Each query has a connection of its own. An answer that a key was not run
	// names no key: on a reused connection, a second copy of an earlier answer
	// would be taken for it.
	t := &http.Transport{MaxResponseHeaderBytes: MaxHeaderBytes, DisableKeepAlives: true}
	client := resty.New().SetTransport(t).SetTimeout(QueryTimeout).SetResponseBodyLimit(2 * MaxResultBytes)
	return &CallQuerier{pool: pool, client: client}
}

// QueryCall implements tpjournal.CallQuerier. It queries the services of the
// pool one after the other until one answers that it ran the key. If none does,
// QueryCall returns the last error of a query, or nil if every service
// answered.
func (q *CallQuerier) QueryCall(ctx context.Context, pool, key string) (bool, int, []byte, error) {
	p, ok := q.pool(pool)
	if !ok {
		return false, 0, nil, Error.New("pool %q does not exist", pool)
	}
	var lastErr error
	for _, t := range p.Targets {
		var answer CallResult
		resp, err := q.client.R().SetContext(ctx).SetResult(&answer).
			Get("http://" + t.Address + PathCalls + "/" + key)
		if err != nil {
			lastErr = Error.New("query %s for key %s: %w", t.Name, key, err)
			continue
		}
		if resp.StatusCode() != http.StatusOK {
			continue
		}
		if answer.Key != key {
			lastErr = Error.New("query %s for key %s: the answer is about key %q", t.Name, key, answer.Key)
			continue
		}
		return true, answer.Status, []byte(answer.Result), nil
	}
	return false, 0, nil, lastErr
}
