package tppeer

import (
	"context"
	"net/http"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
)

// maxIdleConnsPerPeer is the number of idle connections that are kept to one
// holder of journal shards.
const maxIdleConnsPerPeer = 64

// JournalServer serves the Journal service of a node.
type JournalServer struct {
	// IsHolder reports whether this node holds a shard of the journal. An
	// operation on any other shard is answered with AnswerNotHolder.
	IsHolder func(shard int) bool
	// Do executes an operation in the node's holder filter.
	Do     func(ctx context.Context, op tpjournal.Op) tpjournal.Answer
	Events *tpevent.Recorder
}

// NewJournalHandler returns the path prefix and the HTTP handler of the
// service.
func NewJournalHandler(s *JournalServer) (string, http.Handler) {
	h := tpwire.NewJournalServer(s)
	return h.PathPrefix(), h
}

// Claim implements tpwire.Journal.
func (s *JournalServer) Claim(ctx context.Context, req *tpwire.ClaimRequest) (*tpwire.ClaimResponse, error) {
	s.Events.Observe(timeFromWire(req.GetTime()))
	a := s.doIfHolder(ctx, tpjournal.Op{
		Kind:         tpjournal.OpClaim,
		Key:          req.GetKey(),
		Attempt:      req.GetAttempt(),
		Fingerprint:  req.GetFingerprint(),
		Organisation: req.GetOrganisation(),
		Pool:         req.GetTargetPool(),
	})
	return &tpwire.ClaimResponse{
		Time: timeToWire(s.Events.Now()), State: string(a.State), Status: int32(a.Status), Result: a.Result,
	}, nil
}

// Settle implements tpwire.Journal.
func (s *JournalServer) Settle(ctx context.Context, req *tpwire.SettleRequest) (*tpwire.SettleResponse, error) {
	s.Events.Observe(timeFromWire(req.GetTime()))
	a := s.doIfHolder(ctx, tpjournal.Op{
		Kind:    tpjournal.OpSettle,
		Key:     req.GetKey(),
		Attempt: req.GetAttempt(),
		NotRun:  req.GetNotRun(),
		Status:  int(req.GetStatus()),
		Result:  req.GetResult(),
		Omitted: req.GetOmitted(),
	})
	return &tpwire.SettleResponse{Time: timeToWire(s.Events.Now()), State: string(a.State)}, nil
}

func (s *JournalServer) doIfHolder(ctx context.Context, op tpjournal.Op) tpjournal.Answer {
	if !s.IsHolder(tpjournal.ShardOf(op.Key)) {
		return tpjournal.Answer{State: tpjournal.AnswerNotHolder}
	}
	return s.Do(ctx, op)
}

// JournalClient calls the Journal service of other nodes. It implements
// tpjournal.Peers.
type JournalClient struct {
	events *tpevent.Recorder
	http   *http.Client
}

// NewJournalClient returns a client and its clean-up function, which closes
// idle connections. The client sends an operation at most once: net/http
// repeats a POST only if no byte of it was written.
func NewJournalClient(events *tpevent.Recorder) (*JournalClient, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerPeer, MaxResponseHeaderBytes: maxHeaderBytes}
	return &JournalClient{events: events, http: &http.Client{Transport: limitedTransport{t}}}, t.CloseIdleConnections
}

// Do implements tpjournal.Peers. It sends the operation to the node at address.
func (c *JournalClient) Do(ctx context.Context, address string, op tpjournal.Op) (tpjournal.Answer, error) {
	client := tpwire.NewJournalProtobufClient("http://"+address, c.http)
	if op.Kind == tpjournal.OpSettle {
		return c.settle(ctx, client, &op)
	}
	resp, err := client.Claim(ctx, &tpwire.ClaimRequest{
		Time:         timeToWire(c.events.Now()),
		Key:          op.Key,
		Attempt:      op.Attempt,
		Fingerprint:  op.Fingerprint,
		Organisation: op.Organisation,
		TargetPool:   op.Pool,
	})
	if err != nil {
		return tpjournal.Answer{}, Error.New("claim at %s: %w", address, err)
	}
	c.events.Observe(timeFromWire(resp.GetTime()))
	return tpjournal.Answer{
		State: tpjournal.AnswerState(resp.GetState()), Status: int(resp.GetStatus()), Result: resp.GetResult(),
	}, nil
}

func (c *JournalClient) settle(ctx context.Context, client tpwire.Journal, op *tpjournal.Op) (tpjournal.Answer, error) {
	resp, err := client.Settle(ctx, &tpwire.SettleRequest{
		Time:    timeToWire(c.events.Now()),
		Key:     op.Key,
		Attempt: op.Attempt,
		NotRun:  op.NotRun,
		Status:  int32(op.Status),
		Result:  op.Result,
		Omitted: op.Omitted,
	})
	if err != nil {
		return tpjournal.Answer{}, Error.New("settle %s: %w", op.Key, err)
	}
	c.events.Observe(timeFromWire(resp.GetTime()))
	return tpjournal.Answer{State: tpjournal.AnswerState(resp.GetState())}, nil
}
