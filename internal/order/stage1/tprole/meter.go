package tprole

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
)

// DefaultHorizon is the time in which waiting work should be served. It equals
// the latency objective for the first token.
const DefaultHorizon = 1500 * time.Millisecond

// Work is an amount of prefill and decode work in pieces of
// tpmessage.PieceTokens tokens.
type Work struct {
	Prefill, Decode float64
}

// DemandMeter computes a pool's demand from the usage of all nodes and the work
// that waits in the engines. Usage alone does not show demand above the
// capacity of the current roles, because admission accepts only work that can
// be served.
type DemandMeter struct {
	// EngineRate is the capacity of one engine in prefilled pieces per second.
	EngineRate float64
	// Horizon is the time in which waiting work should be served. If it is zero
	// or negative, DefaultHorizon applies.
	Horizon time.Duration

	lastAt time.Time
	used   Work
}

// Observe computes the demand since the previous call. used is the total usage
// of all nodes since their start, and waiting is the waiting work of all
// engines. Observe returns false if there is no demand to compute: on the first
// call, if no time has passed, if EngineRate is not positive, or if the usage
// has decreased because a node has left.
func (m *DemandMeter) Observe(now time.Time, used, waiting Work) (Demand, bool) {
	last, elapsed := m.used, now.Sub(m.lastAt).Seconds()
	first := m.lastAt.IsZero()
	m.used, m.lastAt = used, now
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
