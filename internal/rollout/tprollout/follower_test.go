package tprollout_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// followerDriver drives one follower and stores the actions of the last step.
type followerDriver struct {
	follower *tprollout.Follower[tprollout.ByGeneration]
	now      time.Time
	actions  []tprollout.Action
}

func newFollowerDriver() *followerDriver {
	s := &followerDriver{now: time.Unix(1_700_000_000, 0)}
	s.follower = tprollout.NewFollower(tprollout.ByGeneration{}, tprollout.FollowerSettings{
		Self: "node-0", Platform: true, Random: rand.New(rand.NewPCG(1, 1)),
	})
	return s
}

// advance advances the time by d and passes one input to the follower.
func (f *followerDriver) advance(d time.Duration, in tprollout.Input) {
	f.now = f.now.Add(d)
	f.actions = f.follower.Step(f.now, in, nil)
}

// tick passes a tick with the members: node-0 itself, the peer as node-1, and
// other nodes without a configuration.
func (f *followerDriver) tick(d time.Duration, peer tpmessage.Member, others ...string) {
	peer.Name, peer.Address = "node-1", "node-1"
	members := []tpmessage.Member{{Name: "node-0"}, peer}
	for _, name := range others {
		members = append(members, tpmessage.Member{Name: name, Address: name})
	}
	f.advance(d, tprollout.Input{Kind: tprollout.InputTick, Members: members})
}

func (f *followerDriver) hasAction(kind tprollout.ActionKind) bool {
	return slices.ContainsFunc(f.actions, func(a tprollout.Action) bool { return a.Kind == kind })
}

func fetchedInput(generation uint64) tprollout.Input {
	return tprollout.Input{
		Kind: tprollout.InputFetched,
		Held: tprollout.Held{Head: tpmessage.Head{Generation: generation}},
	}
}

// Guards against a reverted configuration after a restart during a platform
// outage. The process has read the head but not its parts. It must not fetch an
// older generation from a peer, which its earlier process had already replaced.
func TestStartTakesNoLessThanAccepted(t *testing.T) {
	s := newFollowerDriver()
	s.tick(0, tpmessage.Member{Generation: 1})
	if !s.hasAction(tprollout.ActionReadHead) {
		t.Fatalf("at the start: got %+v, want a read of the head", s.actions)
	}
	s.advance(time.Millisecond, tprollout.Input{Kind: tprollout.InputHead, Head: tpmessage.Head{Generation: 2}})
	if !s.hasAction(tprollout.ActionFetchParts) {
		t.Fatalf("after the head: got %+v, want a fetch of its parts", s.actions)
	}
	for range 40 {
		s.advance(time.Millisecond, tprollout.Input{Kind: tprollout.InputFailed})
		s.tick(time.Second, tpmessage.Member{Generation: 1})
		if s.hasAction(tprollout.ActionFetchPeer) {
			t.Fatal("with generation 2 accepted: got a fetch of generation 1")
		}
	}
	s.advance(time.Millisecond, fetchedInput(1))
	if s.hasAction(tprollout.ActionApply) {
		t.Error("with generation 2 accepted: generation 1 was put in force")
	}
	s.advance(time.Second, tprollout.Input{Kind: tprollout.InputFailed})
	for range 3 {
		s.tick(time.Second, tpmessage.Member{Generation: 2})
	}
	s.advance(time.Millisecond, fetchedInput(2))
	if !s.hasAction(tprollout.ActionApply) {
		t.Errorf("with generation 2 from a peer: got %+v, want it in force", s.actions)
	}
}

// Guards against reads of the head by nodes that receive the heartbeats of a
// watcher, and against no read after the watcher's heartbeats stop.
func TestOwnReadOnlyWithoutNews(t *testing.T) {
	s := newFollowerDriver()
	others := []string{"node-2", "node-3", "node-4", "node-5", "node-6", "node-7"}
	s.tick(0, tpmessage.Member{Generation: 1, Watching: true}, others...)
	if s.hasAction(tprollout.ActionStartWatch) {
		t.Fatal("node-0 is chosen to watch, and probes its watch; the test needs other names")
	}
	s.advance(time.Millisecond, tprollout.Input{Kind: tprollout.InputHead, Head: tpmessage.Head{Generation: 1}})
	s.advance(time.Millisecond, fetchedInput(1))
	for range 60 {
		s.tick(time.Second, tpmessage.Member{Generation: 1, Watching: true}, others...)
		if s.hasAction(tprollout.ActionReadHead) {
			t.Fatal("with a watching peer: got an own read of the head")
		}
	}
	// The peer was silent for SuspectAfter when it became a suspect.
	s.tick(0, tpmessage.Member{Generation: 1, Watching: true, Suspect: true}, others...)
	for waited := time.Duration(0); !s.hasAction(tprollout.ActionReadHead); waited += 100 * time.Millisecond {
		if waited > 4*time.Second {
			t.Fatalf("with a suspect that watched: no own read within %v", waited)
		}
		s.tick(100*time.Millisecond, tpmessage.Member{Generation: 1, Watching: true, Suspect: true}, others...)
	}
}

// Guards against a watcher that counts as one until its unanswered probe times out, while no other node reads the head.
func TestUnansweredProbeEndsTheWatchInTime(t *testing.T) {
	const bound = 7 * time.Second // in which a change must be in force
	s := newFollowerDriver()
	s.tick(0, tpmessage.Member{Generation: 1})
	s.advance(time.Millisecond, tprollout.Input{Kind: tprollout.InputHead, Head: tpmessage.Head{Generation: 1}})
	s.advance(time.Millisecond, fetchedInput(1))
	if !s.follower.Watching() {
		t.Fatal("node-0 is not chosen to watch; the test needs other names")
	}
	// The platform answers neither the watch nor the probe from here on.
	claimed := time.Duration(0)
	for s.follower.Watching() {
		if claimed > time.Minute {
			t.Fatal("the claim to be watching does not end")
		}
		claimed += tprollout.TickInterval
		s.tick(tprollout.TickInterval, tpmessage.Member{Generation: 1})
	}
	others := tpmember.HeartbeatInterval + tprollout.UnwatchedReadDelay - tpmember.SuspectAfter + tprollout.TickInterval
	if got := claimed + others; got > bound {
		t.Errorf("time until another node reads the head: got %v, want at most %v", got, bound)
	}
}
