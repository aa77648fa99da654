//go:build review3

package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// stableWindowTenants is stable_window_ms of the deployment with tenants.
const stableWindowTenants = 4 * time.Second

func init() { cases["poison-caller"] = playPoisonCaller }

// playPoisonCaller has a request of one caller crash each server that runs it,
// and come again, while another caller reads the same path.
func playPoisonCaller(f *fleet) error {
	f.store.Set("config", "main", map[string]any{
		"version": 1, "services": []any{plainService("app")},
		"routes": []any{route("view", "safe", "app", 1500, 150, 2)},
		"limits": map[string]any{"max_body_bytes": 4 << 20},
		"tenants": []any{
			map[string]any{"name": "alfa", "api_keys": []string{"key-of-alfa"}},
			map[string]any{"name": "bravo", "api_keys": []string{"key-of-bravo"}},
		},
	})
	var servers []*server
	for i := range 6 {
		s, err := f.addServer(fmt.Sprint("app-", i), "app", fmt.Sprint("z", i%3), 6, 24, 30*time.Millisecond)
		if err != nil {
			return err
		}
		if f.trouble {
			s.crashes = func(r *http.Request) bool { return r.Header.Get("X-Teaselpin-Tenant") == "bravo" }
		}
		servers = append(servers, s)
	}
	if err := f.addNodes(4, "z0", "z1", "z2"); err != nil {
		return err
	}
	sound := f.startLoad("view", http.MethodGet, 1500*time.Millisecond, 20, 1)
	sound.header = func(r *http.Request) { r.Header.Set("X-Api-Key", "key-of-alfa") }
	time.Sleep(5 * time.Second)
	again := &load{f: f, route: "view", method: http.MethodGet, client: sound.client}
	again.header = func(r *http.Request) { r.Header.Set("X-Api-Key", "key-of-bravo") }
	for i := range 20 {
		at := i % len(f.nodes)
		go again.send(at, fmt.Sprintf("n%d-again-%d", at, i), 1500*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
	}
	sound.stop()
	var crashes []time.Time
	var arrivals []arrival
	for _, s := range servers {
		s.mu.Lock()
		crashes = append(crashes, s.crashed...)
		s.mu.Unlock()
		for _, a := range s.list() {
			if len(a.id) > 8 && a.id[3:8] == "again" {
				arrivals = append(arrivals, a)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < 3 {
		f.note("%d crashes", len(crashes))
		return nil
	}
	from := crashes[2].Add(stableWindowTenants)
	late := make(map[string]bool)
	count := 0
	for _, a := range arrivals {
		if a.at.After(from) {
			late[a.id] = true
			count++
		}
	}
	f.note("%d crashes; later than %.3f the request came %d times and reached servers %d times", len(crashes), from.Sub(f.started).Seconds(), len(late), count)
	if len(late) > 3 {
		f.fail("BUDGET: the request reached servers in %d retries, %d arrivals, later than %v after it had crashed the third, 3 are allowed; %d crashes in all",
			len(late), count, stableWindowTenants, len(crashes))
	}
	return nil
}
