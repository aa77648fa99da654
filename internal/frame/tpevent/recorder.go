package tpevent

import (
	"sync/atomic"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Default sizes of a recorder, in events.
const (
	DefaultRingCapacity = 8192
	DefaultKept         = 8192
)

// Settings configures a Recorder. The zero value is the default.
type Settings struct {
	// Process names the process in its events.
	Process string
	// RingCapacity is the number of events that wait for the store.
	RingCapacity int
	// Kept is the number of events that the store keeps.
	Kept int
	// Clock is the wall clock; nil means the system clock.
	Clock tpclock.Clock
}

// Recorder passes events from the filters of a process to its store duty.
// Recording never blocks: an event that finds the ring full is counted and
// discarded. A nil Recorder discards all events.
type Recorder struct {
	process  string
	clock    HybridClock
	sequence atomic.Uint64
	in       *tpring.Ring[input]
}

// input is an event to store, or a query to answer.
type input struct {
	event tpmessage.Event
	reply *tpring.Ring[[]tpmessage.Event]
}

// NewRecorder starts the store duty. The clean-up function ends it.
func NewRecorder(cfg Settings, r *tpduty.Runner, rings *tpring.Group) (*Recorder, func(), error) {
	if cfg.RingCapacity <= 0 {
		cfg.RingCapacity = DefaultRingCapacity
	}
	if cfg.Kept <= 0 {
		cfg.Kept = DefaultKept
	}
	rec := &Recorder{
		process: cfg.Process,
		clock:   HybridClock{Clock: cfg.Clock},
		in:      tpring.New[input](tpring.Settings{Capacity: cfg.RingCapacity}),
	}
	rings.Add("events", rec.in)
	s := &store{kept: make([]tpmessage.Event, 0, min(cfg.Kept, 1024)), max: cfg.Kept}
	cleanup, err := tpduty.Filter(r, "events", rec.in, s.handle)
	if err != nil {
		return nil, nil, err
	}
	return rec, cleanup, nil
}

// Record stamps the event and passes it on.
func (r *Recorder) Record(e tpmessage.Event) {
	if r == nil {
		return
	}
	e.Time = r.clock.Now()
	e.Process = r.process
	e.Sequence = r.sequence.Add(1)
	_ = r.in.TryPut(input{event: e})
}

// Now returns the reading that an outgoing message carries.
func (r *Recorder) Now() tpmessage.HybridTime {
	if r == nil {
		return tpmessage.HybridTime{}
	}
	return r.clock.Now()
}

// Observe moves the clock past the reading of an incoming message.
func (r *Recorder) Observe(t tpmessage.HybridTime) {
	if r != nil {
		r.clock.Observe(t)
	}
}

// Events returns the stored events, oldest first, or nil after the clean-up.
func (r *Recorder) Events() []tpmessage.Event {
	if r == nil {
		return nil
	}
	reply := tpring.New[[]tpmessage.Event](tpring.Settings{Capacity: 1})
	if err := r.in.Put(input{reply: reply}); err != nil {
		return nil
	}
	events, err := reply.Take()
	if err != nil {
		return nil
	}
	return events
}

// store keeps the newest events in a circular buffer. It belongs to the store
// duty alone.
type store struct {
	kept []tpmessage.Event
	next int
	max  int
}

func (s *store) handle(in input) {
	if in.reply != nil {
		_ = in.reply.Put(s.snapshot())
		return
	}
	if len(s.kept) < s.max {
		s.kept = append(s.kept, in.event)
		return
	}
	s.kept[s.next] = in.event
	s.next = (s.next + 1) % s.max
}

func (s *store) snapshot() []tpmessage.Event {
	events := make([]tpmessage.Event, 0, len(s.kept))
	events = append(events, s.kept[s.next:]...)
	return append(events, s.kept[:s.next]...)
}
