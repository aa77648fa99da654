package tpquarantine_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/guard/tpquarantine"
	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, tpseed.Default)) }

// guard is the common interface of Quarantine and noQuarantine.
type guard interface {
	Start(fingerprint uint64, target string)
	Place(now time.Time, fingerprint uint64, usable []tpmessage.Target, settleDelay time.Duration) (tpquarantine.Decision, tpmessage.Target)
	Complete(now time.Time, c *tpmessage.Completion)
}

// noQuarantine lets every copy run at any target.
type noQuarantine struct{}

func (noQuarantine) Start(uint64, string)                      {}
func (noQuarantine) Complete(time.Time, *tpmessage.Completion) {}
func (noQuarantine) Place(time.Time, uint64, []tpmessage.Target, time.Duration) (tpquarantine.Decision, tpmessage.Target) {
	return tpquarantine.RunAnywhere, tpmessage.Target{}
}

const (
	poison          = 0 // fingerprint of the request that crashes targets
	requests        = 8 // fingerprints 1 to 7 do not crash targets
	targets         = 5
	maxSteps        = 200
	maxFinishRounds = 400
)

// action is one step. If start is 0, it starts a retry or a copy of the request
// at the target, if one may start. Otherwise it ends the running copy with
// index pick, modulo their number.
type action struct{ start, request, target, pick int }

func actions() *rapid.Generator[[]action] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			start:   rapid.IntRange(0, 1).Draw(t, "start"),
			request: rapid.IntRange(0, requests-1).Draw(t, "request"),
			target:  rapid.IntRange(0, targets-1).Draw(t, "target"),
			pick:    rapid.IntRange(0, maxSteps).Draw(t, "pick"),
		}
	}), 20, maxSteps)
}

type runningCopy struct {
	request int
	target  string
}

// region models which request runs at which target. A crashed target restarts
// at once.
type region struct {
	g       guard
	now     time.Time
	running []runningCopy
	retries []int // requests to run again after a crash
	crashes int
	extra   int // copies of the poison request that ran at other targets at the first crash
}

func usableTargets() []tpmessage.Target {
	list := make([]tpmessage.Target, targets)
	for i := range list {
		list[i].Name = fmt.Sprintf("engine-%d", i)
	}
	return list
}

func (r *region) start(request, target int) tpquarantine.Decision {
	decision, t := r.g.Place(r.now, uint64(request), usableTargets(), 0)
	if decision == tpquarantine.RunAnywhere {
		t = usableTargets()[target]
		r.g.Start(uint64(request), t.Name)
	}
	if decision == tpquarantine.RunAnywhere || decision == tpquarantine.RunAtTarget {
		r.running = append(r.running, runningCopy{request, t.Name})
	}
	return decision
}

// has reports whether a request runs or waits to run again.
func (r *region) has(request int) bool {
	return slices.Contains(r.retries, request) ||
		slices.ContainsFunc(r.running, func(c runningCopy) bool { return c.request == request })
}

// end ends one running copy. The poison request crashes its target, which
// interrupts all copies there. Any other request completes.
func (r *region) end(pick int) {
	r.now = r.now.Add(time.Second)
	ended := r.running[pick%len(r.running)]
	if ended.request != poison {
		r.remove(func(c runningCopy) bool { return c == ended }, 1, tpmessage.OutcomeDone)
		return
	}
	r.crashes++
	interrupted := r.remove(func(c runningCopy) bool { return c.target == ended.target }, len(r.running), tpmessage.OutcomeInterrupted)
	for _, c := range interrupted {
		r.retries = append(r.retries, c.request)
	}
	if r.crashes == 1 {
		for _, c := range r.running {
			if c.request == poison {
				r.extra++
			}
		}
	}
}

