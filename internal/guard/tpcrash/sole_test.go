package tpcrash_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
)

// Guards against a request that darkens the only target of its pool without end, at a node that has seen it or has started since.
func TestSoleTargetIsDarkenedThreeTimes(t *testing.T) {
	for _, renamed := range []bool{false, true} {
		nodes := []*tpcrash.Guard{{}, {}}
		r := newRegistry(1)
		r.publish(start, nodes...)
		name := "engine-0"
		for i := range tpcrash.MaxCrashes {
			now := start.Add(time.Duration(i) * 5 * time.Second)
			for n, g := range nodes {
				if refused(g, now, call("/swap/x")) {
					t.Fatalf("renamed %t: node %d refuses after %d crashes", renamed, n, i)
				}
			}
			nodes[i%2].RecordSilence(now.Add(time.Second), call("/swap/x"), name, r[name].UnixMilli(), now)
			now = now.Add(2500 * time.Millisecond)
			if renamed {
				delete(r, name)
				name = fmt.Sprint("engine-", i+1)
			}
			r[name] = now
			r.publish(now, nodes...)
			exchange(now, nodes)
		}
		now := start.Add(20 * time.Second)
		late := &tpcrash.Guard{}
		r.publish(now, late)
		nodes = append(nodes, late)
		exchange(now, nodes)
		for n, g := range nodes {
			if !refused(g, now, call("/swap/x")) {
				t.Errorf("renamed %t: node %d sends the request after %d crashes", renamed, n, tpcrash.MaxCrashes)
			}
		}
	}
}

// Guards against a sound request that is refused because the only target of its pool ends by itself.
func TestSoleTargetThatEndsByItselfQuarantinesNothing(t *testing.T) {
	var g tpcrash.Guard
	r := newRegistry(1)
	r.publish(start, &g)
	for i := range 12 {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		if i%2 == 0 {
			r.silence(&g, now, 0, call("/swap/x"))
		}
		r.restart(now.Add(2500*time.Millisecond), 0, &g)
		if refused(&g, now.Add(3*time.Second), call("/swap/x")) {
			t.Fatalf("refused after %d ends", i+1)
		}
	}
}

// Guards against ends before the first crash that excuse a request without end, or not at all.
func TestEarlierEndsOfASoleTargetExcuseThree(t *testing.T) {
	for _, test := range []struct{ earlier, want int }{{0, 3}, {1, 4}, {3, 6}, {8, 6}} {
		var g tpcrash.Guard
		r := newRegistry(1)
		r.publish(start, &g)
		now := start
		for range test.earlier {
			now = now.Add(5 * time.Second)
			r.restart(now, 0, &g)
		}
		crashes := 0
		for ; crashes < 10 && !refused(&g, now, call("/swap/x")); crashes++ {
			r.silence(&g, now, 0, call("/swap/x"))
			now = now.Add(2500 * time.Millisecond)
			r.restart(now, 0, &g)
		}
		if crashes != test.want {
			t.Errorf("after %d earlier ends: refused after %d crashes, want %d", test.earlier, crashes, test.want)
		}
	}
}

// Guards against a request that goes on to the target that it has darkened, or to its successor, although others could show whether it is the cause.
func TestSuspectsAvoidTheirTargets(t *testing.T) {
	var g tpcrash.Guard
	r := newRegistry(3)
	r.publish(start, &g)
	r.silence(&g, start, 0, call("/swap/x"))
	now := start.Add(2 * time.Second)
	r.restart(now, 0, &g)
	r["engine-9"] = now
	r.publish(now, &g)
	got := g.Avoid(call("/swap/x"))
	slices.Sort(got)
	if want := []string{"engine-0", "engine-9"}; !slices.Equal(got, want) {
		t.Errorf("after a crash: got %v, want %v", got, want)
	}
	if got := g.Avoid(call("/swap/y")); len(got) != 0 {
		t.Errorf("another request: got %v, want none", got)
	}
	g.RecordAnswer(now, call("/swap/x"))
	if got := g.Avoid(call("/swap/x")); len(got) != 0 {
		t.Errorf("after an answer: got %v, want none", got)
	}
}

// Guards against a request without evidence because it ran for seconds, beside others that were answered, before it darkened its target.
func TestLongRunsAreHeldAgainstTheRequest(t *testing.T) {
	for _, run := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		var g tpcrash.Guard
		r := newRegistry(8)
		r.publish(start, &g)
		now := start
		for i := range tpcrash.MaxCrashes {
			name := fmt.Sprint("engine-", i)
			sent := now
			now = now.Add(run)
			g.RecordLife(now, name, r[name].UnixMilli())
			g.RecordSilence(sent.Add(5*time.Second), call("/swap/x"), name, r[name].UnixMilli(), sent)
			now = sent.Add(6 * time.Second)
			r.restart(now, i, &g)
		}
		if !refused(&g, now, call("/swap/x")) {
			t.Errorf("crashes %v after the begin: the request is sent", run)
		}
	}
}
