package tpevent

import (
	"sync/atomic"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// DefaultRingCapacity is the number of events that wait for the recorder's
	// duty.
	DefaultRingCapacity = 8192
	// DefaultMaxEvents is the number of events that a recorder keeps.
	DefaultMaxEvents = 8192
)

// Settings configures a Recorder. The zero value is the default.
type Settings struct {
	// Process is the name of the process in its events.
	Process string
	// RingCapacity is the number of events that wait for the recorder's duty;
	// zero means DefaultRingCapacity.
	RingCapacity int
	// MaxEvents is the number of events that the recorder keeps; zero means
	// DefaultMaxEvents.
	MaxEvents int
	// Clock is the wall clock; nil means the system clock.
	Clock tpclock.Clock
}

// Recorder passes the events of a process to a duty that keeps the newest ones.
// Recording never blocks: if the ring is full, the event is counted and
// discarded. A nil Recorder discards all events.
type Recorder struct {
	process  string
	clock    HybridClock
	sequence atomic.Uint64
	in       *tpring.Ring[storeInput]
}

// storeInput is an event to store or, if reply is set, a query for the stored
// events.
type storeInput struct {
	event tpmessage.Event
	reply *tpring.Ring[[]tpmessage.Event]
}

// NewRecorder starts the duty that keeps the events. The clean-up function ends
// it. NewRecorder returns an error if r cannot start the duty.
func NewRecorder(cfg Settings, r *tpduty.Runner, rings *tpring.Group) (*Recorder, func(), error) {
	if cfg.RingCapacity <= 0 {
		cfg.RingCapacity = DefaultRingCapacity
	}
	if cfg.MaxEvents <= 0 {
		cfg.MaxEvents = DefaultMaxEvents
	}
	rec := &Recorder{
		process: cfg.Process,
		clock:   HybridClock{Clock: cfg.Clock},
		in:      tpring.New[storeInput](tpring.Settings{Capacity: cfg.RingCapacity}),
	}
	rings.Add("events", rec.in)
	s := &eventBuffer{buffer: make([]tpmessage.Event, 0, min(cfg.MaxEvents, 1024)), max: cfg.MaxEvents}
	cleanup, err := tpduty.StartFilter(r, "events", rec.in, s.handle)
	if err != nil {
		return nil, nil, err
	}
	return rec, cleanup, nil
}

// Record sets the time, process and sequence number of the event and passes it
// to the recorder's duty.
func (r *Recorder) Record(e tpmessage.Event) {
	if r == nil {
		return
	}
	e.Time = r.clock.Now()
	e.Process = r.process
	e.Sequence = r.sequence.Add(1)
	_ = r.in.TryPut(storeInput{event: e})
}

// Now returns the clock reading for an outgoing message.
func (r *Recorder) Now() tpmessage.HybridTime {
	if r == nil {
		return tpmessage.HybridTime{}
	}
	return r.clock.Now()
}

// Observe advances the clock beyond the reading of an incoming message.
func (r *Recorder) Observe(t tpmessage.HybridTime) {
	if r != nil {
		r.clock.Observe(t)
	}
}

// Events returns the events kept, oldest first. It returns nil after the
// clean-up.
func (r *Recorder) Events() []tpmessage.Event {
	if r == nil {
		return nil
	}
	reply := tpring.New[[]tpmessage.Event](tpring.Settings{Capacity: 1})
	if err := r.in.Put(storeInput{reply: reply}); err != nil {
		return nil
	}
	events, err := reply.Take()
	if err != nil {
		return nil
	}
	return events
}

// eventBuffer keeps the newest events in a circular buffer. It belongs to the
// recorder's duty and is not safe for concurrent use.
type eventBuffer struct {
	buffer []tpmessage.Event
	oldest int // index of the oldest event
	max    int
}

func (b *eventBuffer) handle(in storeInput) {
	if in.reply != nil {
		_ = in.reply.Put(b.snapshot())
		return
	}
	if len(b.buffer) < b.max {
		b.buffer = append(b.buffer, in.event)
		return
	}
	b.buffer[b.oldest] = in.event
	b.oldest = (b.oldest + 1) % b.max
}

func (b *eventBuffer) snapshot() []tpmessage.Event {
	events := make([]tpmessage.Event, 0, len(b.buffer))
	events = append(events, b.buffer[b.oldest:]...)
	return append(events, b.buffer[:b.oldest]...)
}
