package tpanswer

import (
	"errors"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// ErrDiverged is returned if a repeated chunk differs from the one that was
// delivered under the same number, so that the answer cannot be finished.
var ErrDiverged = errors.New("repeated chunk differs from the delivered one")

// ErrGap is returned if a chunk is missing before the one that came.
var ErrGap = errors.New("chunk is missing")

// Stats counts the chunks that were not delivered.
type Stats struct {
	Crossed uint64 // of another request
	Doubled uint64 // delivered before
	Late    uint64 // after the end
}

// Assembler checks the chunks of one answer, from whichever target they come.
// It belongs to one stream task.
type Assembler struct {
	id     string
	next   int
	first  int
	hashes []uint64 // of the delivered chunks, from number first
	ended  bool
	stats  Stats
}

// New returns an assembler for the answer to request id that delivers from
// chunk number first.
func New(id string, first int) *Assembler {
	return &Assembler{id: id, next: first, first: first}
}

// Next returns the number of the next chunk to deliver.
func (a *Assembler) Next() int { return a.next }

// Ended reports whether the last chunk was delivered.
func (a *Assembler) Ended() bool { return a.ended }

// Stats returns the counts of discarded chunks.
func (a *Assembler) Stats() Stats { return a.stats }

// ResumeFrom returns the number from which a target is asked to continue. It
// overlaps by one delivered chunk, which is compared.
func (a *Assembler) ResumeFrom() int { return max(a.next-1, a.first) }

// Accept reports whether the chunk is the next one to deliver. A chunk that
// is not is discarded and counted; ErrGap or ErrDiverged means that this
// target's chunks cannot continue the answer.
func (a *Assembler) Accept(c *tpmessage.Chunk) (bool, error) {
	switch {
	case c.RequestID != a.id:
		a.stats.Crossed++
		return false, nil
	case a.ended:
		a.stats.Late++
		return false, nil
	case c.Number < a.first:
		a.stats.Doubled++
		return false, nil
	case c.Number < a.next:
		a.stats.Doubled++
		if a.hashes[c.Number-a.first] != hash(c) {
			return false, ErrDiverged
		}
		return false, nil
	case c.Number > a.next:
		return false, ErrGap
	}
	a.next++
	a.hashes = append(a.hashes, hash(c))
	a.ended = c.End
	return true, nil
}

func hash(c *tpmessage.Chunk) uint64 {
	h := xxh3.HashString(c.Text)
	if c.End {
		return ^h
	}
	return h
}
