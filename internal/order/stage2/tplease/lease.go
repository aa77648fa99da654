package tplease

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Defaults of a lease.
const (
	DefaultTerm   = 3 * time.Second
	DefaultRenew  = time.Second
	DefaultMargin = time.Second
)

// retryFraction is the part of Renew after which a failed call is repeated.
const retryFraction = 4

// maxPollShift bounds the interval between the reads of a low-ranked
// candidate at Renew << maxPollShift, so that all candidates of a region
// together read less often than the first one.
const maxPollShift = 6

// Settings configures a lease. The zero value of each duration is its default.
type Settings struct {
	Name   string // of the object
	Holder string // name of this candidate
	// Incarnation tells this process from every other one, also from an
	// earlier process of the same name.
	Incarnation string
	Term        time.Duration
	Renew       time.Duration
	Margin      time.Duration
}

func (s *Settings) setDefaults() {
	if s.Term <= 0 {
		s.Term = DefaultTerm
	}
	if s.Renew <= 0 {
		s.Renew = DefaultRenew
	}
	if s.Margin <= 0 {
		s.Margin = DefaultMargin
	}
}

// ActionKind tells what the lease asks of its duty.
type ActionKind uint8

// Kinds of actions.
const (
	ActionWait ActionKind = iota // until Action.At, or until the rank changes
	ActionRead
	ActionWrite
	ActionEnd // the lease was released, or never held
)

// Action is the next platform call, or a wait.
type Action struct {
	Kind    ActionKind
	At      time.Time       // of ActionWait
	Lease   tpmessage.Lease // of ActionWrite
	Version uint64          // of ActionWrite: the version that is replaced
}

// Seen is what a read returned. A zero version means that there is no object.
type Seen struct {
	Lease   tpmessage.Lease
	Version uint64
}

// attempt is a write whose result is not known.
type attempt struct {
	lease tpmessage.Lease
	sent  time.Time
}

// Lease decides about one lease for one candidate. The caller performs one
// action at a time. All instants are readings of the candidate's own
// monotonic clock.
type Lease[T Trust] struct {
	cfg       Settings
	trust     T
	seen      Seen
	seenAt    time.Time // when the answer with the seen version arrived
	known     bool      // seen is the answer to the last read or write
	readAt    time.Time // when a candidate reads next
	retryAt   time.Time // no call before, after a failure
	held      bool
	deadline  time.Time // of the holder
	renewAt   time.Time
	pending   *attempt
	attempts  uint64
	rank      int
	raise     uint64 // the fencing number is to rise above it
	releasing bool
	ended     bool
}

// New returns a lease that is not held.
func New[T Trust](cfg Settings, trust T) *Lease[T] {
	cfg.setDefaults()
	return &Lease[T]{cfg: cfg, trust: trust}
}

// SetRank sets the number of other candidates that should try first.
func (l *Lease[T]) SetRank(rank int) { l.rank = rank }

// RaiseAbove asks a holder for a grant to itself with a fencing number above
// fencing, so that what it sent under that number loses its effect.
func (l *Lease[T]) RaiseAbove(fencing uint64) { l.raise = max(l.raise, fencing) }

// Release asks for the release of the lease on a planned stop.
func (l *Lease[T]) Release() { l.releasing = true }

// Acts reports whether this candidate may act as the holder.
func (l *Lease[T]) Acts(now time.Time) bool {
	return l.held && now.Before(l.trust.Until(l.deadline))
}

// Authority returns the authority that this candidate has.
func (l *Lease[T]) Authority() tpmessage.Authority {
	return tpmessage.Authority{
		Lease:   l.cfg.Name,
		Held:    l.held && !l.releasing,
		Fencing: l.seen.Lease.Fencing,
		Until:   l.trust.Until(l.deadline),
		Fenced:  l.trust.Fenced(),
	}
}

// Holder returns the name of the holder that was last seen.
func (l *Lease[T]) Holder() string { return l.seen.Lease.Holder }

// Owns reports whether an object's value is a grant to this process.
func (s *Settings) Owns(value tpmessage.Lease) bool {
	return value.Holder == s.Holder && strings.HasPrefix(value.Nonce, s.Incarnation+"/")
}

