package tpfollow_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpfollow"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func object(name string, version uint64) tpobject.Object {
	return tpobject.Object{Name: name, Version: version}
}

func view(version uint64, objects ...tpobject.Object) tpobject.View {
	return tpobject.View{Kind: "servers", Version: version, Objects: objects}
}

// newFollower returns a follower that has received a first view.
func newFollower(t *testing.T, v tpobject.View) *tpfollow.Follower {
	t.Helper()
	f := &tpfollow.Follower{Kind: "servers"}
	if got, want := f.Next().Kind, tpfollow.ActionView; got != want {
		t.Fatalf("first action: got %v, want %v", got, want)
	}
	if !f.HandleView(epoch, v, nil) {
		t.Fatal("the first view does not count as a change")
	}
	return f
}

// Guards against a change that stays unknown because a watch has missed it. The
// platform may lose its history without ending the watches.
func TestAuditFindsMissedChange(t *testing.T) {
	f := newFollower(t, view(5, object("a", 3)))
	if a := f.Next(); a.Kind != tpfollow.ActionWatch || a.After != 5 {
		t.Fatalf("action: got %+v, want a watch from version 5", a)
	}
	if !f.HandleAudit(epoch, view(9, object("a", 8)), nil) {
		t.Fatal("the change found by the audit is not applied")
	}
	if got, _ := f.View(); got.Objects[0].Version != 8 {
		t.Errorf("version of the object: got %d, want 8", got.Objects[0].Version)
	}
	// The watch in progress returns an older change.
	if f.HandleWatch(epoch, []tpobject.Change{{Object: object("a", 4)}}, 0, 6, nil) {
		t.Error("an older change is applied")
	}
	if got, _ := f.View(); got.Objects[0].Version != 8 || got.Version != 9 {
		t.Errorf("view after an older change: got %+v, want version 9 with object 8", got)
	}
}

// Guards against a configuration that reverts to an older one because an answer
// was delayed.
func TestOlderViewIsIgnored(t *testing.T) {
	f := newFollower(t, view(9, object("a", 8)))
	if f.HandleAudit(epoch, view(7, object("a", 3)), nil) || f.Peer(epoch, view(7, object("a", 3)), nil) || f.HandleView(epoch, view(7, object("a", 3)), nil) {
		t.Error("an older view counts as a change")
	}
	if got, _ := f.View(); got.Version != 9 || got.Objects[0].Version != 8 {
		t.Errorf("view after older ones: got %+v, want version 9 with object 8", got)
	}
}

// Guards against a watch from a version whose history is lost.
func TestHistoryGoneListsAgain(t *testing.T) {
	f := newFollower(t, view(5))
	f.Next()
	f.HandleWatch(epoch, nil, 0, 0, tpobject.ErrHistoryGone)
	if got, want := f.Next().Kind, tpfollow.ActionView; got != want {
		t.Errorf("action: got %v, want %v", got, want)
	}
	if f.Disturbed(epoch) {
		t.Error("a lost history counts as a disturbance")
	}
}

// Guards against retries without a delay while the platform refuses calls.
func TestFailuresArePaced(t *testing.T) {
	f := newFollower(t, view(5))
	var last time.Duration
	for i := range 8 {
		a := f.Next()
		if i > 0 && (a.Delay <= 0 || a.Delay < last) {
			t.Fatalf("wait before call %d: got %v after %v", i, a.Delay, last)
		}
		last = a.Delay
		f.HandleWatch(epoch, nil, 0, 0, tpobject.ErrUnavailable)
	}
	if !f.Disturbed(epoch) || f.Serving() {
		t.Error("a platform that refuses calls does not count as disturbed")
	}
}

// Guards against a node that does not use the view of a peer while the platform
// refuses its calls, and against requesting content that the node already has.
func TestPeerHelps(t *testing.T) {
	f := newFollower(t, view(5, object("a", 3)))
	f.HandlePeerVersion(epoch, "peer:1", tpmessage.ViewVersion{Kind: "servers", Version: 7, Digest: f.CurrentVersion().Digest})
	if a := f.NextPeer(epoch.Add(time.Minute)); a.Kind != tpfollow.ActionNone {
		t.Errorf("action for the same content: got %+v, want none", a)
	}
	f.HandlePeerVersion(epoch, "peer:1", tpmessage.ViewVersion{Kind: "servers", Version: 4, Digest: 1})
	if a := f.NextPeer(epoch.Add(time.Minute)); a.Kind != tpfollow.ActionNone {
		t.Errorf("action for an older content: got %+v, want none", a)
	}
	f.HandlePeerVersion(epoch, "peer:1", tpmessage.ViewVersion{Kind: "servers", Version: 8, Digest: 1})
	if a := f.NextPeer(epoch); a.Kind != tpfollow.ActionNone {
		t.Errorf("action before the platform had time to notify the node: got %+v, want none", a)
	}
	a := f.NextPeer(epoch.Add(time.Second))
	if a.Kind != tpfollow.ActionPeer || a.Peer != "peer:1" {
		t.Fatalf("action: got %+v, want a call to peer:1", a)
	}
	if !f.Peer(epoch, view(8, object("b", 8)), nil) {
		t.Error("the peer's view is not applied")
	}
	f.HandlePeerVersion(epoch, "peer:2", tpmessage.ViewVersion{Kind: "servers", Version: 9, Digest: 2})
	f.NextPeer(epoch.Add(time.Minute))
	if f.Peer(epoch, tpobject.View{}, errors.New("cut")) {
		t.Error("a failed call changes the view")
	}
	if got, _ := f.View(); got.Version != 8 {
		t.Errorf("version after a failed call: got %d, want 8", got.Version)
	}
}

