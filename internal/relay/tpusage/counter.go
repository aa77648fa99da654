package tpusage

import (
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// KeptWindows is the number of windows before the present one whose counts a
	// node keeps.
	KeptWindows = 8
	// maxLeft limits the statements of nodes that have ended. Each of them leaves
	// its statement with a few nodes, so a region that is replaced within
	// KeptWindows windows stays below it.
	maxLeft = 512
)

// Source identifies one process of a node.
func Source(name, incarnation string) string { return name + "/" + incarnation }

// Counter counts the requests of one node. It is owned by one filter. The caller
// sets the exported fields before the first call.
type Counter struct {
	Source string
	Clock  Clock

	windows map[int64]map[string]uint64
	stated  int64 // windows up to this one have been stated as over
	left    map[string]tpmessage.UsageStatement
}

// Add counts a request of an organisation that began to run at a time. If that
// window has been stated as over, it counts in the first one that has not, so
// that each request is in one report.
func (c *Counter) Add(at time.Time, organisation string) {
	window := max(c.Clock.Window(at), c.stated+1)
	if c.windows == nil {
		c.windows = make(map[int64]map[string]uint64)
	}
	if c.windows[window] == nil {
		c.windows[window] = make(map[string]uint64)
	}
	c.windows[window][organisation]++
	c.drop(window)
}

// Answer answers a request of the holder or of a node that ends.
func (c *Counter) Answer(now time.Time, req tpmessage.UsageRequest) tpmessage.UsageAnswer {
	if req.Source == c.Source {
		c.Clock.Correct(req.Offset)
	}
	c.drop(c.Clock.Window(now))
	if req.Left != nil {
		c.keep(*req.Left)
	}
	answer := tpmessage.UsageAnswer{Closed: c.Clock.Window(now) - 1, TimeMs: c.Clock.Own(now).UnixMilli()}
	answer.Statements = append(answer.Statements, c.statement(req.First, req.Last))
	for _, source := range slices.Sorted(maps.Keys(c.left)) {
		s := c.left[source]
		s.Windows = slices.DeleteFunc(slices.Clone(s.Windows), func(w tpmessage.UsageReport) bool {
			return w.Window < req.First || w.Window > req.Last
		})
		answer.Statements = append(answer.Statements, s)
	}
	if over := min(answer.Closed, req.Last); over >= req.First {
		c.stated = max(c.stated, over)
	}
	return answer
}

// Final returns the statement of this process, which counts nothing more.
func (c *Counter) Final(now time.Time) tpmessage.UsageStatement {
	c.drop(c.Clock.Window(now))
	s := c.statement(0, c.Clock.Window(now)+KeptWindows)
	s.Final = true
	if len(s.Windows) == 0 {
		// Without a window the receivers would not keep the statement.
		s.Windows = []tpmessage.UsageReport{{Window: c.Clock.Window(now)}}
	}
	return s
}

func (c *Counter) statement(first, last int64) tpmessage.UsageStatement {
	s := tpmessage.UsageStatement{Source: c.Source}
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		if window < first || window > last {
			continue
		}
		r := tpmessage.UsageReport{Window: window}
		for _, organisation := range slices.Sorted(maps.Keys(c.windows[window])) {
			r.Counts = append(r.Counts, tpmessage.OrganisationCount{
				Organisation: organisation, Requests: c.windows[window][organisation],
			})
		}
		s.Windows = append(s.Windows, r)
	}
	return s
}

// keep keeps the statement of a node that has ended.
func (c *Counter) keep(s tpmessage.UsageStatement) {
	if c.left == nil {
		c.left = make(map[string]tpmessage.UsageStatement)
	}
	if _, known := c.left[s.Source]; known || len(c.left) < maxLeft {
		c.left[s.Source] = s
	}
}

// drop removes what is older than KeptWindows windows before the present one.
func (c *Counter) drop(present int64) {
	oldest := present - KeptWindows
	maps.DeleteFunc(c.windows, func(window int64, _ map[string]uint64) bool { return window < oldest })
	maps.DeleteFunc(c.left, func(_ string, s tpmessage.UsageStatement) bool {
		return !slices.ContainsFunc(s.Windows, func(w tpmessage.UsageReport) bool { return w.Window >= oldest })
	})
}
