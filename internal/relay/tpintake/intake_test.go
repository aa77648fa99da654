package tpintake_test

import (
	"errors"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpintake"
)

var start = time.Unix(1000, 0)

// fill reserves n pieces of 10 bytes for bodies of an address.
func fill[P tpintake.Policy](in *tpintake.Intake[P], address string, n int) []*tpintake.Body {
	var bodies []*tpintake.Body
	for range n {
		b := &tpintake.Body{Address: address}
		_, _ = in.Reserve(start, b, 10)
		bodies = append(bodies, b)
	}
	return bodies
}

// crowdOut reports whether a body of a second address is served while one address
// holds all memory.
func crowdOut[P tpintake.Policy](t *testing.T) error {
	t.Helper()
	var in tpintake.Intake[P]
	in.Limits.Bytes = 100
	bodies := fill(&in, "crowd", 10)
	b := &tpintake.Body{Address: "single"}
	now := start.Add(5 * time.Second)
	in.Progress(now, bodies[3], 1)
	ended, err := in.Reserve(now, b, 10)
	for _, e := range ended {
		if e == bodies[3] || e.Address != "crowd" {
			t.Errorf("gave way: got a body of %s that progresses, want one of the crowd that does not", e.Address)
		}
		in.Release(e)
	}
	if errors.Is(err, tpintake.ErrWait) {
		_, err = in.Reserve(now, b, 10)
	}
	return err
}

// Guards against a client that is refused because another one holds all memory.
func TestLargestAddressGivesWay(t *testing.T) {
	if err := crowdOut[tpintake.LargestAddress](t); err != nil {
		t.Errorf("body of a single client: got %v, want room", err)
	}
	if err := crowdOut[tpintake.FirstComeFirstServed](t); !errors.Is(err, tpintake.ErrFull) {
		t.Errorf("naive variant: got %v, want %v", err, tpintake.ErrFull)
	}
}

// Guards against an address that takes all memory, or whose own bound ends the
// bodies of others.
func TestAddressHasABoundOfItsOwn(t *testing.T) {
	in := tpintake.Intake[tpintake.LargestAddress]{Limits: tpintake.Limits{Bytes: 100, AddressBytes: 50}}
	other := fill(&in, "other", 2)
	own := fill(&in, "crowd", 6)
	ends := 0
	for _, b := range own {
		if b.Ended {
			ends++
		}
	}
	if ends != 1 || other[0].Ended || other[1].Ended {
		t.Errorf("ended: got %d of the crowd, %v, %v of others, want 1 and none", ends, other[0].Ended, other[1].Ended)
	}
}

// Guards against a refusal of a request that runs: a body that has been read gives
// way to nobody.
func TestCompleteBodyStays(t *testing.T) {
	in := tpintake.Intake[tpintake.LargestAddress]{Limits: tpintake.Limits{Bytes: 100}}
	for _, b := range fill(&in, "crowd", 10) {
		if err := in.Complete(b); err != nil {
			t.Fatal(err)
		}
	}
	ended, err := in.Reserve(start, &tpintake.Body{Address: "single"}, 10)
	if len(ended) != 0 || !errors.Is(err, tpintake.ErrFull) {
		t.Errorf("got %d ended and %v, want none and %v", len(ended), err, tpintake.ErrFull)
	}
}

// Guards against a single body that is ended for one of an address with many.
func TestSingleBodyStaysWhileAnAddressHasMany(t *testing.T) {
	in := tpintake.Intake[tpintake.LargestAddress]{Limits: tpintake.Limits{Bytes: 100}}
	single := &tpintake.Body{Address: "single"}
	_, _ = in.Reserve(start, single, 80)
	crowd := fill(&in, "crowd", 3)
	if single.Ended || !crowd[0].Ended && !crowd[1].Ended {
		t.Errorf("ended: got the single one %v, the crowd %v %v, want one of the crowd", single.Ended, crowd[0].Ended, crowd[1].Ended)
	}
	for _, b := range append(crowd, single) {
		in.Release(b)
	}
	if held, bodies := in.Held(); held != 0 || bodies != 0 {
		t.Errorf("held after the release: got %d bytes of %d bodies, want none", held, bodies)
	}
}

// Guards against a body that has stopped after a fast start and that outlasts one
// that progresses slowly, and against a floor that a client inside the limits meets.
func TestProgressIsThatOfThePresent(t *testing.T) {
	var in tpintake.Intake[tpintake.LargestAddress]
	fast, slow := &tpintake.Body{Address: "a"}, &tpintake.Body{Address: "a"}
	_, _ = in.Reserve(start, fast, 1)
	_, _ = in.Reserve(start, slow, 1)
	in.Progress(start, fast, 1<<20)
	for i := range 12 {
		in.Progress(start.Add(time.Duration(i)*800*time.Millisecond), slow, 100)
	}
	now := start.Add(9 * time.Second)
	if got, want := fast.Rate(now), slow.Rate(now); got >= want {
		t.Errorf("rate of a body that has stopped: got %v, want less than %v", got, want)
	}
	if got := fast.Rate(start.Add(15 * time.Second)); got <= 0 {
		t.Errorf("rate after 15 s: got %v, want one above the floor", got)
	}
	if got := fast.Rate(start.Add(16 * time.Second)); got != 0 {
		t.Errorf("rate after 16 s: got %v, want zero", got)
	}
}

func connFor[P tpintake.ConnPolicy]() (closed *tpintake.Conn, ok bool) {
	in := tpintake.Conns[P]{Max: 4}
	for i, c := range []tpintake.Conn{
		{Address: "other"}, {Address: "crowd", Busy: true}, {Address: "crowd"}, {Address: "crowd"},
	} {
		c.Silent = start.Add(time.Duration(i) * time.Second)
		in.Reserve(&c)
	}
	return in.Reserve(&tpintake.Conn{Address: "single", Silent: start.Add(time.Minute)})
}

// Guards against a client that can't connect because others hold all connections,
// and against the end of a request in progress or of a single connection.
func TestSilentConnectionOfTheLargestAddressIsClosed(t *testing.T) {
	closed, ok := connFor[tpintake.SilentLongest]()
	if want := start.Add(2 * time.Second); !ok || closed == nil || !closed.Silent.Equal(want) {
		t.Errorf("closed: got %+v, %v, want the one that is silent since %v", closed, ok, want)
	}
	if _, ok := connFor[tpintake.RefuseNew](); ok {
		t.Error("naive variant: got room, want none")
	}
	in := tpintake.Conns[tpintake.SilentLongest]{Max: 2}
	in.Reserve(&tpintake.Conn{Address: "single"})
	in.Reserve(&tpintake.Conn{Address: "crowd", Busy: true})
	if closed, ok := in.Reserve(&tpintake.Conn{Address: "crowd"}); ok || closed != nil || in.Held() != 2 {
		t.Errorf("second connection of the crowd: got %v, %v with %d held, want a refusal", closed, ok, in.Held())
	}
}
