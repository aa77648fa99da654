package tpdispatch_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/internal/order/stage4/tpdispatch"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	checks  = tpmessage.EngineType{Name: "checks", ChecksFencing: true}
	ignores = tpmessage.EngineType{Name: "ignores", OrderReadTimeout: time.Second}
	errLost = errors.New("lease is lost")
)

// receiver is an engine that counts connections and the bytes of bodies.
type receiver struct {
	srv         *httptest.Server
	connections atomic.Int64
	bytes       atomic.Int64
	continued   atomic.Bool // the body was asked for
}

func newReceiver(t *testing.T, status int, before func(*receiver)) *receiver {
	t.Helper()
	r := &receiver{}
	r.srv = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if before != nil {
			before(r)
		}
		r.continued.Store(true)
		n, err := io.Copy(io.Discard, req.Body)
		r.bytes.Add(n)
		if err == nil {
			w.WriteHeader(status)
		}
	}))
	r.srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			r.connections.Add(1)
		}
	}
	r.srv.Start()
	t.Cleanup(r.srv.Close)
	return r
}

func (r *receiver) send(ctx context.Context, t *testing.T, typ tpmessage.EngineType, confirm func(context.Context) error) error {
	t.Helper()
	engines, cleanup := tpdispatch.NewEngines()
	t.Cleanup(cleanup)
	order := tpmessage.Order{Engine: "engine-0", Number: 1, Fencing: 1}
	return engines.Send(ctx, r.srv.Listener.Addr().String(), order, typ, confirm)
}

// Guards against a lease that is read again before the engine's 100 Continue,
// and against a second connection for the body.
func TestConfirmFollowsContinue(t *testing.T) {
	r := newReceiver(t, http.StatusAccepted, func(*receiver) { time.Sleep(50 * time.Millisecond) })
	early := false
	err := r.send(t.Context(), t, ignores, func(context.Context) error {
		early = !r.continued.Load()
		return nil
	})
	if err != nil || early || r.connections.Load() != 1 || r.bytes.Load() == 0 {
		t.Errorf("got %v, early %v, %d connections, %d bytes, want one whole order", err, early, r.connections.Load(), r.bytes.Load())
	}
}

// Guards against a body of a holder that has lost its lease, and against a
// report that such an order may have been sent.
func TestLostLeaseSendsNoBody(t *testing.T) {
	r := newReceiver(t, http.StatusAccepted, nil)
	err := r.send(t.Context(), t, ignores, func(context.Context) error { return errLost })
	if !errors.Is(err, tporder.ErrNotSent) || !errors.Is(err, errLost) {
		t.Errorf("got %v, want ErrNotSent for the lost lease", err)
	}
	r.srv.Close()
	if r.bytes.Load() != 0 || r.connections.Load() != 1 {
		t.Errorf("got %d bytes on %d connections, want none on one", r.bytes.Load(), r.connections.Load())
	}
}

// Guards against a body that is sent although 100 Continue never came.
func TestNoContinueSendsNoBody(t *testing.T) {
	release := make(chan struct{})
	r := newReceiver(t, http.StatusAccepted, func(*receiver) { <-release })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	confirmed := false
	err := r.send(ctx, t, ignores, func(context.Context) error {
		confirmed = true
		return nil
	})
	close(release)
	if !errors.Is(err, tporder.ErrNotSent) || confirmed {
		t.Errorf("got %v, confirmed %v, want ErrNotSent without a look at the lease", err, confirmed)
	}
	r.srv.Close()
	if r.bytes.Load() != 0 {
		t.Errorf("got %d bytes of a body, want none", r.bytes.Load())
	}
}

// Guards against an answer that is taken for another one, and against an order
// to an engine that offers no protection.
func TestSendResults(t *testing.T) {
	for _, c := range []struct {
		name   string
		typ    tpmessage.EngineType
		status int
		want   error
	}{
		{"accepted", checks, http.StatusAccepted, nil},
		{"older fencing number", checks, http.StatusPreconditionFailed, tporder.ErrFenced},
		{"content refused", checks, http.StatusUnprocessableEntity, tporder.ErrRefused},
		{"failure after the body", checks, http.StatusInternalServerError, tporder.ErrSendUnknown},
		{"no protection", tpmessage.EngineType{Name: "plain"}, http.StatusAccepted, tporder.ErrNotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReceiver(t, c.status, nil)
			if err := r.send(t.Context(), t, c.typ, nil); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
