package tpplace

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// speedTimeConstant is the time constant of the moving sums of observations.
	speedTimeConstant = 10 * time.Second
	// maxSpeedStep is the longest time between two samples of busy targets that
	// counts. The node was stopped or suspended in a longer one.
	maxSpeedStep = time.Second
	// readUnitMs is the time of reading that counts as one observation, about that
	// of a prompt. Less than one says nothing.
	readUnitMs = 300.0
	// priorSpeedCount is the number of observations at which the estimate of a
	// target lies halfway between its pool and what was observed.
	priorSpeedCount = 3.0
	// speedNoise is the relative difference between a target and its pool, times
	// the root of the number of observations, from which the target counts as
	// faster or slower. Equal engines stay below it.
	speedNoise = 1.0
	// minSpeedDifference is the smallest relative difference that counts.
	minSpeedDifference = 0.15
	// minPoolSpeedCount is the number of observations of a pool below which its
	// targets count as equal.
	minPoolSpeedCount = 16
	// minSpeedCoverage is the part of the reading of all nodes that must be known.
	// The known part differs between targets if only some nodes tell theirs.
	minSpeedCoverage = 0.4
	// A node tells the others what it has observed if it is a witness that targets
	// of a pool differ, or if more than one in nodesPerWitness of the nodes is.
	// Where all targets are equal, nothing is told but by chance.
	nodesPerWitness = 10
	// A node is a witness if, of its own observations, at least toldSpeeds and the
	// share toldShare are of targets faster than the median of their pool by
	// toldSpeedDifference, or twice as many of slower ones. Of readings, the slow
	// ones must have the share toldSlowReads, because a target often seems to read
	// slowly because of unknown work.
	toldSpeeds, toldShare, toldSlowReads, toldSpeedDifference = 3, 0.1, 0.4, 0.25
	// minToldCount and minToldMs are the number of streams and the reading time
	// from which the observations of a target are told. A stream falls below it in
	// 12 s, and a prompt of 200 ms in 16 s.
	minToldCount, minToldMs = 0.3, 40.0
)

// speedSum is a moving sum of observed speeds, relative to the reference speed.
type speedSum struct {
	count, sum float64
}

func (s *speedSum) add(o speedSum) {
	s.count += o.count
	s.sum += o.sum
}

func (s *speedSum) scale(f float64) {
	s.count *= f
	s.sum *= f
}

// observe adds the ratio of the observed time to the time at the reference speed.
func (s *speedSum) observe(ratio float64) { s.add(speedSum{count: 1, sum: boundedSpeed(1 / ratio)}) }

// boundedSpeed applies the bounds of the factor of all targets, so that wrong
// observations have a limited effect.
func boundedSpeed(speed float64) float64 { return min(max(speed, 1/maxTimeFactor), 1/minTimeFactor) }

// speeds is what is known of the speed of a target's process. A prompt that waits
// behind unknown work of other nodes takes long at a fast target too, so the speed
// of reading is computed from the work that all nodes' steps have finished and
// the time for which there was work.
type speeds struct {
	ownReadMs, peerReadMs   float64 // of finished steps, in milliseconds at the reference speed
	busyMs                  float64 // time for which prompts were to be read
	ownStreams, peerStreams speedSum
	// undisturbed is the speeds of own prompts that had no others before them as
	// far as is known. They show at one node whether targets differ, and count for
	// twice the time because they are few.
	undisturbed speedSum
	// peersReadAt is the last time at which other nodes had prompts to be read.
	peersReadAt time.Time
}

// reads returns the number of observations of reading, and the mean speed.
func (s *speeds) reads() (count, speed float64) {
	if s.busyMs < readUnitMs {
		return 0, 0
	}
	return s.busyMs / readUnitMs, boundedSpeed((s.ownReadMs + s.peerReadMs) / s.busyMs)
}

// mean returns the number of observations and their mean.
func (s speedSum) mean() (count, mean float64) {
	if s.count == 0 {
		return 0, 0
	}
	return s.count, s.sum / s.count
}

