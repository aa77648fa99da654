package tpfollow_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpfollow"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	auditTick     = 100 * time.Millisecond  // between two looks at the schedule
	callTime      = 10 * time.Millisecond   // of a call that is answered
	callTimeout   = 1500 * time.Millisecond // of a call that is not
	touchWindow   = 3 * time.Second         // after which a node that has a path again must be up to date
	outageRefused = 200 * time.Millisecond  // of a call that is refused
)

var errTurnedAway = errors.New("turned away")

// deployment is a region with the time in which a change must be in force.
type deployment struct {
	nodes          int
	reportInterval time.Duration
	bound          time.Duration
}

var deployments = []deployment{
	{nodes: 8, reportInterval: 100 * time.Millisecond, bound: 2 * time.Second},
	{nodes: 69, reportInterval: 190 * time.Millisecond, bound: 3 * time.Second},
	{nodes: 295, reportInterval: 640 * time.Millisecond, bound: 4 * time.Second},
}

// auditingNode is a node that hears of no confirmation.
type auditingNode struct {
	schedule    tpfollow.AuditSchedule
	confirmedAt time.Time
	startedAt   time.Time // of the audit in progress
	endsAt      time.Time // of the audit in progress, or zero
	err         error     // of the audit in progress
	calls       int
}

// step lets the node audit. Call returns the duration and the error of a call
// that starts now.
func (n *auditingNode) step(now time.Time, f tpfollow.Freshness, call func() (time.Duration, error)) {
	if !n.endsAt.IsZero() && !now.Before(n.endsAt) {
		n.schedule.Done(n.endsAt, n.err)
		if n.err == nil {
			n.confirmedAt = n.startedAt
		}
		n.endsAt = time.Time{}
	}
	f.Age = now.Sub(n.confirmedAt)
	if n.schedule.Start(now, f) {
		var length time.Duration
		length, n.err = call()
		n.startedAt, n.endsAt = now, now.Add(length)
		n.calls++
	}
}

// Guards against a node that waits for the audits of others longer than a change may take.
func TestAgeOfAViewIsBoundedWhenNobodyConfirmsIt(t *testing.T) {
	for _, d := range deployments {
		for ahead := range d.nodes {
			n := auditingNode{confirmedAt: epoch}
			for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(auditTick) {
				n.step(now, tpfollow.Freshness{Ahead: ahead, ReportInterval: d.reportInterval}, func() (time.Duration, error) { return callTime, nil })
				if got := now.Add(callTime).Sub(n.confirmedAt); got > d.bound {
					t.Fatalf("%d nodes, %d ahead: age of the view: got %v, want at most %v", d.nodes, ahead, got, d.bound)
				}
			}
		}
	}
}

// Guards against a node that is still behind when it has had a path again for the time that makes it count.
func TestAuditFollowsTheReturnOfThePath(t *testing.T) {
	for _, silent := range []bool{false, true} {
		rng := rand.New(rand.NewPCG(20261205, 31))
		for range 200 {
			n := auditingNode{confirmedAt: epoch}
			back := epoch.Add(5*time.Second + time.Duration(rng.Int64N(int64(5*time.Second))))
			for now := epoch; now.Before(back.Add(touchWindow)); now = now.Add(auditTick) {
				n.step(now, tpfollow.Freshness{Ahead: 68, ReportInterval: 190 * time.Millisecond}, func() (time.Duration, error) {
					switch {
					case !now.Before(back):
						return callTime, nil
					case silent:
						return callTimeout, errTurnedAway
					}
					return outageRefused, errTurnedAway
				})
			}
			if !n.confirmedAt.After(back) {
				t.Fatalf("silent %v, path back %v after its loss: the view is not confirmed %v later", silent, back.Sub(epoch), touchWindow)
			}
		}
	}
}

// Guards against calls that grow with the region while the audits of a few nodes succeed.
func TestNodesThatHearOfAuditsMakeNone(t *testing.T) {
	for _, d := range deployments {
		for ahead := range d.nodes {
			var s tpfollow.AuditSchedule
			f := tpfollow.Freshness{
				Age:   tpfollow.AuditInterval + 2*auditTick + 2*50*time.Millisecond + d.reportInterval - callTime,
				Ahead: ahead, ReportInterval: d.reportInterval,
			}
			if s.Start(epoch, f) {
				t.Fatalf("%d nodes, %d ahead: an audit starts at an age of %v", d.nodes, ahead, f.Age)
			}
		}
	}
}

// Guards against calls without a pause while the platform turns every node away.
func TestAuditsThatFailArePaced(t *testing.T) {
	const nodes, length = 295, 30 * time.Second
	calls := 0
	for ahead := range nodes {
		n := auditingNode{confirmedAt: epoch}
		for now := epoch; now.Before(epoch.Add(length)); now = now.Add(auditTick) {
			n.step(now, tpfollow.Freshness{Ahead: ahead, ReportInterval: 640 * time.Millisecond}, func() (time.Duration, error) {
				return callTime, errTurnedAway
			})
		}
		calls += n.calls
	}
	// The smallest platform serves 2,000 reads a second.
	if got, most := calls/int(length/time.Second), 300; got > most {
		t.Errorf("calls a second of %d nodes in an outage: got %d, want at most %d", nodes, got, most)
	}
}

