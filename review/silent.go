//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// silence is how long the server is silent in the middle of its streams: a
// second or so.
const silence = 1200 * time.Millisecond

// events is the number of events of a whole stream.
const events = 12

// silent stops a node as planned while it serves streams. Their server falls
// silent and goes on. The other servers are full meanwhile.
func silent(f *fleet, trouble bool) bool {
	llm := map[string]any{
		"name": "ladle-llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kv_capacity": 491555, "kv_token_bytes": 18432, "stride": 13, "handle_ttl_s": 5.0, "role_switch_s": 3.0},
	}
	quick := route("ask", "stream", "ladle-llm")
	quick["latency_goal_ms"], quick["target_gap_ms"], quick["priority"] = 400, 400, 0
	f.configure(1, []any{llm}, quick)
	var full atomic.Bool
	stream := func(s *server, silentAt int) func(http.ResponseWriter, *http.Request, []byte) bool {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			id := r.Header.Get("X-Teaselpin-Request-Id")
			if silentAt < 0 && full.Load() {
				f.rec.add("%s is full and rejects %s", s.id, id)
				w.Header().Set("X-Teaselpin-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
			first := 0
			if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
				first = n + 1
			}
			f.rec.add("%s runs %s from event %d", s.id, id, first)
			w.Header().Set("X-Teaselpin-Response-Stamp", s.id+"."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			rc := http.NewResponseController(w)
			for i := first; i < events; i++ {
				if i == silentAt && trouble {
					full.Store(true)
					f.rec.add("%s is silent on %s", s.id, id)
					select {
					case <-time.After(silence):
					case <-r.Context().Done():
						f.rec.add("%s: its caller has closed the channel of %s", s.id, id)
						panic(http.ErrAbortHandler)
					}
					f.rec.add("%s goes on with %s", s.id, id)
				}
				fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
				_ = rc.Flush()
				time.Sleep(100 * time.Millisecond)
			}
			return true
		}
	}
	// The site's 18 engines: 13 read prompts, 5 generate. The nodes prefer a
	// server in their zone, so most streams go to the first of the five.
	for i := range 13 {
		f.addServer(&server{id: fmt.Sprint("i-read", i), service: "ladle-llm", zone: "cz-central-a", stage: "prefill"})
	}
	for i, zone := range []string{"cz-central-a", "cz-central-b", "cz-central-c", "cz-central-b", "cz-central-c"} {
		silentAt := -1
		if i == 0 {
			silentAt = 4
		}
		s := f.addServer(&server{id: fmt.Sprint("i-llm", i), service: "ladle-llm", zone: zone, stage: "decode"})
		s.behave = stream(s, silentAt)
	}
	f.addNodes(3, "cz-central-a", "cz-central-b", "cz-central-c")
	f.startAll(true)
	time.Sleep(4 * time.Second)
	m := f.nodes[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range 5 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprint("ask-", i)
			sent := time.Now()
			count, whole, err := readStream(m.front, id)
			f.rec.add("%s sent at %s: %d of %d events, complete %v, %v", id, f.rec.at(sent), count, events, whole, err)
			if !whole || count != events {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	f.rec.add("SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	wg.Wait()
	f.rec.add("LOST: %d of 5 streams ended without a complete answer", lost)
	fmt.Println("lost", lost)
	return lost > 0
}

// readStream sends a request for a stream and reads its answer, whole or not.
func readStream(address, id string) (count int, whole bool, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprintf(c, "POST /ask/x HTTP/1.1\r\nHost: %s\r\nX-Teaselpin-Request-Id: %s\r\nX-Teaselpin-Deadline: 5000\r\n"+
		"X-Teaselpin-Model: m\r\nX-Teaselpin-Token-Counts: 300,156\r\nX-Teaselpin-Prefix-Hash: 5c1e07a2:100,%x:200\r\nContent-Length: 4\r\n\r\ntext",
		host, id, id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, false, fmt.Errorf("status %d", res.StatusCode)
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			count++
		}
	}
	return count, lines.Err() == nil, lines.Err()
}
