package tpjournal

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// ClaimTimeout bounds the time for a claim.
	ClaimTimeout = 3 * time.Second
	// SettleTimeout bounds one try to record the end of a call.
	SettleTimeout = 5 * time.Second
	// SettleFor bounds the time for which the end of a call is kept for
	// further tries. It covers the default deadline of a request.
	SettleFor = 2 * time.Minute

	// RepeatWait is the time for which a repeat waits for the end of an earlier
	// request with its key. The result is recorded a group interval after its
	// caller had the answer, so a prompt repeat would else get "unknown".
	RepeatWait = time.Second

	repeatPause    = 50 * time.Millisecond
	holderTries    = 8
	holderPause    = 50 * time.Millisecond
	settlePause    = 200 * time.Millisecond
	settleWorkers  = 64
	settleCapacity = 4096
)

// Peers passes operations to the holders of other nodes.
type Peers interface {
	// Do passes the operation to the node at address. It returns an error if
	// no answer came, so that the operation may have been carried out.
	Do(ctx context.Context, address string, op Op) (Answer, error)
}

// Directory finds the holder of a shard. Self reports whether it is this node.
type Directory interface {
	HolderOf(shard int) (address string, self bool)
}

// ClientSettings configures a Client. Only Clock has a default.
type ClientSettings struct {
	Clock     tpclock.Clock
	Directory Directory
	Peers     Peers
	// Local passes an operation to this node's own holder filter.
	Local func(ctx context.Context, op Op) Answer
	// Answered is called with the end of each claim.
	Answered func(attempt string, a Answer)
	// Window is the number of claims at the same time.
	Window int
}

// Client is the duty that passes claims and settlements to the holders. Each is
// a task of a bounded pool, because it waits for a group commit.
type Client struct {
	cfg     ClientSettings
	claims  pond.Pool
	settles pond.Pool
	stopped context.Context // done when settlements are not tried again
	// stopBy is the time in nanoseconds since 1970 after which no settlement
	// is begun, or 0 before the stop.
	stopBy atomic.Int64
	// Unsettled counts the ends of calls that could not be recorded; a repeat
	// of such a key gets "unknown".
	Unsettled atomic.Uint64
}

// NewClient returns a client and its clean-up function, which waits for the
// claims and gives each outstanding settlement one more try.
func NewClient(cfg ClientSettings) (*Client, func()) {
	if cfg.Clock == nil {
		cfg.Clock = tpclock.System{}
	}
	stopped, stop := context.WithCancel(context.Background())
	c := &Client{
		cfg:     cfg,
		claims:  pond.NewPool(cfg.Window, pond.WithQueueSize(cfg.Window)),
		settles: pond.NewPool(settleWorkers, pond.WithQueueSize(settleCapacity), pond.WithNonBlocking(true)),
		stopped: stopped,
	}
	return c, func() {
		c.claims.StopAndWait()
		c.stopBy.Store(c.cfg.Clock.Now().Add(SettleTimeout).UnixNano())
		stop()
		c.settles.StopAndWait()
	}
}

// Claim passes the claim of a call to the holder. It never repeats a claim
// that may have been carried out.
func (c *Client) Claim(w tpmessage.Work) {
	c.claims.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), min(ClaimTimeout, w.Request.Deadline.Sub(c.cfg.Clock.Now())))
		defer cancel()
		c.cfg.Answered(w.Attempt, c.claim(ctx, ClaimOf(&w)))
	})
}

// claim asks again for RepeatWait while the outcome of the key is unknown. Such
// an answer says that this attempt was not recorded, so that asking again is safe.
func (c *Client) claim(ctx context.Context, op Op) Answer {
	until := c.cfg.Clock.Now().Add(RepeatWait)
	a := c.do(ctx, op)
	for a.State == AnswerUnknown && c.cfg.Clock.Now().Before(until) && c.pause(ctx, repeatPause) {
		again := c.do(ctx, op)
		if again.State == AnswerRefused {
			// The key stays unknown; a refusal would read as if it had not run.
			return a
		}
		a = again
	}
	return a
}

// Settle passes the end of a call to the holder. It does not block: if too
// many ends are waiting, this one is counted as unsettled.
func (c *Client) Settle(op Op) {
	if _, ok := c.settles.TrySubmit(func() { c.settle(op) }); !ok {
		c.Unsettled.Add(1)
	}
}

func (c *Client) settle(op Op) {
	until := c.cfg.Clock.Now().Add(SettleFor)
	last := false
	for now := c.cfg.Clock.Now(); now.Before(until) && !c.stopOver(now); now = c.cfg.Clock.Now() {
		ctx, cancel := context.WithTimeout(context.Background(), SettleTimeout)
		a := c.do(ctx, op)
		cancel()
		if a.State == AnswerSettled {
			return
		}
		if last {
			break
		}
		last = !c.pause(c.stopped, settlePause)
	}
	c.Unsettled.Add(1)
}

func (c *Client) stopOver(now time.Time) bool {
	by := c.stopBy.Load()
	return by > 0 && now.UnixNano() > by
}

// do passes an operation to the holder and asks again as long as the answer
// says that the node is not the holder.
func (c *Client) do(ctx context.Context, op Op) Answer {
	for range holderTries {
		a := c.once(ctx, op)
		if a.State != AnswerNotHolder {
			return a
		}
		if !c.pause(ctx, holderPause) {
			break
		}
	}
	return Answer{State: AnswerRefused}
}

func (c *Client) once(ctx context.Context, op Op) Answer {
	address, self := c.cfg.Directory.HolderOf(ShardOf(op.Key))
	if self {
		return c.cfg.Local(ctx, op)
	}
	a, err := c.cfg.Peers.Do(ctx, address, op)
	if err != nil {
		return Answer{State: AnswerUndetermined}
	}
	return a
}

// pause reports whether the time passed before ctx ended.
func (c *Client) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-c.cfg.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
