package tpanswer

import (
	"errors"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// MaxHeldChunks is the maximum number of chunks that are held until the
	// chunks before them arrive.
	MaxHeldChunks = 16
	// ComparedChunks is the number of most recently delivered chunks that
	// repeats are compared with. Repeats of older chunks are discarded without
	// a comparison, which bounds the memory for a long answer.
	ComparedChunks = 64
	// OtherTargetOverlap is the number of delivered chunks that another target
	// is asked to repeat for comparison. The target of the previous attempt
	// repeats one.
	OtherTargetOverlap = 8
)

// ErrDiverged is returned if a repeated chunk differs from the one that was
// delivered under the same number. The answer then cannot be completed.
var ErrDiverged = errors.New("repeated chunk differs from the delivered one")

// ErrGap is returned if a chunk is still missing when more later chunks have
// arrived than can be held.
var ErrGap = errors.New("chunk is missing")

// Stats counts the chunks that were discarded or held.
type Stats struct {
	WrongRequest uint64 // discarded chunks of another request
	Duplicate    uint64 // discarded chunks that were delivered or held before
	AfterEnd     uint64 // discarded chunks after the end of the answer
	OutOfOrder   uint64 // chunks held until the chunks before them arrived
}

// Assembler checks the chunks of one answer, which may come from several
// targets. It belongs to one stream task and is not safe for concurrent use.
type Assembler struct {
	id         string
	next       int                    // number of the next chunk to deliver
	first      int                    // number of the first chunk to deliver
	hashes     [ComparedChunks]uint64 // hashes of the last delivered chunks, by number modulo the array's length
	heldChunks []tpmessage.Chunk
	ended      bool
	stats      Stats
}

// New returns an assembler for the answer to request id. Delivery starts with
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

// Begin starts an attempt: it discards the held chunks of the previous one. It
// returns the number of the chunk from which the target is asked to continue.
// The target repeats up to overlap delivered chunks, which are compared.
func (a *Assembler) Begin(overlap int) int {
	a.heldChunks = a.heldChunks[:0]
	return max(a.next-min(overlap, ComparedChunks), a.first)
}

// Accept processes a chunk and appends to dst the chunks that can now be
// delivered, in order. It discards and counts a chunk of another request and a
// repeated chunk. After ErrGap or ErrDiverged, the chunks of this target cannot
// continue the answer.
func (a *Assembler) Accept(c *tpmessage.Chunk, dst []tpmessage.Chunk) ([]tpmessage.Chunk, error) {
	switch {
	case c.RequestID != a.id:
		a.stats.WrongRequest++
		return dst, nil
	case a.ended:
		a.stats.AfterEnd++
		return dst, nil
	case c.Number < a.next:
		a.stats.Duplicate++
		return dst, a.compare(c)
	case c.Number > a.next:
		return dst, a.hold(c)
	}
	dst = a.deliver(c, dst)
	for !a.ended {
		i := a.heldIndex(a.next)
		if i < 0 {
			return dst, nil
		}
		held := a.heldChunks[i]
		a.heldChunks = append(a.heldChunks[:i], a.heldChunks[i+1:]...)
		dst = a.deliver(&held, dst)
	}
	return dst, nil
}

func (a *Assembler) deliver(c *tpmessage.Chunk, dst []tpmessage.Chunk) []tpmessage.Chunk {
	a.hashes[a.next%ComparedChunks] = hash(c)
	a.next++
	a.ended = c.End
	return append(dst, *c)
}

// compare compares a repeated chunk with the delivered one if it is recent
// enough.
func (a *Assembler) compare(c *tpmessage.Chunk) error {
	if c.Number < a.first || c.Number < a.next-ComparedChunks {
		return nil
	}
	if a.hashes[c.Number%ComparedChunks] != hash(c) {
		return ErrDiverged
	}
	return nil
}

func (a *Assembler) hold(c *tpmessage.Chunk) error {
	if a.heldIndex(c.Number) >= 0 {
		a.stats.Duplicate++
		return nil
	}
	if len(a.heldChunks) >= MaxHeldChunks {
		return ErrGap
	}
	a.stats.OutOfOrder++
	a.heldChunks = append(a.heldChunks, *c)
	return nil
}

// heldIndex returns the index of a held chunk by its number, or -1.
func (a *Assembler) heldIndex(number int) int {
	for i := range a.heldChunks {
		if a.heldChunks[i].Number == number {
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
