package tproute

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Table selects routes. It is immutable, so that one configuration decides
// everything about a request.
type Table struct {
	Config       *tpmessage.RelayConfig
	routesByHost map[string][]*tpmessage.RelayRoute // keys in lower case; longest path prefix first
	poolsByName  map[string]*tpmessage.RelayPool
	holders      map[tpmessage.KeyHash]*tpmessage.RelayOrganisation // nil without organisations
}

// NewTable returns the table of a configuration. It keeps pointers into cfg.
func NewTable(cfg *tpmessage.RelayConfig) *Table {
	t := &Table{
		Config:       cfg,
		routesByHost: make(map[string][]*tpmessage.RelayRoute),
		poolsByName:  make(map[string]*tpmessage.RelayPool, len(cfg.Pools)),
	}
	for i := range cfg.Pools {
		t.poolsByName[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *tpmessage.RelayRoute) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	t.holders = holdersOf(cfg)
	return t
}

// Find returns the route whose path prefix is the longest that matches the
// path, and the pool for the request with this ID. It ignores the case and the
// port of the host. The route is nil if none matches, and the pool is nil if
// the configuration does not contain it.
func (t *Table) Find(host, path, id string) (*tpmessage.RelayRoute, *tpmessage.RelayPool) {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, t.poolsByName[choosePool(r.Backends, id)]
		}
	}
	return nil, nil
}

// choosePool distributes requests over pools by weight. The choice depends only
// on the request ID, so that all attempts of a request use the same pool.
func choosePool(backends []tpmessage.WeightedPool, id string) string {
	var sum float64
	for _, b := range backends {
		sum += b.Weight
	}
	point := sum * (float64(xxh3.HashString(id)>>11) / (1 << 53))
	chosen := ""
	for _, b := range backends {
		if b.Weight <= 0 {
			continue
		}
		chosen = b.Pool
		if point < b.Weight {
			break
		}
		point -= b.Weight
	}
	return chosen
}
