package proof_test

import (
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

var limitOfEach = flag.Float64("limit.each", 4, "requests a second that each server of a limited pool takes")

const (
	// maxRefusalTime is the time within which a request that finds no room is
	// refused.
	maxRefusalTime = 500 * time.Millisecond
	// maxAnswerTime is the time within which a request that finds room is served
	// in full. The deadline of the clients is 5 s.
	maxAnswerTime = time.Second
	// maxBusyDelay and maxRoomDelay are the longest delays of a refusal right
	// after ten times the demand that the limits allow, and while only one client
	// uses a pool that takes several requests a second.
	maxBusyDelay = 10 * time.Second
	maxRoomDelay = 4 * time.Second
	// quietTime is a time without requests after which a client is alone.
	quietTime = 3 * time.Second
	// minServedBelowLimit is the part of the requests that is served while there
	// is half as much demand as the limits allow.
	minServedBelowLimit = 0.8
)

// Guards against a pool of limited servers whose requests wait until their deadline, are refused without a true delay, or are refused while there is room.
func TestPoolOfLimitedServersRefusesAtOnce(t *testing.T) {
	for i := range *limitSeeds {
		seed := *limitSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLimitedPool(t, seed) })
	}
}

func runLimitedPool(t *testing.T, seed uint64) {
	limit := strconv.FormatFloat(*limitOfEach, 'g', -1, 64)
	kinds := []limitServer{
		{"p0", "llm", "prefill", limit},
		{"p1", "llm", "prefill", limit},
		{"d0", "llm", "decode", limit},
		{"d1", "llm", "decode", limit},
		{"a0", "app", "", limit},
		{"a1", "app", "", limit},
	}
	f := newLimitFleet(t, *limitNodes, kinds)
	limitedAt := time.Now()
	for _, k := range kinds {
		f.server(k.id).SetLimit(k.limit)
	}
	routeLimit := 2 * *limitOfEach // of each pool
	drafts := f.startLoad(seed, routeLimit/2, "draft")
	views := f.startLoad(seed+1, routeLimit/2, "view")
	lowAt := time.Now().Add(limitSettled)
	time.Sleep(12 * time.Second) // less demand than the limits allow
	highAt := time.Now()
	drafts.setRate(10 * routeLimit)
	views.setRate(10 * routeLimit)
	time.Sleep(9 * time.Second) // far more demand than the limits allow
	highEnd := time.Now()
	calls := append(drafts.stop(), views.stop()...)
	f.checkBelowLimits(calls, lowAt, highAt)
	f.checkRefusals(calls)
	arrivals := f.arrivals()
	for _, k := range kinds {
		f.checkLimit(k, arrivals[k.id], calls, limitedAt, highAt, highEnd)
	}
	f.checkDelays()
}

// checkBelowLimits checks that requests are served while there is room.
func (f *limitFleet) checkBelowLimits(calls []limitCall, from, to time.Time) {
	f.t.Helper()
	for _, route := range []string{"draft", "view"} {
		sent, served := 0, 0
		for _, c := range calls {
			if c.route != route || c.sentAt.Before(from) || c.sentAt.After(to) {
				continue
			}
			sent++
			if c.err == nil && c.status == http.StatusOK {
				served++
			}
		}
		f.t.Logf("route %s: served %d of %d requests below the limits", route, served, sent)
		if float64(served) < minServedBelowLimit*float64(sent) {
			f.t.Errorf("route %s: served %d of %d requests at half of the limits, want at least %v", route, served, sent, minServedBelowLimit)
		}
	}
}

// checkRefusals checks that no request waits for room.
func (f *limitFleet) checkRefusals(calls []limitCall) {
	f.t.Helper()
	refused, faults := make(map[string]int), make(map[string]int)
	var delays []time.Duration
	for _, c := range calls {
		took := c.endedAt.Sub(c.sentAt)
		delay, ok := retryAfter(c.header)
		switch {
		case c.err != nil:
			faults[fmt.Sprintf("%s: error", c.route)]++
		case c.status == http.StatusOK && took > maxAnswerTime:
			faults[fmt.Sprintf("%s: served after more than %v", c.route, maxAnswerTime)]++
		case c.status == http.StatusOK:
		case c.status != http.StatusServiceUnavailable:
			faults[fmt.Sprintf("%s: status %d", c.route, c.status)]++
		case !ok:
			faults[fmt.Sprintf("%s: Retry-After %q", c.route, c.header.Values("Retry-After"))]++
		case took > maxRefusalTime:
			faults[fmt.Sprintf("%s: refused after more than %v", c.route, maxRefusalTime)]++
		default:
			refused[c.route]++
			delays = append(delays, delay)
		}
	}
	slices.Sort(delays)
	if len(delays) > 0 {
		f.t.Logf("refused at once: %v, delays of %v, %v and %v (least, median, greatest)",
			refused, delays[0], delays[len(delays)/2], delays[len(delays)-1])
	}
	for fault, n := range faults {
		f.t.Errorf("%s: %d requests, want none", fault, n)
	}
	for _, route := range []string{"draft", "view"} {
		if refused[route] == 0 {
			f.t.Errorf("route %s: no request was refused at ten times the limits", route)
		}
	}
}

// retryAfter returns the delay of a refusal, and false unless it is a positive
// number of seconds.
func retryAfter(h http.Header) (time.Duration, bool) {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0 && s < time.Hour.Seconds()) {
		return 0, false
	}
	return time.Duration(s * float64(time.Second)), true
}

// checkDelays checks the delays of refusals at several nodes: right after far
// more demand than the limits allow, and for a client that is alone.
func (f *limitFleet) checkDelays() {
	f.t.Helper()
	nodes := min(len(f.nodes), 3)
	var clients sync.WaitGroup
	for i := range nodes {
		for _, route := range []string{"draft", "view"} {
			clients.Go(func() { f.checkDelay(i, route, "busy", maxBusyDelay) })
		}
	}
	clients.Wait()
	time.Sleep(quietTime)
	for i := range nodes {
		for _, route := range []string{"draft", "view"} {
			f.checkDelay(i, route, "alone", maxRoomDelay)
		}
	}
}

// checkDelay has one client send requests until one is refused, and come back
// after the delay of the refusal.
func (f *limitFleet) checkDelay(i int, route, label string, longest time.Duration) {
	f.t.Helper()
	const most = 300 // requests until one is refused
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	n := f.nodes[i]
	for k := range most {
		c := n.limitCall(transport, fmt.Sprintf("%d-%s-%s%d", i, route, label, k), route, 0)
		if c.status != http.StatusServiceUnavailable {
			continue
		}
		delay, ok := retryAfter(c.header)
		if !ok || delay > longest {
			f.t.Errorf("route %s at node %d, %s: refused after %d requests with Retry-After %q, want at most %v",
				route, i, label, k, c.header.Get("Retry-After"), longest)
			return
		}
		time.Sleep(delay - time.Since(c.endedAt))
		again := n.limitCall(transport, fmt.Sprintf("%d-%s-%sAgain", i, route, label), route, 0)
		f.t.Logf("route %s at node %d, %s: refused after %d requests, status %d after the delay of %v", route, i, label, k, again.status, delay)
		if again.status != http.StatusOK {
			f.t.Errorf("route %s at node %d, %s: got %d after the delay of %v, want 200", route, i, label, again.status, delay)
		}
		return
	}
	f.t.Errorf("route %s at node %d, %s: none of %d requests in a row was refused", route, i, label, most)
}
