package tpfollow

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	// retryBackoff is the delay after a call that the platform did not serve.
	// It doubles with each consecutive failure.
	retryBackoff = 100 * time.Millisecond
	// maxRetryBackoff bounds the doubled retryBackoff. A configuration must be
	// in force two seconds after the platform serves this node again.
	maxRetryBackoff = 800 * time.Millisecond
	// minWatchInterval is the pause between two watches in a burst of changes,
	// so that one result holds several of them.
	minWatchInterval = 100 * time.Millisecond
	// peerDelay is the time between the first report of other content at a peer
	// and the call to that peer. The platform usually notifies this node of the
	// change within that time, so that no call is needed.
	peerDelay = 150 * time.Millisecond
	// disturbedPeriod is the time after a failed call for which the platform
	// counts as disturbed. Registrations lapse while their owners cannot reach
	// the platform.
	disturbedPeriod = 3 * time.Second
	// relayAllowance is added to the age of a failure and of a confirmation of
	// which a peer tells. It exceeds the time that a heartbeat is on its way, so
	// that neither becomes younger when nodes tell each other of it.
	relayAllowance = 50 * time.Millisecond
	// outageGap is the shortest time without any read of the platform, at any node,
	// in which registrations may lapse although their owners live: they write
	// every 1.2 s and lapse after three writes that fail. Without a total outage
	// the nodes read more often, whichever of them are turned away.
	outageGap = 2400 * time.Millisecond
	// missedChangeDelay is the time that a watch has to report a change that the
	// node has learnt in another way. A watch whose connection has gone silent
	// reports nothing.
	missedChangeDelay = 500 * time.Millisecond
)

// ErrInterrupted is the error of a watch that the node has ended itself.
var ErrInterrupted = errors.New("watch interrupted")

// ActionKind is the kind of a call that a follower requests.
type ActionKind uint8

// Next requests views and watches, NextPeer peer reads. The relay node audits.
const (
	ActionNone  ActionKind = iota // no call
	ActionView                    // read all objects
	ActionWatch                   // wait for changes
	ActionPeer                    // read the view of a peer
	ActionAudit                   // read all objects beside the calls of Next
)

// Action is a call to make. The zero value is no call.
type Action struct {
	Kind  ActionKind
	After uint64        // version after which changes are wanted, for a watch
	Delay time.Duration // delay before the call
	Peer  string        // address of the peer, for a call to a peer
}

// Follower decides which calls keep the view of one kind of object up to date.
// It is owned by one filter. The zero value with Kind set is ready to use.
type Follower struct {
	Kind string
	// PeerInterval is the shortest time between two reads of a peer's view by a
	// node that has one. A view contains all objects, also the unchanged ones.
	PeerInterval time.Duration

	view                tpobject.View
	digest              uint64
	known               bool          // a view has been received
	passive             bool          // other nodes watch the platform for this one
	contacted           bool          // the platform has answered or failed at least once
	platformCallPending bool          // a call to the platform is in progress
	canWatch            bool          // a watch can start from view.Version
	failures            int           // consecutive failed calls
	failedAt            time.Time     // last failure here or, of a passive follower, at a peer; or zero
	watchedAt           time.Time     // last result of a watch, or zero
	watchPause          time.Duration // delay of the next watch
	peerCallPending     bool          // a call to a peer is in progress
	newerPeer           string        // address of the peer with the newest other content, or empty
	peerReadAt          time.Time     // last read of a peer's view
	newerPeerAt         time.Time     // when newerPeer was first set
	newerPeerView       tpobject.View // era and version of the content of newerPeer
	watchPending        bool          // the call in progress is a watch
	watchFailed         bool          // an audit has failed during the watch in progress
	missedSince         time.Time     // when the node learnt a change that the watch in progress has not reported, or zero
	knownAt             time.Time     // when the first view was received
	confirmedAt         time.Time     // the view holds every change acknowledged before, or zero
	heard               confirmation  // latest one of which a peer has told
	readAt              time.Time     // latest known read of the platform, here or at a peer, or zero
	outageEndedAt       time.Time     // latest read after outageGap without one, or zero
}

