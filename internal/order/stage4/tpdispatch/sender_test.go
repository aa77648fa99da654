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
	checksFencing  = tpmessage.EngineType{Name: "checks", ChecksFencing: true}
	ignoresFencing = tpmessage.EngineType{Name: "ignores", OrderReadTimeout: time.Second}
	errLost        = errors.New("lease is lost")
)

// fakeEngine counts the connections and the body bytes that it receives.
type fakeEngine struct {
	srv         *httptest.Server
	connections atomic.Int64
	bytes       atomic.Int64
	continued   atomic.Bool // the handler has started to read the body
}

func newFakeEngine(t *testing.T, status int, beforeRead func(*fakeEngine)) *fakeEngine {
	t.Helper()
	r := &fakeEngine{}
	r.srv = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if beforeRead != nil {
			beforeRead(r)
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

func (e *fakeEngine) send(ctx context.Context, t *testing.T, typ tpmessage.EngineType, confirm func(context.Context) error) error {
	t.Helper()
	engines := tpdispatch.NewEngineClient()
	order := tpmessage.Order{Engine: "engine-0", Number: 1, Fencing: 1}
	return engines.Send(ctx, e.srv.Listener.Addr().String(), order, typ, confirm)
}

// Guards against a lease that is confirmed before the engine's 100 Continue,
// and against a second connection for the body.
func TestConfirmFollowsContinue(t *testing.T) {
	r := newFakeEngine(t, http.StatusAccepted, func(*fakeEngine) { time.Sleep(50 * time.Millisecond) })
	early := false
	err := r.send(t.Context(), t, ignoresFencing, func(context.Context) error {
		early = !r.continued.Load()
		return nil
	})
	if err != nil || early || r.connections.Load() != 1 || r.bytes.Load() == 0 {
		t.Errorf("got %v, early %v, %d connections, %d bytes, want one whole order", err, early, r.connections.Load(), r.bytes.Load())
	}
}

// Guards against a body that is sent after the holder has lost its lease, and
// against an error that says that such an order may have been sent.
func TestLostLeaseSendsNoBody(t *testing.T) {
	r := newFakeEngine(t, http.StatusAccepted, nil)
	err := r.send(t.Context(), t, ignoresFencing, func(context.Context) error { return errLost })
	if !errors.Is(err, tporder.ErrNotSent) || !errors.Is(err, errLost) {
		t.Errorf("got %v, want ErrNotSent for the lost lease", err)
	}
	r.srv.Close()
	if r.bytes.Load() != 0 || r.connections.Load() != 1 {
		t.Errorf("got %d bytes on %d connections, want none on one", r.bytes.Load(), r.connections.Load())
	}
}

// Guards against a body that is sent, and a lease that is confirmed, without
// the engine's 100 Continue.
func TestNoContinueSendsNoBody(t *testing.T) {
	release := make(chan struct{})
	r := newFakeEngine(t, http.StatusAccepted, func(*fakeEngine) { <-release })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	confirmed := false
	err := r.send(ctx, t, ignoresFencing, func(context.Context) error {
		confirmed = true
		return nil
	})
	close(release)
	if !errors.Is(err, tporder.ErrNotSent) || confirmed {
		t.Errorf("got %v, confirmed %v, want ErrNotSent and no confirmation of the lease", err, confirmed)
	}
	r.srv.Close()
	if r.bytes.Load() != 0 {
		t.Errorf("got %d bytes of a body, want none", r.bytes.Load())
	}
}

// Guards against a response that is mapped to the wrong error, and against an
// order to an engine without protection from the orders of a former lease
// holder.
func TestSendResults(t *testing.T) {
	for _, c := range []struct {
		name   string
		typ    tpmessage.EngineType
		status int
		want   error
	}{
		{"accepted", checksFencing, http.StatusAccepted, nil},
		{"older fencing number", checksFencing, http.StatusPreconditionFailed, tporder.ErrFenced},
		{"content refused", checksFencing, http.StatusUnprocessableEntity, tporder.ErrRefused},
		{"failure after the body", checksFencing, http.StatusInternalServerError, tporder.ErrSendUnknown},
		{"no protection", tpmessage.EngineType{Name: "plain"}, http.StatusAccepted, tporder.ErrNotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFakeEngine(t, c.status, nil)
			if err := r.send(t.Context(), t, c.typ, nil); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