// streams returns the number of observations of generating, and the mean speed.
func (s *speeds) streams() (count, speed float64) {
	all := s.ownStreams
	all.add(s.peerStreams)
	return all.mean()
}

// factors are the times that a target takes for its work, relative to the mean
// of its pool.
type factors struct {
	read, stream float64
}

// processHash identifies the process of a target in what nodes tell each other
// of speeds.
func processHash(t *tpmessage.RelayTarget) uint32 {
	var start [8]byte
	binary.LittleEndian.PutUint64(start[:], uint64(t.StartedMs))
	return uint32(xxh3.HashStringSeed(t.Name, xxh3.Hash(start[:])))
}

// advanceSpeeds moves the sums of observations to the time now. Targets with
// prompts to be read were busy since the last call.
func (p *Placer[P]) advanceSpeeds(now time.Time) {
	passed := now.Sub(p.speedsAt)
	p.speedsAt = now
	if passed <= 0 || passed > maxSpeedStep {
		return
	}
	decay := math.Exp(-passed.Seconds() / speedTimeConstant.Seconds())
	for _, t := range p.targets {
		s := &t.speeds
		s.ownStreams.scale(decay)
		s.undisturbed.scale(math.Sqrt(decay))
		s.ownReadMs *= decay
		s.busyMs *= decay
		if t.Role == tpmessage.RolePrefill && t.totalPrefill() > 0 {
			s.busyMs += passed.Seconds() * 1000
		}
	}
}

// speedLoads returns what this node has observed of the speeds of targets, sorted
// by process, and the number of witnesses that it is, 0 or 1. It returns nil if
// nothing is to be told.
func (p *Placer[P]) speedLoads() (list []tpmessage.TargetSpeed, witnesses int) {
	if p.seesDifference() {
		witnesses = 1
	} else if p.peerWitnesses <= p.nodes/nodesPerWitness {
		return nil, 0
	}
	for process, t := range p.processes {
		s := &t.speeds
		if s.ownReadMs >= minToldMs || s.ownStreams.count >= minToldCount {
			list = append(list, tpmessage.TargetSpeed{
				Process: process, ReadMs: s.ownReadMs,
				Streams: s.ownStreams.count, StreamSpeeds: s.ownStreams.sum,
			})
		}
	}
	slices.SortFunc(list, func(a, b tpmessage.TargetSpeed) int { return cmp.Compare(a.Process, b.Process) })
	return list, witnesses
}

// seesDifference reports whether this node's own observations show that the
// targets of a pool differ.
func (p *Placer[P]) seesDifference() bool {
	var reads, streams differences
	for _, pool := range p.pools {
		p.means = reads.add(p.means[:0], pool, func(t *target) speedSum { return t.speeds.undisturbed })
		p.means = streams.add(p.means[:0], pool, func(t *target) speedSum { return t.speeds.ownStreams })
	}
	return reads.enough(toldSlowReads) || streams.enough(toldShare)
}

// differences counts the observations of a kind, and of these those of targets
// that differ from the median of their pool.
type differences struct {
	slow, fast, count float64
}

// add adds the observations of the targets of a pool. It returns scratch, in which
// it sorts them.
func (d *differences) add(scratch []speedSum, pool []*target, observed func(*target) speedSum) []speedSum {
	total := 0.0
	for _, t := range pool {
		if n, mean := observed(t).mean(); n > 0 {
			scratch = append(scratch, speedSum{count: n, sum: mean})
			total += n
		}
	}
	slices.SortFunc(scratch, func(a, b speedSum) int { return cmp.Compare(a.sum, b.sum) })
	below, median := 0.0, 0.0
	for _, m := range scratch {
		if below += m.count; below >= total/2 {
			median = m.sum
			break
		}
	}
	d.count += total
	for _, m := range scratch {
		switch {
		case m.sum <= median*(1-toldSpeedDifference):
			d.slow += m.count
		case m.sum >= median*(1+toldSpeedDifference):
			d.fast += m.count
		}
	}
	return scratch
}

