package tprelaynode_test

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// organisationHeader names the organisation of a request in these tests.
const organisationHeader = "X-Test-Organisation"

// submitFor returns Node.Submit with the organisation that a test's request names.
func submitFor(n *tprelaynode.Node) func(*tpmessage.RelayWork, time.Duration) *tpmessage.RelayRefusal {
	return func(work *tpmessage.RelayWork, timeLeft time.Duration) *tpmessage.RelayRefusal {
		if names := work.Request.Header[organisationHeader]; len(names) == 1 {
			work.Request.Organisation = names[0]
		}
		return n.Submit(work, timeLeft)
	}
}

// usageSite is a site with a duty API and nodes that report usage.
type usageSite struct {
	*site
	duty  tpguestfake.DutyAPI
	nodes []*node
}

const usageWindow = 2 * time.Second

func newUsageSite(t *testing.T, nodes int) *usageSite {
	s := &usageSite{site: newSite(t)}
	s.log = &lockedBuffer{}
	address := tpguestfake.Listen(t, &s.duty)
	seed := tpprocess.FreeAddress(t)
	for i := range nodes {
		peers := seed
		if i > 0 {
			peers = tpprocess.FreeAddress(t)
		}
		s.nodes = append(s.nodes, s.startWith(t, tprelaynode.Settings{
			Name: fmt.Sprint("node-", i), Peers: peers, Seeds: []string{seed}, DutyAPI: address, Duties: []string{"usage"},
			LeaseGuard: time.Second, UsageWindow: usageWindow,
		}))
	}
	for _, n := range s.nodes {
		n.untilReady(t)
	}
	return s
}

// load sends requests to a node until the returned function is called, which
// waits for the last one.
func (s *usageSite) load(t *testing.T, n *node) (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	for worker, path := range []string{"/draft/x", "/swap/x", "/swap/x"} {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				n.post(t.Context(), fmt.Sprint(n.front, "-", worker, "-", i), path, map[string]string{organisationHeader: fmt.Sprint("org-", i%3)})
			}
		})
	}
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}

// began returns the number of requests that the servers began, by organisation
// and window. A request counts once.
func (s *usageSite) began() map[string]uint64 {
	began, seen := make(map[string]uint64), make(map[string]bool)
	for _, server := range s.servers {
		for _, a := range server.Arrivals() {
			if organisation := a.Header.Get(organisationHeader); a.Run && !seen[a.ID] {
				seen[a.ID] = true
				began[organisation]++
			}
		}
	}
	return began
}

// reported returns the sums of the reports, and the last window.
func (s *usageSite) reported() (sums map[string]uint64, last int64) {
	sums, windows := make(map[string]uint64), make(map[int64]bool)
	for _, c := range s.duty.Calls() {
		if !c.Done || windows[c.Window] {
			continue
		}
		windows[c.Window] = true
		last = max(last, c.Window)
		for organisation, n := range c.Counts {
			sums[organisation] += n
		}
	}
	return sums, last
}

// Guards against reports that differ from the requests which the servers began:
// while the duty API has faults, while a node ends, and while the holder ends.
func TestUsageReportsMatchTheServers(t *testing.T) {
	s := newUsageSite(t, 4)
	s.duty.QueueFaults(
		tpguestfake.DutyNone, tpguestfake.DutySlow, tpguestfake.DutyLostAnswer, tpguestfake.DutyLimited,
		tpguestfake.DutySilent, tpguestfake.DutyReset, tpguestfake.DutyUnavailable,
	)
	var stops []func()
	for _, n := range s.nodes {
		stops = append(stops, s.load(t, n))
		t.Cleanup(stops[len(stops)-1])
	}
	holder := -1
	eventually(t, func() string {
		calls := s.duty.Calls()
		if len(calls) < 8 {
			return fmt.Sprintf("calls of the duty API: got %d, want 8", len(calls))
		}
		_, _ = fmt.Sscanf(calls[len(calls)-1].Holder, "node-%d", &holder)
		return ""
	})
	for _, i := range []int{(holder + 1) % len(s.nodes), holder} {
		stops[i]()
		s.nodes[i].stop()
	}
	time.Sleep(3 * time.Second) // some more windows of the remaining nodes
	for _, stop := range stops {
		stop()
	}
	end := time.Now().UnixNano() / int64(usageWindow)
	eventually(t, func() string {
		if _, last := s.reported(); last < end {
			return fmt.Sprintf("last reported window: got %d, want %d", last, end)
		}
		return ""
	})
	want := s.began()
	if got, _ := s.reported(); !maps.Equal(got, want) || len(got) != 3 {
		t.Errorf("reported requests: got %v, want %v", got, want)
	}
	for _, fault := range tpguestfake.CheckDuty(s.duty.Calls(), 3*time.Second) {
		t.Error(fault)
	}
	if missed := s.log.(*lockedBuffer).count(`"usageMissed"`); missed != 0 {
		t.Errorf("missed windows: got %d, want none", missed)
	}
	if got := s.store.CallCounts()["PUT"]; got > 100 {
		t.Errorf("writes of the store: got %d, want at most 100", got)
	}
}

// Guards against a node that counts, asks or stores something although the duty
// API accepts no reports of usage.
func TestNoUsageWithoutTheDuty(t *testing.T) {
	s := newSite(t)
	n := s.startWith(t, tprelaynode.Settings{
		Name: "node-0", Peers: tpprocess.FreeAddress(t), DutyAPI: tpprocess.FreeAddress(t), Duties: []string{"scale"},
	})
	for name := range n.rings.Stats() {
		if strings.HasPrefix(name, "usage") {
			t.Errorf("ring %q exists", name)
		}
	}
}
