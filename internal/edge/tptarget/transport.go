package tptarget

import (
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
	// MaxLineBytes bounds one line of an engine's answer.
	MaxLineBytes = 1 << 20
	// MaxResultBytes bounds the answer of a plain service.
	MaxResultBytes = 1 << 20
)

// Error is the class of errors of this package.
var Error = errs.Class("target")

// Transport runs requests over HTTP. It implements tpsender.Transport.
type Transport struct {
	client *http.Client
	// once opens a connection for each request. net/http sends a request with
	// an Idempotency-Key a second time by itself when a kept connection fails,
	// which would run a non-idempotent call twice.
	once *http.Client
}

// NewTransport returns a transport and its clean-up function, which closes
// idle connections.
func NewTransport() (*Transport, func()) {
	base := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: DialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	t := &Transport{client: &http.Client{Transport: base}, once: &http.Client{Transport: fresh}}
	return t, base.CloseIdleConnections
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
	resp, outcome, err := t.post(ctx, target, PathGenerate, req, body)
	if err != nil {
		return tpsender.Result{Outcome: outcome, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedResult(target, resp)
	}
	return readLines(resp.Body, target, deliver)
}

// readLines passes on the chunks of an engine's answer.
func readLines(r io.Reader, target tpmessage.Target, deliver func(tpmessage.Chunk) error) tpsender.Result {
	dec := json.NewDecoder(r)
	for {
		var line GenerateLine
		if err := dec.Decode(&line); err != nil {
			return tpsender.Result{
				Outcome: tpmessage.OutcomeCut,
				Err:     Error.New("answer of %s was cut: %w", target.Name, err),
			}
		}
		if line.Error != "" {
			return tpsender.Result{
				Outcome: tpmessage.OutcomeFailed,
				Err:     Error.New("%s failed: %s", target.Name, line.Error),
			}
		}
		c := tpmessage.Chunk{
			RequestID: line.RequestID, Number: line.Number, Text: line.Text, Tokens: line.Tokens, End: line.End,
		}
		if err := deliver(c); err != nil {
			return tpsender.Result{Outcome: tpmessage.OutcomeCut, Err: err}
		}
		if line.End {
			return tpsender.Result{
				Outcome:       tpmessage.OutcomeDone,
				PrefillPieces: line.PrefillPieces,
				DecodePieces:  line.DecodePieces,
				Report:        line.Load,
			}
		}
	}
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
	var report *tpmessage.LoadReport
	if resp.Header.Get(HeaderLeaving) != "" {
		report = &tpmessage.LoadReport{Target: target.Name, At: time.Now(), Leaving: true}
	}
	if resp.Header.Get(HeaderRefused) != "" {
		res := refusedResult(target, resp)
		res.Report = report
		return res
	}
	result, err := io.ReadAll(io.LimitReader(resp.Body, MaxResultBytes+1))
	if err != nil || len(result) > MaxResultBytes {
		return tpsender.Result{
			Outcome: tpmessage.OutcomeCut,
			Report:  report,
			Err:     Error.New("answer of %s was cut or is too large: %v", target.Name, err),
		}
	}
	c := tpmessage.Chunk{RequestID: req.ID, Text: string(result), Status: resp.StatusCode, End: true}
	if err := deliver(c); err != nil {
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
	return tpsender.Result{Outcome: outcome, Err: Error.New("%s answered %s: %s", target.Name, resp.Status, text)}
}
