package tpusage

import (
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// MaxAsks is the largest number of calls to members in progress.
	MaxAsks = 16
	// askInterval is the time between two calls to a member for which a window
	// that is wanted is still open.
	askInterval = 500 * time.Millisecond
	// leavingInterval is the time between two calls to a member that is leaving.
	leavingInterval = time.Second
	// minClocks is the number of clocks whose median is the time of the region.
	// Of two clocks it is not known which one is right.
	minClocks = 3
	// maxSampleDuration is the longest call from which the clock of a member is
	// read. The error is at most half of it.
	maxSampleDuration = 200 * time.Millisecond
)

// Ask is a request to a member.
type Ask struct {
	Member  tpmessage.Member
	Request tpmessage.UsageRequest
}

// member is what the holder knows of a member's process.
type member struct {
	member   tpmessage.Member
	source   string
	asking   bool
	retry    retry // after a call that failed
	answered int64 // the counts up to this window are gathered
	sampled  bool
	clock    time.Duration // own clock of the member minus that of this process
	told     time.Duration // latest offset that the member has confirmed
}

// collection holds what the holder has gathered of the windows that are not
// fixed. The zero value is empty.
type collection struct {
	members  []*member // this node first
	inFlight int
	// median is that of the members' clocks minus the own clock of this process,
	// and zero unless timed is true.
	median time.Duration
	timed  bool // the clocks of minClocks members are known
	// windows holds the counts of each organisation by window and source.
	windows map[int64]map[string]map[string]uint64
	final   map[string]bool // sources that have ended and have stated all counts
}

// clear forgets all but the calls in progress.
func (c *collection) clear() { *c = collection{inFlight: c.inFlight} }

func (c *collection) setMembers(members []tpmessage.Member) {
	before := make(map[string]*member, len(c.members))
	for _, m := range c.members {
		before[m.source] = m
	}
	c.members = make([]*member, 0, len(members))
	var clocks []time.Duration
	for _, m := range members {
		source := Source(m.Name, m.Incarnation)
		known := before[source]
		if known == nil {
			known = &member{source: source}
		}
		known.member = m
		c.members = append(c.members, known)
		if known.sampled {
			clocks = append(clocks, known.clock)
		}
	}
	c.median, c.timed = 0, len(clocks) >= minClocks
	if c.timed {
		slices.Sort(clocks)
		c.median = clocks[(len(clocks)-1)/2]
	}
}

// take returns the calls to begin now. First and last are the windows to gather,
// and open is the present one.
func (c *collection) take(now time.Time, first, last, open int64) (asks []Ask) {
	for _, m := range c.members {
		if c.inFlight == MaxAsks {
			break
		}
		ask := Ask{Member: m.member, Request: tpmessage.UsageRequest{First: first, Last: last}}
		if m.sampled && c.timed {
			ask.Request.Source, ask.Request.Offset = m.source, c.median-m.clock
		}
		wanted := last >= first && m.answered < last
		if m.member.Leaving && open >= first {
			ask.Request.Last, wanted = open, true
		}
		wanted = wanted && !c.final[m.source]
		if !wanted {
			ask.Request.First, ask.Request.Last = 1, 0
		}
		untold := !m.sampled || (ask.Request.Offset-m.told).Abs() > maxClockDifference
		if m.asking || now.Before(m.retry.at) || !wanted && !untold {
			continue
		}
		m.asking = true
		c.inFlight++
		asks = append(asks, ask)
	}
	return asks
}

// handle takes the result of a call. Next is the first window that is not fixed.
func (c *collection) handle(clock *Clock, next int64, a Answer, held bool) {
	c.inFlight--
	source := Source(a.Member.Name, a.Member.Incarnation)
	i := slices.IndexFunc(c.members, func(m *member) bool { return m.source == source })
	if i < 0 || !held {
		return
	}
	m := c.members[i]
	m.asking = false
	if a.Err != nil {
		m.retry.failed(a.ArrivedAt)
		return
	}
	m.retry = retry{at: a.ArrivedAt.Add(askInterval)}
	if m.member.Leaving {
		m.retry.at = a.ArrivedAt.Add(leavingInterval)
	}
	if a.Request.Source != "" {
		m.told = a.Request.Offset
	}
	if took := a.ArrivedAt.Sub(a.SentAt); took <= maxSampleDuration {
		own := clock.Own(a.SentAt.Add(took / 2)).UnixMilli()
		m.clock, m.sampled = time.Duration(a.Answer.TimeMs-own)*time.Millisecond, true
	}
	own := false
	for i := range a.Answer.Statements {
		s := &a.Answer.Statements[i]
		own = own || s.Source == source
		c.gather(s, next)
	}
	// An answer of another process at the address says nothing about this one.
	if own && a.Request.First <= next && a.Request.Last >= a.Request.First {
		m.answered = max(m.answered, min(a.Answer.Closed, a.Request.Last))
	}
}

// gather takes the counts of the windows from next on. The counts of a process
// only grow, so of two statements that of the larger sum is the later one.
func (c *collection) gather(s *tpmessage.UsageStatement, next int64) {
	if s.Final {
		if c.final == nil {
			c.final = make(map[string]bool)
		}
		c.final[s.Source] = true
	}
	for _, w := range s.Windows {
		if w.Window < next {
			continue
		}
		counts := make(map[string]uint64, len(w.Counts))
		for _, n := range w.Counts {
			counts[n.Organisation] += n.Requests
		}
		if c.windows == nil {
			c.windows = make(map[int64]map[string]map[string]uint64)
		}
		if c.windows[w.Window] == nil {
			c.windows[w.Window] = make(map[string]map[string]uint64)
		}
		if total(counts) >= total(c.windows[w.Window][s.Source]) {
			c.windows[w.Window][s.Source] = counts
		}
	}
}

func total(counts map[string]uint64) (n uint64) {
	for requests := range maps.Values(counts) {
		n += requests
	}
	return n
}

// progress returns the number of members whose counts of a window are wanted, and
// of those whose counts are gathered.
func (c *collection) progress(window int64) (asked, answered int) {
	for _, m := range c.members {
		asked++
		if m.answered >= window || c.final[m.source] {
			answered++
		}
	}
	return asked, answered
}

// sum returns the counts of a window by organisation.
func (c *collection) sum(window int64) map[string]uint64 {
	sum := make(map[string]uint64)
	for _, counts := range c.windows[window] {
		for organisation, n := range counts {
			sum[organisation] += n
		}
	}
	return sum
}

// drop removes the windows before next.
func (c *collection) drop(next int64) {
	maps.DeleteFunc(c.windows, func(window int64, _ map[string]map[string]uint64) bool { return window < next })
}
