package tplease_test

import (
	"context"
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"

	"teaselpin.example/teaselpin/internal/order/stage2/tplease"
)

// eraSeeds is the number of seeds of TestHoldersOfARestoredStore.
var eraSeeds = flag.Int("eraSeeds", 8, "number of runs of the simulation of a store that goes back")

// Guards against a number that decreases or that a second holder uses, and
// against two holders in turn, after the store has lost grants. The lease that
// does not follow eras must be caught.
func TestHoldersOfARestoredStore(t *testing.T) {
	caught, handovers, restorations, calls := 0, 0, 0, 0
	var example error
	for seed := range uint64(*eraSeeds) {
		h := runEras(seed, tplease.Strict{})
		if err := h.check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		handovers, restorations, calls = handovers+h.handovers, restorations+h.restorations, calls+len(h.calls)
		if err := runEras(seed, tplease.EraBlind{}).check(); err != nil {
			caught++
			example = err
		}
	}
	if caught < *eraSeeds/2 {
		t.Errorf("runs of the lease that does not follow eras: caught %d of %d, want half", caught, *eraSeeds)
	}
	if handovers < *eraSeeds || restorations < 4**eraSeeds || calls < 50**eraSeeds {
		t.Errorf("got %d handovers, %d restorations and %d calls, want 1, 4 and 50 a run", handovers, restorations, calls)
	}
	t.Logf("%d runs: %d handovers, %d restorations, %d calls; caught %d naive runs, such as: %v",
		*eraSeeds, handovers, restorations, calls, caught, example)
}

// read performs the read for which the lease asks.
func read[T tplease.AuthorityPolicy](t *testing.T, l *tplease.Lease[T], now time.Time, s tplease.Snapshot) {
	t.Helper()
	if a := l.Next(now); a.Kind != tplease.ActionRead {
		t.Fatalf("action: got %+v, want a read", a)
	}
	l.Read(now, s, nil)
}

// grant makes a candidate the holder in era 0 with fencing number 5 and version
// 9, and returns its grant.
func grant[T tplease.AuthorityPolicy](t *testing.T, l *tplease.Lease[T], now time.Time) tpmessage.Lease {
	t.Helper()
	read(t, l, now, tplease.Snapshot{Lease: tpmessage.Lease{Fencing: 4}, Version: 8})
	a := l.Next(now)
	l.Wrote(now, 9, nil)
	if got := l.Authority(); !got.Held || got.Fencing != 5 {
		t.Fatalf("authority: got %+v, want number 5", got)
	}
	return a.Lease
}

// firstGrant returns the time until a candidate that has just learnt of an era
// writes a grant, and its number. It returns at once if the candidate acts
// without a write.
func firstGrant[T tplease.AuthorityPolicy](policy T, copied tplease.Snapshot) (time.Duration, uint64) {
	start := time.Unix(1000, 0)
	l := tplease.New(settings(0), policy)
	for now := start; ; now = now.Add(50 * time.Millisecond) {
		l.SetEra(now, 1)
		switch a := l.Next(now); a.Kind {
		case tplease.ActionRead:
			l.Read(now, copied, nil)
		case tplease.ActionWrite:
			return now.Sub(start), a.Lease.Fencing
		}
		if l.Authority().Held {
			return now.Sub(start), l.Authority().Fencing
		}
	}
}

