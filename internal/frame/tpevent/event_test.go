package tpevent_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, tpseed.Default)) }

// Guards against a merged timeline that shows an effect before its cause. This
// would happen with wall clocks alone, which disagree between processes and may
// go back.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "processes")
		wall := make([]*tpclock.Fake, n)
		clocks := make([]*tpevent.HybridClock, n)
		timelines := make([][]tpmessage.Event, n)
		for i := range clocks {
			skew := rapid.IntRange(-5000, 5000).Draw(t, "skewMs")
			wall[i] = tpclock.NewFake(time.UnixMilli(int64(1_000_000 + skew)))
			clocks[i] = &tpevent.HybridClock{Clock: wall[i]}
		}
		type pair struct{ cause, effect string }
		var pairs []pair
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			from := rapid.IntRange(0, n-1).Draw(t, "from")
			to := rapid.IntRange(0, n-1).Draw(t, "to")
			wall[from].Advance(time.Duration(rapid.IntRange(-20, 20).Draw(t, "advance")) * time.Millisecond)
			p := pair{fmt.Sprintf("send-%d", step), fmt.Sprintf("receive-%d", step)}
			sent := clocks[from].Now()
			timelines[from] = append(timelines[from], tpmessage.Event{Time: sent, Process: fmt.Sprint(from), Kind: p.cause})
			received := clocks[to].Observe(sent)
			timelines[to] = append(timelines[to], tpmessage.Event{Time: received, Process: fmt.Sprint(to), Kind: p.effect})
			pairs = append(pairs, p)
		}
		at := make(map[string]int)
		for i, e := range tpevent.Merge(tpevent.Filter{}, timelines...) {
			at[e.Kind] = i
		}
		for _, p := range pairs {
			if at[p.cause] >= at[p.effect] {
				t.Errorf("%s at %d is not before %s at %d", p.cause, at[p.cause], p.effect, at[p.effect])
			}
		}
	})
}

// Guards against an event buffer that keeps the wrong events after it has
// wrapped around, and against a merge that returns an event twice.
func TestRecorderKeepsNewest(t *testing.T) {
	duties, stop := tpduty.NewRunner(tpduty.Settings{})
	defer stop()
	var rings tpring.Group
	rec, cleanup, err := tpevent.NewRecorder(tpevent.Settings{Process: "p", MaxEvents: 4, RingCapacity: 64}, duties, &rings)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	for i := range 10 {
		rec.Record(tpmessage.Event{Kind: fmt.Sprint(i), Request: "r"})
	}
	events := rec.Events()
	merged := tpevent.Merge(tpevent.Filter{Request: "r"}, events, events)
	got := ""
	for _, e := range merged {
		got += e.Kind
	}
	if want := "6789"; got != want {
		t.Errorf("kept events: got %s, want %s", got, want)
	}
}