// Guards against a passive follower that calls the platform although other
// nodes watch it, and against a passive follower that has no view and does not
// read that of a peer.
func TestPassiveFollower(t *testing.T) {
	f := &tpfollow.Follower{Kind: "servers"}
	f.SetPassive(true)
	if got, want := f.Next().Kind, tpfollow.ActionView; got != want {
		t.Errorf("action without a view: got %v, want %v", got, want)
	}
	f.HandleView(epoch, view(5), nil)
	if a := f.Next(); a.Kind != tpfollow.ActionNone {
		t.Errorf("action with a view: got %+v, want none", a)
	}
	f.SetPassive(false)
	if got, want := f.Next().Kind, tpfollow.ActionWatch; got != want {
		t.Errorf("action after the other nodes have left: got %v, want %v", got, want)
	}
}

// Guards against a node that uses a target that has left, because after a
// restart it has its view from a peer that has lost the platform.
func TestRestartedNodeAsksThePlatform(t *testing.T) {
	f := &tpfollow.Follower{Kind: "servers"}
	f.SetPassive(true)
	f.Peer(epoch, view(5), nil)
	if got, want := f.Next().Kind, tpfollow.ActionView; got != want {
		t.Fatalf("action with the view of a peer: got %v, want %v", got, want)
	}
	newer := tpobject.View{Kind: "servers", Version: 7, Objects: []tpobject.Object{{Name: "servers/x", Version: 7}}}
	if !f.HandleView(epoch, newer, nil) {
		t.Error("the view of the platform changed nothing")
	}
	if got, _ := f.View(); got.Version != 7 {
		t.Errorf("version: got %d, want 7", got.Version)
	}
	if a := f.Next(); a.Kind != tpfollow.ActionNone {
		t.Errorf("action after that: got %+v, want none", a)
	}
}

// Guards against a node that reads all objects from a peer for each of the
// registrations at the start of a region.
func TestPeerInterval(t *testing.T) {
	f := newFollower(t, view(5))
	f.SetPassive(true)
	f.PeerInterval = 500 * time.Millisecond
	reads := 0
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
		version := uint64(6 + i)
		f.HandlePeerVersion(now, "peer:1", tpmessage.ViewVersion{Kind: "servers", Version: version, Digest: version})
		if a := f.NextPeer(now); a.Kind == tpfollow.ActionPeer {
			reads++
			f.Peer(epoch, tpobject.View{Kind: "servers", Version: version, Objects: []tpobject.Object{{Name: "servers/x", Version: version}}}, nil)
		}
	}
	if got, want := reads, 4; got != want {
		t.Errorf("reads of a peer's view in 2 s with a change every 20 ms: got %d, want %d", got, want)
	}
}

// Guards against a passive node that removes targets whose registrations lapsed
// while the platform was down. Only the nodes that call the platform notice its
// failure, and their Disturbed flag tells the passive ones.
func TestPassiveFollowerHearsOfDisturbance(t *testing.T) {
	f := newFollower(t, view(5))
	m := f.CurrentVersion()
	m.Disturbed = true
	f.HandlePeerVersion(epoch, "peer:1", m)
	if f.Disturbed(epoch) {
		t.Error("a node that watches the platform relies on a peer's Disturbed flag")
	}
	f.SetPassive(true)
	f.HandlePeerVersion(epoch, "peer:1", m)
	if !f.Disturbed(epoch.Add(time.Second)) || f.Disturbed(epoch.Add(4*time.Second)) {
		t.Error("a passive node does not rely on a peer's Disturbed flag for three seconds")
	}
}

// Guards against passive nodes that keep the platform disturbed for good because they tell each other of one failure.
func TestDisturbanceEndsAtNodesThatTellEachOther(t *testing.T) {
	const nodes, transit = 8, 20 * time.Millisecond
	rng := rand.New(rand.NewPCG(20261205, 1))
	followers := make([]*tpfollow.Follower, nodes)
	for i := range followers {
		followers[i] = newFollower(t, view(5))
		followers[i].SetPassive(i > 0)
	}
	followers[0].HandleWatch(epoch, nil, 0, 0, errors.New("turned away"))
	served := epoch.Add(time.Second)
	heard := 0
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if now.Equal(served) {
			followers[0].HandleWatch(now, nil, 0, 5, nil)
		}
		for _, from := range rng.Perm(nodes) {
			m := followers[from].CurrentVersion()
			m.Disturbed, m.DisturbedAge = followers[from].Disturbance(now)
			for _, to := range rng.Perm(nodes)[:3] {
				followers[to].HandlePeerVersion(now.Add(transit), "peer:1", m)
			}
		}
		for i, f := range followers {
			disturbed := f.Disturbed(now.Add(transit))
			if disturbed && i > 0 {
				heard++
			}
			if after := now.Sub(served); disturbed && after > 3*time.Second {
				t.Fatalf("node %d: disturbed %v after the calls succeed again, want 3 s at most", i, after)
			}
		}
	}
	if heard == 0 {
		t.Error("passive nodes that hear of a failure: got none, want all")
	}
}

