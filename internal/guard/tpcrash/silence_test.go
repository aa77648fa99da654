package tpcrash_test

import (
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// registry is the list of registered targets, each with the start of its
// process.
type registry map[string]time.Time

func newRegistry(count int) registry {
	r := make(registry)
	for i := range count {
		r[fmt.Sprint("engine-", i)] = start.Add(-time.Hour)
	}
	return r
}

func (r registry) publish(now time.Time, nodes ...*tpcrash.Guard) {
	var list []tpmessage.RelayTarget
	for name, started := range r {
		list = append(list, tpmessage.RelayTarget{Target: tpmessage.Target{Name: name}, StartedMs: started.UnixMilli()})
	}
	for _, g := range nodes {
		g.RecordTargets(now, list)
	}
}

// silence lets a target leave a request unanswered for a second.
func (r registry) silence(g *tpcrash.Guard, sentAt time.Time, target int, req *tpmessage.RelayRequest) {
	name := fmt.Sprint("engine-", target)
	g.RecordSilence(sentAt.Add(time.Second), req, name, r[name].UnixMilli(), sentAt)
}

// restart replaces the process of a target.
func (r registry) restart(now time.Time, target int, nodes ...*tpcrash.Guard) {
	r[fmt.Sprint("engine-", target)] = now
	r.publish(now, nodes...)
}

func call(uri string) *tpmessage.RelayRequest {
	return &tpmessage.RelayRequest{Method: "POST", URI: uri, Body: []byte("body")}
}

// suspects are the kinds of requests that may crash targets: one and the same,
// and different ones with a common part.
var suspects = map[string]func(number int) *tpmessage.RelayRequest{
	"content": func(int) *tpmessage.RelayRequest { return call("/swap/x") },
	"part":    func(number int) *tpmessage.RelayRequest { return request(number, popular, deadly) },
}

// Guards against a request that crashes targets without a reset and is never refused.
func TestSilentCrashesAreHeldAgainstTheRequest(t *testing.T) {
	for name, suspect := range suspects {
		for _, lapse := range []bool{false, true} {
			var g tpcrash.Guard
			r := newRegistry(8)
			r.publish(start, &g)
			now := start
			for i := range tpcrash.MaxCrashes {
				now = start.Add(time.Duration(i) * 3 * time.Second)
				if refused(&g, now, suspect(50)) {
					t.Fatalf("%s, lapse %t: refused after %d crashes", name, lapse, i)
				}
				r.silence(&g, now, i, suspect(i))
				now = now.Add(2 * time.Second)
				g.RecordAnswer(now, request(100+i, popular))
				if lapse {
					delete(r, fmt.Sprint("engine-", i))
					r.publish(now, &g)
				} else {
					r.restart(now, i, &g)
				}
			}
			if !refused(&g, now, suspect(50)) {
				t.Errorf("%s, lapse %t: the request is sent after %d crashes", name, lapse, tpcrash.MaxCrashes)
			}
			if refused(&g, now, call("/swap/y")) || refused(&g, now, request(51, popular)) {
				t.Errorf("%s, lapse %t: a sound request is refused", name, lapse)
			}
		}
	}
}

// Guards against the silences of a target that goes on being taken for crashes.
func TestSilenceOfASoundTargetIsNoCrash(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		var g tpcrash.Guard
		r := newRegistry(8)
		r.publish(start, &g)
		for i := range 5 {
			sent := start.Add(time.Duration(i) * 5 * time.Second)
			r.silence(&g, sent, i, call("/swap/x"))
			g.RecordLife(sent.Add(pause), fmt.Sprint("engine-", i), r[fmt.Sprint("engine-", i)].UnixMilli())
			r.restart(sent.Add(4*time.Second), i, &g) // for another reason
		}
		if refused(&g, start.Add(time.Minute), call("/swap/x")) {
			t.Errorf("silent for %v: the request is refused", pause)
		}
	}
}

