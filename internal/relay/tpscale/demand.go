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
	highest := 0.0
	for _, s := range h.samples {
		highest = max(highest, s.demand)
	}
	switch {
	case highest <= idleDemand:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	}
}

// peak returns the highest demand before the given time, or of all samples
// without one. While caches fill, prompts are read whole, so samples of the
// warm-up count only while there are no others.
func (h *demandHistory) peak(before time.Time) float64 {
	warm, cold := 0.0, 0.0
	for _, s := range h.samples {
		switch {
		case !before.IsZero() && s.at.After(before):
		case !h.since.IsZero() && s.at.Sub(h.since) >= warmUpPeriod:
			warm = max(warm, s.demand)
		default:
			cold = max(cold, s.demand)
		}
	}
	if warm > 0 {
		return warm
	}
	return cold
}

// knownFor returns the time for which there has been demand.
func (h *demandHistory) knownFor(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}

// rise returns the growth of the peak per second over riseWindow: an oscillation
// within the range before it is no growth. It returns zero until the window is
// past the warm-up.
func (h *demandHistory) rise(now time.Time) float64 {
	if h.knownFor(now) < warmUpPeriod+riseWindow {
		return 0
	}
	return (h.peak(time.Time{}) - h.peak(now.Add(-riseWindow))) / riseWindow.Seconds()
}

func (h *demandHistory) observation(now time.Time, startup time.Duration) Observation {
	o := Observation{Peak: h.peak(time.Time{}), Rise: h.rise(now), Startup: startup}
	if len(h.samples) > 0 {
		o.Demand = h.samples[len(h.samples)-1].demand
	}
	return o
}
