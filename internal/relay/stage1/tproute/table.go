package tproute

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Table finds routes. It never changes, so that all of a request is decided by
// one configuration.
type Table struct {
	Config *tpmessage.RelayConfig
	hosts  map[string][]*tpmessage.RelayRoute // longest prefix first
	pools  map[string]*tpmessage.RelayPool
}

// NewTable returns the table of a configuration.
func NewTable(cfg *tpmessage.RelayConfig) *Table {
	t := &Table{
		Config: cfg,
		hosts:  make(map[string][]*tpmessage.RelayRoute),
		pools:  make(map[string]*tpmessage.RelayPool, len(cfg.Pools)),
	}
	for i := range cfg.Pools {
		t.pools[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *tpmessage.RelayRoute) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Find returns the route of the longest prefix that begins the path, and the
// pool that serves the request of that ID. The pool is nil if none is known.
func (t *Table) Find(host, path, id string) (*tpmessage.RelayRoute, *tpmessage.RelayPool) {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, t.pools[choose(r.Backends, id)]
		}
	}
	return nil, nil
}

// choose splits requests among pools by weight. The choice depends on the
// request alone, so that every attempt at it is made in one pool.
func choose(backends []tpmessage.WeightedPool, id string) string {
	var sum float64
	for _, b := range backends {
		sum += b.Weight
	}
	at := sum * (float64(xxh3.HashString(id)>>11) / (1 << 53))
	chosen := ""
	for _, b := range backends {
		if b.Weight <= 0 {
			continue
		}
		chosen = b.Pool
		if at < b.Weight {
			break
		}
		at -= b.Weight
	}
	return chosen
}
