package tpanswer

import (
	"errors"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// MaxEarly is the number of chunks that are held until the ones before
	// them have come.
	MaxEarly = 16
	// Compared is the number of last delivered chunks whose repeats are
	// compared; older repeats are discarded unseen, which bounds the memory of
	// a long answer.
	Compared = 64
	// OverlapOther is the number of delivered chunks that another target is
	// asked to repeat, to be compared. The same target repeats one.
	OverlapOther = 8
)

// ErrDiverged is returned if a repeated chunk differs from the one that was
// delivered under the same number, so that the answer cannot be finished.
var ErrDiverged = errors.New("repeated chunk differs from the delivered one")

// ErrGap is returned if a chunk is still missing when MaxEarly later ones
// have come.
var ErrGap = errors.New("chunk is missing")

// Stats counts the chunks that were not delivered, and those that were held.
type Stats struct {
	Crossed uint64 // of another request
	Doubled uint64 // delivered or held before
	Late    uint64 // after the end
	Early   uint64 // held until their turn
}

// Assembler checks the chunks of one answer, from whichever target they come.
// It belongs to one stream task.
type Assembler struct {
	id     string
	next   int
	first  int
	hashes [Compared]uint64 // of the last delivered chunks, by number modulo Compared
	early  []tpmessage.Chunk
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

// Stats returns the counts of discarded and held chunks.
func (a *Assembler) Stats() Stats { return a.stats }

// Begin forgets the chunks held from an earlier attempt and returns the
// number from which the target is asked to continue. The target repeats up to
// overlap delivered chunks, which are compared.
func (a *Assembler) Begin(overlap int) int {
	a.early = a.early[:0]
	return max(a.next-min(overlap, Compared), a.first)
}

// Accept takes a chunk and appends to dst the chunks that are now to be
// delivered, in order. A chunk of another request and a repeated one are
// discarded and counted. ErrGap or ErrDiverged means that this target's
// chunks cannot continue the answer.
func (a *Assembler) Accept(c *tpmessage.Chunk, dst []tpmessage.Chunk) ([]tpmessage.Chunk, error) {
	switch {
	case c.RequestID != a.id:
		a.stats.Crossed++
		return dst, nil
	case a.ended:
		a.stats.Late++
		return dst, nil
	case c.Number < a.next:
		a.stats.Doubled++
		return dst, a.compare(c)
	case c.Number > a.next:
		return dst, a.hold(c)
	}
	dst = a.deliver(c, dst)
	for !a.ended {
		i := a.heldAt(a.next)
		if i < 0 {
			return dst, nil
		}
		held := a.early[i]
		a.early = append(a.early[:i], a.early[i+1:]...)
		dst = a.deliver(&held, dst)
	}
	return dst, nil
}

func (a *Assembler) deliver(c *tpmessage.Chunk, dst []tpmessage.Chunk) []tpmessage.Chunk {
	a.hashes[a.next%Compared] = hash(c)
	a.next++
	a.ended = c.End
	return append(dst, *c)
}

// compare checks a repeat of a delivered chunk that is recent enough.
func (a *Assembler) compare(c *tpmessage.Chunk) error {
	if c.Number < a.first || c.Number < a.next-Compared {
		return nil
	}
	if a.hashes[c.Number%Compared] != hash(c) {
		return ErrDiverged
	}
	return nil
}

func (a *Assembler) hold(c *tpmessage.Chunk) error {
	if a.heldAt(c.Number) >= 0 {
		a.stats.Doubled++
		return nil
	}
	if len(a.early) >= MaxEarly {
		return ErrGap
	}
	a.stats.Early++
	a.early = append(a.early, *c)
	return nil
}

func (a *Assembler) heldAt(number int) int {
	for i := range a.early {
		if a.early[i].Number == number {
			return i
		}
	}
	return -1
}

func hash(c *tpmessage.Chunk) uint64 {
	h := xxh3.HashString(c.Text)
	if c.End {
		return ^h
	}
	return h
}
