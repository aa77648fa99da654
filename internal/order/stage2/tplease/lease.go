package tplease

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Defaults of Settings.
const (
	DefaultTerm          = 3 * time.Second
	DefaultRenewInterval = time.Second
	DefaultMargin        = time.Second
)

// retryDivisor is the divisor of RenewInterval that gives the delay after a
// failed call.
const retryDivisor = 4

// maxPollShift limits the interval between the reads of a candidate to
// RenewInterval << maxPollShift. A lower-ranked candidate reads less often, so
// that all of them in a region together read less often than the first one.
const maxPollShift = 6

// MaxCandidates is the rank from which a candidate makes no call. It becomes a
// candidate when enough of those that take precedence are gone.
const MaxCandidates = 8

// Settings configures a Lease. A duration that is zero or negative takes its
// default.
type Settings struct {
	Name   string // of the lease object
	Holder string // name of this candidate
	// Incarnation identifies this process. No other process has the same
	// value, including an earlier process with the same name.
	Incarnation string
	// Term is the time for which a write of the holder grants the lease.
	Term time.Duration
	// RenewInterval is the interval between the writes of the holder.
	RenewInterval time.Duration
	// Margin is the time that a candidate waits after the holder's term, and
	// again for each candidate that takes precedence.
	Margin time.Duration
}

func (s *Settings) setDefaults() {
	if s.Term <= 0 {
		s.Term = DefaultTerm
	}
	if s.RenewInterval <= 0 {
		s.RenewInterval = DefaultRenewInterval
	}
	if s.Margin <= 0 {
		s.Margin = DefaultMargin
	}
}

// ActionKind is the kind of a step that the duty performs for the lease.
type ActionKind uint8

// Next selects the kind. Only ActionWait and ActionWrite set other fields.
const (
	ActionWait  ActionKind = iota // wait until Action.At, or until the rank changes
	ActionRead                    // read the lease object
	ActionWrite                   // write Action.Lease by conditional update
	ActionEnd                     // the release is complete, or there is nothing to release
)

// Action is the next step: a platform call, a wait, or the end.
type Action struct {
	Kind    ActionKind
	At      time.Time       // of ActionWait
	Lease   tpmessage.Lease // of ActionWrite
	Version uint64          // of ActionWrite: the version to replace
}

// Snapshot is a lease object as it was read or written. Version 0 means that
// the object does not exist.
type Snapshot struct {
	Lease   tpmessage.Lease
	Version uint64
}

// pendingWrite is a write whose outcome is not known.
type pendingWrite struct {
	lease  tpmessage.Lease
	sentAt time.Time
}

// Lease decides for one candidate when to read, acquire, renew and release one
// lease. The caller performs one action at a time. All times come from the
// candidate's own monotonic clock.
type Lease[T AuthorityPolicy] struct {
	cfg             Settings
	policy          T
	snapshot        Snapshot
	snapshotAt      time.Time // when the first answer with the version of snapshot arrived
	snapshotCurrent bool      // snapshot is the result of the last read or write
	nextReadAt      time.Time // next read while the lease is not held
	retryAt         time.Time // earliest time of a call after a failed one
	held            bool
	deadline        time.Time // end of the term, for the holder
	renewAt         time.Time
	pending         *pendingWrite
	writeCount      uint64
	rank            int
	raiseAbove      uint64 // the next grant must have a fencing number above it
	releasing       bool
	ended           bool
}

// New returns a lease that this candidate does not hold.
func New[T AuthorityPolicy](cfg Settings, policy T) *Lease[T] {
	cfg.setDefaults()
	return &Lease[T]{cfg: cfg, policy: policy}
}

// SetRank sets the number of other candidates that take precedence.
func (l *Lease[T]) SetRank(rank int) { l.rank = rank }

// RaiseAbove makes the holder write a new grant to itself with a fencing number
// above fencing. Orders that it sent under that number then have no effect.
func (l *Lease[T]) RaiseAbove(fencing uint64) { l.raiseAbove = max(l.raiseAbove, fencing) }

// Release starts the release of the lease on a planned stop. From then on
// Authority reports the lease as not held, and Next returns the remaining
// actions.
func (l *Lease[T]) Release() { l.releasing = true }

// MayAct reports whether this candidate may act as the holder at time now.
func (l *Lease[T]) MayAct(now time.Time) bool {
	return l.held && now.Before(l.policy.Until(l.deadline))
}

// Authority returns this candidate's authority over the lease.
func (l *Lease[T]) Authority() tpmessage.Authority {
	return tpmessage.Authority{
		Lease:   l.cfg.Name,
		Held:    l.held && !l.releasing,
		Fencing: l.snapshot.Lease.Fencing,
		Until:   l.policy.Until(l.deadline),
		Fenced:  l.policy.Fenced(),
	}
}

// Holder returns the name of the holder in the last known lease object. It is
// empty if there is none.
func (l *Lease[T]) Holder() string { return l.snapshot.Lease.Holder }

// Owns reports whether a lease object is a grant to this process, not to an
// earlier process with the same name.
func (s *Settings) Owns(value tpmessage.Lease) bool {
	return value.Holder == s.Holder && strings.HasPrefix(value.Nonce, s.Incarnation+"/")
}