// Guards against one outage of one target, or of many, that counts several times.
func TestOneOutageIsOneCrash(t *testing.T) {
	for name, test := range map[string]struct {
		targets []int // that go dark, and are back together
		sent    int   // requests to each of them
	}{
		"many requests at one target":       {[]int{0}, 30},
		"a third of the targets":            {[]int{0, 1, 2, 3}, 5},
		"all targets":                       {[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, 3},
		"one repeated request at dark ones": {[]int{0, 1, 2, 3, 4, 5}, 1},
	} {
		for kind, suspect := range suspects {
			var g tpcrash.Guard
			r := newRegistry(12)
			r.publish(start, &g)
			for i, target := range test.targets {
				for k := range test.sent {
					r.silence(&g, start.Add(time.Duration(100*i+10*k)*time.Millisecond), target, suspect(i*test.sent+k))
				}
			}
			for i, target := range test.targets {
				r.restart(start.Add(2*time.Second+time.Duration(20*i)*time.Millisecond), target, &g)
			}
			if refused(&g, start.Add(3*time.Second), suspect(900)) {
				t.Errorf("%s, same %s: a sound request is refused", name, kind)
			}
		}
	}
}

// Guards against one faulty target whose repeated darkness stops the requests sent to it.
func TestOneFaultyTargetQuarantinesNothing(t *testing.T) {
	var g tpcrash.Guard
	r := newRegistry(8)
	r.publish(start, &g)
	for i := range 8 {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		r.silence(&g, now, 0, call("/swap/x"))
		r.restart(now.Add(2*time.Second), 0, &g)
	}
	if refused(&g, start.Add(time.Minute), call("/swap/x")) {
		t.Error("a request is refused because of one target")
	}
}

// Guards against evidence from requests that cannot have ended the process.
func TestOtherEndsAreNoEvidence(t *testing.T) {
	for name, spoil := range map[string]func(g *tpcrash.Guard, r registry, sent time.Time, target int){
		"leaving": func(g *tpcrash.Guard, r registry, _ time.Time, target int) {
			name := fmt.Sprint("engine-", target)
			g.RecordLeaving(name, r[name].UnixMilli())
		},
		"target silent before": func(g *tpcrash.Guard, r registry, sent time.Time, target int) {
			r.silence(g, sent.Add(-1500*time.Millisecond), target, call(fmt.Sprint("/swap/", target)))
		},
		"target alive long after": func(g *tpcrash.Guard, r registry, sent time.Time, target int) {
			name := fmt.Sprint("engine-", target)
			g.RecordLife(sent.Add(1200*time.Millisecond), name, r[name].UnixMilli())
			r.silence(g, sent, target, call("/swap/x"))
		},
	} {
		var g tpcrash.Guard
		r := newRegistry(8)
		r.publish(start, &g)
		for i := range 5 {
			sent := start.Add(time.Duration(i) * 5 * time.Second)
			if name == "target silent before" {
				spoil(&g, r, sent, i)
			}
			r.silence(&g, sent, i, call("/swap/x"))
			if name != "target silent before" {
				spoil(&g, r, sent, i)
			}
			r.restart(sent.Add(2*time.Second), i, &g)
		}
		if refused(&g, start.Add(time.Minute), call("/swap/x")) {
			t.Errorf("%s: the request is refused", name)
		}
	}
}

// Guards against evidence from a registration that lapsed while its process went on.
func TestReturnedRegistrationIsNoCrash(t *testing.T) {
	var g tpcrash.Guard
	r := newRegistry(8)
	r.publish(start, &g)
	for i := range tpcrash.MaxCrashes {
		sent := start.Add(time.Duration(i) * 5 * time.Second)
		r.silence(&g, sent, i, call("/swap/x"))
		name := fmt.Sprint("engine-", i)
		started := r[name]
		delete(r, name)
		r.publish(sent.Add(2*time.Second), &g)
		r[name] = started
		r.publish(sent.Add(3*time.Second), &g)
	}
	if refused(&g, start.Add(time.Minute), call("/swap/x")) {
		t.Error("the request is refused")
	}
}

// Guards against a silence that becomes known only after its process has ended.
func TestLateSilenceCounts(t *testing.T) {
	var g tpcrash.Guard
	r := newRegistry(8)
	r.publish(start, &g)
	for i := range tpcrash.MaxCrashes {
		sent := start.Add(time.Duration(i) * 3 * time.Second)
		name := fmt.Sprint("engine-", i)
		before := r[name]
		r.restart(sent.Add(time.Second), i, &g)
		g.RecordSilence(sent.Add(5*time.Second), call("/swap/x"), name, before.UnixMilli(), sent)
	}
	if !refused(&g, start.Add(20*time.Second), call("/swap/x")) {
		t.Error("the request is sent")
	}
}

// Guards against nodes that each have to see all silent crashes themselves.
func TestSilentEvidencePassesBetweenNodes(t *testing.T) {
	nodes := []*tpcrash.Guard{{}, {}, {}, {}}
	r := newRegistry(8)
	r.publish(start, nodes...)
	for i := range tpcrash.MaxCrashes {
		now := start.Add(time.Duration(i) * 3 * time.Second)
		r.silence(nodes[i], now, i, call("/swap/x"))
		now = now.Add(2 * time.Second)
		if i == 0 { // one node sees a reset of the same process
			nodes[3].RecordCrash(now, call("/swap/x"), tpcrash.CrashID("engine-0", r["engine-0"].UnixMilli()))
		}
		r.restart(now, i, nodes...)
		exchange(now, nodes)
		for n, g := range nodes {
			if got, want := refused(g, now, call("/swap/x")), i == tpcrash.MaxCrashes-1; got != want {
				t.Fatalf("node %d refuses after %d crashes: got %t, want %t", n, i+1, got, want)
			}
		}
	}
}

// Guards against silences that count although the request was answered meanwhile, at the same node or at a peer.
func TestAnswersElsewhereExcuseSilences(t *testing.T) {
	for _, answering := range []int{0, 3} {
		nodes := []*tpcrash.Guard{{}, {}, {}, {}}
		r := newRegistry(8)
		r.publish(start, nodes...)
		for i := range tpcrash.MaxCrashes {
			node := nodes[i]
			if answering == 0 {
				node = nodes[0]
			}
			r.silence(node, start.Add(time.Duration(i)*100*time.Millisecond), i, call("/view/x"))
		}
		nodes[answering].RecordAnswer(start.Add(1500*time.Millisecond), call("/view/x"))
		for i := range tpcrash.MaxCrashes {
			now := start.Add(time.Duration(2+i) * time.Second)
			r.restart(now, i, nodes...)
			exchange(now, nodes)
			exchange(now.Add(100*time.Millisecond), nodes)
		}
		for n, g := range nodes {
			if refused(g, start.Add(6*time.Second), call("/view/x")) {
				t.Errorf("answered at node %d: node %d refuses a sound request", answering, n)
			}
		}
	}
}

// Guards against a reset that is overlooked because the process had been silent before.
func TestResetReplacesSilence(t *testing.T) {
	var g tpcrash.Guard
	r := newRegistry(8)
	r.publish(start, &g)
	var ids []string
	for i, end := range []time.Duration{2 * time.Second, 2 * time.Second, 4 * time.Second} { // two outages
		name := fmt.Sprint("engine-", i)
		ids = append(ids, tpcrash.CrashID(name, r[name].UnixMilli()))
		r.silence(&g, start, i, call("/swap/x"))
		r.restart(start.Add(end), i, &g)
	}
	now := start.Add(4 * time.Second)
	if refused(&g, now, call("/swap/x")) {
		t.Fatal("refused after two outages")
	}
	g.RecordCrash(now, call("/swap/x"), ids[0])
	if !refused(&g, now, call("/swap/x")) {
		t.Error("the request is sent after two outages and the reset of a target")
	}
}

// Guards against evidence that grows without end.
func TestMemoryOfSilencesIsBounded(t *testing.T) {
	const targets, perTarget = 100, 80
	var g tpcrash.Guard
	r := newRegistry(targets)
	r.publish(start, &g)
	fill := func(now time.Time) {
		for target := range targets {
			for k := range perTarget {
				r.silence(&g, now, target, request(target*perTarget+k, 1, 2, 3))
			}
		}
	}
	fill(start)
	if got, most := tpcrash.Silences(&g), 4096; got == 0 || got > most {
		t.Errorf("silences: got %d, want 1 to %d", got, most)
	}
	for round := range 6 {
		now := start.Add(time.Duration(round+1) * 3 * time.Second)
		fill(now)
		for target := range targets {
			r[fmt.Sprint("engine-", target)] = now.Add(2 * time.Second)
		}
		r.publish(now.Add(2*time.Second), &g)
		if got := tpcrash.Silences(&g); got != 0 {
			t.Errorf("silences after all processes have ended: got %d, want 0", got)
		}
		if got, most := tpcrash.Ended(&g), 512; got > most {
			t.Errorf("ended processes: got %d, want at most %d", got, most)
		}
		if got, most := tpcrash.Entries(&g), 4096; got > most {
			t.Errorf("keys: got %d, want at most %d", got, most)
		}
	}
	fill(start.Add(20 * time.Second))
	g.Expire(start.Add(time.Minute))
	if silences, ended := tpcrash.Silences(&g), tpcrash.Ended(&g); silences+ended != 0 {
		t.Errorf("after a minute: got %d silences and %d ended processes, want none", silences, ended)
	}
}
