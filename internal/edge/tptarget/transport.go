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

	"teaselpin.example/teaselpin/internal/request/stage5/tpsender"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DialTimeout bounds the connection to a target.
	DialTimeout = 2 * time.Second
	// DefaultFirstTimeout is the time to an engine's first chunk, after which
	// another one is tried. It is long, since the engine may have a queue.
	DefaultFirstTimeout = 20 * time.Second
	// DefaultChunkTimeout is the time between two chunks after which an engine
	// counts as silent. Chunks of a live engine come within tens of
	// milliseconds.
	DefaultChunkTimeout = 5 * time.Second
	// EndTimeout bounds the wait for the end of the response after the last
	// chunk. The connection is kept only if the end comes.
	EndTimeout = time.Second
	// MaxLineBytes bounds one line of an engine's answer.
	MaxLineBytes = 64 << 10
	// MaxResultBytes bounds the answer of a plain service.
	MaxResultBytes = 1 << 20
	// MaxHeaderBytes bounds the header of an answer.
	MaxHeaderBytes = 64 << 10
)

// Error is the class of errors of this package.
var Error = errs.Class("target")

var errSilent = errors.New("no chunk came in time")

// Settings configures a Transport. The zero value is the default.
type Settings struct {
	FirstTimeout time.Duration // to the first chunk
	ChunkTimeout time.Duration // between two chunks
}

// Transport runs requests over HTTP. It implements tpsender.Transport. It
// sends each request once; the only retrying layer is the sender.
type Transport struct {
	cfg    Settings
	client *http.Client
	// once opens a connection for each request. net/http sends a request with
	// an Idempotency-Key a second time by itself when a kept connection fails,
	// which would run a non-idempotent call twice.
	once *http.Client
}

// NewTransport returns a transport and its clean-up function, which closes
// idle connections.
func NewTransport(cfg Settings) (*Transport, func()) {
	if cfg.FirstTimeout <= 0 {
		cfg.FirstTimeout = DefaultFirstTimeout
	}
	if cfg.ChunkTimeout <= 0 {
		cfg.ChunkTimeout = DefaultChunkTimeout
	}
	t := &Transport{cfg: cfg}
	base := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: DialTimeout}).DialContext,
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		DisableCompression:     true,
	}
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	t.client = &http.Client{Transport: base, CheckRedirect: noRedirect}
	t.once = &http.Client{Transport: fresh, CheckRedirect: noRedirect}
	return t, base.CloseIdleConnections
}

// noRedirect keeps the client from sending a body a second time elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Reachable implements tpsender.Transport. A target that takes a connection
// but is silent is reachable: it may be paused. One that ends the connection
// is not: a dying process can take connections for a moment longer.
func (t *Transport) Reachable(ctx context.Context, target tpmessage.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+PathLoad, nil)
	if err != nil {
		return false
	}
	resp, err := t.once.Do(r)
	if err == nil {
		_ = resp.Body.Close()
		return true
	}
	return connected.Load() && ctx.Err() != nil
}

// Run implements tpsender.Transport.
func (t *Transport) Run(ctx context.Context, req *tpmessage.Request, target tpmessage.Target, from int,
	deliver func(tpmessage.Chunk) error,
) tpsender.Result {
	if req.Kind == tpmessage.KindCall {
		return t.call(ctx, req, target, deliver)
	}
	return t.generate(ctx, req, target, from, deliver)
}

