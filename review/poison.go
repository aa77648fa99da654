//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// poisonGap is the time between two arrivals of the request that crashes
// servers. Each arrival is at another machine.
const poisonGap = 60 * time.Millisecond

// poison sends a request that crashes each server that runs it until nodes
// refuse it, kills all nodes at once and sends it again.
func poison(f *fleet, trouble bool) bool {
	const path, body = "/swap/poison", "the request that crashes servers"
	services := []any{plain("rota-app")}
	f.configure(1, services, route("swap", "unsafe", "rota-app"))
	for i := range 8 {
		f.addServer(&server{
			id: fmt.Sprint("i-app", i), service: "rota-app", zone: "cz-central-a", work: 30 * time.Millisecond, downTime: 2 * time.Second,
			crashes: func(r *http.Request) bool { return r.URL.Path == path },
		})
	}
	f.addNodes(8, "cz-central-a", "cz-central-b", "cz-central-c")
	f.startAll(true)
	time.Sleep(6 * time.Second)
	sent := map[string]time.Time{}
	n := 0
	press := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			next := time.Now().Add(poisonGap)
			m := f.nodes[n%len(f.nodes)]
			id := fmt.Sprint("poison-", n)
			sent[id] = time.Now()
			a := m.send(request{id: id, method: "POST", path: path, body: body, deadline: "1000"})
			f.rec.add("%s sent to %s at %s: %d %v", id, m.name, f.rec.at(a.sent), a.status, a.err)
			n++
			time.Sleep(time.Until(next))
		}
	}
	press(8 * time.Second)
	if len(f.crashTimes()) < 3 {
		cannotRun("%d crashes", len(f.crashTimes()))
	}
	if trouble {
		f.rec.add("kill all nodes")
		for _, m := range f.nodes {
			_ = m.cmd.Process.Kill()
		}
		for _, m := range f.nodes {
			m.kill()
		}
		time.Sleep(2 * time.Second)
		f.rec.add("start all nodes")
		for _, m := range f.nodes {
			m.start(false)
		}
		f.waitReady(f.nodes)
	}
	time.Sleep(stableWindow + time.Second) // the machines are in touch
	f.rec.add("the nodes have been ready for over %v", stableWindow)
	press(10 * time.Second)
	list := f.crashTimes()
	third := thirdOf(list)
	late := 0
	for _, s := range f.servers {
		for _, a := range s.seen() {
			if a.path == path && sent[a.id].After(third.Add(stableWindow)) {
				late++
				f.rec.add("%s, sent %v after the third crash, reached %s", a.id, sent[a.id].Sub(third).Round(time.Millisecond), s.id)
			}
		}
	}
	f.rec.add("%d crashes, the third at %s; the request reached servers %d times later than %v after it, 3 are allowed", len(list), f.rec.at(third), late, stableWindow)
	fmt.Println("late arrivals", late, "crashes", len(list))
	return late > 3
}

func thirdOf(list []time.Time) time.Time {
	for _, t := range list {
		before := 0
		for _, o := range list {
			if o.Before(t) {
				before++
			}
		}
		if before == 2 {
			return t
		}
	}
	return time.Time{}
}
