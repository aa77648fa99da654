package tpscale

import "time"

type demandSample struct {
	at     time.Time
	demand float64
}

// demandHistory holds the demands of the recent past. The zero value is empty.
type demandHistory struct {
	samples []demandSample
	since   time.Time // first sample of the present demand, or zero if there is none
}

// add appends a demand and drops those that are older than the given time. A
// time without demand, in which the loads of the nodes may be missing, counts as
// one in which it is unknown.
func (h *demandHistory) add(now time.Time, demand float64, keep time.Duration) {
	first := 0
	for first < len(h.samples) && now.Sub(h.samples[first].at) > keep {
		first++
	}
	h.samples = append(h.samples[:copy(h.samples, h.samples[first:])], demandSample{at: now, demand: demand})
	switch {
	case h.peak() <= idleDemand:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	}
}

func (h *demandHistory) peak() float64 {
	highest := 0.0
	for _, s := range h.samples {
		highest = max(highest, s.demand)
	}
	return highest
}

// knownFor returns the time for which there has been demand.
func (h *demandHistory) knownFor(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}

// rise returns the growth of the peak per second over riseWindow: an oscillation
// within the range before it is no growth. It returns zero while the demand has
// been known for less than the window.
func (h *demandHistory) rise(now time.Time) float64 {
	if h.knownFor(now) < riseWindow {
		return 0
	}
	before := 0.0
	for _, s := range h.samples {
		if now.Sub(s.at) >= riseWindow {
			before = max(before, s.demand)
		}
	}
	return (h.peak() - before) / riseWindow.Seconds()
}

func (h *demandHistory) observation(now time.Time, startup time.Duration) Observation {
	o := Observation{Peak: h.peak(), Rise: h.rise(now), Startup: startup}
	if len(h.samples) > 0 {
		o.Demand = h.samples[len(h.samples)-1].demand
	}
	return o
}
