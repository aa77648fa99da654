package tptarget

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// AskTimeout bounds the question to one service.
const AskTimeout = time.Second

// KeyAnswer is what a plain service tells of a key that it ran.
type KeyAnswer struct {
	Key    string `json:"key"`
	Status int    `json:"status"` // HTTP status of the call's answer
	Result string `json:"result"`
}

// Asker asks plain services whether they ran a key. It implements
// tpjournal.Asker.
type Asker struct {
	pool   func(name string) (tpmessage.Pool, bool)
	client *resty.Client
}

// NewAsker returns an asker and its clean-up function. pool returns the pool
// of a name from the configuration in force.
func NewAsker(pool func(name string) (tpmessage.Pool, bool)) (*Asker, func()) {
	t := &http.Transport{}
	return &Asker{pool: pool, client: resty.New().SetTransport(t).SetTimeout(AskTimeout)}, t.CloseIdleConnections
}

// Ask implements tpjournal.Asker. It asks one service after the other until
// one says that it ran the key.
func (a *Asker) Ask(ctx context.Context, pool, key string) (bool, int, []byte, error) {
	p, ok := a.pool(pool)
	if !ok {
		return false, 0, nil, Error.New("pool %q does not exist", pool)
	}
	var failed error
	for _, t := range p.Targets {
		var answer KeyAnswer
		resp, err := a.client.R().SetContext(ctx).SetResult(&answer).
			Get("http://" + t.Address + PathCalls + "/" + key)
		if err != nil {
			failed = Error.New("ask %s about %s: %w", t.Name, key, err)
			continue
		}
		if resp.StatusCode() == http.StatusOK {
			return true, answer.Status, []byte(answer.Result), nil
		}
	}
	return false, 0, nil, failed
}
