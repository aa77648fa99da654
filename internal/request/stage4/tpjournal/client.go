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
	// ClaimTimeout bounds the time for a claim, retries included.
	ClaimTimeout = 3 * time.Second
	// SettleTimeout bounds one attempt to record the end of a call.
	SettleTimeout = 5 * time.Second
	// SettleRetryWindow is the time for which the end of a call is retried. It
	// covers the default deadline of a request.
	SettleRetryWindow = 2 * time.Minute

	// RepeatWait is the time for which a repeated request waits for the end of
	// an earlier request with its key. The result is recorded one group
	// interval after the caller gets its answer. Without the wait, a prompt
	// repeat would get AnswerUnknown.
	RepeatWait = time.Second

	repeatRetryInterval = 50 * time.Millisecond
	maxHolderAttempts   = 8
	holderRetryInterval = 50 * time.Millisecond
	settleRetryInterval = 200 * time.Millisecond
	settleWorkers       = 64
	settleQueueCapacity = 4096
)

// Peers passes operations to the holders on other nodes.
type Peers interface {
	// Do passes the operation to the node at address. It returns an error if no
	// answer arrives; the operation may have been carried out nevertheless.
	Do(ctx context.Context, address string, op Op) (Answer, error)
}

// Directory finds the holder of a shard. HolderOf returns the holder's address,
// and reports in self whether the holder is this node.
type Directory interface {
	HolderOf(shard int) (address string, self bool)
}

// ClientSettings configures a Client. Only Clock has a default, the system
// clock.
type ClientSettings struct {
	Clock     tpclock.Clock
	Directory Directory
	Peers     Peers
	// Local passes an operation to this node's own holder filter.
	Local func(ctx context.Context, op Op) Answer
	// OnAnswer is called with the answer to each claim.
	OnAnswer func(attempt string, a Answer)
	// Window is the maximum number of concurrent claims.
	Window int
}

// Client passes claims and settlements to the holders. Each runs as a task of a
// bounded pool, because it waits for a group commit.
type Client struct {
	cfg        ClientSettings
	claimPool  pond.Pool
	settlePool pond.Pool
	stopCtx    context.Context // done when the client stops; ends the retries of settlements
	// stopDeadlineNs is the time in nanoseconds since 1970 after which no
	// settlement attempt starts. It is 0 until the client stops.
	stopDeadlineNs atomic.Int64
	// Unsettled counts the calls whose end could not be recorded. A repeat of
	// such a call gets AnswerUnknown.
	Unsettled atomic.Uint64
}

// NewClient returns a client and its clean-up function, which waits for the
// claims and gives each outstanding settlement one more attempt.
func NewClient(cfg ClientSettings) (*Client, func()) {
	if cfg.Clock == nil {
		cfg.Clock = tpclock.System{}
	}
	stopCtx, stop := context.WithCancel(context.Background())
	c := &Client{
		cfg:        cfg,
		claimPool:  pond.NewPool(cfg.Window, pond.WithQueueSize(cfg.Window)),
		settlePool: pond.NewPool(settleWorkers, pond.WithQueueSize(settleQueueCapacity), pond.WithNonBlocking(true)),
		stopCtx:    stopCtx,
	}
	return c, func() {
		c.claimPool.StopAndWait()
		c.stopDeadlineNs.Store(c.cfg.Clock.Now().Add(SettleTimeout).UnixNano())
		stop()
		c.settlePool.StopAndWait()
	}
}

// Claim passes the claim of a call to the holder and calls OnAnswer with the
// answer. It never repeats a claim that may have been carried out.
func (c *Client) Claim(w tpmessage.Work) {
	c.claimPool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), min(ClaimTimeout, w.Request.Deadline.Sub(c.cfg.Clock.Now())))
		defer cancel()
		c.cfg.OnAnswer(w.Attempt, c.claim(ctx, ClaimOf(&w)))
	})
}

// claim retries for RepeatWait while the answer is AnswerUnknown. That answer
// means that this attempt was not recorded, so the retry is safe.
func (c *Client) claim(ctx context.Context, op Op) Answer {
	deadline := c.cfg.Clock.Now().Add(RepeatWait)
	a := c.do(ctx, op)
	for a.State == AnswerUnknown && c.cfg.Clock.Now().Before(deadline) && c.sleep(ctx, repeatRetryInterval) {
		retried := c.do(ctx, op)
		if retried.State == AnswerRefused {
			// The outcome of the key stays unknown. A refusal would tell the
			// caller that the call did not run.
			return a
		}
		a = retried
	}
	return a
}

// Settle passes the end of a call to the holder. It does not block. If the
// queue of settlements is full, the call counts as unsettled.
func (c *Client) Settle(op Op) {
	if _, ok := c.settlePool.TrySubmit(func() { c.settle(op) }); !ok {
		c.Unsettled.Add(1)
	}
}

func (c *Client) settle(op Op) {
	deadline := c.cfg.Clock.Now().Add(SettleRetryWindow)
	lastAttempt := false
	for now := c.cfg.Clock.Now(); now.Before(deadline) && !c.pastStopDeadline(now); now = c.cfg.Clock.Now() {
		ctx, cancel := context.WithTimeout(context.Background(), SettleTimeout)
		a := c.do(ctx, op)
		cancel()
		if a.State == AnswerSettled {
			return
		}
		if lastAttempt {
			break
		}
		lastAttempt = !c.sleep(c.stopCtx, settleRetryInterval)
	}
	c.Unsettled.Add(1)
}

// pastStopDeadline reports whether the client has stopped and must not start
// another attempt.
func (c *Client) pastStopDeadline(now time.Time) bool {
	deadlineNs := c.stopDeadlineNs.Load()
	return deadlineNs > 0 && now.UnixNano() > deadlineNs
}

// do passes an operation to the holder. It retries while the answer says that
// the node is not the holder.
func (c *Client) do(ctx context.Context, op Op) Answer {
	for range maxHolderAttempts {
		a := c.doOnce(ctx, op)
		if a.State != AnswerNotHolder {
			return a
		}
		if !c.sleep(ctx, holderRetryInterval) {
			break
		}
	}
	return Answer{State: AnswerRefused}
}

func (c *Client) doOnce(ctx context.Context, op Op) Answer {
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

// sleep waits for d and reports whether it did so before ctx ended.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-c.cfg.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
