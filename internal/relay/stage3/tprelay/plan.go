package tprelay

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// maxSends bounds the sends of one request, also of those that targets
	// refuse. The retry budget ends most requests earlier.
	maxSends = 5
	// leastTime is the time that a further attempt needs to be of any use.
	leastTime = 60 * time.Millisecond
)

// Action is what a task does next.
type Action uint8

// Actions of a task.
const (
	ActionFinish  Action = iota // the answer is complete or passed on as it is
	ActionPrefill               // ask for a target that reads the prompt
	ActionRun                   // ask for a target that generates or is called
	ActionRefuse                // the request has not run
	ActionUnknown               // the request may have run
	ActionTimeout               // the time is over and the request may have run
	ActionLeave                 // the client is gone
)

// Plan decides after each step of one request what may follow. Its zero value
// with a request is that of a request of which nothing was sent.
type Plan struct {
	Request *tpmessage.RelayRequest

	sends    int  // of any kind
	prefills int  // arrivals for reading the prompt
	read     bool // a target has read the prompt
	arrivals int  // of any kind but the first prompt that was read
	paid     int  // arrivals taken from the retry budget
	ran      int  // arrivals that may have run
	exclude  []string
}

// Extra reports whether the next arrival takes from the retry budget: the
// first arrival and the first prompt that is read are free, and a refused
// arrival is not.
func (p *Plan) Extra() bool { return p.arrivals > p.paid }

// Paid counts an arrival that was taken from the retry budget.
func (p *Plan) Paid() { p.paid++ }

// Prefilled decides after an attempt to have the prompt read.
func (p *Plan) Prefilled(now time.Time, target string, end End) Action {
	p.sends++
	if end != EndNotSent {
		p.prefills++
		if end != EndWhole || p.read {
			p.arrivals++
		}
		p.read = p.read || end == EndWhole
	}
	switch {
	case end == EndWhole:
		return ActionRun
	case end == EndStopped:
		return p.stopped(now)
	case p.over(now):
		return ActionRefuse
	}
	p.exclude = append(p.exclude, target)
	if p.prefills > 1 {
		return ActionRun
	}
	return ActionPrefill
}

// Ran decides after an attempt to run the request. Status is that of a whole
// answer.
func (p *Plan) Ran(now time.Time, target string, res Result, delivered bool) Action {
	p.sends++
	switch res.End {
	case EndNotSent:
	case EndNotRun, EndMisdirected:
		p.arrivals++
	default:
		p.arrivals++
		p.ran++
	}
	again := p.mayRunAgain()
	switch res.End {
	case EndWhole:
		if res.Status >= 500 && !p.Request.Route.Stream && again && !p.over(now) {
			p.exclude = append(p.exclude, target)
			return ActionRun
		}
		return ActionFinish
	case EndStopped:
		return p.stopped(now)
	}
	p.exclude = append(p.exclude, target)
	if p.over(now) || !again {
		return p.giveUp(now)
	}
	return ActionRun
}

// GiveUp ends a request whose next step was not granted.
func (p *Plan) GiveUp(now time.Time) Action { return p.giveUp(now) }

func (p *Plan) mayRunAgain() bool {
	if p.ran == 0 {
		return true
	}
	return p.Request.Route.Repeatable() && p.ran < max(1, p.Request.Route.MaxAttempts)
}

func (p *Plan) over(now time.Time) bool {
	return p.sends >= maxSends || p.Request.Deadline.Sub(now) < leastTime
}

func (p *Plan) giveUp(now time.Time) Action {
	switch {
	case p.ran == 0:
		return ActionRefuse
	case !now.Before(p.Request.Deadline):
		return ActionTimeout
	}
	return ActionUnknown
}

// stopped decides when the context of an attempt has ended.
func (p *Plan) stopped(now time.Time) Action {
	if now.Before(p.Request.Deadline) {
		return ActionLeave
	}
	return p.giveUp(now)
}
