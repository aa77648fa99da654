package tpdispatch_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/internal/order/stage4/tpdispatch"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// listenEarly returns the address of an engine that answers one order with 307
// before it has the body, and the number of bytes of the body that arrive.
func listenEarly(t *testing.T) (address string, received <-chan int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	count := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 307 Temporary Redirect\r\nContent-Length: 2\r\n\r\nno")
		n, _ := io.Copy(io.Discard, r)
		count <- n
	}()
	return l.Addr().String(), count
}

// Guards against an order that is reported as not sent although it is sent, or sent after that, because its engine answered before the body was read.
func TestOrderAnsweredEarlyIsReportedAsItWasSent(t *testing.T) {
	// net/http waits 50 ms for the body after such an answer.
	for _, ms := range []int{0, 20, 45, 48, 50, 52, 55, 100} {
		delay := time.Duration(ms) * time.Millisecond
		address, received := listenEarly(t)
		order := tpmessage.Order{Engine: "engine-0", Number: 1, Fencing: 1}
		err := tpdispatch.NewEngineClient().Send(t.Context(), address, order, ignoresFencing, func(context.Context) error {
			time.Sleep(delay)
			return nil
		})
		notSent, unknown := errors.Is(err, tporder.ErrNotSent), errors.Is(err, tporder.ErrSendUnknown)
		if got := <-received; notSent == unknown || notSent && got > 0 {
			t.Errorf("body read after %v: got %v, and %d bytes of the order at the engine", delay, err, got)
		}
	}
}
