package tpfollow_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpfollow"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// eraView returns a view of an era.
func eraView(era, version uint64, objects ...tpobject.Object) tpobject.View {
	v := view(version, objects...)
	v.Era = era
	return v
}

// objectVersion returns the version of the only object of the follower's view.
func objectVersion(f *tpfollow.Follower) uint64 {
	v, _ := f.View()
	return v.Objects[0].Version
}

// followRestoration plays a store that loses version 8 of an object in the given
// era and assigns it again, and returns the content that each way of learning
// of it leads to. Era 0 plays a follower that does not look at eras.
func followRestoration(t *testing.T, era uint64) map[string]bool {
	t.Helper()
	lost, rewritten := view(9, object("a", 8)), eraView(era, 8, object("a", 7))
	learnt := make(map[string]bool)

	f := newFollower(t, lost)
	learnt["a lower version from the store"] = f.HandleAudit(epoch, rewritten, nil) && objectVersion(f) == 7

	f = newFollower(t, lost)
	f.HandlePeerVersion(epoch, "peer:1", tpmessage.ViewVersion{Kind: "servers", Era: era, Version: 8, Digest: 1})
	asked := f.NextPeer(epoch.Add(time.Second)).Kind == tpfollow.ActionPeer
	learnt["a lower version from a peer"] = asked && f.Peer(epoch, rewritten, nil) && objectVersion(f) == 7

	f = newFollower(t, lost)
	learnt["a version assigned again"] = f.HandleAudit(epoch, eraView(era, 9, object("a", 8)), nil)

	f = newFollower(t, lost)
	f.Next()
	f.HandleWatch(epoch, []tpobject.Change{{Object: object("b", 10)}}, era, 10, nil)
	v, _ := f.View()
	learnt["a watch of another history"] = len(v.Objects) == 1 && f.Next().Kind == tpfollow.ActionView
	return learnt
}

// Guards against a node that keeps what the store has lost, because versions go
// back, and against changes of one history that are applied to another.
func TestNewEraReplacesTheView(t *testing.T) {
	for way, ok := range followRestoration(t, 1) {
		if !ok {
			t.Errorf("%s: the content of the new era is not in use", way)
		}
	}
	for way, ok := range followRestoration(t, 0) {
		if ok {
			t.Errorf("%s: a follower that does not look at eras passes as well", way)
		}
	}
}

// Guards against a node that goes back to the old era: answers and marks of it
// arrive after those of the new one, and peers may not have heard of that.
func TestOldEraIsIgnored(t *testing.T) {
	old := view(900, object("b", 900))
	current := eraView(2, 8, object("a", 7))
	for name, deliver := range map[string]func(f *tpfollow.Follower) bool{
		"view":  func(f *tpfollow.Follower) bool { return f.HandleView(epoch, old, nil) },
		"audit": func(f *tpfollow.Follower) bool { return f.HandleAudit(epoch, old, nil) },
		"peer":  func(f *tpfollow.Follower) bool { return f.Peer(epoch, old, nil) },
		"watch": func(f *tpfollow.Follower) bool {
			return f.HandleWatch(epoch, []tpobject.Change{{Object: object("b", 900)}}, 1, 900, nil)
		},
	} {
		f := newFollower(t, current)
		f.Next()
		if changed := deliver(f); changed || objectVersion(f) != 7 {
			t.Errorf("%s of the old era: changed the view of the new one", name)
		}
	}
	f := newFollower(t, current)
	f.SetPassive(true)
	mark := tpmessage.ViewVersion{Kind: "servers", Era: 1, Version: 900, Digest: 1, Confirmed: true, Disturbed: true}
	f.HandlePeerVersion(epoch.Add(time.Minute), "peer:1", mark)
	if a := f.NextPeer(epoch.Add(2 * time.Minute)); a.Kind != tpfollow.ActionNone {
		t.Errorf("action after a mark of the old era: got %+v, want none", a)
	}
	if age, _ := f.Age(epoch.Add(time.Minute)); age != time.Minute || f.Disturbed(epoch.Add(time.Minute)) {
		t.Errorf("a mark of the old era tells of the store: age %v", age)
	}
}

