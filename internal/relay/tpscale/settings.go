package tpscale

import "time"

// DefaultUtilisation is the part of the targets that the peak of the demand
// keeps busy. Callers that find no capacity cost far more than a target too many:
// on the model of TestPoliciesOnModel, 0.35 leaves no request unserved in bursts
// and after losses of spot targets, and 0.4 does.
const DefaultUtilisation = 0.35

// Defaults of Settings. They hold for a pool whose demand oscillates by about a
// quarter with a period of 11 s and has bursts of some seconds.
const (
	// DefaultSpotShare is the part of the targets that may be reclaimed. Plain
	// targets cost more than four times as much.
	DefaultSpotShare = 0.95
	// DefaultPeakHold is the time for which the highest demand counts. It
	// exceeds the period of the oscillation.
	DefaultPeakHold = 12 * time.Second
	// DefaultKnownAfter is the time with demand before the number of targets may
	// fall.
	DefaultKnownAfter = 10 * time.Second
	// DefaultRaiseBelow and DefaultLowerAbove are the parts of the required
	// number below and above which the number is changed. Each order is charged
	// for, and each change loses caches.
	DefaultRaiseBelow = 0.85
	DefaultLowerAbove = 1.2
	// DefaultMaxLowering is the largest part of the targets that is removed at
	// once while there is demand.
	DefaultMaxLowering = 0.35
	// DefaultLowerInterval is the time between two removals while there is
	// demand. A change of role takes as long.
	DefaultLowerInterval = 3 * time.Second
)

const (
	// noCapacityDelay is the time for which a kind is not requested again in a
	// zone that had none, or where the platform has reclaimed its targets.
	noCapacityDelay = 10 * time.Second
	// refusedDelay replaces it after an order that the platform does not accept,
	// unless targets that an earlier holder ordered explain it. Those register
	// within the startup time.
	refusedDelay = time.Minute
	// minRetryDelay and maxRetryDelay limit the delay before a call is repeated.
	// It doubles with each failure, because refused calls are charged for too.
	minRetryDelay = time.Second
	maxRetryDelay = 8 * time.Second
	// arrivalMargin is added to the time in which new targets start. Ordered
	// targets that have not registered by then do not count any more.
	arrivalMargin = 5 * time.Second
	// lateDelay is added to that for the limit of a zone, because an order beyond
	// it is refused when those targets come after all.
	lateDelay = 10 * time.Second
	// idleDemand is the demand, in engines, up to which there counts as none.
	idleDemand = 0.1
	// warmUpPeriod is the time with demand in which the caches of the targets
	// fill. Its demand does not count later.
	warmUpPeriod = 4 * time.Second
	// warmUpUtilisation is the utilisation up to which the first targets suffice
	// until the demand is known. It falls soon, as caches fill.
	warmUpUtilisation = 0.7
	// riseWindow is the time over which the growth of the demand is computed.
	riseWindow = 3 * time.Second
	// maxRise is the largest rise that is expected, as a part of the peak.
	maxRise = 0.5
	// minStep is the smallest number of targets for which an order is worth its
	// price, and minStepPart the same as a part of the required number.
	minStep     = 2
	minStepPart = 0.05
	// roleTolerance is the difference between the parts of prefill engines among
	// spot targets and all targets up to which the former can replace plain ones.
	roleTolerance = 0.1
	// roleTimeout is the time for which plain targets wait for spot ones whose
	// roles differ. They are removed in steps then, between which the role
	// controller changes the roles of the others.
	roleTimeout = 6 * time.Second
)

// DefaultRegistrationPeriod is the time without new registrations after which the
// targets of a region that starts count as complete.
const DefaultRegistrationPeriod = 1500 * time.Millisecond

// Settings configures a Scaler. A field that is zero takes its default.
type Settings struct {
	SpotShare     float64       // part of the targets, from 0 to 1, that are spot targets
	PeakHold      time.Duration // time for which the highest demand counts
	KnownAfter    time.Duration // time with demand before the number may fall
	RaiseBelow    float64       // part of the required number below which it is raised
	LowerAbove    float64       // multiple of the required number above which it is lowered
	MaxLowering   float64       // largest part of the targets that is removed at once
	LowerInterval time.Duration // between two removals while there is demand
	// RegistrationPeriod is the time without new registrations before the first
	// order of a holder, while there is no demand.
	RegistrationPeriod time.Duration
}

func (s *Settings) setDefaults() {
	setDefault(&s.SpotShare, DefaultSpotShare)
	setDefault(&s.PeakHold, DefaultPeakHold)
	setDefault(&s.KnownAfter, DefaultKnownAfter)
	setDefault(&s.RaiseBelow, DefaultRaiseBelow)
	setDefault(&s.LowerAbove, DefaultLowerAbove)
	setDefault(&s.MaxLowering, DefaultMaxLowering)
	setDefault(&s.LowerInterval, DefaultLowerInterval)
	setDefault(&s.RegistrationPeriod, DefaultRegistrationPeriod)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
