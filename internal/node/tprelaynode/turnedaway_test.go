package tprelaynode_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// changeTimeout is half of the time after which a watch that hears nothing ends by itself.
const changeTimeout = 10 * time.Second

// fleet is a site whose nodes reach the store through a proxy each.
type fleet struct {
	*site
	nodes   []*node
	proxies []*tpguestfake.Proxy
	version int // of the configuration
}

// proxyIP returns the address from which the store is called for a node.
func proxyIP(i int) string { return fmt.Sprint("127.0.0.", 10+i) }

func newFleet(t *testing.T, size int, bootstrap bool) *fleet {
	t.Helper()
	f := &fleet{site: newSite(t), version: 1}
	seed := tpprocess.FreeAddress(t)
	for i := range size {
		p := tpguestfake.NewProxyFrom(t, f.address, proxyIP(i))
		cfg := tprelaynode.Settings{Name: fmt.Sprint("node-", i), Peers: seed, Store: p.Address, Bootstrap: bootstrap}
		if i > 0 {
			cfg.Peers, cfg.Seeds = tpprocess.FreeAddress(t), []string{seed}
		}
		f.proxies = append(f.proxies, p)
		f.nodes = append(f.nodes, f.startWith(t, cfg))
	}
	for _, n := range f.nodes {
		n.untilReady(t)
	}
	return f
}

// change writes a configuration and returns a check that it is in force at a node.
func (f *fleet) change(t *testing.T) func(i int) string {
	t.Helper()
	f.version++
	version := f.version
	f.configure(version, "app")
	return func(i int) string {
		if got := f.nodes[i].post(t.Context(), "probe", fmt.Sprintf("/v%d/x", version), nil); got.status != 200 {
			return fmt.Sprintf("version %d is not in force at node %d: %+v", version, i, got)
		}
		return ""
	}
}

// Guards against a change that no node reads, because the nodes that watch the store are turned away.
func TestChangeArrivesWhenWatchersAreTurnedAway(t *testing.T) {
	setMode := func(mode tpguestfake.Mode) func(*fleet, int) {
		return func(f *fleet, i int) { f.proxies[i].SetMode(mode) }
	}
	refuse := func(status int) func(*fleet, int) {
		return func(f *fleet, i int) { f.store.SetRefusalStatus(proxyIP(i), status) }
	}
	for _, fault := range []struct {
		name       string
		begin, end func(f *fleet, i int)
	}{
		{"silent", setMode(tpguestfake.ModeStall), setMode(tpguestfake.ModePass)},
		{"one way", setMode(tpguestfake.ModeOneWay), setMode(tpguestfake.ModePass)},
		{"reset", setMode(tpguestfake.ModeReset), setMode(tpguestfake.ModePass)},
		{"busy", refuse(503), refuse(0)},
		{"too many calls", refuse(429), refuse(0)},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 6, fault.name == "one way") // a first start leaves most calls to the seeds
			for served := range f.nodes {
				// The watches begin again with a change, so that none is about to end.
				inForce := f.change(t)
				for i := range f.nodes {
					eventually(t, func() string { return inForce(i) })
				}
				for i := range f.nodes {
					if i != served {
						fault.begin(f, i)
					}
				}
				inForce = f.change(t)
				deadline := time.Now().Add(changeTimeout)
				for i := range f.nodes {
					for missing := inForce(i); missing != ""; missing = inForce(i) {
						if time.Now().After(deadline) {
							t.Fatalf("store turns all but node %d away: %s", served, missing)
						}
						time.Sleep(10 * time.Millisecond)
					}
				}
				for i := range f.nodes {
					fault.end(f, i)
				}
			}
		})
	}
}