// Guards against a node that counts the platform as disturbed for good because it leaves the calls to others after a failed one.
func TestFailureOfAPassiveFollowerEnds(t *testing.T) {
	f := newFollower(t, view(5))
	f.HandleWatch(epoch, nil, 0, 0, errors.New("turned away"))
	if !f.Disturbed(epoch.Add(time.Hour)) {
		t.Error("an hour after a failed call that was not repeated: got undisturbed, want disturbed")
	}
	f.SetPassive(true)
	if !f.Disturbed(epoch.Add(2*time.Second)) || f.Disturbed(epoch.Add(4*time.Second)) {
		t.Error("a passive node is not disturbed for three seconds after its failed call")
	}
	f.SetPassive(false)
	if a := f.Next(); a.Kind != tpfollow.ActionWatch || a.Delay != 0 {
		t.Errorf("call after the others stopped theirs: got %+v, want a watch without delay", a)
	}
}

// Guards against a store that is asked without pause by a node that has no view yet.
func TestPassiveFollowerWithoutViewWaitsBetweenCalls(t *testing.T) {
	f := &tpfollow.Follower{Kind: "servers"}
	f.SetPassive(true)
	f.Next()
	f.HandleView(epoch, tpobject.View{}, errors.New("down"))
	f.SetPassive(true)
	if a := f.Next(); a.Kind != tpfollow.ActionView || a.Delay == 0 {
		t.Errorf("call after a failed one: got %+v, want one with a delay", a)
	}
}

// Guards against one call to the platform for each of many changes that come
// within milliseconds, and against a change that waits although no other one has
// come before it.
func TestBurstOfChangesNeedsFewCalls(t *testing.T) {
	f := newFollower(t, view(5))
	calls := 0
	for now := epoch.Add(time.Second); now.Before(epoch.Add(2 * time.Second)); {
		a := f.Next()
		if a.Kind != tpfollow.ActionWatch {
			t.Fatalf("action: got %+v, want a watch", a)
		}
		if calls == 0 && a.Delay != 0 {
			t.Errorf("delay of the first watch: got %v, want 0", a.Delay)
		}
		// Something changes every millisecond.
		now = now.Add(a.Delay + time.Millisecond)
		calls++
		f.HandleWatch(now, nil, 0, uint64(5+calls), nil)
	}
	if got, most := calls, 12; got > most {
		t.Errorf("watches in 1 s of steady changes: got %d, want at most %d", got, most)
	}
}

func target(name string, startedMs int64, draining bool) tpmessage.RelayTarget {
	return tpmessage.RelayTarget{Target: tpmessage.Target{Name: name}, StartedMs: startedMs, Draining: draining}
}

// Guards against removing live targets whose registrations lapsed while the
// platform was down, and against keeping targets that have left.
func TestLapsedRegistration(t *testing.T) {
	r := tpfollow.NewRegistry()
	r.Set(epoch, []tpmessage.RelayTarget{target("a", 1, false), target("b", 1, false)}, false)
	r.Targets(epoch)
	r.Set(epoch, []tpmessage.RelayTarget{target("b", 1, false)}, true)
	if _, changed := r.Targets(epoch.Add(1600 * time.Millisecond)); changed {
		t.Error("a lapsed target is removed within 1.6 s of the platform's return")
	}
	// New work 2 s after the removal violates the limit of the callers. The
	// notification and the tick take 0.2 s: a grace period of 1.9 s led to a
	// request after 2,003 ms.
	if list, changed := r.Targets(epoch.Add(1800 * time.Millisecond)); !changed || len(list) != 1 {
		t.Errorf("targets 1.8 s later: got %+v, want b alone", list)
	}
	r.Set(epoch, nil, false)
	if list, changed := r.Targets(epoch); !changed || len(list) != 0 {
		t.Errorf("targets after a removal without a disturbance: got %+v, want none", list)
	}
}

// Guards against new work for a draining target after a late registration
// without the mark, and against a new process that inherits the mark.
func TestDrainingStays(t *testing.T) {
	r := tpfollow.NewRegistry()
	r.Set(epoch, []tpmessage.RelayTarget{target("a", 1, true)}, false)
	r.Set(epoch, []tpmessage.RelayTarget{target("a", 1, false)}, false)
	if list, _ := r.Targets(epoch); !list[0].Draining {
		t.Error("a draining target is used again")
	}
	r.Set(epoch, []tpmessage.RelayTarget{target("a", 2, false)}, false)
	if list, _ := r.Targets(epoch); list[0].Draining {
		t.Error("the new process counts as draining")
	}
}
