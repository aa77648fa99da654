package tppeer

import (
	"math"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// sumsPerProcess is the number of figures of a process on the wire.
	sumsPerProcess = 3
	// speedFraction is the unit of counts and speeds on the wire.
	speedFraction = 0.01
)

// speedsToWire returns nil for an empty list, which is not encoded.
func speedsToWire(speeds []tpmessage.TargetSpeed, witnesses int) *tpwire.SpeedSums {
	if len(speeds) == 0 {
		return nil
	}
	out := &tpwire.SpeedSums{
		Processes: make([]uint32, 0, len(speeds)), Sums: make([]uint32, 0, sumsPerProcess*len(speeds)),
		Witnesses: uint32(witnesses),
	}
	for _, s := range speeds {
		out.Processes = append(out.Processes, s.Process)
		out.Sums = append(out.Sums, speedToWire(s.ReadMs), speedToWire(s.Streams/speedFraction), speedToWire(s.StreamSpeeds/speedFraction))
	}
	return out
}

func speedToWire(v float64) uint32 { return uint32(min(math.Round(v), math.MaxUint32)) }

// speedsFromWire returns nil if the two lists do not fit together.
func speedsFromWire(m *tpwire.SpeedSums) []tpmessage.TargetSpeed {
	processes, sums := m.GetProcesses(), m.GetSums()
	if len(sums) != sumsPerProcess*len(processes) {
		return nil
	}
	var out []tpmessage.TargetSpeed
	for i, process := range processes {
		f := sums[sumsPerProcess*i:]
		out = append(out, tpmessage.TargetSpeed{
			Process: process, ReadMs: float64(f[0]), Streams: float64(f[1]) * speedFraction, StreamSpeeds: float64(f[2]) * speedFraction,
		})
	}
	return out
}
