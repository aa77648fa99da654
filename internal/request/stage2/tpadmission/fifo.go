package tpadmission

// fifo is a first-in, first-out queue that reuses its memory. The zero value
// is empty.
type fifo[T any] struct {
	buf  []T
	head int
}

func (q *fifo[T]) len() int { return len(q.buf) - q.head }

func (q *fifo[T]) first() *T { return &q.buf[q.head] }

func (q *fifo[T]) push(v T) {
	if q.head > 0 && len(q.buf) == cap(q.buf) {
		n := copy(q.buf, q.buf[q.head:])
		clear(q.buf[n:])
		q.buf = q.buf[:n]
		q.head = 0
	}
	q.buf = append(q.buf, v)
}

func (q *fifo[T]) pop() T {
	var zero T
	v := q.buf[q.head]
	q.buf[q.head] = zero
	q.head++
	if q.head == len(q.buf) {
		q.buf = q.buf[:0]
		q.head = 0
	}
	return v
}

func (q *fifo[T]) popLast() T {
	var zero T
	last := len(q.buf) - 1
	v := q.buf[last]
	q.buf[last] = zero
	q.buf = q.buf[:last]
	return v
}

// filter removes the values for which keep returns false.
func (q *fifo[T]) filter(keep func(*T) bool) {
	kept := q.buf[:0]
	for i := q.head; i < len(q.buf); i++ {
		if keep(&q.buf[i]) {
			kept = append(kept, q.buf[i])
		}
	}
	clear(q.buf[len(kept):])
	q.buf = kept
	q.head = 0
}
