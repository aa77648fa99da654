package proof_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
)

// serverArrival is the arrival of a request at a server.
type serverArrival struct {
	tpguestfake.Arrival
	server string
}

// verify checks what the clients received against the arrivals at the servers.
func (s *silenceSoak) verify() {
	arrivals := make(map[string][]serverArrival)
	for _, server := range s.servers {
		for _, a := range server.Arrivals() {
			arrivals[a.ID] = append(arrivals[a.ID], serverArrival{a, server.ID})
		}
	}
	counts := make(map[string]int)
	for _, c := range s.calls {
		outcome, fault := s.judge(c, arrivals[c.id])
		counts[outcome]++
		if fault != "" {
			s.t.Errorf("%s: %s\n%s", outcome, fault, s.timeline(c, arrivals[c.id]))
		}
	}
	s.t.Logf("outcomes of %d requests: %v", len(s.calls), counts)
	// A client sends a request while the node closes the connection. Clients
	// look for the close first, so this is rare.
	if crossed := counts["crossed the close"]; crossed*100 > len(s.calls) {
		s.t.Errorf("requests on connections that the node closed: got %d of %d, want at most 1 in 100", crossed, len(s.calls))
	}
	if counts["complete"]*10 < len(s.calls)*6 {
		s.t.Errorf("complete answers: got %d of %d, want at least 6 in 10", counts["complete"], len(s.calls))
	}
}

// judge returns the outcome of a request, and the fault if it breaks a promise.
func (s *silenceSoak) judge(c *silenceCall, arrivals []serverArrival) (outcome, fault string) {
	runs := 0
	for _, a := range arrivals {
		if a.Run {
			runs++
		}
		if a.Method != c.method || a.URI != c.uri || a.Body != c.body {
			return "changed request", fmt.Sprintf("server %s got %s %s with %d bytes", a.server, a.Method, a.URI, len(a.Body))
		}
	}
	allowed := 1
	if c.route.kind == "safe" || c.route.resumable {
		allowed = c.route.maxAttempts
	}
	if runs > allowed {
		return "repeated run", fmt.Sprintf("ran %d times, want at most %d", runs, allowed)
	}
	switch {
	case c.clientLeft:
		return "client left", ""
	case c.err == nil:
		return s.judgeAnswer(c, runs)
	case c.ended.Sub(c.began) >= s.limit(c)-silenceLimitMargin:
		return "cut at the time limit", ""
	case len(arrivals) == 0 && c.status == 0 && c.ended.Sub(c.sent) < silenceCrossing:
		return "crossed the close", ""
	case s.cutAtGraceEnd(c, arrivals):
		return "cut at the end of the grace period", ""
	}
	return "lost", fmt.Sprintf("the connection ended after %v with status %d and %d bytes of the answer: %v",
		c.ended.Sub(c.sent), c.status, len(c.answer), c.err)
}

// judgeAnswer judges an answer that ended as complete.
func (s *silenceSoak) judgeAnswer(c *silenceCall, runs int) (outcome, fault string) {
	want := "answer to " + c.body
	if c.route.kind == "stream" {
		want = completeDraft
	}
	switch {
	case c.status == http.StatusOK && c.answer == want && c.answerID == c.id:
		return "complete", ""
	case c.status == http.StatusOK:
		return "wrong answer", fmt.Sprintf("got ID %q and %d bytes, want %d bytes", c.answerID, len(c.answer), len(want))
	case c.status == http.StatusServiceUnavailable && runs > 0:
		return "refused although run", fmt.Sprintf("ran %d times", runs)
	case c.status == http.StatusServiceUnavailable:
		return "refused", ""
	case c.status == http.StatusNotFound && c.route.name == "guest":
		return "no route", ""
	case c.ended.Sub(c.began) >= s.limit(c)-silenceLimitMargin:
		return "failed at the time limit", ""
	}
	return fmt.Sprint("failed early with ", c.status), fmt.Sprintf("got status %d after %v: %s", c.status, c.ended.Sub(c.sent), c.answer)
}

// limit returns the time that the request has: the client's, and the shortest
// timeout of a configuration that may have been in force when it was sent.
func (s *silenceSoak) limit(c *silenceCall) time.Duration {
	const applyTime = 3 * time.Second // until all nodes have a configuration
	limit := c.timeout
	list := s.timeouts[c.route.name]
	for i, e := range list {
		replaced := i+1 < len(list) && list[i+1].since.Before(c.sent.Add(-applyTime))
		if !replaced && e.since.Before(c.sent) {
			limit = min(limit, e.timeout)
		}
	}
	return limit
}

// cutAtGraceEnd reports whether the node's grace period ended while a server was
// at work on the request.
func (s *silenceSoak) cutAtGraceEnd(c *silenceCall, arrivals []serverArrival) bool {
	for _, p := range s.planned {
		if p.name != "SIGTERM" || p.node != c.node || c.sent.Sub(p.at) > silenceStopWindow {
			continue
		}
		lastSixth := p.at.Add(silenceStopGrace * 5 / 6)
		for _, a := range arrivals {
			if a.Run && c.ended.After(lastSixth) && (a.Ended.IsZero() || a.Ended.After(lastSixth)) && c.ended.Sub(p.at) < 2*silenceStopGrace {
				return true
			}
		}
	}
	return false
}

// timeline returns what the client, the servers and the node saw of a request.
// Times are in seconds since the client sent the last byte.
func (s *silenceSoak) timeline(c *silenceCall, arrivals []serverArrival) string {
	var b strings.Builder
	since := func(at time.Time) float64 {
		if at.IsZero() {
			return -1
		}
		return at.Sub(c.sent).Seconds()
	}
	fmt.Fprintf(&b, "  request %s %s %s to node %d, %d bytes, reused connection %t, limit %v, at %d\n",
		c.id, c.method, c.uri, c.node, len(c.body), c.reused, s.limit(c), c.sent.UnixMilli())
	for _, a := range arrivals {
		fmt.Fprintf(&b, "  server %s: arrived %.3f, ended %.3f, run %t, caller left %t, last event %q\n",
			a.server, since(a.At), since(a.Ended), a.Run, a.CallerLeft, a.Header.Get("Last-Event-Id"))
	}
	for _, p := range s.planned {
		if d := since(p.at); (p.node == c.node || p.node < 0) && d > -9 && p.at.Before(c.ended) {
			fmt.Fprintf(&b, "  %.3f %s\n", d, p.name)
		}
	}
	fmt.Fprintf(&b, "  %.3f end: status %d, error %v\n", since(c.ended), c.status, c.err)
	for _, process := range s.processes[c.node] {
		for line := range strings.Lines(process.Output()) {
			if strings.Contains(line, `"`+c.id+`"`) {
				b.WriteString("  " + line)
			}
		}
	}
	return b.String()
}