func (r *region) remove(match func(runningCopy) bool, n int, o tpmessage.Outcome) []runningCopy {
	var removed, kept []runningCopy
	for _, c := range r.running {
		if len(removed) < n && match(c) {
			removed = append(removed, c)
			continue
		}
		kept = append(kept, c)
	}
	r.running = kept
	for _, c := range removed {
		r.g.Complete(r.now, &tpmessage.Completion{
			Fingerprint: uint64(c.request), Target: c.target, Outcome: o, Lost: o == tpmessage.OutcomeInterrupted,
		})
	}
	return removed
}

// run applies the actions, ends all running copies, and returns the rule that
// was violated, or "".
func run(g guard, list []action) string {
	r := &region{g: g, now: time.Unix(1000, 0)}
	for _, a := range list {
		switch {
		case a.start == 0 && len(r.retries) > 0:
			request := r.retries[0]
			r.retries = r.retries[1:]
			if r.start(request, a.target) == tpquarantine.Wait {
				r.retries = append(r.retries, request)
			}
		case a.start == 0 && (a.request == poison || !r.has(a.request)):
			// The caller of a harmless request waits for its answer. The caller
			// of the poison request sends it repeatedly.
			r.start(a.request, a.target)
		case len(r.running) > 0:
			r.end(a.pick)
		}
	}
	for range maxFinishRounds {
		if len(r.retries) > 0 {
			request := r.retries[0]
			r.retries = r.retries[1:]
			if r.start(request, 0) == tpquarantine.Wait {
				r.retries = append(r.retries, request)
			}
		}
		if len(r.running) > 0 {
			r.end(0)
		}
	}
	if r.crashes > tpquarantine.MaxCrashes+r.extra {
		return fmt.Sprintf("%d crashes with %d other copies at the first", r.crashes, r.extra)
	}
	if len(r.running) > 0 {
		return "copies are left that never ended"
	}
	for request := 1; request < requests; request++ {
		if d := r.start(request, 0); d != tpquarantine.RunAnywhere && d != tpquarantine.RunAtTarget {
			return fmt.Sprintf("harmless request %d may not run: decision %d", request, d)
		}
		r.end(len(r.running) - 1)
	}
	if slices.ContainsFunc(r.retries, func(request int) bool { return request != poison }) {
		return "requests are left that never ran again"
	}
	return ""
}

// Guards against a request that crashes more targets than the bound, a harmless
// request that stays a suspect or quarantined, and a retry that waits without
// end.
func TestPoisonIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := actions().Draw(t, "acts")
		if violation := run(&tpquarantine.Quarantine{}, list); violation != "" {
			t.Fatal(violation)
		}
	})
}

// Guards against a check that does not detect a missing quarantine.
func TestCheckCatchesNaiveGuard(t *testing.T) {
	detected := 0
	for seed := range 100 {
		if run(noQuarantine{}, actions().Example(seed)) != "" {
			detected++
		}
	}
	if detected < 50 {
		t.Errorf("no quarantine: caught in %d of 100 cases, want at least 50", detected)
	}
}

// Guards against two suspects of one crash that run at the same target, and
// against a suspect that waits for its target without end.
func TestSuspectsOfOneCrashRunApart(t *testing.T) {
	const suspects = 8
	var q tpquarantine.Quarantine
	now := time.Unix(1000, 0)
	for fingerprint := range uint64(suspects) {
		q.Start(fingerprint, "engine-9")
	}
	for fingerprint := range uint64(suspects) {
		q.Complete(now, &tpmessage.Completion{
			Fingerprint: fingerprint, Target: "engine-9", Outcome: tpmessage.OutcomeInterrupted, Lost: true,
		})
	}
	ran := make(map[uint64]bool)
	for round := 0; len(ran) < suspects; round++ {
		if round > suspects {
			t.Fatalf("after %d rounds: got %d of %d suspects run", round, len(ran), suspects)
		}
		used := make(map[string]uint64)
		for fingerprint := range uint64(suspects) {
			decision, target := q.Place(now, fingerprint, usableTargets(), 0)
			if ran[fingerprint] || decision == tpquarantine.Wait {
				continue
			}
			if _, shared := used[target.Name]; shared || decision != tpquarantine.RunAtTarget {
				t.Errorf("suspect %d: got decision %d at %s, want a target of its own", fingerprint, decision, target.Name)
			}
			used[target.Name] = fingerprint
		}
		for target, fingerprint := range used {
			q.Complete(now, &tpmessage.Completion{Fingerprint: fingerprint, Target: target, Outcome: tpmessage.OutcomeDone})
			ran[fingerprint] = true
		}
	}
}

