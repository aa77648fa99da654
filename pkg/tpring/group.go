package tpring

import (
	"expvar"
	"sync"
)

// StatsSource is a source of ring counters. Every Ring implements it.
type StatsSource interface {
	Stats() Stats
}

// Group holds the rings of one process by name and exports their counters. The
// zero value is ready to use. Its methods may be called concurrently.
type Group struct {
	mu    sync.Mutex
	rings map[string]StatsSource
}

// Add registers r under name. It replaces a ring that has the same name.
func (g *Group) Add(name string, r StatsSource) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rings == nil {
		g.rings = make(map[string]StatsSource)
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
