package tpplace

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// paceSamples is the number of observations that a pace rests on.
	paceSamples = 64
	// minPaceSamples is the number below which the reference speed is assumed.
	minPaceSamples = 8
	// minPace and maxPace bound a pace, against observations that are wrong.
	minPace, maxPace = 0.2, 8.0
	// paceQuantile is the part of the observations below the pace. Prompts that
	// waited behind work that this node did not know of are in the upper part.
	paceQuantile = 0.25
	// leastRead is the shortest expected reading that is observed. Shorter ones
	// consist mainly of the exchange itself.
	leastRead = 20 * time.Millisecond
	// leastEvents is the number of events of a stream that is observed.
	leastEvents = 4
	// outputWeight is the weight of one finished run in the mean output of its
	// route.
	outputWeight = 0.1
	// longOutput is the length of a long answer in mean outputs of its route.
	longOutput = 1.5
	// firstOutput is the output in tokens that is assumed before a run of a
	// route has finished, unless its request allows less.
	firstOutput = 128
)

// pace is the time that engines take for work, in units of the time at the
// reference speed. The zero value is the reference speed.
type pace struct {
	samples [paceSamples]float64
	count   int
	factor  float64
}

func (p *pace) observe(ratio float64) {
	p.samples[p.count%paceSamples] = min(max(ratio, minPace), maxPace)
	p.count++
	n := min(p.count, paceSamples)
	sorted := p.samples
	slices.Sort(sorted[:n])
	p.factor = sorted[int(paceQuantile*float64(n))]
}

func (p *pace) value() float64 {
	if p.count < minPaceSamples {
		return 1
	}
	return p.factor
}

// learn takes what the end of a step shows of the speed of the engines and of
// the length of a route's answers.
func (p *Placer[P]) learn(d *Done) {
	if d.Outcome != OutcomeServed {
		return
	}
	if d.Charge.Alone && d.Charge.Read >= leastRead && d.Took > 0 {
		p.prefillPace.observe(d.Took.Seconds() / (d.Charge.Read + millis(handOver)).Seconds())
	}
	if d.Events == 0 {
		return
	}
	tokens := float64(d.Events * max(1, d.EventTokens))
	if d.Events >= leastEvents && d.Streamed > 0 {
		each := d.Streamed.Seconds() * 1000 / (tokens - tokens/float64(d.Events))
		p.decodePace.observe(each / (stepMs + stepMsPerRun*float64(d.Charge.Batch)))
	}
	mean, known := p.outputs[d.Route]
	if !known {
		mean = tokens
	}
	p.outputs[d.Route] = mean + outputWeight*(tokens-mean)
}

// demand counts the work of a new request, in milliseconds of an engine.
func (p *Placer[P]) demand(now time.Time, req *tpmessage.RelayRequest, o *option) {
	output, known := p.outputs[req.Route.Name]
	if !known {
		output = float64(min(req.MaxOutput, firstOutput))
	}
	decode := output * tokenMs * p.decodePace.value()
	if o.step == StepPrefill {
		p.prefill.add(now, o.read.Seconds()*1000)
	} else {
		decode += o.read.Seconds() * 1000
	}
	p.decode.add(now, decode)
}
