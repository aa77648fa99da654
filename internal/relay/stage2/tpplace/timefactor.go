package tpplace

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// timeFactorSamples is the number of most recent observations used.
	timeFactorSamples = 64
	// minTimeFactorSamples is the number of observations below which the
	// reference speed is assumed.
	minTimeFactorSamples = 8
	// minTimeFactor and maxTimeFactor bound each observation, so that wrong
	// ones have a limited effect.
	minTimeFactor, maxTimeFactor = 0.2, 8.0
	// timeFactorQuantile is the quantile of the observations that is taken as
	// the estimate. A low quantile excludes prompts that waited behind work
	// that was unknown to this node.
	timeFactorQuantile = 0.25
	// minObservedRead is the shortest expected reading time that is observed.
	// Shorter ones consist mainly of the overhead of the exchange.
	minObservedRead = 20 * time.Millisecond
	// minObservedEvents is the number of events from which a stream is
	// observed.
	minObservedEvents = 4
	// outputMeanWeight is the weight of a finished run in the moving average of
	// its route's output length.
	outputMeanWeight = 0.1
	// longOutputFactor is the length of a long answer relative to the mean
	// output of its route.
	longOutputFactor = 1.5
	// initialOutputTokens is the output length that is assumed until a run of
	// the route has finished, unless the request allows fewer tokens.
	initialOutputTokens = 128
)

// timeFactor estimates the ratio of the time that engines take for work to the
// time at the reference speed. The zero value estimates 1.
type timeFactor struct {
	samples  [timeFactorSamples]float64
	count    int
	estimate float64
}

func (f *timeFactor) observe(ratio float64) {
	f.samples[f.count%timeFactorSamples] = min(max(ratio, minTimeFactor), maxTimeFactor)
	f.count++
	n := min(f.count, timeFactorSamples)
	sorted := f.samples
	slices.Sort(sorted[:n])
	f.estimate = sorted[int(timeFactorQuantile*float64(n))]
}

func (f *timeFactor) value() float64 {
	if f.count < minTimeFactorSamples {
		return 1
	}
	return f.estimate
}

// updateEstimates uses the result of a step to update the speed of the engines,
// that of the target, which is nil if it is no longer registered, and the mean
// output of the route.
func (p *Placer[P]) updateEstimates(now time.Time, t *target, r *StepResult) {
	if r.Outcome != OutcomeServed {
		return
	}
	if t == nil || r.StartedMs != 0 && r.StartedMs != t.StartedMs {
		// The process has ended. Its speed says nothing about the next one.
		t = &target{factors: factors{read: 1, stream: 1}}
	}
	if r.Elapsed > 0 {
		t.speeds.ownReadMs += r.Reservation.ReadTime.Seconds() * 1000
	}
	if r.Reservation.NoBacklog && r.Reservation.ReadTime >= minObservedRead && r.Elapsed > 0 {
		ratio := r.Elapsed.Seconds() / (r.Reservation.ReadTime + millis(handoverMs)).Seconds()
		p.prefillTimeFactor.observe(ratio / t.factors.read)
		if !r.Reservation.ReadsPrefix && t.speeds.peersReadAt.Before(now.Add(-r.Elapsed)) {
			t.speeds.undisturbed.observe(ratio)
		}
	}
	if r.Events == 0 {
		return
	}
	tokens := float64(r.Events * max(1, r.EventTokens))
	if r.Events >= minObservedEvents && r.Streamed > 0 {
		msPerToken := r.Streamed.Seconds() * 1000 / (tokens - tokens/float64(r.Events))
		ratio := msPerToken / (stepMs + stepMsPerRun*float64(r.Reservation.BatchSize))
		p.decodeTimeFactor.observe(ratio / t.factors.stream)
		if r.Reservation.BatchSize > 0 { // the target is an engine
			t.speeds.ownStreams.observe(ratio)
		}
	}
	mean, known := p.meanOutputs[r.Route]
	if !known {
		mean = tokens
	}
	p.meanOutputs[r.Route] = mean + outputMeanWeight*(tokens-mean)
}

// addDemand adds the expected work of a new request, in milliseconds of engine
// time, to the demand.
func (p *Placer[P]) addDemand(now time.Time, req *tpmessage.RelayRequest, pl *placement) {
	output, known := p.meanOutputs[req.Route.Name]
	if !known {
		output = float64(min(req.MaxOutputTokens, initialOutputTokens))
	}
	decodeDemand := output * DecodeTokenMs(req.Pool.Engine.Slots) * p.decodeTimeFactor.value()
	if pl.step == StepPrefill {
		p.prefillDemand.add(now, pl.read.Seconds()*1000)
	} else {
		decodeDemand += pl.read.Seconds() * 1000
	}
	p.decodeDemand.add(now, decodeDemand)
}
