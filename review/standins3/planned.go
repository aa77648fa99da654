//go:build review3

package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["planned"] = playPlanned }

// playPlanned stops the nodes as planned in turn, changes the configuration and
// sends SIGHUP.
func playPlanned(f *fleet) error {
	services := []any{plainService("app"), plainService("other")}
	config := func(version int, service string) {
		f.configure(version, services, route("swap", "unsafe", service, 1500, 150, 2), route("view", "safe", service, 1500, 150, 2))
	}
	config(1, "app")
	var servers []*server
	for _, name := range []string{"app", "other"} {
		for _, zone := range []string{"z0", "z1", "z2"} {
			s, err := f.addServer(name+"-"+zone, name, zone, 6, 24, 30*time.Millisecond)
			if err != nil {
				return err
			}
			servers = append(servers, s)
		}
	}
	if err := f.addNodes(4, "z0", "z1", "z2"); err != nil {
		return err
	}
	loads := []*load{
		f.startLoad("swap", http.MethodPost, 1500*time.Millisecond, 150, 1),
		f.startLoad("view", http.MethodGet, 1500*time.Millisecond, 150, 1),
	}
	time.Sleep(3 * time.Second)
	for i := 0; i < 60 && f.trouble; i++ {
		config(i+2, []string{"app", "other"}[i%2])
		n := f.nodes[i%len(f.nodes)]
		if i%5 == 0 {
			go f.nodes[i/5%len(f.nodes)].terminate()
		} else {
			n.signal(syscall.SIGHUP)
		}
		time.Sleep(time.Second)
	}
	var calls []call
	for _, l := range loads {
		calls = append(calls, l.stop()...)
	}
	arrived := make(map[string]int)
	ran := make(map[string]int)
	for _, s := range servers {
		for _, a := range s.list() {
			arrived[a.id]++
			if a.ran {
				ran[a.id]++
			}
		}
	}
	statuses := make(map[int]int)
	for _, c := range calls {
		statuses[c.status]++
		switch {
		case c.err != nil && (arrived[c.id] > 0 || c.endedAt.Sub(c.sentAt) > 200*time.Millisecond):
			f.fail("LOST %s after %v: %v, %d arrivals", c.id, c.endedAt.Sub(c.sentAt), c.err, arrived[c.id])
		case c.status == 503 && ran[c.id] > 0:
			f.fail("REFUSED %s", c.id)
		case c.route == "swap" && ran[c.id] > 1:
			f.fail("TWICE %s", c.id)
		case c.err != nil:
			f.note("not passed on: %s %v", c.id, c.err)
		}
	}
	f.note("statuses %v", statuses)
	return nil
}
