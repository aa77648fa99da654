//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// dark sends a request again and again that crashes each server that runs it.
// The crashed server is dark: it is silent on its open channels until it is
// back.
func dark(f *fleet, trouble bool) bool {
	const path, body = "/swap/poison", "the request that crashes servers"
	f.configure(1, []any{plain("rota-app")}, route("swap", "unsafe", "rota-app"))
	for i := range 8 {
		f.addServer(&server{
			id: fmt.Sprint("i-app", i), service: "rota-app", zone: "cz-central-a", work: 30 * time.Millisecond, downTime: 2 * time.Second, dark: true,
			crashes: func(r *http.Request) bool { return trouble && r.URL.Path == path },
		})
	}
	f.addNodes(8, "cz-central-a", "cz-central-b", "cz-central-c")
	f.startAll(true)
	time.Sleep(6 * time.Second)
	sent := map[string]time.Time{}
	for n := range 16 {
		m := f.nodes[n%len(f.nodes)]
		id := fmt.Sprint("poison-", n)
		sent[id] = time.Now()
		a := m.send(request{id: id, method: "POST", path: path, body: body, deadline: "1000"})
		f.rec.add("%s sent to %s at %s: %d %v", id, m.name, f.rec.at(a.sent), a.status, a.err)
	}
	list := f.crashTimes()
	third := thirdOf(list)
	late := 0
	for _, s := range f.servers {
		for _, a := range s.seen() {
			if len(list) > 2 && sent[a.id].After(third.Add(stableWindow)) {
				late++
			}
		}
	}
	f.rec.add("%d crashes, the third at %s; the request reached servers %d times later than %v after it, 3 are allowed", len(list), f.rec.at(third), late, stableWindow)
	fmt.Println("late arrivals", late, "crashes", len(list))
	return late > 3
}

// crashTimes returns the times of all crashes.
func (f *fleet) crashTimes() (list []time.Time) {
	for _, s := range f.servers {
		s.mu.Lock()
		list = append(list, s.crashTimes...)
		s.mu.Unlock()
	}
	return list
}
