//go:build review

package main

import (
	"fmt"
	"time"
)

// regions starts the nodes in two regions before the engines of one service.
func regions(f *fleet, trouble bool) bool {
	llm := map[string]any{
		"name": "ladle-llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kv_capacity": 491555, "kv_token_bytes": 18432, "stride": 13, "handle_ttl_s": 5.0, "role_switch_s": 3.0},
	}
	f.configure(1, []any{llm}, route("draft", "stream", "ladle-llm"))
	for i := range 18 {
		stage := "decode"
		if i < 6 {
			stage = "prefill"
		}
		f.addServer(&server{id: fmt.Sprint("i-llm", i), service: "ladle-llm", zone: "cz-central-a", stage: stage})
	}
	f.addNodes(8, "cz-central-a", "cz-central-b")
	if trouble {
		for i, m := range f.nodes {
			if i%2 == 1 {
				m.region = "cz-east"
			}
		}
	}
	f.startAll(true)
	time.Sleep(15 * time.Second)
	broken := 0
	for _, s := range f.servers {
		s.mu.Lock()
		by := map[uint64]string{}
		for _, o := range s.received {
			if h, ok := by[o.Fencing]; ok && h != o.Holder {
				broken++
				f.rec.add("ONE: %s got orders of %s and %s with generation number %d", s.id, h, o.Holder, o.Fencing)
			}
			by[o.Fencing] = o.Holder
		}
		s.mu.Unlock()
	}
	fmt.Println("servers with two holders of one number", broken)
	return broken > 0
}
