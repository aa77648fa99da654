// Package tpintake decides which request bodies give way when the memory for
// bodies is used up, and which connections do when there are too many.
package tpintake

import (
	"errors"
	"time"
)

const (
	// progressWindow is the time after which the progress of a body is measured
	// anew, and a silence after which only the silence counts.
	progressWindow = time.Second
	// MinProgress is a floor in bytes per second. Below it all bodies count alike.
	// It is one byte within the 15 s that the front end waits for a whole body, so
	// no client inside the limits falls under it.
	MinProgress = 1.0 / 15
)

// Errors of Intake.
var (
	// ErrFull means that no other body can give way.
	ErrFull = errors.New("the memory for request bodies is used up")
	// ErrEnded means that the body gave way to another one.
	ErrEnded = errors.New("the request body gave way to another one")
	// ErrWait means that bodies which end will make room. The caller tries again
	// when one has been released.
	ErrWait = errors.New("the memory of bodies that end is not free yet")
)

// Limits holds the bounds, in bytes. Zero means none.
type Limits struct {
	Bytes        int64 // of all bodies
	AddressBytes int64 // of the bodies of one client address
}

// Body is a request body for which memory is held.
type Body struct {
	Address string
	Held    int64 // bytes of memory
	Reading bool  // the body has not been read completely
	Ended   bool  // the body gave way and will be released
	// Since is the start of the last completed window of progress, Mark that of
	// the present one. Before and Now are the bytes that arrived in them.
	Since, Mark time.Time
	Before, Now int64
	Last        time.Time // when the last bytes arrived, or the start
}

// Rate returns the progress in bytes per second: that of the last two windows,
// or one byte for the whole of a longer silence, because a body that has stopped
// would otherwise keep the rate of the burst before. A rate below MinProgress
// counts as zero.
func (b *Body) Rate(now time.Time) float64 {
	rate := float64(b.Before+b.Now) / max(now.Sub(b.Since), progressWindow).Seconds()
	if silence := now.Sub(b.Last); silence > progressWindow {
		rate = 1 / silence.Seconds()
	}
	if rate < MinProgress {
		return 0
	}
	return rate
}

// Address is the sum over the bodies of one client address.
type Address struct {
	Held   int64 // bytes, without those of bodies that end
	Bodies int   // without those that end
}

// Policy chooses the body that gives way to a body of the given address. Only a
// body that is being read may give way, because a refusal promises that the
// request has not run. If own is true, the address has reached its own bound, and
// only its bodies may give way. The result is nil if none does.
type Policy interface {
	Choose(now time.Time, incoming *Body, own bool, bodies map[*Body]bool, addresses map[string]*Address) *Body
}

// LargestAddress chooses the body with the lowest progress of the address that
// holds the most bytes, of those with several bodies if there are any. Without
// several bodies, only an address that holds more than the incoming body gives way.
type LargestAddress struct{}

// Choose implements Policy.
func (LargestAddress) Choose(now time.Time, incoming *Body, own bool, bodies map[*Body]bool, addresses map[string]*Address) *Body {
	var chosen *Body
	for b := range bodies {
		if b == incoming || b.Ended || !b.Reading || own && b.Address != incoming.Address {
			continue
		}
		if chosen == nil || before(now, b, chosen, addresses) {
			chosen = b
		}
	}
	if chosen == nil || own {
		return chosen
	}
	a, in := addresses[chosen.Address], addresses[incoming.Address]
	if a.Bodies < 2 && (in.Bodies > 1 || a.Held <= in.Held) {
		return nil
	}
	return chosen
}

// before reports whether a gives way before b.
func before(now time.Time, a, b *Body, addresses map[string]*Address) bool {
	if a.Address != b.Address {
		x, y := addresses[a.Address], addresses[b.Address]
		if (x.Bodies > 1) != (y.Bodies > 1) {
			return x.Bodies > 1
		}
		if x.Held != y.Held {
			return x.Held > y.Held
		}
		return a.Address < b.Address
	}
	if x, y := a.Rate(now), b.Rate(now); x != y {
		return x < y
	}
	return a.Held > b.Held
}

