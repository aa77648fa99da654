package tpring

import (
	"expvar"
	"sync"
)

// Source is anything that reports ring counters; every Ring is one.
type Source interface {
	Stats() Stats
}

// Group names the rings of one process and exports their counters. The zero
// value is ready to use.
type Group struct {
	mu    sync.Mutex
	rings map[string]Source
}

// Add registers a ring under a name, replacing an earlier one of that name.
func (g *Group) Add(name string, r Source) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rings == nil {
		g.rings = make(map[string]Source)
	}
	g.rings[name] = r
}

// Stats returns the counters of all rings by name.
func (g *Group) Stats() map[string]Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[string]Stats, len(g.rings))
	for name, r := range g.rings {
		all[name] = r.Stats()
	}
	return all
}

// Var returns an expvar variable that prints the counters as JSON.
func (g *Group) Var() expvar.Var {
	return expvar.Func(func() any { return g.Stats() })
}
