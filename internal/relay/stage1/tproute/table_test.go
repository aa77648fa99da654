package tproute_test

import (
	"fmt"
	"testing"

	"teaselpin.example/teaselpin/internal/relay/stage1/tproute"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

func newTable(routes ...tpmessage.RelayRoute) *tproute.Table {
	return tproute.NewTable(&tpmessage.RelayConfig{
		Routes: routes,
		Pools:  []tpmessage.RelayPool{{Name: "a"}, {Name: "b"}},
	})
}

func route(name, host, prefix string, backends ...tpmessage.WeightedPool) tpmessage.RelayRoute {
	return tpmessage.RelayRoute{Name: name, Host: host, PathPrefix: prefix, Backends: backends}
}

// Guards against selecting the route of another host or of a shorter prefix.
func TestFind(t *testing.T) {
	a := tpmessage.WeightedPool{Pool: "a", Weight: 1}
	tb := newTable(route("short", "one.example", "/x/", a), route("long", "one.example", "/x/y/", a), route("other", "two.example", "/x/", a))
	for _, test := range []struct{ host, path, want string }{
		{"one.example", "/x/z", "short"},
		{"one.example", "/x/y/z", "long"},
		{"ONE.example:8080", "/x/y/z", "long"},
		{"two.example", "/x/y/z", "other"},
		{"one.example", "/x", ""},
		{"three.example", "/x/", ""},
	} {
		got := ""
		if r, _ := tb.Find(test.host, test.path, "1"); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("route of %s%s: got %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// Guards against a distribution that ignores the weights, that changes the pool
// between the attempts of a request, or that uses a pool of weight zero.
func TestFindSplitsByWeight(t *testing.T) {
	tb := newTable(route("r", "h", "/", tpmessage.WeightedPool{Pool: "a", Weight: 90},
		tpmessage.WeightedPool{Pool: "b", Weight: 10}, tpmessage.WeightedPool{Pool: "none", Weight: 0}))
	counts := make(map[string]int)
	const requests = 20000
	for i := range requests {
		id := fmt.Sprint("request-", i)
		_, p := tb.Find("h", "/", id)
		_, again := tb.Find("h", "/", id)
		if p == nil || p != again {
			t.Fatalf("pool of %s: got %v and %v", id, p, again)
		}
		counts[p.Name]++
	}
	// The tolerance is five standard deviations of a binomial distribution with
	// 20,000 trials and probability 0.1.
	if got, want := float64(counts["b"])/requests, 0.1; got < want-0.011 || got > want+0.011 {
		t.Errorf("fraction of requests in pool b: got %v, want %v", got, want)
	}
}
