package tprelaynode_test

import (
	"fmt"
	"maps"
	"math"
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

// counts holds numbers of requests by window and organisation.
type counts map[int64]map[string]uint64

func (c counts) add(window int64, organisation string, n uint64) {
	if c[window] == nil {
		c[window] = make(map[string]uint64)
	}
	c[window][organisation] += n
}

// sums returns the numbers of all windows by organisation.
func (c counts) sums() map[string]uint64 {
	sums := make(map[string]uint64)
	for _, w := range c {
		for organisation, n := range w {
			sums[organisation] += n
		}
	}
	return sums
}

func windowOf(at time.Time) int64 { return at.UnixNano() / int64(usageWindow) }

// began returns the requests that the servers began. A request counts once.
func (s *usageSite) began() counts {
	began, seen := make(counts), make(map[string]bool)
	for _, server := range s.servers {
		for _, a := range server.Arrivals() {
			if organisation := a.Header.Get(organisationHeader); a.Run && !seen[a.ID] {
				seen[a.ID] = true
				began.add(windowOf(a.At), organisation, 1)
			}
		}
	}
	return began
}

// reported returns the reports, and the greatest delay of one after the end of its
// window.
func (s *usageSite) reported() (reports counts, latest time.Duration) {
	reports = make(counts)
	for _, c := range s.duty.Calls() {
		if !c.Done || reports[c.Window] != nil {
			continue
		}
		reports[c.Window] = maps.Clone(c.Counts)
		latest = max(latest, c.At.Sub(time.Unix(0, (c.Window+1)*int64(usageWindow))))
	}
	return reports, latest
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
	end := windowOf(time.Now())
	eventually(t, func() string {
		if reports, _ := s.reported(); reports[end] == nil {
			return fmt.Sprintf("window %d is not among %d reports", end, len(reports))
		}
		return ""
	})
	want := s.began()
	got, latest := s.reported()
	if !maps.Equal(got.sums(), want.sums()) || len(got.sums()) != 3 {
		t.Errorf("reported requests: got %v, want %v", got.sums(), want.sums())
	}
	for window, organisations := range want {
		for organisation, n := range organisations {
			// The arrival at a server and the head of its answer may be in two windows.
			if diff := math.Abs(float64(got[window][organisation]) - float64(n)); diff > 5+0.05*float64(n) {
				t.Errorf("window %d: %s: got %d, want %d", window, organisation, got[window][organisation], n)
			}
		}
	}
	if latest > tprelaynode.DefaultUsageLate {
		t.Errorf("latest report: got it %v after the end of its window, want %v", latest, tprelaynode.DefaultUsageLate)
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
