//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["refusal"] = playRefusal }

const (
	streamEvents   = 8
	eventPause     = 350 * time.Millisecond
	silentAfter    = 4 // events
	silence        = 1200 * time.Millisecond
	refusalDelay   = 300 * time.Millisecond
	streamsAtOnce  = 10
	streamDeadline = 5 * time.Second
)

// decoders are engines of which one falls silent for a moment in the middle of its
// streams, while the others are full and take a moment to say so.
type decoders struct {
	p      *play
	mu     sync.Mutex
	silent *decoder
	until  time.Time
}

// decoder is an engine of stage decode.
type decoder struct {
	all     *decoders
	id      string
	address string
}

func (d *decoder) start(zone string) error {
	address, err := d.all.p.serve("127.0.0.1:0", d)
	if err != nil {
		return err
	}
	d.address = address
	d.all.p.store.Set("servers", d.id, map[string]any{
		"service": "llm", "address": address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
		"stage": "decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	return nil
}

// begin reports whether the engine is full: it is while another one is silent.
func (d *decoder) begin() bool {
	d.all.mu.Lock()
	defer d.all.mu.Unlock()
	return d.all.silent != nil && d.all.silent != d
}

// pause waits while the engine is silent. The first engine that comes here with
// trouble falls silent.
func (d *decoder) pause(event int) {
	d.all.mu.Lock()
	if d.all.p.trouble && event == silentAfter && d.all.silent == nil {
		d.all.silent, d.all.until = d, time.Now().Add(silence)
		d.all.p.logf("server %s falls silent for %v; the others are full from now on", d.id, silence)
	}
	wait := time.Duration(0)
	if d.all.silent == d {
		wait = time.Until(d.all.until)
	}
	d.all.mu.Unlock()
	time.Sleep(max(0, wait))
}

// ServeHTTP implements http.Handler.
func (d *decoder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := d.all.p
	if r.URL.Path == "/teaselpin/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":491555,"handles":0}`)
		return
	}
	if r.Method == http.MethodDelete || r.URL.Path == "/teaselpin/order" {
		w.WriteHeader(http.StatusConflict)
		return
	}
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("X-Teaselpin-Request-Id")
	w.Header().Set("X-Teaselpin-Request-Id", id)
	if r.Header.Get("X-Teaselpin-Expect-Instance") != d.id || r.Header.Get("X-Teaselpin-Stage") == "prefill" {
		w.Header().Set("X-Teaselpin-Instance-Id", d.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if d.begin() {
		time.Sleep(refusalDelay)
		w.Header().Set("X-Teaselpin-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		p.logf("not run   %s at %s, which is full", id, d.id)
		return
	}
	first := 0
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	p.logf("begins    %s at %s, event %d", id, d.id, first)
	w.Header().Set("X-Teaselpin-Response-Stamp", d.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := first; i < streamEvents; i++ {
		d.pause(i)
		if r.Context().Err() != nil {
			p.logf("left      %s at %s before event %d: the node has closed the channel", id, d.id, i)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = rc.Flush()
		time.Sleep(eventPause)
	}
	p.logf("run       %s at %s: whole", id, d.id)
}

// playRefusal stops a node as planned while it passes on streams. Their server falls
// silent for a moment.
func playRefusal(p *play) error {
	nodes, err := region(p, "front-a-1", "front-b-1", "front-c-1")
	if err != nil {
		return err
	}
	llm := &book{}
	for i := range 13 {
		s := p.newServer(fmt.Sprintf("llm%02d", i), "llm", zones[i%3], llm)
		s.slots, s.stage = 64, "prefill"
		if err := s.start(); err != nil {
			return err
		}
	}
	all := &decoders{p: p}
	for i := range 5 {
		if err := (&decoder{all: all, id: fmt.Sprintf("i-llm%02d-1", 13+i)}).start(zones[i%3]); err != nil {
			return err
		}
	}
	time.Sleep(stableWindow + time.Second)
	p.logf("traffic begins")
	var done sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	for i := range streamsAtOnce {
		done.Go(func() {
			q := request{
				id: fmt.Sprintf("ask-%02d", i), method: http.MethodPost, host: host, path: pathAsk + "x", deadline: streamDeadline,
				body: fmt.Sprintf("ask %d", i),
				header: map[string]string{
					"X-Teaselpin-Model": "m", "X-Teaselpin-Token-Counts": "400,104",
					"X-Teaselpin-Prefix-Hash": fmt.Sprintf("5c1e07a2:200,91bd3f06:100,%08x:100", i+1),
				},
			}
			r := send(nodes[0], &q)
			if r.status == http.StatusOK && r.err != nil {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, fmt.Sprintf("%s after %.2f s", q.id, r.took.Seconds()))
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	nodes[0].signal(syscall.SIGTERM)
	done.Wait()
	select {
	case <-nodes[0].done:
	case <-time.After(8 * time.Second): // grace_s
		nodes[0].signal(syscall.SIGKILL)
	}
	p.logf("streams: %d, ended without a whole answer: %d %v", streamsAtOnce, len(lost), lost)
	if len(lost) > 0 {
		p.breakRule("LOST %d streams were broken off in a planned stop, long before their time budget and the end of the grace", len(lost))
	}
	return nil
}
