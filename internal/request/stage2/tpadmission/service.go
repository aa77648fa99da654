package tpadmission

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// serviceTimeSmoothing is the weight of the newest completion in the
	// moving averages.
	serviceTimeSmoothing = 0.02
	// serviceTimeMargin is the factor from the mean service time to the
	// expected one. With a factor of 1, a fifth of the requests of an
	// overloaded fleet end after their deadline; see
	// docs/notes/load-policy.md.
	serviceTimeMargin = 1.5
)

// admission records an admitted request until its final completion.
type admission struct {
	at   time.Time
	cost float64 // estimated, in prefilled pieces
	kind tpmessage.Kind
}

// serviceTime measures the time from admission to completion of requests of
// one kind, relative to their estimated cost. The zero value has no
// measurement.
type serviceTime struct {
	seconds float64 // mean
	cost    float64 // mean, in prefilled pieces
}

func (s *serviceTime) observe(took time.Duration, cost float64) {
	if s.cost == 0 {
		s.seconds, s.cost = took.Seconds(), cost
		return
	}
	s.seconds += serviceTimeSmoothing * (took.Seconds() - s.seconds)
	s.cost += serviceTimeSmoothing * (cost - s.cost)
}

// expected returns the expected service time of a request, or 0 if no request
// has completed.
func (s *serviceTime) expected(req *tpmessage.Request) time.Duration {
	if s.cost == 0 {
		return 0
	}
	return time.Duration(serviceTimeMargin * s.seconds / s.cost * Cost(estimate(req)) * float64(time.Second))
}