func (t *Transport) generate(ctx context.Context, req *tpmessage.Request, target tpmessage.Target, from int,
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
		From:         from,
	})
	if err != nil {
		return tpsender.Result{Outcome: tpmessage.OutcomeNotSent, Err: Error.Wrap(err)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(t.cfg.FirstTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	resp, outcome, err := t.post(ctx, target, PathGenerate, req, body)
	if err != nil {
		return tpsender.Result{Outcome: outcome, Stalled: isSilent(ctx), Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedResult(target, resp)
	}
	res := t.readLines(resp.Body, silence, target, deliver)
	res.Stalled = res.Outcome == tpmessage.OutcomeCut && isSilent(ctx)
	return res
}

func isSilent(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSilent) }

// readLines passes on the chunks of an engine's answer. The silence timer runs
// while it waits for the engine, not while it waits for the caller.
func (t *Transport) readLines(r io.Reader, silence *time.Timer, target tpmessage.Target,
	deliver func(tpmessage.Chunk) error,
) tpsender.Result {
	var res tpsender.Result
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	for lines.Scan() {
		silence.Stop()
		var line GenerateLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return failed(res, Error.New("line of %s: %w", target.Name, err))
		}
		if line.Error != "" {
			return failed(res, Error.New("%s failed: %s", target.Name, line.Error))
		}
		if line.End {
			res.PrefillPieces, res.DecodePieces, res.Report = line.PrefillPieces, line.DecodePieces, line.Load
		}
		err := deliver(tpmessage.Chunk{
			RequestID: line.RequestID, Number: line.Number, Text: line.Text, Tokens: line.Tokens, End: line.End,
		})
		if errors.Is(err, tpsender.ErrComplete) {
			silence.Reset(EndTimeout)
			_, _ = io.CopyN(io.Discard, r, MaxLineBytes)
			res.Outcome = tpmessage.OutcomeDone
			return res
		}
		if err != nil {
			res.Outcome, res.Err = tpmessage.OutcomeCut, err
			return res
		}
		silence.Reset(t.cfg.ChunkTimeout)
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		return failed(res, Error.New("line of %s is over %d bytes", target.Name, MaxLineBytes))
	}
	res.Outcome = tpmessage.OutcomeCut
	res.Err = Error.New("answer of %s was cut: %v", target.Name, lines.Err())
	return res
}

func failed(res tpsender.Result, err error) tpsender.Result {
	res.Outcome, res.Err = tpmessage.OutcomeFailed, err
	return res
}

// call runs a request at a plain service, whose whole answer is one chunk.
func (t *Transport) call(ctx context.Context, req *tpmessage.Request, target tpmessage.Target,
	deliver func(tpmessage.Chunk) error,
) tpsender.Result {
	resp, outcome, err := t.post(ctx, target, PathCalls, req, req.Body)
	if err != nil {
		return tpsender.Result{Outcome: outcome, Err: err}
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderRefused) != "" {
		return refusedResult(target, resp)
	}
	report := leavingReport(target, resp)
	result, err := io.ReadAll(io.LimitReader(resp.Body, MaxResultBytes+1))
	if err != nil || len(result) > MaxResultBytes {
		return tpsender.Result{
			Outcome: tpmessage.OutcomeCut,
			Report:  report,
			Err:     Error.New("answer of %s was cut or is too large: %v", target.Name, err),
		}
	}
	c := tpmessage.Chunk{RequestID: req.ID, Text: string(result), Status: resp.StatusCode, End: true}
	if err := deliver(c); err != nil && !errors.Is(err, tpsender.ErrComplete) {
		return tpsender.Result{Outcome: tpmessage.OutcomeDone, Report: report, Err: err}
	}
	return tpsender.Result{Outcome: tpmessage.OutcomeDone, Report: report}
}

// post sends a body. Its outcome tells whether a byte of the request may have
// reached the target.
func (t *Transport) post(ctx context.Context, target tpmessage.Target, path string, req *tpmessage.Request,
	body []byte,
) (*http.Response, tpmessage.Outcome, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, tpmessage.OutcomeNotSent, Error.Wrap(err)
	}
	// Without GetBody, net/http cannot send a body that it has begun to send again.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderRequestID, req.ID)
	r.Header.Set("Organisation", req.Organisation)
	r.Header.Set("Priority", strconv.Itoa(req.Priority))
	if req.Key != "" {
		r.Header.Set(HeaderKey, req.Key)
	}
	client := t.client
	if !req.Idempotent {
		client = t.once
	}
	resp, err := client.Do(r)
	if err == nil {
		return resp, tpmessage.OutcomeDone, nil
	}
	if !connected.Load() {
		return nil, tpmessage.OutcomeNotSent, Error.New("connect to %s: %w", target.Name, err)
	}
	return nil, tpmessage.OutcomeCut, Error.New("no answer from %s: %w", target.Name, err)
}

func refusedResult(target tpmessage.Target, resp *http.Response) tpsender.Result {
	outcome := tpmessage.OutcomeFailed
	if resp.Header.Get(HeaderRefused) != "" {
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

// leavingReport returns a report if the answer says that the target is leaving.
func leavingReport(target tpmessage.Target, resp *http.Response) *tpmessage.LoadReport {
	if resp.Header.Get(HeaderLeaving) == "" {
		return nil
	}
	return &tpmessage.LoadReport{Target: target.Name, At: time.Now(), Leaving: true}
}
