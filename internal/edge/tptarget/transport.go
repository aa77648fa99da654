package tptarget

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/internal/edge/tpconn"
	"teaselpin.example/teaselpin/internal/request/stage5/tpsender"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DialTimeout is the time limit for connecting to a target, and for the
	// whole of Transport.Reachable.
	DialTimeout = 2 * time.Second
	// respondTimeout is the time limit for the whole of Transport.Responds. With
	// the time of the request before, it exceeds the silences of sound targets.
	respondTimeout = time.Second
	// DefaultFirstChunkTimeout is the time limit for an engine's first chunk,
	// after which another engine is tried. It is long because the request may
	// wait in the engine's queue.
	DefaultFirstChunkTimeout = 20 * time.Second
	// DefaultChunkGapTimeout is the time limit between two chunks, after which
	// the attempt ends. The chunks of a live engine are tens of milliseconds
	// apart.
	DefaultChunkGapTimeout = 5 * time.Second
	// EndTimeout is the time limit for the end of the response after the last
	// chunk. The connection is reused only if the response ends in this time.
	EndTimeout = time.Second
	// MaxLineBytes is the maximum size of one line of an engine's answer.
	MaxLineBytes = 64 << 10
	// MaxResultBytes is the maximum size of the answer of a plain service.
	MaxResultBytes = 1 << 20
	// MaxHeaderBytes is the maximum size of the header of an answer.
	MaxHeaderBytes = 64 << 10
)

// Error is the class of errors of this package.
var Error = errs.Class("target")

var (
	errChunkTimeout  = errors.New("no chunk came in time")
	errResultTooLong = errors.New("the result is too long")
	errWrongRequest  = errors.New("the refusal does not name its request")
)

// Settings configures a Transport. A zero field stands for its default.
type Settings struct {
	FirstChunkTimeout time.Duration // time limit for the first chunk
	ChunkGapTimeout   time.Duration // time limit between two chunks
}

// Transport sends requests to targets over HTTP. It implements
// tpsender.Transport. It sends each request once: only the sender retries.
type Transport struct {
	cfg Settings
	// engines sends the requests to engines over kept connections. Their answers
	// name the request, and no connection carries a request twice.
	engines *tpconn.Pool
	// unpooledClient opens a connection for each request. On a failure of a
	// reused connection, net/http itself sends a request with an
	// Idempotency-Key a second time, which would run a non-idempotent call
	// twice. The answer of a plain service does not name its request: on a
	// reused connection, a second copy of an earlier answer would be taken for
	// it.
	unpooledClient *http.Client
}

// NewTransport returns a transport and its clean-up function, which closes
// idle connections.
func NewTransport(cfg Settings) (*Transport, func()) {
	if cfg.FirstChunkTimeout <= 0 {
		cfg.FirstChunkTimeout = DefaultFirstChunkTimeout
	}
	if cfg.ChunkGapTimeout <= 0 {
		cfg.ChunkGapTimeout = DefaultChunkGapTimeout
	}
	t := &Transport{cfg: cfg}
	pooled := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: DialTimeout}).DialContext,
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		DisableCompression:     true,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	t.unpooledClient = &http.Client{Transport: unpooled, CheckRedirect: refuseRedirect}
	engines, closeEngines := tpconn.NewPool(pooled)
	t.engines = engines
	return t, closeEngines
}

// refuseRedirect prevents the client from sending a body a second time to the
// address of a redirect.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Reachable implements tpsender.Transport. A target that accepts a connection
// but does not answer is reachable, since it may be paused. A target that
// closes the connection is not, since a terminating process can still accept
// connections for a moment.
func (t *Transport) Reachable(ctx context.Context, target tpmessage.Target) bool {
	connected, answered, err := t.probe(ctx, target, DialTimeout)
	return answered || connected && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled))
}

// Responds implements tpsender.Transport. Any answer within respondTimeout counts.
func (t *Transport) Responds(ctx context.Context, target tpmessage.Target) bool {
	_, answered, _ := t.probe(ctx, target, respondTimeout)
	return answered
}

// probe queries the load of a target.
func (t *Transport) probe(ctx context.Context, target tpmessage.Target, timeout time.Duration) (connected, answered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var isConnected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+PathLoad, nil)
	if err != nil {
		return false, false, Error.Wrap(err)
	}
	resp, err := t.unpooledClient.Do(r)
	if err == nil {
		_ = resp.Body.Close()
		return true, true, nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return isConnected.Load(), false, err
}

