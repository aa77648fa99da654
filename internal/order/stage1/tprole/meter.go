package tprole

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
)

// DefaultHorizon is the time in which waiting work should be served, the
// objective for the first token.
const DefaultHorizon = 1500 * time.Millisecond

// Work is work in pieces.
type Work struct {
	Prefill, Decode float64
}

// Meter turns the usage of all nodes and the work that waits in the engines
// into a pool's demand. Usage alone would hide a demand that the present
// roles cannot serve, because admission lets through only what is served.
type Meter struct {
	// EngineRate is the work of one engine in prefilled pieces a second.
	EngineRate float64
	// Horizon is the time in which waiting work should be served.
	Horizon time.Duration

	at   time.Time
	used Work
}

// Observe takes the usage of all nodes since their start and the waiting work
// of all engines. It returns the demand since the last call, and false on the
// first call and when the usage has fallen because a node has gone.
func (m *Meter) Observe(now time.Time, used, waiting Work) (Demand, bool) {
	last, elapsed := m.used, now.Sub(m.at).Seconds()
	first := m.at.IsZero()
	m.used, m.at = used, now
	rise := Work{Prefill: used.Prefill - last.Prefill, Decode: used.Decode - last.Decode}
	if first || elapsed <= 0 || rise.Prefill < 0 || rise.Decode < 0 || m.EngineRate <= 0 {
		return Demand{}, false
	}
	horizon := m.Horizon.Seconds()
	if horizon <= 0 {
		horizon = DefaultHorizon.Seconds()
	}
	return Demand{
		Prefill: (rise.Prefill/elapsed + waiting.Prefill/horizon) / m.EngineRate,
		Decode:  (rise.Decode/elapsed + waiting.Decode/horizon) * tpload.DecodeWeight / m.EngineRate,
	}, true
}
