package tpscale

import "time"

// Observation is the input of a policy. Demands are in engines.
type Observation struct {
	Demand  float64       // now
	Peak    float64       // the highest of the recent demands
	Rise    float64       // of the peak, per second
	Startup time.Duration // time until a target that is ordered now serves
}

// Policy decides how many targets a demand requires.
type Policy interface {
	// Targets returns the required number, and false if no number is to be
	// ordered.
	Targets(o Observation) (float64, bool)
}

// None orders nothing.
type None struct{}

// Targets implements Policy.
func (None) Targets(Observation) (float64, bool) { return 0, false }

// TargetUtilisation requires as many targets as the peak of the demand keeps busy
// for Utilisation of their time. Zero means DefaultUtilisation.
type TargetUtilisation struct {
	Utilisation float64
}

// Targets implements Policy.
func (p TargetUtilisation) Targets(o Observation) (float64, bool) {
	return o.Peak / utilisation(p.Utilisation), true
}

// Forecast is TargetUtilisation for the demand that is expected when a target
// that is ordered now serves.
type Forecast struct {
	Utilisation float64
}

// Targets implements Policy.
func (p Forecast) Targets(o Observation) (float64, bool) {
	rise := min(max(0, o.Rise*o.Startup.Seconds()), maxRise*o.Peak)
	return (o.Peak + rise) / utilisation(p.Utilisation), true
}

func utilisation(u float64) float64 {
	if u <= 0 {
		return DefaultUtilisation
	}
	return u
}
