package tpring

import (
	"context"
	"errors"
	"sync"
)

// DefaultCapacity is the capacity, in values, of a ring whose Settings do not
// set one.
const DefaultCapacity = 64

// initialSlots is the largest number of values for which a new ring allocates
// memory. The buffer grows on demand, because a circular buffer writes to all
// of its slots over time, even if it holds few values. Growing buffers reduce
// the memory of a new node from 25.7 MB to 23.4 MB.
const initialSlots = 16

// ErrClosed is returned by a put on a closed ring, and by a take on a closed
// ring that is empty.
var ErrClosed = errors.New("ring is closed")

// ErrFull is returned by TryPut if the ring holds as many values as its
// capacity, and by TryPutBelow if it holds as many as the given limit.
var ErrFull = errors.New("ring is full")

// ErrEmpty is returned by TryTake if the ring is open and empty.
var ErrEmpty = errors.New("ring is empty")

// Settings configures a ring.
type Settings struct {
	// Capacity is the largest number of values that the ring holds. If it is
	// not positive, it is DefaultCapacity.
	Capacity int
}

// Stats is a snapshot of a ring's counters.
type Stats struct {
	Depth     int    `json:"depth"`     // number of values in the ring
	Capacity  int    `json:"capacity"`  // largest Depth
	HighWater int    `json:"highWater"` // largest Depth since the ring was created
	Puts      uint64 `json:"puts"`      // values appended
	Refused   uint64 `json:"refused"`   // puts that returned ErrFull
	Dropped   uint64 `json:"dropped"`   // values discarded by PutDropOldest
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

// New returns an open ring with the capacity of cfg.
func New[T any](cfg Settings) *Ring[T] {
	r := &Ring[T]{capacity: cfg.Capacity}
	r.mu.Lock()
	r.init()
	r.mu.Unlock()
	return r
}

// init allocates the buffer on first use. The caller must hold mu.
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

// Put appends v to the ring. It blocks while the ring is full, and returns
// ErrClosed if the ring is closed before there is room.
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

// PutContext appends v to the ring. It blocks while the ring is full. Before
// there is room, it returns ErrClosed if the ring is closed and the error of
// ctx if ctx is done.
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

// TryPut appends v to the ring without blocking. If the ring is full, it
// returns ErrFull and increments Stats.Refused. It returns ErrClosed if the
// ring is closed.
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

// TryPutBelow appends v to the ring without blocking if the ring holds fewer
// than limit values. Otherwise it returns ErrFull and increments Stats.Refused.
// The limit reserves the rest of the capacity for producers that must not wait.
// It returns ErrClosed if the ring is closed.
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

// PutDropOldest appends v to the ring without blocking. If the ring is full, it
// discards the oldest value and increments Stats.Dropped. It returns ErrClosed
// if the ring is closed.
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

// Take removes and returns the oldest value. It blocks while the ring is open
// and empty. After Close it returns the remaining values, then ErrClosed.
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

// TryTake removes and returns the oldest value without blocking. If the ring is
// empty, it returns ErrEmpty if the ring is open and ErrClosed if it is closed.
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

// Close closes the ring. Later puts return ErrClosed, and takes return the
// remaining values before ErrClosed. Close may be called more than once.
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

// push appends v. The caller must hold mu, and the ring must not be full.
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

// grow doubles the buffer, up to the capacity. The caller must hold mu.
func (r *Ring[T]) grow() {
	buf := make([]T, min(r.capacity, 2*len(r.buf)))
	n := copy(buf, r.buf[r.head:])
	copy(buf[n:], r.buf[:r.head])
	r.buf, r.head = buf, 0
}

// pop removes and returns the oldest value. The caller must hold mu, and the
// ring must not be empty.
func (r *Ring[T]) pop() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.n--
	return v
}
