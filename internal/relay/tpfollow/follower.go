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
	// retryPause is the wait after a call that the platform did not serve. It
	// doubles with each further one.
	retryPause = 100 * time.Millisecond
	// maxRetryPause bounds retryPause. A configuration has to be in force two
	// seconds after the platform serves this node again.
	maxRetryPause = 800 * time.Millisecond
	// peerPatience is how long a peer may have another content before it is
	// asked for it. The platform tells all nodes of a change within that time.
	peerPatience = 150 * time.Millisecond
	// disturbedFor is how long after a failed call the platform counts as
	// disturbed: registrations lapse while their owners cannot reach it.
	disturbedFor = 3 * time.Second
)

// ActionKind tells what a follower asks for.
type ActionKind uint8

// Kinds of actions.
const (
	ActionNone ActionKind = iota
	ActionView
	ActionFollow
	ActionPeer
	ActionAudit
)

// Action is a call to make.
type Action struct {
	Kind  ActionKind
	After uint64        // of ActionFollow
	Wait  time.Duration // before the call
	Peer  string        // address, of ActionPeer
}

// Follower decides how one kind is followed. It belongs to one filter.
type Follower struct {
	Kind string

	view      tpobject.View
	digest    uint64
	known     bool
	passive   bool // other nodes follow the platform for this one
	calling   bool // a call to the platform is in progress
	listed    bool // view.Version can be followed
	failures  int
	failedAt  time.Time // zero if none
	asking    bool      // a call to a peer is in progress
	ahead     string    // peer with another, newer content
	aheadAt   time.Time
	aheadMark uint64
}

// View returns what is known, and false if nothing is.
func (f *Follower) View() (tpobject.View, bool) { return f.view, f.known }

// Mark returns how far the follower is.
func (f *Follower) Mark() tpmessage.ViewMark {
	return tpmessage.ViewMark{Kind: f.Kind, Version: f.view.Version, Digest: f.digest}
}

// Disturbed reports whether the platform has recently failed to serve this node.
func (f *Follower) Disturbed(now time.Time) bool {
	return f.failures > 0 || (!f.failedAt.IsZero() && now.Sub(f.failedAt) < disturbedFor)
}

// SetPassive tells whether other nodes follow the platform for this one. A
// passive follower asks the platform only until it knows a first view.
func (f *Follower) SetPassive(passive bool) { f.passive = passive }

// Serving reports whether the platform serves this node's wait for changes.
func (f *Follower) Serving() bool { return f.listed && f.failures == 0 && f.calling }

// Next returns the call to make now to the platform.
func (f *Follower) Next() Action {
	if f.calling || (f.passive && f.known) {
		return Action{}
	}
	f.calling = true
	a := Action{Kind: ActionView}
	if f.listed {
		a = Action{Kind: ActionFollow, After: f.view.Version}
	}
	if f.failures > 0 {
		a.Wait = min(retryPause<<min(f.failures-1, 8), maxRetryPause)
	}
	return a
}

// NextPeer returns the call to make now to a peer.
func (f *Follower) NextPeer(now time.Time) Action {
	patience := peerPatience
	if f.passive {
		patience = 0
	}
	if f.asking || f.ahead == "" || now.Sub(f.aheadAt) < patience {
		return Action{}
	}
	f.asking = true
	return Action{Kind: ActionPeer, Peer: f.ahead}
}

// Viewed takes the result of ActionView. It reports whether the content changed.
func (f *Follower) Viewed(now time.Time, v tpobject.View, err error) bool {
	f.calling = false
	if err != nil {
		f.failed(now)
		return false
	}
	f.failures = 0
	f.listed = true
	return f.replace(v)
}

// Audited takes a view that was read beside the calls of Next, because a wait
// for changes may miss some when the platform forgets its history.
func (f *Follower) Audited(v tpobject.View, err error) bool {
	if err != nil || !f.known {
		return false
	}
	return f.replace(v)
}

// Followed takes the result of ActionFollow.
func (f *Follower) Followed(now time.Time, changes []tpobject.Change, version uint64, err error) bool {
	f.calling = false
	switch {
	case errors.Is(err, tpobject.ErrHistoryGone):
		f.listed = false
		return false
	case err != nil:
		f.failed(now)
		return false
	}
	f.failures = 0
	if version < f.view.Version {
		return false
	}
	next := tpobject.View{Kind: f.Kind, Version: version, Objects: slices.Clone(f.view.Objects)}
	for _, c := range changes {
		next.Objects = apply(next.Objects, c)
	}
	return f.replace(next)
}

// Peer takes the view of a peer.
func (f *Follower) Peer(v tpobject.View, err error) bool {
	f.asking = false
	f.ahead = ""
	if err != nil || (f.known && v.Version <= f.view.Version) {
		return false
	}
	f.listed = true
	return f.replace(v)
}

// Heard takes a peer's mark. A passive follower has no calls of its own that
// show a disturbance, so it believes the peer's word.
func (f *Follower) Heard(now time.Time, peer string, m tpmessage.ViewMark) {
	if m.Disturbed && f.passive {
		f.failedAt = now
	}
	if m.Version == 0 || (f.known && (m.Version <= f.view.Version || m.Digest == f.digest)) {
		return
	}
	if f.ahead == "" {
		f.aheadAt = now
	}
	if m.Version > f.aheadMark || f.ahead == "" {
		f.ahead, f.aheadMark = peer, m.Version
	}
}

func (f *Follower) failed(now time.Time) {
	f.failures++
	f.failedAt = now
}

// replace takes a newer view. An older one never replaces what is known.
func (f *Follower) replace(v tpobject.View) bool {
	if f.known && v.Version < f.view.Version {
		return false
	}
	slices.SortFunc(v.Objects, byName)
	digest := digestOf(v.Objects)
	changed := !f.known || digest != f.digest
	f.view, f.digest, f.known = v, digest, true
	if f.aheadMark <= v.Version {
		f.ahead = ""
	}
	return changed
}

func byName(a, b tpobject.Object) int { return cmp.Compare(a.Name, b.Name) }

// apply returns the objects after a change. A change that is older than the
// object is ignored.
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

func digestOf(objects []tpobject.Object) uint64 {
	var h xxh3.Hasher
	var b [8]byte
	for i := range objects {
		_, _ = h.WriteString(objects[i].Name)
		binary.LittleEndian.PutUint64(b[:], objects[i].Version)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}
