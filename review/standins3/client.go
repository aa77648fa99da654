//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is one client attempt.
type call struct {
	id, route  string
	sentAt     time.Time
	endedAt    time.Time
	status     int // 0 without an answer
	retryAfter time.Duration
	err        error
}

// load is the traffic of one kind of request. Its times are those of a Poisson
// process.
type load struct {
	f       *fleet
	route   string
	method  string
	budget  time.Duration
	perSec  atomic.Int64 // requests in 1000 s
	retries int
	quit    chan struct{}
	wg      sync.WaitGroup
	count   atomic.Int64
	client  []*http.Client // by node
	header  func(r *http.Request)

	mu    sync.Mutex
	calls []call
}

func (f *fleet) startLoad(route, method string, budget time.Duration, perSecond float64, retries int) *load {
	l := &load{f: f, route: route, method: method, budget: budget, retries: retries, quit: make(chan struct{})}
	for range f.nodes {
		l.client = append(l.client, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}})
	}
	l.setRate(perSecond)
	l.wg.Go(l.run)
	return l
}

func (l *load) setRate(perSecond float64) { l.perSec.Store(int64(perSecond * 1000)) }

func (l *load) run() {
	until, last := rand.ExpFloat64(), time.Now()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-l.quit:
			return
		case <-tick.C:
		}
		now := time.Now()
		until -= float64(l.perSec.Load()) / 1000 * now.Sub(last).Seconds()
		for last = now; until <= 0; until += rand.ExpFloat64() {
			l.wg.Go(l.request)
		}
	}
}

// request is one request of a client with its retries, each at another node.
func (l *load) request() {
	number := int(l.count.Add(1))
	deadline := time.Now().Add(l.budget)
	first := l.f.pick(number + rand.IntN(len(l.f.nodes)))
	for attempt := 0; ; attempt++ {
		at := l.f.pick(first + attempt)
		c := l.send(at, fmt.Sprintf("n%d-%s-%d-%d", at, l.route, number, attempt), time.Until(deadline))
		promised := c.status == 503 || c.status == 429
		if attempt >= l.retries || !promised {
			return
		}
		left := time.Until(deadline)
		wait := min(c.retryAfter, left/3)
		if left-wait < 100*time.Millisecond {
			return
		}
		time.Sleep(wait)
	}
}

func (l *load) send(at int, id string, left time.Duration) call {
	c := call{id: id, route: l.route, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var body io.Reader
	if l.method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	r, err := http.NewRequestWithContext(ctx, l.method, "http://"+l.f.nodes[at].front+"/"+l.route+"/x", body)
	if err != nil {
		c.err = err
		return l.end(c)
	}
	r.Host = "one.example"
	r.Header.Set("X-Teaselpin-Request-Id", id)
	r.Header.Set("X-Teaselpin-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	if l.header != nil {
		l.header(r)
	}
	res, err := l.client[at].Do(r)
	if err != nil {
		c.err = err
		return l.end(c)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	c.status, c.err = res.StatusCode, err
	if err == nil && c.status == 200 && l.header == nil && !strings.Contains(string(text), id) {
		c.err = errors.New("the answer is not of the request")
	}
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		c.retryAfter = time.Duration(s * float64(time.Second))
	}
	return l.end(c)
}

func (l *load) end(c call) call {
	c.endedAt = time.Now()
	l.mu.Lock()
	l.calls = append(l.calls, c)
	l.mu.Unlock()
	l.f.noteAt(c.sentAt, "client sends %s", c.id)
	if c.err != nil {
		l.f.note("client has no answer to %s: %v", c.id, c.err)
	} else {
		l.f.note("client gets %d to %s, Retry-After %v", c.status, c.id, c.retryAfter)
	}
	return c
}

func (l *load) stop() []call {
	close(l.quit)
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]call(nil), l.calls...)
}