// Guards against a node that counts as a watcher for as long as its silent watch stays open.
func TestSilentWatchIsInterruptedAfterAFailedAudit(t *testing.T) {
	f := newFollower(t, view(5))
	f.Next()
	if !f.Serving() || f.WatchStalled(epoch.Add(time.Minute)) {
		t.Fatal("an open watch without changes does not count as served")
	}
	f.HandleAudit(epoch, tpobject.View{}, errTurnedAway)
	if f.Serving() || !f.WatchStalled(epoch) {
		t.Fatal("a watch beside which an audit failed counts as served")
	}
	f.HandleWatch(epoch, nil, 0, 0, tpfollow.ErrInterrupted)
	if a := f.Next(); a.Kind != tpfollow.ActionView || a.Delay == 0 {
		t.Errorf("call after the interrupted watch: got %+v, want a delayed read", a)
	}
}

// Guards against a node that makes no further audit after a failed one, because it has made no other call that could succeed.
func TestFailedAuditOfANodeThatMakesNoOtherCalls(t *testing.T) {
	f := &tpfollow.Follower{Kind: "servers"}
	f.SetPassive(true)
	f.Peer(epoch, view(5), nil) // as in the first start of a region
	f.HandleAudit(epoch, tpobject.View{}, errTurnedAway)
	f.SetPassive(true)
	if f.Failing() {
		t.Error("the node counts as repeating a failed call that it does not repeat")
	}
	if f.Disturbed(epoch.Add(4 * time.Second)) {
		t.Error("the platform counts as disturbed 4 s after the only failed call")
	}
}

// Guards against a watch on a connection that has gone silent, while other calls of the node succeed.
func TestWatchThatMissesAChangeIsInterrupted(t *testing.T) {
	for name, learn := range map[string]func(*tpfollow.Follower){
		"audit": func(f *tpfollow.Follower) { f.HandleAudit(epoch, view(7, object("a", 7)), nil) },
		"peer":  func(f *tpfollow.Follower) { f.Peer(epoch, view(7, object("a", 7)), nil) },
	} {
		f := newFollower(t, view(5))
		f.Next()
		learn(f)
		if f.WatchStalled(epoch.Add(400 * time.Millisecond)) {
			t.Errorf("%s: the watch has no time to report the change", name)
		}
		if !f.WatchStalled(epoch.Add(600 * time.Millisecond)) {
			t.Errorf("%s: a watch that does not report the change is not interrupted", name)
		}
		f.HandleWatch(epoch, nil, 0, 0, tpfollow.ErrInterrupted)
		if f.Disturbed(epoch.Add(time.Second)) {
			t.Errorf("%s: the interruption counts as a failure of the platform", name)
		}
		if a := f.Next(); a.Kind != tpfollow.ActionView || a.Delay != 0 {
			t.Errorf("%s: call after the interrupted watch: got %+v, want a read at once", name, a)
		}
	}
}

// Guards against a view that counts as confirmed although a peer told of other content.
func TestConfirmationCountsForTheConfirmedContent(t *testing.T) {
	f := newFollower(t, view(5))
	now := epoch.Add(10 * time.Second)
	confirmed := func(version, digest uint64) {
		f.HandlePeerVersion(now, "peer:1", tpmessage.ViewVersion{Kind: "servers", Version: version, Digest: digest, Confirmed: true})
	}
	other := view(8, object("a", 8))
	confirmed(8, newFollower(t, other).CurrentVersion().Digest)
	if age, _ := f.Age(now); age < 10*time.Second {
		t.Errorf("age after the confirmation of newer content: got %v, want 10 s", age)
	}
	f.Peer(now, other, nil)
	if age, _ := f.Age(now); age > time.Second {
		t.Errorf("age with the confirmed content: got %v, want less than 1 s", age)
	}
	now = now.Add(10 * time.Second)
	confirmed(7, 1) // an older version, whose changes the view holds
	if age, _ := f.Age(now); age > time.Second {
		t.Errorf("age after the confirmation of an older version: got %v, want less than 1 s", age)
	}
}

// Guards against a confirmation that nodes keep young by telling each other of it.
func TestConfirmationAgesAtNodesThatTellEachOther(t *testing.T) {
	const nodes, transit = 8, 20 * time.Millisecond
	rng := rand.New(rand.NewPCG(20261205, 2))
	followers := make([]*tpfollow.Follower, nodes)
	for i := range followers {
		followers[i] = newFollower(t, view(5))
		followers[i].SetPassive(true)
	}
	read := view(5)
	read.ReadAt = epoch
	followers[0].HandleAudit(epoch, read, nil)
	now := epoch
	for ; now.Before(epoch.Add(10 * time.Second)); now = now.Add(auditTick) {
		for _, from := range rng.Perm(nodes) {
			m := followers[from].Mark(now)
			for _, to := range rng.Perm(nodes)[:3] {
				followers[to].HandlePeerVersion(now.Add(transit), "peer:1", m)
			}
		}
	}
	for i, f := range followers {
		if age, _ := f.Age(now); age < now.Sub(epoch) {
			t.Errorf("node %d: age of the view: got %v, want at least %v", i, age, now.Sub(epoch))
		}
	}
	if _, known := (&tpfollow.Follower{}).Age(now); known {
		t.Error("a node without a view knows its age")
	}
	if m := followers[1].Mark(now); !m.Confirmed {
		t.Error(fmt.Sprint("a node that has heard of the audit does not tell of it: ", m))
	}
}
