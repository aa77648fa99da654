//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// drainTime is drain_ms of the small deployments.
const drainTime = 2 * time.Second

func init() { cases["torn-entry"] = playTornEntry }

// playTornEntry has another writer leave an entry whose bytes can't be read
// among those of the servers. A server announces later that it drains.
func playTornEntry(f *fleet) error {
	f.configure(1, []any{plainService("app")}, route("swap", "unsafe", "app", 1500, 150, 2), route("view", "safe", "app", 1500, 150, 2))
	var servers []*server
	for i, zone := range []string{"z0", "z1", "z2"} {
		s, err := f.addServer(fmt.Sprint("app-", i), "app", zone, 6, 24, 30*time.Millisecond)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := f.addNodes(3, "z0", "z1", "z2"); err != nil {
		return err
	}
	swaps := f.startLoad("swap", http.MethodPost, 1500*time.Millisecond, 20, 1)
	views := f.startLoad("view", http.MethodGet, 1500*time.Millisecond, 10, 1)
	time.Sleep(4 * time.Second)
	if f.trouble {
		f.note("another writer leaves an entry that ends in its middle")
		f.store.SetRaw("servers", "other-1", func(revision uint64) string {
			return fmt.Sprintf(`{"metadata":{"name":"other-1","revision":%d},"spec":{"service":"app","addr`, revision)
		})
	}
	time.Sleep(6 * time.Second)
	leaving := servers[1]
	f.store.Set("servers", leaving.id, map[string]any{
		"service": "app", "address": leaving.address, "zone": "z1", "version": "v1", "slots": 6, "state": "draining",
		"cold_left_ms": 0, "sequence": 2, "born": f.started.UnixMilli(),
	})
	acknowledged := time.Now()
	f.note("%s drains: acknowledged", leaving.id)
	time.Sleep(8 * time.Second)
	calls := append(swaps.stop(), views.stop()...)
	sentAt := make(map[string]time.Time)
	for _, c := range calls {
		sentAt[c.id] = c.sentAt
	}
	late := 0
	for _, a := range leaving.list() {
		if a.at.After(acknowledged.Add(drainTime)) {
			late++
			f.noteAt(a.at, "late at %s: %s", leaving.id, a.id)
		}
	}
	if late > 0 {
		f.fail("DRAIN: %d requests reached %s later than %v after its draining was acknowledged", late, leaving.id, drainTime)
	}
	return nil
}