// Next returns the next action. The caller must read now before it performs the
// action, because a holder's term counts from a time before its write was sent.
func (l *Lease[T]) Next(now time.Time) Action {
	switch {
	case l.ended:
		return Action{Kind: ActionEnd}
	case now.Before(l.retryAt):
		return Action{Kind: ActionWait, At: l.retryAt}
	case !l.held && l.pending == nil && !l.releasing && l.rank >= MaxCandidates:
		return Action{Kind: ActionWait, At: now.Add(l.cfg.RenewInterval / retryDivisor)}
	case !l.snapshotCurrent:
		return Action{Kind: ActionRead}
	case l.held:
		return l.nextHolderAction(now)
	case l.releasing:
		l.ended = true
		return Action{Kind: ActionEnd}
	}
	return l.nextCandidateAction(now)
}

func (l *Lease[T]) nextHolderAction(now time.Time) Action {
	if l.releasing {
		return l.write(now, tpmessage.Lease{Name: l.cfg.Name, Fencing: l.snapshot.Lease.Fencing, Term: l.cfg.Term})
	}
	fencing := l.snapshot.Lease.Fencing
	if fencing <= l.raiseAbove && l.policy.Fenced() {
		return l.write(now, l.newGrant(fencing+1))
	}
	if now.Before(l.renewAt) {
		return Action{Kind: ActionWait, At: l.renewAt}
	}
	return l.write(now, l.newGrant(fencing))
}

func (l *Lease[T]) nextCandidateAction(now time.Time) Action {
	takeoverAt := l.snapshotAt.Add(time.Duration(l.rank) * l.cfg.Margin)
	if l.snapshot.Lease.Holder != "" {
		takeoverAt = takeoverAt.Add(max(l.cfg.Term, l.snapshot.Lease.Term) + l.cfg.Margin)
	}
	if !now.Before(takeoverAt) {
		fencing := l.snapshot.Lease.Fencing + 1
		if !l.policy.Fenced() {
			fencing = 1
		}
		return l.write(now, l.newGrant(fencing))
	}
	if !now.Before(l.nextReadAt) {
		return Action{Kind: ActionRead}
	}
	if takeoverAt.Before(l.nextReadAt) {
		return Action{Kind: ActionWait, At: takeoverAt}
	}
	return Action{Kind: ActionWait, At: l.nextReadAt}
}

func (l *Lease[T]) newGrant(fencing uint64) tpmessage.Lease {
	return tpmessage.Lease{Name: l.cfg.Name, Holder: l.cfg.Holder, Fencing: fencing, Term: l.cfg.Term}
}

func (l *Lease[T]) write(now time.Time, value tpmessage.Lease) Action {
	l.writeCount++
	value.Nonce = l.cfg.Incarnation + "/" + strconv.FormatUint(l.writeCount, 10)
	l.pending = &pendingWrite{lease: value, sentAt: now}
	return Action{Kind: ActionWrite, Lease: value, Version: l.snapshot.Version}
}

// Wrote processes the result of the write that Next returned. err is nil or
// matches an error of tpobject.
func (l *Lease[T]) Wrote(now time.Time, version uint64, err error) {
	switch {
	case err == nil:
		l.update(now, Snapshot{Lease: l.pending.lease, Version: version})
	case errors.Is(err, tpobject.ErrConflict):
		l.pending = nil
		l.snapshotCurrent = false
	case errors.Is(err, tpobject.ErrOutcomeUnknown):
		// The write may have taken effect or may still do so. The object is
		// read back, and its nonce shows whether the write took effect.
		l.snapshotCurrent = false
	default:
		l.pending = nil
		l.retryAt = now.Add(l.cfg.RenewInterval / retryDivisor)
	}
}

// Read processes the result of the read that Next returned. A missing object is
// a zero Snapshot and no error.
func (l *Lease[T]) Read(now time.Time, snapshot Snapshot, err error) {
	if err != nil {
		l.retryAt = now.Add(l.cfg.RenewInterval / retryDivisor)
		return
	}
	l.update(now, snapshot)
}

// update processes a value that the object had at some time before now.
func (l *Lease[T]) update(now time.Time, snapshot Snapshot) {
	if snapshot.Version != l.snapshot.Version || l.snapshotAt.IsZero() {
		l.snapshotAt = now
	}
	l.snapshotCurrent = true
	l.snapshot = snapshot
	l.nextReadAt = now.Add(l.cfg.RenewInterval << min(2*l.rank, maxPollShift))
	l.held = l.cfg.Owns(snapshot.Lease)
	if l.pending != nil && l.pending.lease.Nonce == snapshot.Lease.Nonce {
		l.deadline = l.pending.sentAt.Add(l.cfg.Term)
		l.renewAt = l.pending.sentAt.Add(l.cfg.RenewInterval)
		l.ended = l.releasing && !l.held
	} else if l.held {
		// An earlier write of this process took effect late. No other
		// candidate has been granted the lease since. The time of that write is
		// not stored, so the deadline stays and the lease is renewed at once.
		l.renewAt = now
	}
	l.pending = nil
}
