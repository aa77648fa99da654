package tpplace

import "time"

// minSample is the smallest number of targets that a sample holds for each of
// the two groups, the targets in the node's zone and the others.
const minSample = 2

// sample reduces the candidates in the view to a random sample and returns it.
// The loads of the other nodes are known with a delay. If all nodes chose the
// best of all targets, they would all choose the same one until the next loads
// arrive. The best of a few random targets is nearly as good and spreads the
// work. Targets for which keep returns true are always in the sample.
func (p *Placer[P]) sample(now time.Time, candidates []*target, keep func(*target) bool) []*target {
	size := p.sampleSize(now, len(candidates))
	if size >= len(candidates) {
		return candidates
	}
	// A partial Fisher-Yates shuffle moves the sample to the front.
	n, near, far := 0, 0, 0
	for i := range candidates {
		j := i
		if t := candidates[i]; !keep(t) {
			j = i + p.random.IntN(len(candidates)-i)
		}
		candidates[i], candidates[j] = candidates[j], candidates[i]
		t := candidates[i]
		group := &far
		if t.Zone == p.cfg.Zone {
			group = &near
		}
		if *group >= size && !keep(t) {
			continue
		}
		*group++
		candidates[n], candidates[i] = candidates[i], candidates[n]
		n++
	}
	p.view.targets = candidates[:n]
	return p.view.targets
}

// sampleSize returns the number of targets of each group in a sample of n
// candidates. It is smaller the more requests the other nodes are expected to
// have placed since their loads were measured.
func (p *Placer[P]) sampleSize(now time.Time, n int) int {
	if p.peerNodes == 0 {
		return n
	}
	unknown := p.arrivals.value(now) * float64(p.peerNodes) * now.Sub(p.oldestLoad).Seconds()
	return max(minSample, int(float64(n)/(1+unknown)))
}
