package tpadmission

import (
	"cmp"
	"slices"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// DigestSize is the number of organisations whose usage one heartbeat carries.
// With 3 heartbeats a second and some 40 bytes each that is 8 KB of the 18 KB
// a second that a node may spend on control.
const DigestSize = 64

// digestKeep is the part of a score that is left after each digest, so that
// an organisation is named for some digests after its usage has risen.
const digestKeep = 0.9

// Digest selects the organisations whose usage rises most. The zero value is
// ready to use.
type Digest struct {
	last   map[string]float64
	scores map[string]float64
	sorted []tpmessage.Usage
}

// Select appends the usage of at most DigestSize organisations to dst. usage
// is what Queue.Usage returned.
func (d *Digest) Select(usage, dst []tpmessage.Usage) []tpmessage.Usage {
	if d.last == nil {
		d.last = make(map[string]float64)
		d.scores = make(map[string]float64)
	}
	for _, u := range usage {
		total := Cost(u.PrefillPieces, u.DecodePieces)
		d.scores[u.Organisation] = digestKeep*d.scores[u.Organisation] + total - d.last[u.Organisation]
		d.last[u.Organisation] = total
	}
	d.sorted = append(d.sorted[:0], usage...)
	slices.SortFunc(d.sorted, func(a, b tpmessage.Usage) int {
		return cmp.Or(
			cmp.Compare(d.scores[b.Organisation], d.scores[a.Organisation]),
			cmp.Compare(a.Organisation, b.Organisation),
		)
	})
	return append(dst, d.sorted[:min(len(d.sorted), DigestSize)]...)
}