// Run implements tpsender.Transport. It sends the request to the target once
// and passes the chunks of the answer to deliver. It asks a model engine for
// the chunks from number firstChunk on.
func (t *Transport) Run(ctx context.Context, req *tpmessage.Request, target tpmessage.Target, firstChunk int,
	deliver func(tpmessage.Chunk) error,
) tpsender.Result {
	if req.Kind == tpmessage.KindServiceCall {
		return t.call(ctx, req, target, deliver)
	}
	return t.generate(ctx, req, target, firstChunk, deliver)
}

func (t *Transport) generate(ctx context.Context, req *tpmessage.Request, target tpmessage.Target, firstChunk int,
	deliver func(tpmessage.Chunk) error,
) tpsender.Result {
	body, err := json.Marshal(GenerateRequest{
		RequestID:    req.ID,
		Organisation: req.Organisation,
		Model:        req.Model,
		Adapter:      req.Adapter,
		Prompt:       string(req.Body),
		PrefixHash:   req.PrefixHash,
		PromptTokens: req.PromptTokens,
		MaxTokens:    req.MaxTokens,
		Seed:         req.Seed,
		Priority:     req.Priority,
		FirstChunk:   firstChunk,
	})
	if err != nil {
		return tpsender.Result{Outcome: tpmessage.OutcomeNotSent, Err: Error.Wrap(err)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	chunkTimer := time.AfterFunc(t.cfg.FirstChunkTimeout, func() { cancel(errChunkTimeout) })
	defer chunkTimer.Stop()
	r, err := newPost(ctx, target, PathGenerate, req, body)
	if err != nil {
		return tpsender.Result{Outcome: tpmessage.OutcomeNotSent, Err: err}
	}
	resp, on, err := t.engines.Send(r, req.ID, body)
	if err != nil {
		outcome, err := unansweredResult(target, on.MayHaveArrived(), err)
		return tpsender.Result{Outcome: outcome, Stalled: chunkTimedOut(ctx), Err: err}
	}
	defer resp.Body.Close()
	if err := tpconn.CheckStatus(resp.StatusCode); err != nil {
		on.Abandon()
		return tpsender.Result{Outcome: tpmessage.OutcomeInterrupted, Err: Error.New("%s: %w: %s", target.Name, err, resp.Status)}
	}
	if resp.StatusCode != http.StatusOK {
		if !namesRequest(resp, on, req.ID) {
			on.Abandon()
			return tpsender.Result{
				Outcome: tpmessage.OutcomeInterrupted,
				Err:     Error.New("%s answered %s: %w", target.Name, resp.Status, errWrongRequest),
			}
		}
		return refusedResult(target, resp)
	}
	res := t.readLines(resp.Body, chunkTimer, target, deliver)
	if res.Outcome != tpmessage.OutcomeDone {
		// The lines may be a copy of an earlier answer. The answer to this
		// request would then be taken for that to the next one.
		on.Abandon()
	}
	res.Stalled = res.Outcome == tpmessage.OutcomeInterrupted && chunkTimedOut(ctx)
	return res
}

// namesRequest reports whether an answer without lines answers the request.
// On a new connection, an answer without an ID does so too.
func namesRequest(resp *http.Response, on *tpconn.Exchange, id string) bool {
	named := resp.Header.Get(HeaderRequestID)
	_, reused := on.Connection()
	return named == id || named == "" && !reused
}

func chunkTimedOut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errChunkTimeout) }

// readLines passes the chunks of an engine's answer to deliver. The chunk timer
// runs while readLines waits for the engine, not while it waits for the caller.
func (t *Transport) readLines(r io.Reader, chunkTimer *time.Timer, target tpmessage.Target,
	deliver func(tpmessage.Chunk) error,
) tpsender.Result {
	var res tpsender.Result
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	for lines.Scan() {
		chunkTimer.Stop()
		var line GenerateLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return failedResult(res, Error.New("line of %s: %w", target.Name, err))
		}
		if line.Error != "" {
			return failedResult(res, Error.New("%s failed: %s", target.Name, line.Error))
		}
		if line.End {
			res.PrefillPieces, res.DecodePieces, res.Report = line.PrefillPieces, line.DecodePieces, line.Load
		}
		err := deliver(tpmessage.Chunk{
			RequestID: line.RequestID, Number: line.Number, Text: line.Text, Tokens: line.Tokens, End: line.End,
		})
		if errors.Is(err, tpsender.ErrComplete) {
			chunkTimer.Reset(EndTimeout)
			_, _ = io.CopyN(io.Discard, r, MaxLineBytes)
			res.Outcome = tpmessage.OutcomeDone
			return res
		}
		if err != nil {
			res.Outcome, res.Err = tpmessage.OutcomeInterrupted, err
			return res
		}
		chunkTimer.Reset(t.cfg.ChunkGapTimeout)
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		return failedResult(res, Error.New("line of %s is over %d bytes", target.Name, MaxLineBytes))
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	res.Outcome = tpmessage.OutcomeInterrupted
	res.Err = Error.New("answer of %s was cut: %w", target.Name, err)
	return res
}

