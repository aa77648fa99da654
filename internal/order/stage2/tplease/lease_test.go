package tplease_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

const leaseName = "lease/nord-ovest/language"

func settings(i int) tplease.Settings {
	return tplease.Settings{
		Name: leaseName, Holder: fmt.Sprintf("node-%d", i), Incarnation: fmt.Sprintf("process-%d", i),
		Term: 3 * time.Second, RenewInterval: time.Second, Margin: time.Second,
	}
}

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, tpseed.Default)) }

// candidate is one process of the simulation. A call has three steps: it is
// sent, the platform executes it, and its answer arrives.
type candidate[T tplease.AuthorityPolicy] struct {
	lease    *tplease.Lease[T]
	action   tplease.Action
	sent     bool
	executed bool
	snapshot tplease.Snapshot
	err      error
}

// simulation is a set of candidates and a store in simulated time.
type simulation[T tplease.AuthorityPolicy] struct {
	now        time.Time
	store      tpobject.Memory
	nodes      []*candidate[T]
	lateWrites []tplease.Action // writes whose answer was lost before they took effect
}

func (s *simulation[T]) put(a tplease.Action) (uint64, error) {
	value, err := json.Marshal(a.Lease)
	if err != nil {
		return 0, err
	}
	return s.store.Put(context.Background(), a.Lease.Name, value, a.Version)
}

// execute performs the candidate's call on the platform, with a fault if fault
// is 0 to 2.
func (s *simulation[T]) execute(c *candidate[T], fault int) {
	c.executed = true
	if c.action.Kind == tplease.ActionRead {
		c.snapshot, c.err = tplease.Read(context.Background(), &s.store, leaseName)
		return
	}
	switch fault {
	case 0: // the answer is lost after the write has taken effect
		_, _ = s.put(c.action)
		c.err = tpobject.ErrOutcomeUnknown
	case 1: // the answer is lost, and the write takes effect later
		s.lateWrites = append(s.lateWrites, c.action)
		c.err = tpobject.ErrOutcomeUnknown
	case 2:
		c.err = tpobject.ErrUnavailable
	default:
		c.snapshot.Version, c.err = s.put(c.action)
	}
}

// step performs the next step of one candidate.
func (s *simulation[T]) step(c *candidate[T], fault int) {
	switch {
	case !c.sent:
		c.action = c.lease.Next(s.now)
		c.sent = c.action.Kind == tplease.ActionRead || c.action.Kind == tplease.ActionWrite
	case !c.executed:
		s.execute(c, fault)
	default:
		c.sent, c.executed = false, false
		if c.action.Kind == tplease.ActionRead {
			c.lease.Read(s.now, c.snapshot, c.err)
			return
		}
		c.lease.Wrote(s.now, c.snapshot.Version, c.err)
	}
}

// actingFencing returns the fencing number of the candidate that may act, or 0
// if there is none. It returns an error if several may act at the same time.
func (s *simulation[T]) actingFencing() (uint64, error) {
	var fencing uint64
	holders := 0
	for _, c := range s.nodes {
		if c.lease.MayAct(s.now) {
			fencing = c.lease.Authority().Fencing
			holders++
		}
	}
	if holders > 1 {
		return 0, fmt.Errorf("%d candidates act at once", holders)
	}
	return fencing, nil
}

// run draws an interleaving. It returns the number of grants and the first
// violation: two candidates act at the same time, or a later grant has a lower
// fencing number.
func run[T tplease.AuthorityPolicy](t *rapid.T, policy T) (int, error) {
	s := &simulation[T]{now: time.Unix(1000, 0)}
	for i := range rapid.IntRange(2, 4).Draw(t, "candidates") {
		c := &candidate[T]{lease: tplease.New(settings(i), policy)}
		c.lease.SetRank(i)
		s.nodes = append(s.nodes, c)
	}
	grants, last := 0, uint64(0)
	active := 0
	for range 600 {
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0, 1:
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
		case 2:
			if len(s.lateWrites) > 0 {
				_, _ = s.put(s.lateWrites[0])
				s.lateWrites = s.lateWrites[1:]
			}
		case 3:
			// The other candidates rarely run until the next choice.
			active = rapid.IntRange(0, len(s.nodes)-1).Draw(t, "favourite")
		case 4:
			i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "any")
			s.step(s.nodes[i], rapid.IntRange(0, 9).Draw(t, "fault"))
		default:
			s.step(s.nodes[active], rapid.IntRange(0, 9).Draw(t, "fault"))
		}
		fencing, err := s.actingFencing()
		if err != nil {
			return grants, err
		}
		if fencing != 0 && fencing < last {
			return grants, fmt.Errorf("fencing number %d after %d", fencing, last)
		}
		if fencing > last {
			last = fencing
			grants++
		}
	}
	return grants, nil
}