// Next returns the next action. now is read before the action is performed,
// since a holder's term counts from before its write was sent.
func (l *Lease[T]) Next(now time.Time) Action {
	switch {
	case l.ended:
		return Action{Kind: ActionEnd}
	case now.Before(l.retryAt):
		return Action{Kind: ActionWait, At: l.retryAt}
	case !l.known:
		return Action{Kind: ActionRead}
	case l.held:
		return l.nextOfHolder(now)
	case l.releasing:
		l.ended = true
		return Action{Kind: ActionEnd}
	}
	return l.nextOfCandidate(now)
}

func (l *Lease[T]) nextOfHolder(now time.Time) Action {
	if l.releasing {
		return l.write(now, tpmessage.Lease{Name: l.cfg.Name, Fencing: l.seen.Lease.Fencing, Term: l.cfg.Term})
	}
	fencing := l.seen.Lease.Fencing
	if fencing <= l.raise && l.trust.Fenced() {
		return l.write(now, l.grant(fencing+1))
	}
	if now.Before(l.renewAt) {
		return Action{Kind: ActionWait, At: l.renewAt}
	}
	return l.write(now, l.grant(fencing))
}

func (l *Lease[T]) nextOfCandidate(now time.Time) Action {
	takeAt := l.seenAt.Add(time.Duration(l.rank) * l.cfg.Margin)
	if l.seen.Lease.Holder != "" {
		takeAt = takeAt.Add(max(l.cfg.Term, l.seen.Lease.Term) + l.cfg.Margin)
	}
	if !now.Before(takeAt) {
		fencing := l.seen.Lease.Fencing + 1
		if !l.trust.Fenced() {
			fencing = 1
		}
		return l.write(now, l.grant(fencing))
	}
	if !now.Before(l.readAt) {
		return Action{Kind: ActionRead}
	}
	if takeAt.Before(l.readAt) {
		return Action{Kind: ActionWait, At: takeAt}
	}
	return Action{Kind: ActionWait, At: l.readAt}
}

func (l *Lease[T]) grant(fencing uint64) tpmessage.Lease {
	return tpmessage.Lease{Name: l.cfg.Name, Holder: l.cfg.Holder, Fencing: fencing, Term: l.cfg.Term}
}

func (l *Lease[T]) write(now time.Time, value tpmessage.Lease) Action {
	l.attempts++
	value.Nonce = l.cfg.Incarnation + "/" + strconv.FormatUint(l.attempts, 10)
	l.pending = &attempt{lease: value, sent: now}
	return Action{Kind: ActionWrite, Lease: value, Version: l.seen.Version}
}

// Wrote takes the result of the write that Next asked for. err matches a
// sentinel of tpobject.
func (l *Lease[T]) Wrote(now time.Time, version uint64, err error) {
	switch {
	case err == nil:
		l.see(now, Seen{Lease: l.pending.lease, Version: version})
	case errors.Is(err, tpobject.ErrConflict):
		l.pending = nil
		l.known = false
	case errors.Is(err, tpobject.ErrOutcomeUnknown):
		// The write may have taken effect, or may still do so: the object is
		// read back, and its nonce tells.
		l.known = false
	default:
		l.pending = nil
		l.retryAt = now.Add(l.cfg.Renew / retryFraction)
	}
}

// Read takes the result of the read that Next asked for. A missing object is
// a zero Seen and no error.
func (l *Lease[T]) Read(now time.Time, seen Seen, err error) {
	if err != nil {
		l.retryAt = now.Add(l.cfg.Renew / retryFraction)
		return
	}
	l.see(now, seen)
}

// see takes the value that the object had at some instant before now.
func (l *Lease[T]) see(now time.Time, seen Seen) {
	if seen.Version != l.seen.Version || l.seenAt.IsZero() {
		l.seenAt = now
	}
	l.known = true
	l.seen = seen
	l.readAt = now.Add(l.cfg.Renew << min(2*l.rank, maxPollShift))
	l.held = l.cfg.Owns(seen.Lease)
	if l.pending != nil && l.pending.lease.Nonce == seen.Lease.Nonce {
		l.deadline = l.pending.sent.Add(l.cfg.Term)
		l.renewAt = l.pending.sent.Add(l.cfg.Renew)
		l.ended = l.releasing && !l.held
	} else if l.held {
		// An earlier write of this process took effect late. Nobody else was
		// granted the lease since, but the instant of that write is not kept,
		// so the deadline stays and the lease is renewed at once.
		l.renewAt = now
	}
	l.pending = nil
}
