//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["caller"] = playCaller }

const (
	poisonTenant, poisonKey = "fida11", "key-of-fida11"
	soundTenant, soundKey   = "hule930", "key-of-hule930"
)

// playCaller sends a request without a body that crashes each server which runs it
// for one caller, again and again. Other callers send the same method and path, and
// are answered.
func playCaller(p *play) error {
	c := config(7)
	c["tenants"] = []any{
		map[string]any{"name": poisonTenant, "api_keys": []any{poisonKey}},
		map[string]any{"name": soundTenant, "api_keys": []any{soundKey}},
	}
	nodes, err := regionWith(p, c, "front-a-1", "front-b-1", "front-c-1")
	if err != nil {
		return err
	}
	app := &book{}
	for i, zone := range zones {
		s := p.newServer(fmt.Sprintf("app%d", i), "app", zone, app)
		s.crash = func(r *http.Request) crashPoint {
			if p.trouble && r.Method == http.MethodGet && r.Header.Get("X-Teaselpin-Tenant") == poisonTenant {
				return crashBeforeAnswer
			}
			return crashNever
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
	sound := make(map[int]int)
	var mu sync.Mutex
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			all.Go(func() {
				q := request{
					id: fmt.Sprintf("sound-view-%03d", i), method: http.MethodGet, host: host, path: pathView + "status", deadline: time.Second,
					header: map[string]string{"X-Api-Key": soundKey},
				}
				r := send(nodes[i%len(nodes)], &q)
				mu.Lock()
				defer mu.Unlock()
				sound[r.status]++
			})
		}
	})
	for i := range 25 {
		q := request{
			id: fmt.Sprintf("poison-view-%02d", i), method: http.MethodGet, host: host, path: pathView + "status", deadline: time.Second,
			header: map[string]string{"X-Api-Key": poisonKey},
		}
		n := nodes[i%len(nodes)]
		r := send(n, &q)
		p.logf("client %s at %s: %s", q.id, n.name, r.String())
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	all.Wait()
	counts := ends()
	judgeRetries(p, app, "request that crashes servers", 3, func(id string) bool { return strings.HasPrefix(id, "poison") })
	p.logf("sound requests with the same path by answer: %v", sound)
	p.logf("sound calls by answer: %v; begun at a server and lost with it: %d", counts, lostCalls(app))
	return nil
}
