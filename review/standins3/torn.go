//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// drainTime is drain_ms of the small deployments, and recoverTime recover_s.
	drainTime   = 2 * time.Second
	recoverTime = 12 * time.Second
)

func init() { cases["torn-entry"] = playTornEntry }

// playTornEntry has another writer leave an entry whose bytes can't be read
// among those of the servers. A server announces later that it drains, and exits. At
// the end, the processes of all nodes are killed once.
func playTornEntry(f *fleet) error {
	f.configure(1, []any{plainService("app")}, route("swap", "unsafe", "app", 1500, 150, 2), route("view", "safe", "app", 1500, 150, 2))
	var servers []*server
	for i, zone := range []string{"z0", "z1", "z2"} {
		s, err := f.addServer(fmt.Sprint("app-", i), "app", zone, 6, 24, 100*time.Millisecond)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := f.addNodes(3, "z0", "z1", "z2"); err != nil {
		return err
	}
	swaps := f.startLoad("swap", http.MethodPost, 1500*time.Millisecond, 40, 1)
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
	time.Sleep(4 * time.Second)
	f.note("%s exits", leaving.id)
	leaving.exit()
	f.store.Remove("servers", leaving.id)
	time.Sleep(4 * time.Second)
	f.note("final fault: the processes of all nodes are killed")
	killedAt := time.Now()
	killAll(f)
	time.Sleep(restartDelay + recoverTime)
	backAt := time.Now()
	time.Sleep(6 * time.Second)
	calls := append(swaps.stop(), views.stop()...)
	checkRecovery(f, calls, killedAt, backAt)
	late := 0
	for _, a := range leaving.list() {
		if a.at.After(acknowledged.Add(drainTime)) {
			late++
			f.noteAt(a.at, "late at %s: %s", leaving.id, a.id)
		}
	}
	ran := make(map[string]bool)
	for _, a := range leaving.list() {
		ran[a.id] = ran[a.id] || a.ran
	}
	lost := 0
	for _, c := range calls {
		if c.route == "swap" && c.sentAt.Before(killedAt) && ran[c.id] && c.status != http.StatusOK {
			lost++
			f.note("lost at the exit: %s, status %d", c.id, c.status)
		}
	}
	if late > 0 {
		f.fail("DRAIN: %d requests reached %s later than %v after its draining was acknowledged; %d unsafe calls that it ran were lost when it exited",
			late, leaving.id, drainTime, lost)
	}
	return nil
}

// checkRecovery checks the rule RECOVER: at least a quarter of the requests is
// served again.
func checkRecovery(f *fleet, calls []call, killedAt, backAt time.Time) {
	asked, served, askedBefore, servedBefore := 0, 0, 0, 0
	for _, c := range calls {
		switch {
		case c.sentAt.After(backAt):
			asked++
			if c.status == http.StatusOK && c.err == nil {
				served++
			}
		case c.sentAt.Before(killedAt):
			askedBefore++
			if c.status == http.StatusOK && c.err == nil {
				servedBefore++
			}
		}
	}
	f.note("before the final fault %d of %d served, later than %v after the nodes are back %d of %d", servedBefore, askedBefore, recoverTime, served, asked)
	if 4*served < asked && 4*servedBefore >= askedBefore {
		f.fail("RECOVER: %d of %d requests served later than %v after the nodes are back, %d of %d before the final fault",
			served, asked, recoverTime, servedBefore, askedBefore)
	}
}