// FirstComeFirstServed is the naive variant: the incoming body is refused.
type FirstComeFirstServed struct{}

// Choose implements Policy.
func (FirstComeFirstServed) Choose(time.Time, *Body, bool, map[*Body]bool, map[string]*Address) *Body {
	return nil
}

// Intake counts the memory of request bodies. The zero value has no bounds. It is
// not safe for concurrent use.
type Intake[P Policy] struct {
	Limits Limits
	Policy P

	bodies    map[*Body]bool
	addresses map[string]*Address
	held      int64 // bytes, including those of bodies that end
	ending    int64 // bytes of bodies that end
}

// Reserve adds n bytes to a body, which it adds to the intake if it is new. It
// returns the bodies that end. Their owners must release them. The error is nil,
// ErrWait, ErrFull or ErrEnded; with an error nothing is added to the body, which
// stays in the intake until it is released.
func (i *Intake[P]) Reserve(now time.Time, b *Body, n int64) ([]*Body, error) {
	if b.Ended {
		return nil, ErrEnded
	}
	a := i.add(now, b)
	var ended []*Body
	for i.isOver(i.Limits.AddressBytes, a.Held+n) || i.isOver(i.Limits.Bytes, i.held-i.ending+n) {
		own := i.isOver(i.Limits.AddressBytes, a.Held+n)
		victim := i.Policy.Choose(now, b, own, i.bodies, i.addresses)
		if victim == nil {
			return ended, ErrFull
		}
		i.end(victim)
		ended = append(ended, victim)
	}
	if i.isOver(i.Limits.Bytes, i.held+n) {
		return ended, ErrWait
	}
	b.Held += n
	a.Held += n
	i.held += n
	return ended, nil
}

func (i *Intake[P]) isOver(limit, n int64) bool { return limit > 0 && n > limit }

func (i *Intake[P]) add(now time.Time, b *Body) *Address {
	if i.bodies == nil {
		i.bodies, i.addresses = make(map[*Body]bool), make(map[string]*Address)
	}
	a := i.addresses[b.Address]
	if a == nil {
		a = &Address{}
		i.addresses[b.Address] = a
	}
	if !i.bodies[b] {
		i.bodies[b] = true
		b.Reading, b.Since, b.Mark, b.Last = true, now, now, now
		a.Bodies++
	}
	return a
}

func (i *Intake[P]) end(b *Body) {
	b.Ended = true
	i.ending += b.Held
	i.leave(b)
}

// leave removes a body from the sum of its address.
func (i *Intake[P]) leave(b *Body) {
	a := i.addresses[b.Address]
	a.Held -= b.Held
	a.Bodies--
	if a.Bodies == 0 {
		delete(i.addresses, b.Address)
	}
}

// Progress records that n bytes of a body have arrived.
func (i *Intake[P]) Progress(now time.Time, b *Body, n int64) {
	if now.Sub(b.Mark) >= progressWindow {
		b.Since, b.Before, b.Mark, b.Now = b.Mark, b.Now, now, 0
	}
	b.Now += n
	b.Last = now
}

// Complete records that a body has been read. It gives way no more. The error is
// ErrEnded if it already did.
func (i *Intake[P]) Complete(b *Body) error {
	if b.Ended {
		return ErrEnded
	}
	b.Reading = false
	return nil
}

// Shrink returns n bytes of a body.
func (i *Intake[P]) Shrink(b *Body, n int64) {
	b.Held -= n
	i.held -= n
	if b.Ended {
		i.ending -= n
		return
	}
	i.addresses[b.Address].Held -= n
}

// Release removes a body.
func (i *Intake[P]) Release(b *Body) {
	if !i.bodies[b] {
		return
	}
	delete(i.bodies, b)
	i.held -= b.Held
	if b.Ended {
		i.ending -= b.Held
		return
	}
	i.leave(b)
}

// Stats holds the metrics of an intake.
type Stats struct {
	Bytes         int64 // that bodies hold
	Bodies        int
	GaveWay, Full uint64 // bodies that were turned away, by reason
}

// Held returns the bytes of memory that bodies hold, and their number.
func (i *Intake[P]) Held() (bytes int64, bodies int) { return i.held, len(i.bodies) }
