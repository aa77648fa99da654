package tptarget_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// runCall sends a call with a body to a service that reads the given number of
// bytes of it, answers, and then resets or closes the connection. It returns
// the outcome and the result that was delivered.
func runCall(t *testing.T, body []byte, read int64, answer string, reset bool) (tpmessage.Outcome, string) {
	t.Helper()
	address := serveConns(t, func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, read)
		_, _ = io.WriteString(c, answer)
		if reset {
			time.Sleep(50 * time.Millisecond) // a reset discards what the peer has not read yet
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	tr, cleanup := tptarget.NewTransport(tptarget.Settings{})
	defer cleanup()
	req := tpmessage.Request{ID: "request", Kind: tpmessage.KindServiceCall, Key: "key", Body: body}
	text := ""
	res := tr.Run(t.Context(), &req, tpmessage.Target{Name: "a", Address: address}, 0, func(c tpmessage.Chunk) error {
		text = c.Text
		return nil
	})
	return res.Outcome, text
}

// Guards against a part of a result that counts as the whole one, because the connection ended while the call was still being written.
func TestResultThatEndsBeforeItsCallIsIncomplete(t *testing.T) {
	const bodyBytes = 8 << 20
	for _, reset := range []bool{false, true} {
		for _, read := range []int64{0, 1, 64 << 10, bodyBytes - 1<<20} {
			t.Run(fmt.Sprint(reset, read), func(t *testing.T) {
				t.Parallel()
				got, text := runCall(t, make([]byte, bodyBytes), read, "HTTP/1.1 200 OK\r\n\r\npart", reset)
				if want := tpmessage.OutcomeInterrupted; got != want || text != "" {
					t.Errorf("outcome: got %v with result %q, want %v", got, text, want)
				}
			})
		}
	}
	if got, text := runCall(t, []byte("body"), 4, "HTTP/1.1 200 OK\r\n\r\nwhole", false); got != tpmessage.OutcomeDone || text != "whole" {
		t.Errorf("call that was read: got %v with result %q, want the whole one", got, text)
	}
}

// Guards against a call that counts as done, or as refused, by a status that no answer has.
func TestStatusOutsideTheProtocolIsNoResult(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		for _, field := range []string{"", "Not-Run: true\r\n"} {
			got, text := runCall(t, []byte("body"), 4, "HTTP/1.1 "+status+" Odd\r\n"+field+"Content-Length: 4\r\n\r\npart", false)
			if want := tpmessage.OutcomeInterrupted; got != want || text != "" {
				t.Errorf("status %s, header %q: got %v with result %q, want %v", status, field, got, text, want)
			}
		}
	}
}