// Guards against two holders that act at the same time. The runs interleave
// process pauses, lost answers and writes that take effect late.
func TestOneHolderActs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := run(t, tplease.Strict{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that passes for any lease: with the naive policy some
// runs must fail the check, and with the strict one the lease must change
// hands.
func TestCheckCatchesNaiveLease(t *testing.T) {
	const runs = 200
	violations, grants := 0, 0
	for seed := range runs {
		naive := rapid.Custom(func(t *rapid.T) error { _, err := run(t, tplease.Naive{}); return err })
		if naive.Example(seed) != nil {
			violations++
		}
		strict := rapid.Custom(func(t *rapid.T) int { n, _ := run(t, tplease.Strict{}); return n })
		grants += strict.Example(seed)
	}
	if violations == 0 || grants < 2*runs {
		t.Errorf("got %d naive runs caught and %d strict grants in %d runs, want some and at least two a run",
			violations, grants, runs)
	}
	t.Logf("caught %d of %d naive runs; %d strict grants", violations, runs, grants)
}

// Guards against a takeover before Term and Margin have passed, and against a
// term that counts from the answer instead of from before the write was sent.
func TestTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	l := tplease.New(settings(0), tplease.Strict{})
	foreign := tplease.Snapshot{Lease: tpmessage.Lease{Holder: "other", Fencing: 4, Term: 3 * time.Second}, Version: 9}
	l.Read(start, foreign, nil)
	if a := l.Next(start.Add(4*time.Second - 1)); a.Kind == tplease.ActionWrite {
		t.Errorf("got a write before Term+Margin")
	}
	sent := start.Add(4 * time.Second)
	a := l.Next(sent)
	if a.Kind != tplease.ActionWrite || a.Lease.Fencing != 5 || a.Version != 9 {
		t.Fatalf("got %+v, want a write of fencing number 5 over version 9", a)
	}
	l.Wrote(sent.Add(2*time.Second), 10, nil)
	if !l.MayAct(sent.Add(3*time.Second-1)) || l.MayAct(sent.Add(3*time.Second)) {
		t.Errorf("the term does not count from before the write was sent")
	}
}

// Guards against a planned stop after which other candidates must wait for the
// end of the term.
func TestRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	l := tplease.New(settings(0), tplease.Strict{})
	l.Read(now, tplease.Snapshot{}, nil)
	l.Next(now)
	l.Wrote(now, 1, nil)
	l.Release()
	if l.Authority().Held {
		t.Errorf("a releasing holder still has authority")
	}
	a := l.Next(now)
	if a.Kind != tplease.ActionWrite || a.Lease.Holder != "" || a.Lease.Fencing != 1 {
		t.Fatalf("got %+v, want a release that keeps the fencing number", a)
	}
	l.Wrote(now, 2, nil)
	if got := l.Next(now).Kind; got != tplease.ActionEnd {
		t.Errorf("got action %d after the release, want the end", got)
	}
	next := tplease.New(settings(1), tplease.Strict{})
	next.Read(now, tplease.Snapshot{Lease: a.Lease, Version: 2}, nil)
	if a := next.Next(now); a.Kind != tplease.ActionWrite || a.Lease.Fencing != 2 {
		t.Errorf("got %+v, want a grant at once", a)
	}
}

func BenchmarkHolder(b *testing.B) {
	b.ReportAllocs()
	now := time.Unix(1000, 0)
	l := tplease.New(settings(0), tplease.Strict{})
	l.Read(now, tplease.Snapshot{}, nil)
	for i := range b.N {
		now = now.Add(time.Second)
		l.Next(now)
		l.Wrote(now, uint64(i+1), nil)
	}
}

// Guards against a region whose nodes all read and write the lease when they
// start, and against a candidate that does not step in after those before it
// are gone.
func TestOnlyFirstCandidatesCall(t *testing.T) {
	l := tplease.New(settings(1), tplease.Strict{})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l.SetRank(tplease.MaxCandidates)
	if got, want := l.Next(now).Kind, tplease.ActionWait; got != want {
		t.Errorf("action with %d candidates before: got %v, want %v", tplease.MaxCandidates, got, want)
	}
	l.SetRank(tplease.MaxCandidates - 1)
	if got, want := l.Next(now).Kind, tplease.ActionRead; got != want {
		t.Errorf("action with %d candidates before: got %v, want %v", tplease.MaxCandidates-1, got, want)
	}
}