// confirmation says that a view with this digest holds every change that the
// platform acknowledged before a time.
type confirmation struct {
	digest uint64
	at     time.Time
}

// View returns the current view, and false if there is none yet.
func (f *Follower) View() (tpobject.View, bool) { return f.view, f.known }

// CurrentVersion returns the version and the digest of the current view, which
// nodes exchange to compare their views.
func (f *Follower) CurrentVersion() tpmessage.ViewVersion {
	return tpmessage.ViewVersion{Kind: f.Kind, Era: f.view.Era, Version: f.view.Version, Digest: f.digest}
}

// Mark returns CurrentVersion with what the node knows at a time of the
// platform's failures and of the age of the view.
func (f *Follower) Mark(now time.Time) tpmessage.ViewVersion {
	m := f.CurrentVersion()
	m.Disturbed, m.DisturbedAge = f.Disturbance(now)
	if m.Confirmed = !f.confirmedAt.IsZero(); m.Confirmed {
		m.ConfirmedAge = now.Sub(f.confirmedAt)
	}
	return m
}

// Age returns the time for which the view may have missed changes: the time
// since the platform was asked for it, here or at a peer. A view that was never
// confirmed counts from its receipt. Age returns false if there is no view.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	at := f.knownAt
	if f.confirmedAt.After(at) {
		at = f.confirmedAt
	}
	return now.Sub(at), f.known
}

// Failing reports whether the last call to the platform failed and this node
// repeats it.
func (f *Follower) Failing() bool { return f.failures > 0 }

// Disturbed reports whether calls to the platform fail or have failed within
// the last disturbedPeriod.
func (f *Follower) Disturbed(now time.Time) bool {
	return f.failures > 0 || (!f.failedAt.IsZero() && now.Sub(f.failedAt) < disturbedPeriod)
}

// MayHaveLapsed reports whether registrations that are missing may belong to
// live targets: the platform counts as disturbed, and nobody has read it for
// outageGap until less than disturbedPeriod ago. If it turns away only some
// nodes, it serves the targets, and a missing one has left.
func (f *Follower) MayHaveLapsed(now time.Time) bool {
	outage := now.Sub(f.readAt) >= outageGap || !f.outageEndedAt.IsZero() && now.Sub(f.outageEndedAt) < disturbedPeriod
	return f.Disturbed(now) && outage
}

// Disturbance returns Disturbed and the time since the last failure.
func (f *Follower) Disturbance(now time.Time) (disturbed bool, age time.Duration) {
	if !f.Disturbed(now) || f.failures > 0 {
		return f.failures > 0, 0
	}
	return true, now.Sub(f.failedAt)
}

// SetPassive sets whether other nodes watch the platform for this one. A
// passive follower calls the platform only until it has a view and has called the
// platform once: a peer that has lost the platform may send an old view to a
// node that has just started. The failures of a follower that makes no more calls
// end with their disturbedPeriod, because no call can end them.
func (f *Follower) SetPassive(passive bool) {
	f.passive = passive
	if f.leavesCallsToOthers() {
		f.failures = 0
	}
}

func (f *Follower) leavesCallsToOthers() bool { return f.passive && f.known && f.contacted }

// Serving reports whether a watch is in progress and the last call to the
// platform succeeded.
func (f *Follower) Serving() bool { return f.canWatch && f.failures == 0 && f.platformCallPending }

// WatchStalled reports whether the watch in progress must be interrupted. An
// open watch cannot tell a platform without changes from one that does not
// answer: an audit that fails beside it can, and so can a change that it does
// not report.
func (f *Follower) WatchStalled(now time.Time) bool {
	return f.watchPending && (f.watchFailed || !f.missedSince.IsZero() && now.Sub(f.missedSince) >= missedChangeDelay)
}

// NeedsPlatformView reports whether the follower has no view, or has not called
// the platform yet.
func (f *Follower) NeedsPlatformView() bool { return !f.known || !f.contacted }

// Next returns the call to the platform to make now. It returns no call while
// another one is in progress.
func (f *Follower) Next() Action {
	if f.platformCallPending || f.leavesCallsToOthers() {
		return Action{}
	}
	f.platformCallPending = true
	a := Action{Kind: ActionView}
	if f.canWatch && f.contacted {
		a = Action{Kind: ActionWatch, After: f.view.Version, Delay: f.watchPause}
		f.watchPending = true
	}
	if f.failures > 0 {
		a.Delay = min(retryBackoff<<min(f.failures-1, 8), maxRetryBackoff)
	}
	return a
}