// Guards against a node that starts with the view of a peer that has not heard
// of the new era, and keeps it because its version is higher.
func TestStartWithAViewOfTheOldEra(t *testing.T) {
	f := &tpfollow.Follower{Kind: "servers"}
	f.SetPassive(true)
	f.Peer(epoch, view(900, object("a", 900)), nil)
	if got, want := f.Next().Kind, tpfollow.ActionView; got != want {
		t.Fatalf("action with the view of a peer: got %v, want %v", got, want)
	}
	if !f.HandleView(epoch, eraView(1, 8, object("a", 7)), nil) || objectVersion(f) != 7 {
		t.Error("the store's view of the new era is not in use")
	}
}

// Guards against calls without a pause to a store whose answers are of an older
// era than the view that a peer has sent.
func TestOlderErasArePaced(t *testing.T) {
	f := newFollower(t, view(5))
	f.Peer(epoch, eraView(1, 3), nil)
	for range 5 {
		if a := f.Next(); a.Kind == tpfollow.ActionWatch {
			f.HandleWatch(epoch, nil, 0, 9, nil)
		} else {
			f.HandleView(epoch, view(9), nil)
		}
	}
	if a := f.Next(); a.Delay == 0 {
		t.Errorf("call after answers of an older era: got %+v, want one with a delay", a)
	}
}

// revised returns a target whose registration has the given version.
func revised(t tpmessage.RelayTarget, revision uint64) tpmessage.RelayTarget {
	t.Revision = revision
	return t
}

// Guards against new work for targets that have left and that the older copy
// shows again, and against the loss of those that live.
func TestRestoredRegistrations(t *testing.T) {
	for _, era := range []uint64{1, 0} {
		r := tpfollow.NewRegistry()
		stale := []tpmessage.RelayTarget{
			revised(target("back", 5, false), 1), revised(target("gone", 5, false), 2), revised(target("leaving", 5, false), 3),
		}
		r.Set(epoch, stale, false)
		r.Set(epoch, []tpmessage.RelayTarget{target("leaving", 5, true), target("new", 5, false)}, false)
		current := make(map[string]tpmessage.RelayTarget)
		look := func(at time.Duration) map[string]tpmessage.RelayTarget {
			if list, changed := r.Targets(epoch.Add(at)); changed {
				clear(current)
				for _, t := range list {
					current[t.Name] = t
				}
			}
			return current
		}
		r.SetEra(era)
		r.Set(epoch, stale, false)
		got := look(0)
		_, gone := got["gone"]
		_, kept := got["new"]
		if ok := !gone && kept && got["leaving"].Draining; ok != (era > 0) {
			t.Errorf("era %d: targets after the first view: got %+v", era, got)
		}
		if era == 0 {
			continue
		}
		// One writes its entry again, and one has a new process.
		stale[0].Revision = 9
		r.Set(epoch, append(stale, target("gone", 6, false)), false)
		got = look(time.Second)
		if _, back := got["back"]; !back || got["gone"].StartedMs != 6 {
			t.Errorf("targets after they have written again: got %+v, want back and gone", got)
		}
		if _, kept := look(tpfollow.LapseGrace)["new"]; kept {
			t.Error("a target that is still missing after the grace period is in use")
		}
		// One was missing before, and the copy shows it.
		r.Set(epoch, stale[1:2], true)
		r.SetEra(2)
		r.Set(epoch.Add(time.Second), stale[:2], false)
		if _, back := look(time.Second + tpfollow.LapseGrace)["back"]; back {
			t.Error("a target that was missing before the restoration is in use after the grace period")
		}
		// The next copy is older again.
		r.Set(epoch, stale[1:2], false)
		r.SetEra(3)
		r.Set(epoch, []tpmessage.RelayTarget{stale[0], target("gone", 4, false)}, false)
		if got := look(tpfollow.LapseGrace); len(got) != 0 {
			t.Errorf("targets after a second restoration: got %+v, want none", got)
		}
	}
}