// enough reports whether the differences are more than chance, where slowShare is
// the least share of slow observations.
func (d *differences) enough(slowShare float64) bool {
	return d.fast >= toldSpeeds && d.fast >= toldShare*d.count || d.slow >= 2*toldSpeeds && d.slow >= slowShare*d.count
}

// setPeerSpeeds replaces what the other nodes have observed of the speeds of
// targets.
func (p *Placer[P]) setPeerSpeeds(now time.Time, nodes []tpmessage.NodeLoad) {
	for _, t := range p.targets {
		t.speeds.peerReadMs, t.speeds.peerStreams = 0, speedSum{}
		if t.peerLoad.Prefill != [tpmessage.NumPriorities]int{} {
			t.speeds.peersReadAt = now
		}
	}
	p.peerWitnesses = 0
	for i := range nodes {
		if nodes[i].Node == p.cfg.Node || now.Sub(nodes[i].At) > loadMaxAge {
			continue
		}
		p.peerWitnesses += nodes[i].SpeedWitnesses
		for _, l := range nodes[i].Speeds {
			if t, ok := p.processes[l.Process]; ok {
				t.speeds.peerReadMs += l.ReadMs
				t.speeds.peerStreams.add(speedSum{count: l.Streams, sum: l.StreamSpeeds})
			}
		}
	}
}

// updateFactors estimates the factors of all targets from the observations of
// all nodes.
func (p *Placer[P]) updateFactors() {
	read, busy := 0.0, 0.0
	for _, t := range p.targets {
		read += t.speeds.ownReadMs + t.speeds.peerReadMs
		busy += t.speeds.busyMs
	}
	covered := read*max(1, p.prefillTimeFactor.value()) >= minSpeedCoverage*busy
	for _, pool := range p.pools {
		var read, stream poolSpeed
		for _, t := range pool {
			read.add(t.speeds.reads())
			stream.add(t.speeds.streams())
		}
		for _, t := range pool {
			t.factors.stream = stream.factor(t.speeds.streams())
			n, speed := t.speeds.reads()
			switch {
			case !covered:
				t.factors.read = 1
			case n == 0:
				// A target that has only generated so far is taken to read at the
				// same relative speed.
				t.factors.read = t.factors.stream
			default:
				// The prompts that the target still reads may be nearly finished.
				rest := float64(t.totalPrefill()) / PrefillTokensPerMs / t.speeds.busyMs
				t.factors.read = read.factor(n, max(speed, min(speed+rest, read.mean())))
			}
		}
	}
}

// poolSpeed is the mean speed of a pool's targets, weighted with the confidence in
// their speeds.
type poolSpeed struct {
	count, sum, weights float64
}

// confidence returns the weight of a mean of n observations, between 0 and 1.
func confidence(n float64) float64 { return n / (n + priorSpeedCount) }

func (p *poolSpeed) add(n, speed float64) {
	p.count += n
	p.sum += confidence(n) * speed
	p.weights += confidence(n)
}

// mean returns the mean speed of the pool, or 0 if nothing was observed.
func (p *poolSpeed) mean() float64 { return p.sum / max(p.weights, math.SmallestNonzeroFloat64) }

// difference returns by how much the speed of a target, observed n times, differs
// from that of the pool, relative to it.
func (p *poolSpeed) difference(n, speed float64) float64 {
	if n <= 0 || p.sum <= 0 {
		return 0
	}
	return speed/p.mean() - 1
}

// factor returns the time that a target takes relative to the pool. It is 1
// unless there is enough evidence that the target differs.
func (p *poolSpeed) factor(n, speed float64) float64 {
	difference := p.difference(n, speed)
	if p.count < minPoolSpeedCount || math.Abs(difference) < max(minSpeedDifference, speedNoise/math.Sqrt(n)) {
		return 1
	}
	return min(max(1/max(1+confidence(n)*difference, 1/maxTimeFactor), minTimeFactor), maxTimeFactor)
}