// NextPeer returns the call to a peer to make now. It returns no call while
// another one is in progress.
func (f *Follower) NextPeer(now time.Time) Action {
	delay := peerDelay
	if f.passive {
		delay = 0
	}
	if f.peerCallPending || f.newerPeer == "" || now.Sub(f.newerPeerAt) < delay {
		return Action{}
	}
	if f.known && now.Sub(f.peerReadAt) < f.PeerInterval {
		return Action{}
	}
	f.peerReadAt = now
	f.peerCallPending = true
	return Action{Kind: ActionPeer, Peer: f.newerPeer}
}

// HandleView processes the result of reading all objects. It reports whether
// the content changed.
func (f *Follower) HandleView(now time.Time, v tpobject.View, err error) bool {
	f.platformCallPending, f.contacted = false, true
	if err != nil || v.Era < f.view.Era {
		f.recordFailure(now)
		return false
	}
	f.failures = 0
	f.canWatch = true
	return f.replaceRead(now, v)
}

// HandleAudit processes the result of a read beside the calls of Next. A watch
// may miss changes if the platform loses its history or stops to answer. After
// an audit that failed, the calls of Next count as failed too. HandleAudit
// reports whether the content changed.
func (f *Follower) HandleAudit(now time.Time, v tpobject.View, err error) bool {
	f.contacted = true
	if err != nil || v.Era < f.view.Era {
		f.watchFailed = f.watchPending
		if !f.leavesCallsToOthers() {
			f.recordFailure(now)
		}
		return false
	}
	if !f.known {
		return false
	}
	changed := f.replaceRead(now, v)
	f.noteMissedChange(now, changed)
	return changed
}

// HandleWatch processes the result of a watch, with the era of the store. It
// discards a result of a newer era than the view: the watch began at a version
// of another history, and the objects are read again. A result of an older era
// was sent before the store was restored and counts as a failure. HandleWatch
// reports whether the content changed.
func (f *Follower) HandleWatch(now time.Time, changes []tpobject.Change, era, version uint64, err error) bool {
	f.platformCallPending, f.watchPending, f.watchFailed = false, false, false
	f.missedSince = time.Time{}
	switch {
	case err == nil && era > f.view.Era:
		f.canWatch = false
		return false
	case err == nil && era < f.view.Era:
		f.recordFailure(now)
		return false
	case errors.Is(err, tpobject.ErrHistoryGone), errors.Is(err, ErrInterrupted):
		f.canWatch = false
		return false
	case err != nil:
		f.recordFailure(now)
		return false
	}
	f.failures = 0
	f.watchPause = 0
	if now.Sub(f.watchedAt) < 2*minWatchInterval {
		f.watchPause = minWatchInterval
	}
	f.watchedAt = now
	if version < f.view.Version {
		return false
	}
	next := tpobject.View{Kind: f.Kind, Era: era, Version: version, Objects: slices.Clone(f.view.Objects)}
	for _, c := range changes {
		next.Objects = apply(next.Objects, c)
	}
	return f.replace(now, next)
}

// Peer processes the view of a peer. It reports whether the content changed.
func (f *Follower) Peer(now time.Time, v tpobject.View, err error) bool {
	f.peerCallPending = false
	f.newerPeer = ""
	if err != nil || (f.known && !f.view.Older(&v)) {
		return false
	}
	f.canWatch = true
	changed := f.replace(now, v)
	f.noteMissedChange(now, changed)
	return changed
}

