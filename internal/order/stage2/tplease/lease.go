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

// eraBits is the number of bits by which an era raises the fencing numbers. A
// restoration loses fewer than 1<<eraBits versions, so that each number of an
// era exceeds those of the eras before.
const eraBits = 32

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
	lease  tpmessage.Lease // Era is that before the call
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
	era             uint64    // of the store
	eraAt           time.Time // when this candidate learned of era, or zero
	callEra         uint64    // era before the call in progress
	knownFencing    uint64    // highest fencing number that this candidate has seen
	// carried is true if the grant that is held is of an era before era.
	// carriedFencing is its number.
	carried        bool
	carriedFencing uint64
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

// SetEra sets the highest era of the store that is known. The caller sets it
// before each call of Next and, after the call to the platform, before Read or
// Wrote. Now must not be earlier than the time at which the caller read the era.
//
// A store that is restored from an older copy has lost grants, and assigns their
// versions again. A holder goes on until the end of its term, which is not longer
// than the time that each candidate waits after it has learnt of the era. What
// was read or written in a call during which the era changed does not count.
func (l *Lease[T]) SetEra(now time.Time, era uint64) {
	if era <= l.era || !l.policy.FollowsEras() {
		return
	}
	l.era, l.eraAt = era, now
	l.snapshotCurrent = false
	l.snapshotAt = time.Time{} // the next version cannot be compared with the last one
	if l.held && !l.carried {
		l.carried, l.carriedFencing = true, l.snapshot.Lease.Fencing
	}
}

// MayAct reports whether this candidate may act as the holder at time now.
func (l *Lease[T]) MayAct(now time.Time) bool {
	return l.held && now.Before(l.policy.Until(l.deadline))
}

// Authority returns this candidate's authority over the lease.
func (l *Lease[T]) Authority() tpmessage.Authority {
	fencing := l.snapshot.Lease.Fencing
	if l.carried {
		fencing = l.carriedFencing
	}
	return tpmessage.Authority{
		Lease:   l.cfg.Name,
		Held:    l.held && !l.releasing,
		Fencing: fencing,
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
	l.callEra = l.era
	if l.carried && !now.Before(l.deadline) {
		l.held, l.carried = false, false
	}
	switch {
	case l.releasing && l.carried && l.pending == nil:
		// The store may have lost the grant. The other candidates wait for its
		// end in any case.
		l.ended = true
		return Action{Kind: ActionEnd}
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
	if l.carried || fencing <= l.raiseAbove && l.policy.Fenced() {
		return l.write(now, l.newGrant(l.nextFencing()))
	}
	if now.Before(l.renewAt) {
		return Action{Kind: ActionWait, At: l.renewAt}
	}
	return l.write(now, l.newGrant(fencing))
}

func (l *Lease[T]) nextCandidateAction(now time.Time) Action {
	precedence := time.Duration(l.rank) * l.cfg.Margin
	term := max(l.cfg.Term, l.snapshot.Lease.Term) + l.cfg.Margin
	takeoverAt := l.snapshotAt.Add(precedence)
	// A release that was sent in an earlier era may have replaced a grant of this
	// one, if it took effect late.
	if l.snapshot.Lease.Holder != "" || l.snapshot.Lease.Era != l.era {
		takeoverAt = takeoverAt.Add(term)
	}
	if eraEnd := l.eraAt.Add(precedence + term); l.era > 0 && takeoverAt.Before(eraEnd) {
		takeoverAt = eraEnd
	}
	if !now.Before(takeoverAt) {
		fencing := l.nextFencing()
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

// nextFencing returns the number of a new grant, which replaces the version of
// snapshot. After a restoration, the last number that is known may be lower than
// that of a grant that was lost, so the era raises the number. The version makes
// it unique: only one write replaces it.
func (l *Lease[T]) nextFencing() uint64 {
	if l.era == 0 {
		return l.snapshot.Lease.Fencing + 1
	}
	return max(l.knownFencing+1, l.era<<eraBits+l.snapshot.Version)
}

func (l *Lease[T]) newGrant(fencing uint64) tpmessage.Lease {
	return tpmessage.Lease{Name: l.cfg.Name, Holder: l.cfg.Holder, Fencing: fencing, Term: l.cfg.Term}
}

func (l *Lease[T]) write(now time.Time, value tpmessage.Lease) Action {
	l.writeCount++
	value.Era = l.era
	value.Nonce = l.cfg.Incarnation + "/" + strconv.FormatUint(l.writeCount, 10)
	l.pending = &pendingWrite{lease: value, sentAt: now}
	return Action{Kind: ActionWrite, Lease: value, Version: l.snapshot.Version}
}

// Wrote processes the result of the write that Next returned. err is nil or
// matches an error of tpobject.
func (l *Lease[T]) Wrote(now time.Time, version uint64, err error) {
	switch {
	case err == nil && l.callEra == l.era:
		l.update(now, Snapshot{Lease: l.pending.lease, Version: version})
	case err == nil:
		// The store was restored in the meantime. The object is read back.
		l.snapshotCurrent = false
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
	if l.callEra != l.era {
		return // what was read may be of either era
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
	l.knownFencing = max(l.knownFencing, snapshot.Lease.Fencing)
	ofEra := snapshot.Lease.Era == l.era || !l.policy.FollowsEras()
	if l.carried && !ofEra {
		// Nobody has been granted the lease in this era.
		l.pending = nil
		return
	}
	// A grant of an earlier era was lost, or is older than one that was.
	l.held = ofEra && l.cfg.Owns(snapshot.Lease)
	l.carried = false
	if l.pending != nil && ofEra && l.pending.lease.Nonce == snapshot.Lease.Nonce {
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
