package tpfollow_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpfollow"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// hearOfReads tells a passive follower every half second that a peer is turned away
// and, outside the given outage, that another one reads the platform.
func hearOfReads(f *tpfollow.Follower, length, outageBegin, outageEnd time.Duration) {
	for at := time.Duration(0); at <= length; at += 500 * time.Millisecond {
		now := epoch.Add(at)
		m := f.CurrentVersion()
		m.Disturbed = at < outageEnd
		f.HandlePeerVersion(now, "peer:1", m)
		m = tpmessage.ViewVersion{Kind: m.Kind, Version: m.Version, Digest: m.Digest, Confirmed: true}
		if at < outageBegin || at >= outageEnd {
			f.HandlePeerVersion(now, "peer:2", m)
		}
	}
}

// Guards against new work for a target that has left without notice while the platform turns only some nodes away.
func TestMissingRegistrationHasLeftWhileThePlatformServesOthers(t *testing.T) {
	f := newFollower(t, view(5))
	f.SetPassive(true)
	hearOfReads(f, 8*time.Second, 9*time.Second, 9*time.Second)
	now := epoch.Add(8 * time.Second)
	if !f.Disturbed(now) {
		t.Fatal("a node that hears of failed calls does not count the platform as disturbed")
	}
	if f.MayHaveLapsed(now) {
		t.Error("registrations may have lapsed although the platform was read all the time")
	}
}

// Guards against the loss of live targets whose registrations lapsed while the platform served nobody.
func TestMissingRegistrationMayHaveLapsedInAnOutage(t *testing.T) {
	f := newFollower(t, view(5))
	f.SetPassive(true)
	hearOfReads(f, 7*time.Second, 2*time.Second, 6500*time.Millisecond)
	for at, want := range map[time.Duration]bool{7 * time.Second: true, 8 * time.Second: true, 10 * time.Second: false} {
		if got := f.MayHaveLapsed(epoch.Add(at)); got != want {
			t.Errorf("registrations may have lapsed %v after the start, the outage lasts from 2 s to 6.5 s: got %v, want %v", at, got, want)
		}
	}
}