func failedResult(res tpsender.Result, err error) tpsender.Result {
	res.Outcome, res.Err = tpmessage.OutcomeFailed, err
	return res
}

// call sends a request to a plain service, whose complete answer is one chunk.
func (t *Transport) call(ctx context.Context, req *tpmessage.Request, target tpmessage.Target,
	deliver func(tpmessage.Chunk) error,
) tpsender.Result {
	resp, write, outcome, err := t.post(ctx, target, PathCalls, req, req.Body)
	if err != nil {
		return tpsender.Result{Outcome: outcome, Err: err}
	}
	defer resp.Body.Close()
	if err := tpconn.CheckStatus(resp.StatusCode); err != nil {
		return tpsender.Result{Outcome: tpmessage.OutcomeInterrupted, Err: Error.New("%s: %w: %s", target.Name, err, resp.Status)}
	}
	if resp.Header.Get(HeaderNotRun) != "" {
		return refusedResult(target, resp)
	}
	report := leavingReport(target, resp)
	result, err := io.ReadAll(io.LimitReader(write.Body(ctx, resp), MaxResultBytes+1))
	if err == nil && len(result) > MaxResultBytes {
		err = errResultTooLong
	}
	if err != nil {
		return tpsender.Result{
			Outcome: tpmessage.OutcomeInterrupted,
			Report:  report,
			Err:     Error.New("answer of %s is incomplete: %w", target.Name, err),
		}
	}
	c := tpmessage.Chunk{RequestID: req.ID, Text: string(result), Status: resp.StatusCode, End: true}
	if err := deliver(c); err != nil && !errors.Is(err, tpsender.ErrComplete) {
		return tpsender.Result{Outcome: tpmessage.OutcomeDone, Report: report, Err: err}
	}
	return tpsender.Result{Outcome: tpmessage.OutcomeDone, Report: report}
}

// post sends a body over a new connection. On an error, the outcome is
// OutcomeNotSent if no byte of the request can have reached the target, and
// OutcomeInterrupted otherwise.
func (t *Transport) post(ctx context.Context, target tpmessage.Target, path string, req *tpmessage.Request,
	body []byte,
) (*http.Response, tpconn.RequestWrite, tpmessage.Outcome, error) {
	var connected atomic.Bool
	write := tpconn.NewRequestWrite()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: write.Record,
	})
	r, err := newPost(ctx, target, path, req, body)
	if err != nil {
		return nil, write, tpmessage.OutcomeNotSent, err
	}
	resp, err := t.unpooledClient.Do(r)
	if err == nil {
		return resp, write, tpmessage.OutcomeDone, nil
	}
	outcome, err := unansweredResult(target, connected.Load(), err)
	return nil, write, outcome, err
}

func newPost(ctx context.Context, target tpmessage.Target, path string, req *tpmessage.Request,
	body []byte,
) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// Without GetBody, net/http cannot resend a body that it has begun to send.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderRequestID, req.ID)
	r.Header.Set("Organisation", req.Organisation)
	r.Header.Set("Priority", strconv.Itoa(req.Priority))
	if req.Key != "" {
		r.Header.Set(HeaderKey, req.Key)
	}
	return r, nil
}

// unansweredResult returns the outcome and the error of a request without an
// answer. mayHaveArrived is false only if no byte of it can have reached the
// target.
func unansweredResult(target tpmessage.Target, mayHaveArrived bool, err error) (tpmessage.Outcome, error) {
	if !mayHaveArrived {
		return tpmessage.OutcomeNotSent, Error.New("connect to %s: %w", target.Name, err)
	}
	return tpmessage.OutcomeInterrupted, Error.New("no answer from %s: %w", target.Name, err)
}

func refusedResult(target tpmessage.Target, resp *http.Response) tpsender.Result {
	outcome := tpmessage.OutcomeFailed
	if resp.Header.Get(HeaderNotRun) != "" {
		outcome = tpmessage.OutcomeRefused
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, 512))
	if err != nil && !errors.Is(err, io.EOF) {
		text = []byte(err.Error())
	}
	return tpsender.Result{
		Outcome: outcome,
		Report:  leavingReport(target, resp),
		Err:     Error.New("%s answered %s: %s", target.Name, resp.Status, text),
	}
}

// leavingReport returns a load report if the answer states that the target is
// leaving, and nil otherwise.
func leavingReport(target tpmessage.Target, resp *http.Response) *tpmessage.LoadReport {
	if resp.Header.Get(HeaderLeaving) == "" {
		return nil
	}
	return &tpmessage.LoadReport{Target: target.Name, At: time.Now(), Leaving: true}
}