// Guards against nodes that run copies of one suspect at different targets, and
// against a second crash that is not reported to a peer.
func TestNodesAgree(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b tpquarantine.Quarantine
	crash := func(q *tpquarantine.Quarantine, target string) {
		q.Complete(now, &tpmessage.Completion{Fingerprint: 7, Target: target, Outcome: tpmessage.OutcomeInterrupted, Lost: true})
	}
	crash(&a, "engine-1")
	b.Merge(now, a.RecentChanges(now))
	_, atA := a.Place(now.Add(tpquarantine.SettleDelay), 7, usableTargets(), tpquarantine.SettleDelay)
	_, atB := b.Place(now.Add(tpquarantine.SettleDelay), 7, usableTargets(), tpquarantine.SettleDelay)
	if atA != atB || atA.Name == "" {
		t.Fatalf("suspect on two nodes: got %q and %q, want one target", atA.Name, atB.Name)
	}
	crash(&a, atA.Name)
	b.Merge(now, a.RecentChanges(now))
	if decision, _ := b.Place(now.Add(tpquarantine.SettleDelay), 7, usableTargets(), tpquarantine.SettleDelay); decision != tpquarantine.Refuse {
		t.Errorf("after the second crash: got decision %d, want %d", decision, tpquarantine.Refuse)
	}
	// A delayed report of the first crash has no effect.
	b.Merge(now, []tpmessage.SuspectRequest{{Fingerprint: 7, Targets: []string{"engine-1"}, Cleared: true}})
	if got := len(b.Quarantined()); got != 1 {
		t.Errorf("after a delayed report: got %d quarantined, want 1", got)
	}
}

// Guards against a race between two nodes in which the object loses the entry
// of one.
func TestObjectKeepsBoth(t *testing.T) {
	var store tpobject.Memory
	for _, fingerprint := range []uint64{1, 2} {
		s := tpmessage.SuspectRequest{Fingerprint: fingerprint, Targets: []string{"a", "b"}}
		if _, err := tpquarantine.Add(context.Background(), &store, "r", []tpmessage.SuspectRequest{s}); err != nil {
			t.Fatal(err)
		}
	}
	all, version, err := tpquarantine.Read(context.Background(), &store, "r")
	if err != nil || len(all) != 2 {
		t.Fatalf("got %v %v, want 2 entries", all, err)
	}
	if _, err := tpquarantine.Add(context.Background(), &store, "r", all); err != nil {
		t.Fatal(err)
	}
	if _, again, _ := tpquarantine.Read(context.Background(), &store, "r"); again != version {
		t.Errorf("a repeat wrote the object: got version %d, want %d", again, version)
	}
}

// Guards against a peer that adds a cleared crash to a later one. It would
// quarantine a request that completed in between.
func TestClearedCrashDoesNotCountAtPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b tpquarantine.Quarantine
	end := func(target string, o tpmessage.Outcome) {
		a.Complete(now, &tpmessage.Completion{Fingerprint: 7, Target: target, Outcome: o, Lost: o == tpmessage.OutcomeInterrupted})
	}
	end("engine-1", tpmessage.OutcomeInterrupted)
	b.Merge(now, a.RecentChanges(now))
	end("engine-2", tpmessage.OutcomeDone)
	end("engine-3", tpmessage.OutcomeInterrupted)
	b.Merge(now, a.RecentChanges(now))
	a.Merge(now, b.RecentChanges(now))
	for name, q := range map[string]*tpquarantine.Quarantine{"a": &a, "b": &b} {
		if got := len(q.Quarantined()); got != 0 {
			t.Errorf("node %s: got %d quarantined, want 0", name, got)
		}
	}
}
