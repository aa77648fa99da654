package tprollout_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// stepper drives one follower and keeps the actions of the last step.
type stepper struct {
	follower *tprollout.Follower[tprollout.ByGeneration]
	now      time.Time
	actions  []tprollout.Action
}

func newStepper() *stepper {
	s := &stepper{now: time.Unix(1_700_000_000, 0)}
	s.follower = tprollout.NewFollower(tprollout.ByGeneration{}, tprollout.FollowerSettings{
		Self: "node-0", Platform: true, Random: rand.New(rand.NewPCG(1, 1)),
	})
	return s
}

// after lets time pass and takes one input.
func (s *stepper) after(d time.Duration, in tprollout.Input) {
	s.now = s.now.Add(d)
	s.actions = s.follower.Step(s.now, in, nil)
}

// tick shows the follower its members: itself, one peer, and nodes without a
// configuration.
func (s *stepper) tick(d time.Duration, peer tpmessage.Member, others ...string) {
	peer.Name, peer.Address = "node-1", "node-1"
	members := []tpmessage.Member{{Name: "node-0"}, peer}
	for _, name := range others {
		members = append(members, tpmessage.Member{Name: name, Address: name})
	}
	s.after(d, tprollout.Input{Kind: tprollout.InputTick, Members: members})
}

func (s *stepper) asks(kind tprollout.ActionKind) bool {
	return slices.ContainsFunc(s.actions, func(a tprollout.Action) bool { return a.Kind == kind })
}

func held(generation uint64) tprollout.Input {
	return tprollout.Input{
		Kind: tprollout.InputFetched,
		Held: tprollout.Held{Head: tpmessage.Head{Generation: generation}},
	}
}

// Guards against a process that was restarted as the platform went down: it
// has read the head but not its parts, and must not take from a peer what its
// earlier process had already replaced.
func TestStartTakesNoLessThanAccepted(t *testing.T) {
	s := newStepper()
	s.tick(0, tpmessage.Member{Generation: 1})
	if !s.asks(tprollout.ActionReadHead) {
		t.Fatalf("at the start: got %+v, want a read of the head", s.actions)
	}
	s.after(time.Millisecond, tprollout.Input{Kind: tprollout.InputHead, Head: tpmessage.Head{Generation: 2}})
	if !s.asks(tprollout.ActionFetchParts) {
		t.Fatalf("after the head: got %+v, want a fetch of its parts", s.actions)
	}
	for range 40 {
		s.after(time.Millisecond, tprollout.Input{Kind: tprollout.InputFailed})
		s.tick(time.Second, tpmessage.Member{Generation: 1})
		if s.asks(tprollout.ActionFetchPeer) {
			t.Fatal("with generation 2 accepted: got a fetch of generation 1")
		}
	}
	s.after(time.Millisecond, held(1))
	if s.asks(tprollout.ActionApply) {
		t.Error("with generation 2 accepted: generation 1 was put in force")
	}
	s.after(time.Second, tprollout.Input{Kind: tprollout.InputFailed})
	for range 3 {
		s.tick(time.Second, tpmessage.Member{Generation: 2})
	}
	s.after(time.Millisecond, held(2))
	if !s.asks(tprollout.ActionApply) {
		t.Errorf("with generation 2 from a peer: got %+v, want it in force", s.actions)
	}
}

// Guards against nodes that all read the head although a watcher's heartbeats
// arrive, and against nodes that wait for a watcher that fell silent.
func TestOwnReadOnlyWithoutNews(t *testing.T) {
	s := newStepper()
	others := []string{"node-2", "node-3", "node-4", "node-5", "node-6", "node-7"}
	s.tick(0, tpmessage.Member{Generation: 1, Watching: true}, others...)
	if s.asks(tprollout.ActionStartWatch) {
		t.Fatal("node-0 is chosen to watch, and probes its watch; the test needs other names")
	}
	s.after(time.Millisecond, tprollout.Input{Kind: tprollout.InputHead, Head: tpmessage.Head{Generation: 1}})
	s.after(time.Millisecond, held(1))
	for range 60 {
		s.tick(time.Second, tpmessage.Member{Generation: 1, Watching: true}, others...)
		if s.asks(tprollout.ActionReadHead) {
			t.Fatal("with a peer that watches: got an own read")
		}
	}
	// The peer was silent for SuspectAfter when it became a suspect.
	s.tick(0, tpmessage.Member{Generation: 1, Watching: true, Suspect: true}, others...)
	for read := time.Duration(0); !s.asks(tprollout.ActionReadHead); read += 100 * time.Millisecond {
		if read > 4*time.Second {
			t.Fatalf("with a suspect that watched: no own read within %v", read)
		}
		s.tick(100*time.Millisecond, tpmessage.Member{Generation: 1, Watching: true, Suspect: true}, others...)
	}
}
