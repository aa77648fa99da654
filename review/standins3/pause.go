//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// heartbeat is heartbeat_ms.
	heartbeat = 1200 * time.Millisecond
	// pauseTime is the Retry-After of the server, and pauseTold the time from its
	// answer on that the rule leaves out.
	pauseTime, pauseTold = 5 * time.Second, 500 * time.Millisecond
	pauseRequests        = 2
)

func init() { cases["pause-restart"] = playPauseRestart }

// playPauseRestart has a server start again under its id and turn requests away
// with Retry-After for a moment. Its entry changes with its next heartbeat.
func playPauseRestart(f *fleet) error {
	f.configure(1, []any{plainService("app")}, route("swap", "unsafe", "app", 1500, 150, 2), route("view", "safe", "app", 1500, 150, 2))
	var servers []*server
	for i := range 3 {
		s, err := f.addServer(fmt.Sprint("app-", i), "app", fmt.Sprint("z", i), 6, 24, 30*time.Millisecond)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := f.addNodes(3, "z0", "z1", "z2"); err != nil {
		return err
	}
	loads := []*load{
		f.startLoad("swap", http.MethodPost, 1500*time.Millisecond, 40, 1),
		f.startLoad("view", http.MethodGet, 1500*time.Millisecond, 40, 1),
	}
	time.Sleep(6 * time.Second)
	s := servers[1]
	s.downTime, s.registerDelay, s.pause = 300*time.Millisecond, heartbeat, "5"
	s.pausesUntil.Store(time.Now().Add(s.downTime + 800*time.Millisecond).UnixNano())
	if f.trouble {
		s.crash("its end")
	}
	time.Sleep(9 * time.Second)
	for _, l := range loads {
		l.stop()
	}
	asked := make(map[int][]time.Time)
	for _, a := range s.list() {
		if a.paused {
			asked[nodeOf(a.id)] = append(asked[nodeOf(a.id)], a.at)
		}
	}
	for n, times := range asked {
		most := 0
		for _, at := range times {
			count := 0
			for _, a := range s.list() {
				if nodeOf(a.id) == n && a.at.After(at.Add(pauseTold)) && a.at.Before(at.Add(pauseTime)) {
					count++
				}
			}
			most = max(most, count)
		}
		f.note("front-%d was asked for a pause %d times; %d requests from it reached %s in a pause", n, len(times), most, s.id)
		if most > pauseRequests {
			f.fail("BUDGET: %d requests from front-%d reached %s between %v after its 503 with Retry-After and the end of that time, %d are allowed",
				most, n, s.id, pauseTold, pauseRequests)
		}
	}
	if len(asked) == 0 {
		return fmt.Errorf("%s has answered no request with Retry-After", s.id)
	}
	return nil
}