// Guards against a candidate that takes the lease while a holder lives whose
// grant the store has lost, or with a number that was granted before.
func TestCandidateWaitsAfterANewEra(t *testing.T) {
	own := tpmessage.Lease{Holder: "node-0", Nonce: "process-0/1", Fencing: 4, Term: leaseTerm}
	for name, copied := range map[string]tplease.Snapshot{
		"missing":          {},
		"released":         {Lease: tpmessage.Lease{Fencing: 4}, Version: 8},
		"late release":     {Lease: tpmessage.Lease{Fencing: 4, Era: 1}, Version: 8},
		"own earlier":      {Lease: own, Version: 8},
		"another's":        {Lease: tpmessage.Lease{Holder: "node-1", Fencing: 4, Term: leaseTerm}, Version: 8},
		"number above era": {Lease: tpmessage.Lease{Fencing: 3 << 32}, Version: 8},
	} {
		want := max(uint64(1)<<32+copied.Version, copied.Lease.Fencing+1)
		if after, number := firstGrant(tplease.Strict{}, copied); after != leaseTerm+time.Second || number != want {
			t.Errorf("%s: got a grant with number %d after %v, want %d after the term and the margin", name, number, after, want)
		}
		if after, number := firstGrant(tplease.EraBlind{}, copied); after == leaseTerm+time.Second && number == want {
			t.Errorf("%s: the lease that does not follow eras passes as well", name)
		}
	}
}

// Guards against a candidate that takes a version assigned again for the one
// that it has known for a long time, so that it does not wait for its holder.
func TestVersionAssignedAgainIsNew(t *testing.T) {
	start := time.Unix(1000, 0)
	holder := func(number, era uint64) tplease.Snapshot {
		return tplease.Snapshot{Lease: tpmessage.Lease{Holder: "node-1", Fencing: number, Era: era, Term: leaseTerm}, Version: 8}
	}
	l := tplease.New(settings(0), tplease.Strict{})
	read(t, l, start, holder(4, 0))
	l.SetEra(start.Add(time.Second), 1)
	now := start.Add(leaseTerm + time.Second)
	read(t, l, now, holder(1<<32+3, 1))
	if a := l.Next(now.Add(leaseTerm)); a.Kind == tplease.ActionWrite {
		t.Errorf("got a grant %+v in the term of the holder", a)
	}
}

// Guards against a release of an earlier era that takes effect late, replaces a
// grant of this era and lets the next candidate act beside its holder.
func TestLateReleaseOfAnEarlierEra(t *testing.T) {
	start := time.Unix(1000, 0)
	l := tplease.New(settings(0), tplease.Strict{})
	l.SetEra(start, 1)
	now := start.Add(time.Minute)
	read(t, l, now, tplease.Snapshot{Lease: tpmessage.Lease{Fencing: 5}, Version: 9})
	if a := l.Next(now.Add(leaseTerm)); a.Kind == tplease.ActionWrite {
		t.Error("a release of an earlier era frees the lease at once")
	}
	l = tplease.New(settings(0), tplease.Strict{})
	l.SetEra(start, 1)
	read(t, l, now, tplease.Snapshot{Lease: tpmessage.Lease{Fencing: 1<<32 + 3, Era: 1}, Version: 9})
	if a := l.Next(now); a.Kind != tplease.ActionWrite {
		t.Errorf("action after a release of this era: got %+v, want a grant at once", a)
	}
}

// Guards against a holder that stops at a restoration, goes on after its term,
// or keeps its number although the store may have lost it.
func TestHolderCarriesOnInANewEra(t *testing.T) {
	start := time.Unix(1000, 0)
	l := tplease.New(settings(0), tplease.Strict{})
	own := grant(t, l, start)
	now := start.Add(time.Second)
	l.SetEra(now, 1)
	other := tplease.Snapshot{Lease: tpmessage.Lease{Holder: "node-1", Fencing: 4, Term: leaseTerm}, Version: 7}
	read(t, l, now, other)
	if a := l.Authority(); !a.Held || a.Fencing != 5 || !l.MayAct(now) {
		t.Errorf("authority in the term: got %+v, want that of number 5", a)
	}
	a := l.Next(now)
	if a.Kind != tplease.ActionWrite || a.Version != 7 || a.Lease.Fencing != 1<<32+7 || a.Lease.Era != 1 {
		t.Fatalf("got %+v, want a new grant over version 7", a)
	}
	// The outcome is unknown, and what is read back is a write of era 0 that has
	// the same version.
	l.Wrote(now, 0, tpobject.ErrOutcomeUnknown)
	read(t, l, now, tplease.Snapshot{Lease: own, Version: 9})
	if got := l.Authority(); got.Fencing != 5 || !got.Until.Equal(start.Add(leaseTerm)) {
		t.Errorf("authority after a write of era 0 is read: got %+v, want the term of number 5", got)
	}
	end := start.Add(leaseTerm)
	if l.MayAct(end) {
		t.Error("the holder acts after its term")
	}
	if a := l.Next(end); a.Kind == tplease.ActionWrite || l.Authority().Held {
		t.Errorf("after the term: got %+v and authority %+v, want neither", a, l.Authority())
	}

	l = tplease.New(settings(0), tplease.Strict{})
	grant(t, l, start)
	l.SetEra(now, 1)
	read(t, l, now, other)
	l.Next(now)
	l.Wrote(now, 8, nil)
	if got := l.Authority(); got.Fencing != 1<<32+7 || !got.Until.Equal(now.Add(leaseTerm)) {
		t.Errorf("authority after the new grant: got %+v, want its number and term", got)
	}
}

