//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["poison"] = func(p *play) error { return playPoison(p, crashInAnswer) }
	cases["poison-before"] = func(p *play) error { return playPoison(p, crashBeforeAnswer) }
}

const (
	host       = "ficu95.example"
	pathView   = "/cufi504/"
	pathSwap   = "/puxa403/"
	pathAsk    = "/lohu930/"
	poisonPart = "bad0bad0"
)

// config is a configuration of a small deployment.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-view", "host": host, "path_prefix": pathView, "kind": "safe", "timeout_ms": 1000, "latency_goal_ms": 150,
				"priority": 2, "service": "app", "max_attempts": 2, "sticky": false, "resumable": false,
			},
			map[string]any{
				"name": "r-swap", "host": host, "path_prefix": pathSwap, "kind": "unsafe", "timeout_ms": 1000, "latency_goal_ms": 150,
				"priority": 2, "service": "app", "max_attempts": 1, "sticky": false, "resumable": false,
			},
			map[string]any{
				"name": "r-ask", "host": host, "path_prefix": pathAsk, "kind": "stream", "timeout_ms": 5000, "latency_goal_ms": 400,
				"priority": 0, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 400,
			},
		},
		"services": []any{
			map[string]any{
				"name": "llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_capacity": 491555, "kv_token_bytes": 18432, "link_mbps": 740000.0, "moves": true, "backups": true,
					"stride": 13, "most": 12, "handle_ttl_s": 5.0, "role_switch_s": roleSwitch.Seconds(), "pin_ms": 4000.0, "hold_ms": 2000.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

var zones = []string{"cz-central-a", "cz-central-b", "cz-central-c"}

// region starts nodes that know each other.
func region(p *play, names ...string) ([]*node, error) { return regionWith(p, config(7), names...) }

func regionWith(p *play, c map[string]any, names ...string) ([]*node, error) {
	p.store.Set("config", "main", c)
	var nodes []*node
	for i, name := range names {
		nodes = append(nodes, p.newNode(name, zones[i%len(zones)]))
	}
	var seeds []string
	for _, n := range nodes[:min(3, len(nodes))] {
		seeds = append(seeds, n.peers)
	}
	for _, n := range nodes {
		n.seeds, n.bootstrap = seeds, true
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	for _, n := range nodes {
		if err := n.waitReady(); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// background sends sound calls that must not be repeated, until stop is closed, and
// returns the counts of their ends.
func background(p *play, nodes func(i int) *node, every time.Duration, stop chan struct{}) func() map[string]int {
	ends := make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			all.Go(func() {
				q := request{
					id: fmt.Sprintf("swap-%04d", i), method: http.MethodPost, host: host, path: pathSwap + fmt.Sprint(i),
					body: fmt.Sprintf("swap %d", i), deadline: time.Second, header: map[string]string{"X-Api-Key": soundKey},
				}
				r := send(nodes(i), &q)
				mu.Lock()
				defer mu.Unlock()
				if r.err != nil {
					ends["no whole answer"]++
				} else {
					ends[fmt.Sprint(r.status)]++
				}
			})
		}
	})
	return func() map[string]int {
		all.Wait()
		mu.Lock()
		defer mu.Unlock()
		return ends
	}
}

// judgeRetries applies the rule BUDGET to arrivals of requests that crash servers:
// after the given crash and stableWindow, at most three of them may reach servers.
func judgeRetries(p *play, b *book, what string, crash int, isPoison func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.crashes) < crash {
		p.logf("%s: %d crashes, fewer than %d", what, len(b.crashes), crash)
		return
	}
	from := b.crashes[crash-1].Add(stableWindow)
	late := make(map[string]bool)
	for _, a := range b.arrivals {
		if isPoison(a.id) && a.at.After(from) && a.ran {
			late[a.id] = true
			p.logf("%s: %s reached %s at %.3f, %s", what, a.id, a.server, a.at.Sub(p.begun).Seconds(), a.ended)
		}
	}
	p.logf("%s: %d crashes; crash %d at %.3f; requests that reached servers later than %v after it: %d (allowed: 3)",
		what, len(b.crashes), crash, b.crashes[crash-1].Sub(p.begun).Seconds(), stableWindow, len(late))
	if len(late) > 3 {
		p.mu.Lock()
		p.broken++
		p.mu.Unlock()
	}
}

// playPoison sends a request that crashes each server which runs it, and requests
// with a part of a prompt that does so, again and again.
func playPoison(p *play, point crashPoint) error {
	nodes, err := region(p, "front-a-1", "front-b-1", "front-c-1")
	if err != nil {
		return err
	}
	app, llm := &book{}, &book{}
	crash := func(r *http.Request) crashPoint {
		poison := strings.HasSuffix(r.URL.Path, "/poison") || strings.Contains(r.Header.Get("X-Teaselpin-Prefix-Hash"), poisonPart)
		if p.trouble && poison {
			return point
		}
		return crashNever
	}
	for i, zone := range zones {
		s := p.newServer(fmt.Sprintf("app%d", i), "app", zone, app)
		s.crash = crash
		if err := s.start(); err != nil {
			return err
		}
	}
	// 18 engines, as many of them reading prompts as the product wants.
	for i := range 18 {
		s := p.newServer(fmt.Sprintf("llm%02d", i), "llm", zones[i%3], llm)
		s.slots, s.crash, s.stage = 64, crash, "prefill"
		if i >= 13 {
			s.stage = "decode"
		}
		if err := s.start(); err != nil {
			return err
		}
	}
	time.Sleep(stableWindow + time.Second)
	p.logf("traffic begins")
	stop := make(chan struct{})
	ends := background(p, func(i int) *node { return nodes[i%len(nodes)] }, 50*time.Millisecond, stop)
	var all sync.WaitGroup
	for i := range 25 {
		all.Go(func() {
			q := request{
				id: fmt.Sprintf("poison-view-%02d", i), method: http.MethodGet, host: host, path: pathView + "poison", deadline: time.Second,
			}
			r := send(nodes[i%len(nodes)], &q)
			p.logf("client %s at %s: %s", q.id, nodes[i%len(nodes)].name, r.String())
		})
		all.Go(func() {
			q := request{
				id: fmt.Sprintf("poison-ask-%02d", i), method: http.MethodPost, host: host, path: pathAsk + "x", deadline: 5 * time.Second,
				body: fmt.Sprintf("ask %d", i),
				header: map[string]string{
					"X-Teaselpin-Model": "m", "X-Teaselpin-Token-Counts": "400,117",
					"X-Teaselpin-Prefix-Hash": fmt.Sprintf("5c1e07a2:200,%s:100,%08x:100", poisonPart, i+1),
				},
			}
			r := send(nodes[(i+1)%len(nodes)], &q)
			p.logf("client %s at %s: %s", q.id, nodes[(i+1)%len(nodes)].name, r.String())
		})
		time.Sleep(1500 * time.Millisecond)
	}
	all.Wait()
	close(stop)
	counts := ends()
	judgeRetries(p, app, "request that crashes servers", 3, func(id string) bool { return strings.HasPrefix(id, "poison") })
	judgeRetries(p, llm, "part that crashes servers", 5, func(id string) bool { return strings.HasPrefix(id, "poison") })
	p.logf("sound calls by answer: %v; begun at a server and lost with it: %d", counts, lostCalls(app))
	return nil
}
