//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["entry"] = playEntry }

// playEntry has another writer write an entry under the id of an engine, in which
// most fields are missing. Such an entry names no server to use. The engine writes
// its own entry again at its next beat.
func playEntry(p *play) error {
	nodes, err := region(p, "front-a-1", "front-b-1", "front-c-1")
	if err != nil {
		return err
	}
	app, llm := &book{}, &book{}
	for i, zone := range zones {
		if err := p.newServer(fmt.Sprintf("app%d", i), "app", zone, app).start(); err != nil {
			return err
		}
	}
	var engines []*server
	for i := range 18 {
		s := p.newServer(fmt.Sprintf("llm%02d", i), "llm", zones[i%3], llm)
		s.slots, s.stage = 64, "prefill"
		if i >= 13 {
			s.stage = "decode"
		}
		if err := s.start(); err != nil {
			return err
		}
		engines = append(engines, s)
	}
	time.Sleep(stableWindow + time.Second)
	p.logf("traffic begins")
	stop := make(chan struct{})
	ends := background(p, func(i int) *node { return nodes[i%len(nodes)] }, 33*time.Millisecond, stop)
	for i := range 4 {
		time.Sleep(3 * time.Second)
		if !p.trouble {
			continue
		}
		s := engines[13+i]
		s.mu.Lock()
		id, address := s.id, s.address
		s.mu.Unlock()
		entry := map[string]any{"service": "app", "address": address, "zone": s.zone, "state": "ready"}
		p.logf("another writer writes servers/%s: %v", id, entry)
		p.store.Set("servers", id, entry)
		time.Sleep(beatInterval)
		s.register()
		p.logf("server %s writes its own entry", id)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	counts := ends()
	foreign := 0
	llm.mu.Lock()
	for _, a := range llm.arrivals {
		if strings.HasPrefix(a.id, "swap") && a.ran {
			foreign++
			p.logf("%s, which the configuration routes to app, was run by %s of llm at %.3f", a.id, a.server, a.at.Sub(p.begun).Seconds())
		}
	}
	llm.mu.Unlock()
	p.logf("calls by answer: %v; run by a service to which no configuration sends them: %d", counts, foreign)
	if foreign > 0 {
		p.breakRule("ROUTE %d calls were run by another service", foreign)
	}
	return nil
}
