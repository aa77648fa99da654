//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slashes sends requests to a route whose prefix is a single slash. With
// trouble, their paths begin with two slashes.
func slashes(f *fleet, trouble bool) bool {
	services := []any{plain("rota-app")}
	f.configure(1, services, route("view", "safe", "rota-app"), map[string]any{
		"name": "all", "host": host, "path_prefix": "/", "kind": "unsafe", "service": "rota-app", "priority": 2,
		"timeout_ms": 1000, "latency_goal_ms": 150, "max_attempts": 1, "resumable": false,
	})
	type seen struct{ target, host string }
	var mu sync.Mutex
	ran := map[string]seen{}
	for i := range 3 {
		f.addServer(&server{
			id: fmt.Sprint("i-app", i), service: "rota-app", zone: "cz-central-a", work: 5 * time.Millisecond,
			behave: func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
				mu.Lock()
				defer mu.Unlock()
				ran[r.Header.Get("X-Teaselpin-Request-Id")] = seen{r.RequestURI, r.Host}
				return false
			},
		})
	}
	f.addNodes(2, "cz-central-a", "cz-central-b")
	f.startAll(true)
	time.Sleep(2 * time.Second)
	path := "/shifts/swap?week=7"
	if trouble {
		path = "//shifts/swap?week=7"
	}
	changed := 0
	for i := range 20 {
		id := fmt.Sprint("swap-", i)
		status := sendRaw(f.nodes[i%2].front, "POST "+path+" HTTP/1.1\r\nHost: "+host+"\r\nX-Teaselpin-Request-Id: "+id+
			"\r\nX-Teaselpin-Deadline: 1000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nswap")
		mu.Lock()
		got, ok := ran[id]
		mu.Unlock()
		f.rec.add("%s sent as POST %s of host %s: %q; run: %v, as POST %s of host %s", id, path, host, status, ok, got.target, got.host)
		if ok && (got.target != path || got.host != host) {
			changed++
		}
	}
	f.rec.add("UNASKED: servers ran %d of 20 requests with another path", changed)
	fmt.Println("changed", changed)
	return changed > 0
}

// sendRaw sends the bytes of a request and returns the status line of the
// answer.
func sendRaw(address, text string) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		cannotRun("%v", err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte(text)); err != nil {
		return err.Error()
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}
