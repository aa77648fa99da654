package tprelay

import (
	"errors"
	"fmt"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// errNotContinued is returned for an answer that does not continue the stream of
// which the client has a part.
var errNotContinued = errors.New("the answer does not continue the stream")

// continuation checks whether the answer of a further target continues a stream
// exactly. The zero value belongs to a stream without events.
type continuation struct {
	head       *tpmessage.AnswerHead // of the stream, as the client has it
	unnumbered bool                  // the client has an event without a number
	steps      int                   // events that had the number after that of the event before
	gaps       int                   // events that had another number

	resumed   bool // the current answer has to continue a stream
	lastEvent int  // number of the last event before the current answer, or -1
	reached   bool // the current answer has shown this event or a later one
	earlier   bool // the current answer has shown an earlier event
	framed    bool // the current answer says itself where it ends
}

// begin starts the answer of a further target. Resumed is true if the client has
// a part of the stream, and lastEvent the number of the last event in it, or -1.
func (c *continuation) begin(resumed bool, lastEvent int) {
	c.resumed, c.lastEvent = resumed, lastEvent
	c.reached, c.earlier, c.framed = false, false, false
}

// check returns an error that matches errNotContinued if the stream cannot go on
// with a part. LastEvent is the number of the last event that the client has, or
// -1.
func (c *continuation) check(part *tpmessage.AnswerPart, lastEvent int) error {
	if !c.resumed {
		return nil
	}
	if err := c.checkHead(part.Head, true); err != nil {
		return err
	}
	if part.Head != nil {
		c.framed = part.Head.Framed
	}
	c.reached = c.reached || part.Event >= 0 && part.Event >= c.lastEvent
	c.earlier = c.earlier || part.Event >= 0 && part.Event < c.lastEvent
	switch {
	case part.Event < 0 && len(part.Data) > 0 && !part.Comment:
		return fmt.Errorf("%w: event without a number after event %d", errNotContinued, lastEvent)
	case part.Event > lastEvent+1 && c.steps > 0 && c.gaps == 0:
		return fmt.Errorf("%w: event %d after event %d", errNotContinued, part.Event, lastEvent)
	case part.End && !c.reached && (c.earlier || !c.framed):
		// A framed answer without events continues a stream whose last event the
		// client has.
		return fmt.Errorf("%w: end before event %d", errNotContinued, c.lastEvent)
	}
	return nil
}

// checkHead returns an error that matches errNotContinued if an answer with this
// head cannot continue the stream. Resumed is true if the client has a part of
// the stream.
func (c *continuation) checkHead(h *tpmessage.AnswerHead, resumed bool) error {
	if resumed && h != nil && (c.unnumbered || c.head == nil || h.Status != c.head.Status || h.MediaType != c.head.MediaType) {
		return fmt.Errorf("%w: status %d, type %q", errNotContinued, h.Status, h.MediaType)
	}
	return nil
}

// record adds a part that is delivered to the client after event lastEvent. The
// first number of a stream need not be 0.
func (c *continuation) record(part *tpmessage.AnswerPart, lastEvent int) {
	if part.Head != nil {
		c.head = part.Head
	}
	switch {
	case part.Event < 0:
		c.unnumbered = c.unnumbered || len(part.Data) > 0 && !part.Comment
	case part.Event == lastEvent+1:
		c.steps++
	case lastEvent >= 0:
		c.gaps++
	}
}
