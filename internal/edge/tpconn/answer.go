package tpconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// writeEndTimeout is how long a RequestWrite waits for the end of the write. The
// transport ends the write of a request 50 ms after the end of its answer.
const writeEndTimeout = 500 * time.Millisecond

// maxStatus is the highest status of an answer.
const maxStatus = 599

var (
	// ErrEndedEarly is the error of an answer that ended with its connection
	// before the request was written as a whole.
	ErrEndedEarly = errors.New("the connection ended with the answer before the request was written")
	// ErrStatus is the error of an answer whose status is not one of an answer.
	ErrStatus = errors.New("the answer has a status that no answer has")
)

// CheckStatus returns ErrStatus unless a final answer may have the status.
// net/http accepts any three digits.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return ErrStatus
	}
	return nil
}

// IsFramed reports whether an answer states where it ends, by a length or in
// chunks, so that the end of its connection alone is no end.
func IsFramed(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// RequestWrite is the write of one request, which may go on after the answer has
// begun. It must be created by NewRequestWrite.
type RequestWrite struct {
	end chan error // gets the result of the write, nil once the whole request is written
}

// NewRequestWrite returns the write of a request that has not been sent.
func NewRequestWrite() RequestWrite { return RequestWrite{end: make(chan error, 1)} }

// Record is the WroteRequest function of a httptrace.ClientTrace. The result of
// the first write stays.
func (w RequestWrite) Record(info httptrace.WroteRequestInfo) {
	select {
	case w.end <- info.Err:
	default:
	}
}

// complete reports whether the whole request was written, and waits for the end
// of the write if necessary.
func (w RequestWrite) complete(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeEndTimeout)
	defer cancel()
	select {
	case err := <-w.end:
		w.end <- err // for the next call
		return err == nil
	case <-ctx.Done():
		return false
	}
}

// Body returns the reader of the body of the request's answer. If the answer
// ends with its connection before the whole request was written, the reader
// returns ErrEndedEarly instead of io.EOF: the write has received the error of a
// connection that was reset, and the read then sees an ordinary end.
func (w RequestWrite) Body(ctx context.Context, res *http.Response) io.Reader {
	if IsFramed(res) {
		return res.Body
	}
	return &unframedBody{body: res.Body, ctx: ctx, write: w}
}

type unframedBody struct {
	body  io.Reader
	ctx   context.Context
	write RequestWrite
}

// Read implements io.Reader.
func (b *unframedBody) Read(buf []byte) (int, error) {
	n, err := b.body.Read(buf)
	if errors.Is(err, io.EOF) && !b.write.complete(b.ctx) {
		err = ErrEndedEarly
	}
	return n, err
}
