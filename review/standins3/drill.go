//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

func init() { cases["drill"] = playDrill }

// leaseTime is lease_ms.
const leaseTime = 3 * time.Second

func playDrill(f *fleet) error {
	services := []any{map[string]any{"name": "llm", "engine": map[string]any{"slots": 64, "kv_capacity": 491555, "role_switch_s": 1, "stride": 1}}, plainService("app")}
	config := func(version int) {
		f.store.Set("config", "main", map[string]any{
			"version": version, "services": services,
			"routes":  []any{route("draft", "stream", "llm", 5000, 800, 2), route("swap", "unsafe", "app", 1500, 150, 2)},
			"limits":  map[string]any{"max_body_bytes": 4 << 20},
			"tenants": []any{map[string]any{"name": "alfa", "api_keys": []string{"key-a"}}, map[string]any{"name": "bravo", "api_keys": []string{"key-b"}}},
		})
	}
	config(1)
	var api tpguestfake.DutyAPI
	dutyAddress, err := f.listen(&api)
	if err != nil {
		return err
	}
	f.extra = fmt.Sprintf("dutyAPI: %s\nduties: [usage]\nusageWindow: 5s\nusageLate: 10s\n", dutyAddress)
	var engines []*engine
	for i := range 6 {
		e := f.addEngine(i, "decode", fmt.Sprint("z", i%3), false)
		e.RefuseOrders = false
		engines = append(engines, e)
	}
	type plain struct {
		s    *server
		zone string
	}
	var plains []plain
	for i := range 3 {
		zone := fmt.Sprint("z", i)
		s, err := f.addServer("app-"+zone, "app", zone, 6, 24, 30*time.Millisecond)
		if err != nil {
			return err
		}
		plains = append(plains, plain{s, zone})
	}
	register := func() {
		for i, e := range engines {
			stage := "decode"
			if orders := e.Orders(); len(orders) > 0 {
				stage, _ = orders[len(orders)-1]["stage"].(string)
			}
			f.store.Set("servers", e.ID, map[string]any{
				"service": "llm", "address": e.address, "zone": fmt.Sprint("z", i%3), "version": "v1", "slots": 64, "state": "ready",
				"cold_left_ms": 0, "sequence": 1, "born": f.started.UnixMilli(), "stage": stage,
			})
		}
		for _, p := range plains {
			f.store.Set("servers", p.s.id, map[string]any{
				"service": "app", "address": p.s.address, "zone": p.zone, "version": "v1", "slots": 6, "state": "ready",
				"cold_left_ms": 0, "sequence": 1, "born": f.started.UnixMilli(),
			})
		}
	}
	if err := f.addNodes(4, "z0", "z1", "z2"); err != nil {
		return err
	}
	swaps := f.startLoad("swap", http.MethodPost, 1500*time.Millisecond, 30, 1)
	swaps.header = func(r *http.Request) { r.Header.Set("X-Api-Key", []string{"key-a", "key-b"}[rand.IntN(2)]) }
	drafts := f.startLoad("draft", http.MethodPost, 5*time.Second, 10, 1)
	drafts.header = func(r *http.Request) {
		r.Header.Set("X-Api-Key", []string{"key-a", "key-b"}[rand.IntN(2)])
		r.Header.Set("X-Teaselpin-Token-Counts", "5000,80")
		r.Header.Set("X-Teaselpin-Prefix-Hash", fmt.Sprintf("a1:3000,%x:2000", time.Now().UnixNano()))
	}
	stop := make(chan struct{})
	go func() { // registrations follow the orders
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				register()
			}
		}
	}()
	time.Sleep(8 * time.Second)
	for i := 0; time.Since(f.started) < 95*time.Second; i++ {
		if f.trouble {
			age := time.Duration(500+rand.IntN(6000)) * time.Millisecond
			f.note("the store is away and comes back from a copy %v old", age)
			switch rand.IntN(3) {
			case 0:
				n := f.nodes[rand.IntN(len(f.nodes))]
				go n.kill()
			case 1:
				n := f.nodes[rand.IntN(len(f.nodes))]
				n.signal(syscall.SIGSTOP)
				go func() {
					time.Sleep(time.Duration(500+rand.IntN(5000)) * time.Millisecond)
					n.signal(syscall.SIGCONT)
				}()
			}
			f.store.SetRefusalStatus("", 503)
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			f.store.Restore(age)
			f.store.SetRefusalStatus("", 0)
			time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
			config(1)
			register()
		}
		time.Sleep(time.Duration(2000+rand.IntN(9000)) * time.Millisecond)
	}
	close(stop)
	ran := make(map[string]int)
	for _, p := range plains {
		for _, a := range p.s.list() {
			if a.ran {
				ran[a.id]++
			}
		}
	}
	for _, c := range swaps.stop() {
		if ran[c.id] > 1 {
			f.fail("TWICE: %s ran %d times", c.id, ran[c.id])
		}
		if (c.status == 503 || c.status == 429) && ran[c.id] > 0 {
			f.fail("REFUSED: %s ran", c.id)
		}
		if c.status >= 400 && c.status < 500 {
			f.fail("DENIED: %s %d", c.id, c.status)
		}
	}
	drafts.stop()
	calls := api.Calls()
	for _, c := range calls {
		f.noteAt(c.At, "duty call %+v", c)
	}
	for _, fault := range tpguestfake.CheckDuty(calls, leaseTime) {
		f.fail("ONE: %s", fault)
	}
	for _, e := range engines {
		for _, o := range e.Orders() {
			f.note("order at %s: %v", e.ID, o)
		}
	}
	return nil
}
