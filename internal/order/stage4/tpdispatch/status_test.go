package tpdispatch_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/order/stage3/tporder"
	"teaselpin.example/teaselpin/internal/order/stage4/tpdispatch"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// copyingEngine is an engine that writes an answer a second time when the next
// request arrives on the same connection.
type copyingEngine struct {
	address    string
	delay      time.Duration // from the arrival of the next request to the copy
	copiesLoad bool          // answers with the load come twice, too

	mu     sync.Mutex
	status tptarget.EngineStatus
	load   tpmessage.LoadReport
	orders []tpmessage.Order // accepted orders
	conns  []net.Conn
}

func newCopyingEngine(t *testing.T, delay time.Duration, copiesLoad bool) *copyingEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &copyingEngine{address: l.Addr().String(), delay: delay, copiesLoad: copiesLoad}
	e.status.State.Role = tpmessage.RoleMixed
	var served sync.WaitGroup
	served.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, c)
			e.mu.Unlock()
			served.Go(func() { e.serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		e.mu.Lock()
		for _, c := range e.conns {
			c.Close()
		}
		e.mu.Unlock()
		served.Wait()
	})
	return e
}

func (e *copyingEngine) serve(c net.Conn) {
	defer c.Close()
	copied := ""
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(e.delay) // time between the request and the copy
		_, _ = io.WriteString(c, copied)
		e.mu.Lock()
		var answer any = e.status
		if req.URL.Path == tptarget.PathLoad {
			answer = e.load
		}
		body, err := json.Marshal(answer)
		e.mu.Unlock()
		if err != nil {
			return
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = io.WriteString(c, text)
		copied = ""
		if e.copiesLoad || req.URL.Path == tptarget.PathState {
			copied = text
		}
	}
}

// accept executes an order at once.
func (e *copyingEngine) accept(o tpmessage.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	e.status = tptarget.EngineStatus{State: o.Want, Number: o.Number, Fencing: o.Fencing}
}

// runLog runs an order log that wants the engine to decode, for a number of
// ticks of 200 ms. The log reads the status of the engine with an EngineClient,
// and its orders are accepted. runLog returns the last record.
func (e *copyingEngine) runLog(t *testing.T, ticks int) tporder.Record {
	t.Helper()
	client := tpdispatch.NewEngineClient()
	l, now := tporder.New(tporder.Settings{ProbeInterval: time.Second}), time.Unix(1000, 0)
	plan := tporder.Plan{Pool: "language", Lease: "lease", Type: checksFencing, Engines: []tporder.DesiredEngine{{
		Target: tpmessage.Target{Name: "engine-0", Address: e.address},
		State:  tpmessage.EngineState{Role: tpmessage.RoleDecode},
	}}}
	l.Step(now, tporder.Input{Kind: tporder.InputPlans, Plans: []tporder.Plan{plan}}, nil)
	l.Step(now, tporder.Input{Kind: tporder.InputAuthority, Authority: tpmessage.Authority{
		Lease: plan.Lease, Held: true, Fencing: 1, Until: now.Add(time.Hour), Fenced: true,
	}}, nil)
	var record tporder.Record
	version := uint64(0)
	for range ticks {
		outputs := l.Step(now, tporder.Input{Kind: tporder.InputTick}, nil)
		for len(outputs) > 0 {
			a := outputs[0].Action
			outputs = outputs[1:]
			if a == nil {
				continue
			}
			res := tporder.Result{Action: *a}
			switch a.Kind {
			case tporder.ActionReadRecord:
				res.Record, res.Version = record, version
			case tporder.ActionWriteRecord:
				record = a.Record
				version++
				res.Version = version
			case tporder.ActionReadStatus:
				res.Status, res.Err = client.Status(t.Context(), a.Target.Address, a.Load)
			case tporder.ActionSend:
				e.accept(a.Record.Order)
			}
			outputs = l.Step(now, tporder.Input{Kind: tporder.InputResult, Result: res}, outputs)
		}
		now = now.Add(200 * time.Millisecond)
	}
	return record
}

// Guards against a copy of an older state, after which an order that the engine accepted is sent again.
func TestCopyOfAnOlderStateRepeatsNoOrder(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			e := newCopyingEngine(t, delay, true)
			record := e.runLog(t, 100)
			if len(e.orders) != 1 || record.Phase != tporder.PhaseSettled || record.Order.Number != 1 {
				t.Errorf("got orders %+v and the record %+v, want one order that is settled", e.orders, record)
			}
		})
	}
}

// Guards against a copy of a state that is read as a load without streams, so that an order cuts the streams of the engine.
func TestCopyOfAStateIsNoLoad(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			e := newCopyingEngine(t, delay, false)
			e.load.Running = 3
			record := e.runLog(t, 100) // less than the drain timeout
			if len(e.orders) != 0 || record.Phase != tporder.PhaseDraining {
				t.Errorf("got orders %+v and the record %+v, want a drain that waits for the streams", e.orders, record)
			}
		})
	}
}

// Guards against an order that counts as accepted, or a state that counts as the engine's, because another process answered after a redirect.
func TestRedirectedRequestIsNotAnswered(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, `{"number":7}`)
	}))
	defer other.Close()
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// An answer before the body may be one to an order that was not sent.
			_, _ = io.Copy(io.Discard, r.Body)
			http.Redirect(w, r, other.URL, status)
		}))
		defer engine.Close()
		engines, address := tpdispatch.NewEngineClient(), engine.Listener.Addr().String()
		if got, err := engines.Status(t.Context(), address, false); err == nil {
			t.Errorf("state after %d: got %+v, want an error", status, got)
		}
		err := engines.Send(t.Context(), address, tpmessage.Order{Engine: "engine-0", Number: 1, Fencing: 1}, tpmessage.EngineType{ChecksFencing: true}, nil)
		if !errors.Is(err, tporder.ErrSendUnknown) {
			t.Errorf("order after %d: got %v, want %v", status, err, tporder.ErrSendUnknown)
		}
	}
}
