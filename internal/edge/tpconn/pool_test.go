package tpconn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselpin.example/teaselpin/internal/edge/tpconn"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// arrivals counts the requests of each ID on each connection of a server.
type arrivals struct {
	mu     sync.Mutex
	counts map[string]int // by connection and ID
	conns  map[string]bool
}

func newServer(t *testing.T) (*arrivals, string) {
	t.Helper()
	a := &arrivals{counts: make(map[string]int), conns: make(map[string]bool)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.counts[r.RemoteAddr+" "+r.Header.Get("Id")]++
		a.conns[r.RemoteAddr] = true
		_, _ = fmt.Fprintf(w, "%s %s", r.Method, body)
	}))
	t.Cleanup(server.Close)
	return a, server.URL
}

func newPool(t *testing.T) *tpconn.Pool {
	t.Helper()
	p, closeIdle := tpconn.NewPool(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 4})
	t.Cleanup(closeIdle)
	return p
}

func send(t *testing.T, p *tpconn.Pool, method, url, id, body string) *tpconn.Exchange {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Error(err)
		return nil
	}
	r.Header.Set("Id", id)
	res, x, err := p.Send(r, id, []byte(body))
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return x
	}
	defer res.Body.Close()
	if got, err := io.ReadAll(res.Body); err != nil || string(got) != method+" "+body {
		t.Errorf("answer to %s: got %q, %v, want %q", id, got, err, method+" "+body)
	}
	return x
}

// Guards against a connection that carries a request on which an earlier answer to the same ID may still arrive.
func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	a, url := newServer(t)
	p := newPool(t)
	var senders sync.WaitGroup
	for i := range 16 {
		senders.Go(func() {
			for n := range 40 {
				method, body := [...]string{http.MethodGet, http.MethodPost, http.MethodDelete}[(i+n)%3], ""
				if method == http.MethodPost {
					body = "body"
				}
				send(t, p, method, url, fmt.Sprint("request-", (i+n)%8), body)
			}
		})
	}
	senders.Wait()
	for at, got := range a.counts {
		if got != 1 {
			t.Errorf("requests on connection and with ID %s: got %d, want 1", at, got)
		}
	}
}

// Guards against a pool that opens a connection for each request.
func TestConnectionIsKeptForOtherIDs(t *testing.T) {
	a, url := newServer(t)
	p := newPool(t)
	for i := range 600 {
		x := send(t, p, http.MethodPost, url, fmt.Sprint("request-", i), "body")
		if address, reused := x.Connection(); address == "" || reused != (i%512 != 0) || !x.MayHaveArrived() {
			t.Errorf("request %d: got connection %q, reused %v, may have arrived %v", i, address, reused, x.MayHaveArrived())
		}
	}
	if got, want := len(a.conns), 2; got != want {
		t.Errorf("connections for 600 requests, at most 512 on each: got %d, want %d", got, want)
	}
}

// Guards against an exchange that counts as sent although there was no connection.
func TestRefusedConnectionIsNoArrival(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	res, x, err := newPool(t).Send(r, "request", []byte("body"))
	if err == nil {
		res.Body.Close()
		t.Fatal("got an answer, want an error")
	}
	if address, _ := x.Connection(); address != "" || x.MayHaveArrived() {
		t.Errorf("got connection %q, may have arrived %v, want neither", address, x.MayHaveArrived())
	}
}

// Guards against a kept connection after an answer that belongs to another request.
func TestAbandonedConnectionIsNotKept(t *testing.T) {
	a, url := newServer(t)
	p := newPool(t)
	for i := range 300 {
		send(t, p, http.MethodPost, url, fmt.Sprint("request-", i), "body").Abandon()
	}
	if got, want := len(a.conns), 300; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// Guards against a request that reaches a server although its exchange counts as one of which no byte was written.
func TestNothingArrivesUnlessItMayHave(t *testing.T) {
	var mu sync.Mutex
	arrived := make(map[string]int)
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrived[r.Header.Get("Id")]++
		n++
		if n%7 == 0 {
			w.Header().Set("Connection", "close")
		}
	}))
	defer server.Close()
	p := newPool(t)
	var unsent sync.Map
	var senders sync.WaitGroup
	for g := range 16 {
		senders.Go(func() {
			for i := range 200 {
				id := fmt.Sprint("request-", g, "-", i)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration((g*7+i*13)%900)*time.Microsecond)
				r, err := http.NewRequestWithContext(ctx, [...]string{http.MethodPost, http.MethodGet, http.MethodDelete}[i%3], server.URL, nil)
				if err != nil {
					t.Error(err)
				}
				r.Header.Set("Id", id)
				res, x, err := p.Send(r, id, []byte("body")[:4*(i%2)])
				if err == nil {
					res.Body.Close()
					if i%5 == 0 {
						x.Abandon()
					}
				}
				if !x.MayHaveArrived() {
					unsent.Store(id, true)
				}
				cancel()
			}
		})
	}
	senders.Wait()
	server.Close() // returns after the last request
	for id, got := range arrived {
		if _, notSent := unsent.Load(id); notSent || got != 1 {
			t.Errorf("%s: arrived %d times, counts as not sent: %v", id, got, notSent)
		}
	}
}