// HandlePeerVersion processes the version and the digest of a peer's view. A
// passive follower relies on the failure of which the peer tells, because it
// makes no calls that could fail. It tells others of it, and of a confirmation,
// in turn, with its age. A peer that has not heard of the store's era tells
// nothing about the store as it is.
func (f *Follower) HandlePeerVersion(now time.Time, peer string, version tpmessage.ViewVersion) {
	if version.Era < f.view.Era {
		return
	}
	if failedAt := now.Add(-version.DisturbedAge - relayAllowance); version.Disturbed && f.passive && failedAt.After(f.failedAt) {
		f.failedAt = failedAt
	}
	if version.Confirmed {
		f.hearConfirmation(version, now.Add(-version.ConfirmedAge-relayAllowance))
	}
	told := tpobject.View{Era: version.Era, Version: version.Version}
	if told.Era == 0 && told.Version == 0 || f.known && (!f.view.Older(&told) || version.Digest == f.digest) {
		return
	}
	if f.newerPeer == "" {
		f.newerPeerAt = now
	}
	if f.newerPeer == "" || f.newerPeerView.Older(&told) {
		f.newerPeer, f.newerPeerView = peer, told
	}
}

// recordRead records that a node has read the platform.
func (f *Follower) recordRead(at time.Time) {
	if !at.After(f.readAt) {
		return
	}
	if !f.readAt.IsZero() && at.Sub(f.readAt) >= outageGap {
		f.outageEndedAt = at
	}
	f.readAt = at
}

// hearConfirmation applies the confirmation of a peer's view to the node's own
// view if that has the same content or a higher version of the same era, which
// includes the changes of the lower ones. Otherwise it keeps the confirmation for
// the content that the node may learn next.
func (f *Follower) hearConfirmation(version tpmessage.ViewVersion, at time.Time) {
	f.recordRead(at)
	switch {
	case !f.known:
	case version.Digest == f.digest, version.Era == f.view.Era && version.Version < f.view.Version:
		f.confirm(at)
	case at.After(f.heard.at):
		f.heard = confirmation{digest: version.Digest, at: at}
	}
}

func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

func (f *Follower) recordFailure(now time.Time) {
	f.failures++
	f.failedAt = now
}

// noteMissedChange records that the node has learnt a change while a watch is in
// progress, which should report it as well.
func (f *Follower) noteMissedChange(now time.Time, changed bool) {
	if changed && f.watchPending && f.missedSince.IsZero() {
		f.missedSince = now
	}
}

// replaceRead is replace for a view that was read from the platform.
func (f *Follower) replaceRead(now time.Time, v tpobject.View) bool {
	changed := f.replace(now, v)
	f.recordRead(v.ReadAt)
	f.confirm(v.ReadAt)
	return changed
}

// replace sets the view unless it is older than the current one, and reports
// whether the content changed.
func (f *Follower) replace(now time.Time, v tpobject.View) bool {
	if f.known && v.Older(&f.view) {
		return false
	}
	if !f.known {
		f.knownAt = now
	}
	slices.SortFunc(v.Objects, byName)
	digest := digestOf(v.Era, v.Objects)
	changed := !f.known || digest != f.digest
	f.view, f.digest, f.known = v, digest, true
	if f.heard.digest == digest {
		f.confirm(f.heard.at)
	}
	if !v.Older(&f.newerPeerView) {
		f.newerPeer = ""
	}
	return changed
}

func byName(a, b tpobject.Object) int { return cmp.Compare(a.Name, b.Name) }

// apply returns the objects, which are sorted by name, after a change. It may
// modify the slice. A change that is older than the object has no effect.
func apply(objects []tpobject.Object, c tpobject.Change) []tpobject.Object {
	i, found := slices.BinarySearchFunc(objects, c.Object, byName)
	switch {
	case found && c.Object.Version < objects[i].Version:
		return objects
	case found && c.Deleted:
		return slices.Delete(objects, i, i+1)
	case found:
		objects[i] = c.Object
		return objects
	case c.Deleted:
		return objects
	}
	return slices.Insert(objects, i, c.Object)
}

// digestOf returns a hash of the era, unless it is 0, and of the names and
// versions of the objects. Without the era, an object whose version was assigned
// twice would not count as changed.
func digestOf(era uint64, objects []tpobject.Object) uint64 {
	var h xxh3.Hasher
	var b [8]byte
	if era > 0 {
		binary.LittleEndian.PutUint64(b[:], era)
		_, _ = h.Write(b[:])
	}
	for i := range objects {
		_, _ = h.WriteString(objects[i].Name)
		binary.LittleEndian.PutUint64(b[:], objects[i].Version)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}
