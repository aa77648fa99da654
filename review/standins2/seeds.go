//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["seeds"] = playSeeds }

// playSeeds removes the three machines that the settings name as seeds, for good.
// New machines come a second later at other addresses. Their first settings still
// name the machines that are gone, as the bound seed_lag_s allows; afterwards all
// settings name live machines. A request that crashes servers then comes again and
// again, at any machine.
func playSeeds(p *play) error {
	old, err := region(p, "front-a-1", "front-b-1", "front-c-1", "front-a-2", "front-b-2")
	if err != nil {
		return err
	}
	app := &book{}
	for i, zone := range zones {
		s := p.newServer(fmt.Sprintf("app%d", i), "app", zone, app)
		s.crash = func(r *http.Request) crashPoint {
			if strings.HasSuffix(r.URL.Path, "/poison") {
				return crashBeforeAnswer
			}
			return crashNever
		}
		if err := s.start(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	gone, live := old[:3], old[3:]
	stale := old[0].seeds
	if p.trouble {
		for _, n := range gone {
			n.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second)
	var fresh []*node
	for i, name := range []string{"front-a-3", "front-b-3", "front-c-3"} {
		n := p.newNode(name, zones[i])
		n.seeds = stale
		if err := n.start(); err != nil {
			return err
		}
		fresh = append(fresh, n)
	}
	if !p.trouble {
		for _, n := range gone { // planned, after the new ones have come
			if err := fresh[0].waitReady(); err != nil {
				return err
			}
			time.Sleep(500 * time.Millisecond)
			n.signal(syscall.SIGTERM)
		}
	}
	// The settings change within seed_lag_s.
	time.Sleep(1500 * time.Millisecond)
	nodes := append(append([]*node(nil), live...), fresh...)
	var seeds []string
	for _, n := range []*node{live[0], live[1], fresh[0]} {
		seeds = append(seeds, n.peers)
	}
	for _, n := range nodes {
		n.seeds, n.bootstrap = seeds, false
		if err := n.writeSettings(); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
	}
	for _, n := range nodes {
		if err := n.waitReady(); err != nil {
			return err
		}
	}
	time.Sleep(12 * time.Second) // all machines are in touch long since
	p.logf("traffic begins")
	stop := make(chan struct{})
	ends := background(p, func(i int) *node { return nodes[i%len(nodes)] }, 50*time.Millisecond, stop)
	var all sync.WaitGroup
	for i := range 25 {
		all.Go(func() {
			q := request{
				id: fmt.Sprintf("poison-swap-%02d", i), method: http.MethodPost, host: host, path: pathSwap + "poison", body: "the same swap", deadline: time.Second,
			}
			n := nodes[i%len(nodes)]
			r := send(n, &q)
			p.logf("client %s at %s: %s", q.id, n.name, r.String())
		})
		time.Sleep(2 * time.Second)
	}
	all.Wait()
	close(stop)
	counts := ends()
	judgeRetries(p, app, "request that crashes servers", 3, func(id string) bool { return strings.HasPrefix(id, "poison") })
	p.logf("sound calls by answer: %v; begun at a server and lost with it: %d", counts, lostCalls(app))
	return nil
}

// lostCalls returns the number of sound calls that a crash has cut.
func lostCalls(b *book) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	lost := 0
	for _, a := range b.arrivals {
		if strings.HasPrefix(a.id, "swap") && a.ended == "cut" {
			lost++
		}
	}
	return lost
}
