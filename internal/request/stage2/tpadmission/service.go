package tpadmission

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// serviceGain is the weight of the newest completion in the measured time.
	serviceGain = 0.02
	// serviceMargin is the factor from the mean to the expected time. At 1 a
	// fifth of the work of an overloaded fleet ended after its deadline; see
	// docs/notes/load-policy.md.
	serviceMargin = 1.5
)

// admitted is what is remembered of work in flight.
type admitted struct {
	at   time.Time
	cost float64 // estimated
	kind tpmessage.Kind
}

// serviceTime measures how long requests of a kind take from admission to
// their end, for a unit of estimated cost. The zero value has measured nothing.
type serviceTime struct {
	seconds float64 // mean time
	cost    float64 // mean cost
}

func (s *serviceTime) measure(took time.Duration, cost float64) {
	if s.cost == 0 {
		s.seconds, s.cost = took.Seconds(), cost
		return
	}
	s.seconds += serviceGain * (took.Seconds() - s.seconds)
	s.cost += serviceGain * (cost - s.cost)
}

// expect returns the time that a request is expected to take, or 0 if no
// request has completed yet.
func (s *serviceTime) expect(req *tpmessage.Request) time.Duration {
	if s.cost == 0 {
		return 0
	}
	return time.Duration(serviceMargin * s.seconds / s.cost * Cost(estimate(req)) * float64(time.Second))
}