// Guards against a grant that counts although the store went back while it was
// written or read, so that it may be lost or have replaced another one.
func TestCallAcrossErasDoesNotCount(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, outcome := range []error{nil, tpobject.ErrOutcomeUnknown} {
		l := tplease.New(settings(0), tplease.Strict{})
		read(t, l, start, tplease.Snapshot{Version: 8})
		a := l.Next(start)
		l.SetEra(start, 1)
		l.Wrote(start, 9, outcome)
		if l.Authority().Held {
			t.Errorf("outcome %v: a write across a restoration is a grant", outcome)
		}
		read(t, l, start, tplease.Snapshot{Lease: a.Lease, Version: 9})
		if l.Authority().Held || l.Next(start.Add(leaseTerm)).Kind == tplease.ActionWrite {
			t.Errorf("outcome %v: the write that is read back is a grant", outcome)
		}
	}
	l := tplease.New(settings(0), tplease.Strict{})
	l.Next(start)
	l.SetEra(start, 1)
	l.Read(start, tplease.Snapshot{Version: 8}, nil)
	if a := l.Next(start.Add(time.Minute)); a.Kind != tplease.ActionRead {
		t.Errorf("action after a read across a restoration: got %+v, want another read", a)
	}
}

// Guards against a holder that stops as planned and frees a lease that the
// restored store shows as another's.
func TestReleaseAcrossAnEra(t *testing.T) {
	start := time.Unix(1000, 0)
	l := tplease.New(settings(0), tplease.Strict{})
	grant(t, l, start)
	l.SetEra(start, 1)
	l.Release()
	if a := l.Next(start); a.Kind != tplease.ActionEnd {
		t.Errorf("action: got %+v, want the end", a)
	}
}

// restoredStore is a store that is restored during its first write.
type restoredStore struct {
	tpobject.Memory
	era atomic.Uint64
}

func (s *restoredStore) Era() uint64 { return s.era.Load() }

func (s *restoredStore) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	defer s.era.Store(1)
	return s.Memory.Put(ctx, name, value, version)
}

// Guards against a duty that does not compare the eras before and after a call.
func TestDutyComparesEras(t *testing.T) {
	const term, margin = 100 * time.Millisecond, 20 * time.Millisecond
	cfg := settings(0)
	cfg.Term, cfg.RenewInterval, cfg.Margin = term, margin, margin
	held := make(chan tpmessage.Authority, 1)
	duty := tplease.NewDuty(cfg, tplease.Strict{})
	duty.Store, duty.Clock = &restoredStore{}, tpclock.System{}
	duty.Rank = func(string, string) int { return 0 }
	duty.Sink = func(a tpmessage.Authority) {
		if a.Held {
			select {
			case held <- a:
			default:
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	start := time.Now()
	go func() {
		duty.Run(ctx)
		close(ended)
	}()
	a := <-held
	if waited := time.Since(start); waited < term+margin || a.Fencing <= 1<<32 {
		t.Errorf("first grant: got number %d after %v, want one of era 1 after the term and the margin", a.Fencing, waited)
	}
	cancel()
	<-ended
}
