package tpcrash_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// breakAnswer breaks off the answer to a request 100 ms after it was sent.
func (r registry) breakAnswer(g *tpcrash.Guard, sentAt time.Time, target int, req *tpmessage.RelayRequest) {
	name := fmt.Sprint("engine-", target)
	g.RecordBegin(sentAt.Add(50*time.Millisecond), req)
	g.RecordBreak(sentAt.Add(100*time.Millisecond), req, name, r[name].UnixMilli(), sentAt)
}

// Guards against a request that crashes targets in the middle of its answers: their begins, and answers to others, must not clear it.
func TestCrashesInAnswersAreHeldAgainstTheRequest(t *testing.T) {
	for name, suspect := range suspects {
		var g tpcrash.Guard
		r := newRegistry(8)
		r.publish(start, &g)
		now := start
		for i := range tpcrash.MaxCrashes {
			now = start.Add(time.Duration(i) * 3 * time.Second)
			if refused(&g, now, suspect(50)) {
				t.Fatalf("%s: refused after %d crashes", name, i)
			}
			r.breakAnswer(&g, now, i, suspect(i))
			now = now.Add(2 * time.Second)
			g.RecordAnswer(now, request(100+i, popular))
			r.restart(now, i, &g)
		}
		for _, at := range []time.Duration{0, time.Second, time.Minute} { // no trial may pass
			if !refused(&g, now.Add(at), suspect(50)) {
				t.Errorf("%s: the request is sent %v after %d crashes", name, at, tpcrash.MaxCrashes)
			}
		}
		if refused(&g, now, call("/swap/y")) || refused(&g, now, request(51, popular)) {
			t.Errorf("%s: a sound request is refused", name)
		}
	}
}

// Guards against sound requests that are refused because their answers were broken off by others' crashes, or by targets that go on.
func TestOtherBreaksAreNoEvidence(t *testing.T) {
	for name, spoil := range map[string]func(g *tpcrash.Guard, r registry, sent time.Time, target int){
		"answered whole since": func(g *tpcrash.Guard, _ registry, sent time.Time, _ int) {
			g.RecordAnswer(sent.Add(time.Second), call("/swap/x"))
		},
		"target goes on": func(g *tpcrash.Guard, r registry, sent time.Time, target int) {
			name := fmt.Sprint("engine-", target)
			g.RecordLife(sent.Add(time.Second), name, r[name].UnixMilli())
		},
		"one outage": func(g *tpcrash.Guard, r registry, sent time.Time, target int) {
			for other := range 4 {
				if other != target {
					r.breakAnswer(g, sent, other, call("/swap/x"))
				}
			}
		},
	} {
		var g tpcrash.Guard
		r := newRegistry(8)
		r.publish(start, &g)
		rounds := 5
		if name == "one outage" {
			rounds = 1
		}
		for i := range rounds {
			sent := start.Add(time.Duration(i) * 5 * time.Second)
			r.breakAnswer(&g, sent, i, call("/swap/x"))
			spoil(&g, r, sent, i)
			for target := range 4 {
				if target == i || name == "one outage" {
					r.restart(sent.Add(2*time.Second+time.Duration(20*target)*time.Millisecond), target, &g)
				}
			}
		}
		if refused(&g, start.Add(time.Minute), call("/swap/x")) {
			t.Errorf("%s: the request is refused", name)
		}
	}
}
