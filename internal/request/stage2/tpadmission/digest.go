package tpadmission

import (
	"cmp"
	"slices"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// UsageDigestSize is the maximum number of organisations whose usage one
// heartbeat carries. With 3 heartbeats per second and about 40 bytes for each
// organisation, this is 8 KB/s of the 18 KB/s that a node may use for control
// traffic.
const UsageDigestSize = 64

// scoreDecay is the factor by which each call of Select reduces the previous
// scores. It keeps an organisation in several digests after its usage has
// increased.
const scoreDecay = 0.9

// UsageDigest selects the organisations whose usage increases fastest. The zero
// value is ready to use.
type UsageDigest struct {
	lastTotals map[string]float64 // cost at the last Select, by organisation
	scores     map[string]float64 // decaying sums of the increases, by organisation
	sorted     []tpmessage.Usage
}

// Select appends the usage of at most UsageDigestSize organisations to dst, in
// order of decreasing score. usage is the result of Queue.Usage.
func (d *UsageDigest) Select(usage, dst []tpmessage.Usage) []tpmessage.Usage {
	if d.lastTotals == nil {
		d.lastTotals = make(map[string]float64)
		d.scores = make(map[string]float64)
	}
	for _, u := range usage {
		total := Cost(u.PrefillPieces, u.DecodePieces)
		d.scores[u.Organisation] = scoreDecay*d.scores[u.Organisation] + total - d.lastTotals[u.Organisation]
		d.lastTotals[u.Organisation] = total
	}
	d.sorted = append(d.sorted[:0], usage...)
	slices.SortFunc(d.sorted, func(a, b tpmessage.Usage) int {
		return cmp.Or(
			cmp.Compare(d.scores[b.Organisation], d.scores[a.Organisation]),
			cmp.Compare(a.Organisation, b.Organisation),
		)
	})
	return append(dst, d.sorted[:min(len(d.sorted), UsageDigestSize)]...)
}
