package tprelaynode

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/internal/relay/tpallot"
	"teaselpin.example/teaselpin/internal/relay/tpcollect"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const deadlyPart = 666

// newGuardedNode returns the placement of a node with four targets, without its
// duties and connections.
func newGuardedNode() *Node {
	n := &Node{
		clock: tpclock.System{}, leaseClock: &tpclock.BootTime{}, log: zerolog.Nop(), relay: &tprelay.Relay{Counters: &tprelay.Counters{}},
		members: &members{in: tpring.New[memberInput](tpring.Settings{Capacity: 1})},
		placement: &placementFilter{
			placer:   tpplace.New(tpplace.Settings{Node: "node-0", Budget: tpplace.BudgetSettings{Slack: 100}}, placePolicy{}),
			load:     tpring.New[tpmessage.NodeLoad](tpring.Settings{Capacity: 1}),
			tasks:    tpring.New[tpplace.Grant](tpring.Settings{Capacity: 16}),
			evidence: tpring.New[[]tpmessage.SuspectRequest](tpring.Settings{Capacity: 1}),
			settled:  tpring.New[[]tpmessage.Allowance](tpring.Settings{Capacity: 1}),
		},
	}
	n.members.node = n
	n.members.liveMembers.Store(&[]tpmessage.Member{})
	n.quarantines = &quarantineFilter{node: n, in: tpring.New[quarantineInput](tpring.Settings{Capacity: 16})}
	n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargets, Targets: guardedTargets(0, time.Time{})})
	return n
}

// prompt returns a request whose first part is popular and whose second is the
// given one. No two requests are alike.
func prompt(number int, second uint64) tpplace.TargetRequest {
	now := time.Now()
	return tpplace.TargetRequest{Work: tpmessage.RelayWork{
		Request: &tpmessage.RelayRequest{
			ID: fmt.Sprint(number), Body: fmt.Append(nil, number), Route: tpmessage.RelayRoute{Stream: true},
			Pool:        tpmessage.RelayPool{Name: "llm", Engine: &tpmessage.EngineTraits{Slots: 64, KVTokens: 400000}},
			PromptParts: []tpmessage.PromptPart{{Hash: 1, Tokens: 10}, {Hash: second, Tokens: 10}, {Hash: uint64(1000 + number), Tokens: 10}},
			Arrived:     now, Deadline: now.Add(time.Minute), CompletionDeadline: now.Add(time.Minute), ResumeAfter: -1,
		},
		Answer: tpring.New[tpmessage.AnswerPart](tpring.Settings{Capacity: 1}),
	}}
}

// crashTargets lets three targets crash at requests with deadlyPart, and
// answers sound ones beside them.
func crashTargets(n *Node) {
	for i := range tpcrash.MaxCrashes {
		n.handlePlacement(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
			Reservation: tpplace.Reservation{Target: fmt.Sprint("d", i)}, Outcome: tpplace.OutcomeLost, StartedMs: 1, Cut: true,
			Request: prompt(i, deadlyPart).Work.Request,
		}})
		n.handlePlacement(tpplace.Input{Kind: tpplace.InputStreamBegun, Begun: prompt(100+i, 2).Work.Request})
	}
}

// Guards against a request that crashes targets and is sent once more, as a new request or as a further step.
func TestCrashingRequestIsNotSent(t *testing.T) {
	n := newGuardedNode()
	crashTargets(n)
	r := prompt(10, deadlyPart)
	n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: r})
	part, err := r.Work.Answer.TryTake()
	if err != nil || part.Refusal == nil || part.Refusal.Status != tpmessage.StatusUnavailable || part.Refusal.RetryAfter != 0 {
		t.Errorf("new request: got %+v, %v, want status %d without a time to retry", part.Refusal, err, tpmessage.StatusUnavailable)
	}
	for _, step := range []tpplace.Step{tpplace.StepPrefill, tpplace.StepRun} {
		r := prompt(11, deadlyPart)
		r.Step, r.HasHandle, r.Reply = step, step == tpplace.StepRun, tpring.New[tpplace.Grant](tpring.Settings{Capacity: 1})
		n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: r})
		if g, err := r.Reply.TryTake(); err != nil || g.Refusal == nil {
			t.Errorf("further step %v: got %+v, %v, want a refusal", step, g, err)
		}
	}
	if got, want := n.relay.Counters.Quarantined.Load(), uint64(3); got != want {
		t.Errorf("counted refusals: got %d, want %d", got, want)
	}
	if got := n.placement.tasks.Stats().Depth; got != 0 {
		t.Errorf("tasks started: got %d, want 0", got)
	}
	sound := prompt(12, 2)
	n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: sound})
	if got := n.placement.tasks.Stats().Depth; got != 1 {
		t.Errorf("tasks of a sound request with the same first part: got %d, want 1", got)
	}
}

// guardedTargets returns the targets of newGuardedNode. Those below restarted
// have another process.
func guardedTargets(restarted int, at time.Time) []tpmessage.RelayTarget {
	var targets []tpmessage.RelayTarget
	for i := range 4 {
		rt := tpmessage.RelayTarget{
			Target: tpmessage.Target{Name: fmt.Sprint("d", i), Address: fmt.Sprint("d", i)}, Pool: "llm", Role: tpmessage.RoleDecode, StartedMs: 1,
		}
		if i < restarted {
			rt.StartedMs = at.Add(time.Duration(i) * time.Second).UnixMilli()
		}
		targets = append(targets, rt)
	}
	return targets
}

// Guards against a request that reaches targets without end because they crash without a reset.
func TestRequestThatSilencesTargetsIsNotSent(t *testing.T) {
	for name, test := range map[string]struct {
		outcome  tpplace.Outcome
		restarts int
		answered bool // the targets answer another request after the silence
		want     bool // the request is refused
	}{
		"time budget is over":          {tpplace.OutcomeAbandoned, 3, false, true},
		"silence is replaced":          {tpplace.OutcomeLost, 3, false, true},
		"targets go on":                {tpplace.OutcomeLost, 0, false, false},
		"targets answer, then restart": {tpplace.OutcomeLost, 3, true, false},
	} {
		n := newGuardedNode()
		now := time.Now()
		for i := range tpcrash.MaxCrashes {
			target := fmt.Sprint("d", i)
			n.handlePlacement(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
				Reservation: tpplace.Reservation{Target: target}, Outcome: test.outcome, StartedMs: 1, Silent: true, SentAt: now,
				Request: prompt(i, deadlyPart).Work.Request,
			}})
			if test.answered {
				n.handlePlacement(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
					Reservation: tpplace.Reservation{Target: target}, Outcome: tpplace.OutcomeServed, StartedMs: 1,
				}})
			}
		}
		n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargets, Targets: guardedTargets(test.restarts, now)})
		n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: prompt(10, deadlyPart)})
		if got := n.relay.Counters.Quarantined.Load() == 1; got != test.want {
			t.Errorf("%s: refused %t, want %t", name, got, test.want)
		}
	}
}

// Guards against evidence from a target that has said that it is leaving.
func TestLeavingTargetLeavesNoEvidence(t *testing.T) {
	n := newGuardedNode()
	now := time.Now()
	for i := range tpcrash.MaxCrashes {
		n.handlePlacement(tpplace.Input{Kind: tpplace.InputNotice, Notice: tpplace.Notice{
			TargetNotice: tpmessage.TargetNotice{Leaving: true}, Target: guardedTargets(0, now)[i], At: now,
		}})
		n.handlePlacement(tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
			Reservation: tpplace.Reservation{Target: fmt.Sprint("d", i)}, Outcome: tpplace.OutcomeLost, StartedMs: 1, Silent: true, SentAt: now,
			Request: prompt(i, deadlyPart).Work.Request,
		}})
	}
	n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargets, Targets: guardedTargets(3, now)})
	n.handlePlacement(tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: prompt(10, deadlyPart)})
	if got := n.relay.Counters.Quarantined.Load(); got != 0 {
		t.Errorf("refused requests: got %d, want 0", got)
	}
}

// Guards against a quarantine that is not sent to the members at once.
func TestQuarantineIsAnnounced(t *testing.T) {
	n := newGuardedNode()
	n.handlePlacement(tpplace.Input{Kind: tpplace.InputTick})
	if _, err := n.placement.evidence.TryTake(); err == nil {
		t.Error("evidence without a crash")
	}
	crashTargets(n)
	if in, err := n.members.in.TryTake(); err != nil || in.kind != memberQuarantined {
		t.Errorf("input of the membership filter: got %+v, %v", in, err)
	}
	reports, err := n.placement.evidence.TryTake()
	if err != nil {
		t.Fatal(err)
	}
	peer := newGuardedNode()
	peer.handlePlacement(tpplace.Input{Kind: tpplace.InputSuspects, Suspects: reports})
	r := prompt(20, deadlyPart)
	peer.handlePlacement(tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: r})
	if part, err := r.Work.Answer.TryTake(); err != nil || part.Refusal == nil {
		t.Errorf("request at the peer: got %+v, %v, want a refusal", part, err)
	}
	if _, err := peer.members.in.TryTake(); err == nil {
		t.Error("the peer announces a quarantine that it did not find")
	}
}

// newEvidenceMembers adds a membership filter to the placement of a node,
// without its duties and connections.
func newEvidenceMembers(n *Node, name string) *members {
	self := tpmessage.Member{Name: name, Address: name, Incarnation: tpmember.Incarnation(time.Now(), rand.New(rand.NewPCG(1, 1)))}
	n.objects = &objectFilter{}
	n.placement.in = tpring.New[tpplace.Input](tpring.Settings{Capacity: 4})
	collector := tpcollect.New(self)
	n.members = &members{
		node: n, collector: collector, allowances: tpallot.Exchange{Collector: collector}, pendingReports: make(map[string]time.Time),
		newViewVersions: tpring.New[datedVersions](tpring.Settings{Capacity: 1}),
		table: tpmember.NewTable(tpmember.Settings{
			Self: self, Random: rand.New(rand.NewPCG(1, 2)), SuspectAfter: suspectAfter, DropAfter: suspectAfter + dropDelay,
		}),
	}
	return n.members
}

// Guards against nodes that each have to see all crashes themselves.
func TestHeartbeatsCarryEvidence(t *testing.T) {
	a, b := newGuardedNode(), newGuardedNode()
	membersA, membersB := newEvidenceMembers(a, "node-a"), newEvidenceMembers(b, "node-b")
	_ = a.placement.evidence.PutDropOldest([]tpmessage.SuspectRequest{{Fingerprint: 7, Targets: []string{"d0@1"}}})
	reply := tpring.New[tpmessage.Heartbeat](tpring.Settings{Capacity: 1})
	membersA.handle(memberInput{kind: memberHeartbeat, reply: reply})
	answer, err := reply.TryTake()
	if err != nil || len(answer.Suspects) != 1 || answer.Suspects[0].Fingerprint != 7 {
		t.Fatalf("evidence in the answer to a heartbeat: got %+v, %v", answer.Suspects, err)
	}
	membersB.handle(memberInput{kind: memberHeartbeatAnswer, address: "node-a", heartbeat: answer})
	if in, err := b.placement.in.TryTake(); err != nil || in.Kind != tpplace.InputSuspects || len(in.Suspects) != 1 {
		t.Errorf("input of the peer's placement: got %+v, %v, want the evidence", in, err)
	}
}

// Guards against evidence that reaches the nodes late.
func TestEvidenceReachesAllNodes(t *testing.T) {
	for _, test := range []struct {
		size int
		most time.Duration
	}{{8, time.Second}, {300, 2500 * time.Millisecond}} {
		if got := spreadTime(test.size); got > test.most {
			t.Errorf("%d nodes: evidence reached all after %v, want at most %v", test.size, got, test.most)
		}
	}
}

// spreadTime returns the time until all nodes refuse a part. Evidence travels
// with the reports of loads and the answers to them only, and each node
// publishes it once per tick.
func spreadTime(size int) time.Duration {
	type node struct {
		collect *tpcollect.Collector
		guard   tpcrash.Guard
		report  []tpmessage.SuspectRequest
		first   time.Time // time of the first load report
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rng := rand.New(rand.NewPCG(20261205, uint64(size)))
	nodes := make(map[string]*node)
	var list []tpmessage.Member
	for i := range size {
		name := fmt.Sprintf("node-%03d", i)
		list = append(list, tpmessage.Member{Name: name, Address: name, Zone: fmt.Sprint("zone-", i%3)})
	}
	for _, m := range list {
		nodes[m.Name] = &node{collect: tpcollect.New(m), first: start.Add(-time.Duration(rng.Int64N(int64(2 * time.Second))))}
		nodes[m.Name].collect.SetMembers(list)
	}
	deadly := func(number int) *tpmessage.RelayRequest { return prompt(number, deadlyPart).Work.Request }
	for now := start.Add(-2 * time.Second); ; now = now.Add(reportTickInterval) {
		if now.Equal(start) {
			for i := range tpcrash.MaxCrashes {
				m := list[1+i*(size/tpcrash.MaxCrashes)]
				nodes[m.Name].guard.RecordCrash(now, deadly(i), tpcrash.CrashID(fmt.Sprint("d", i), 1))
			}
		}
		refusing := 0
		for _, n := range nodes {
			if _, refused := n.guard.Check(now, deadly(99)); refused {
				refusing++
			}
			n.report = n.guard.Report(now, evidencePeriod(n.collect.ReportInterval()))
		}
		if refusing == size || now.Sub(start) > time.Minute {
			return now.Sub(start)
		}
		for _, i := range rng.Perm(size) {
			n := nodes[list[i].Name]
			if now.Before(n.first) {
				continue
			}
			for _, address := range n.collect.Reports(now) {
				to := nodes[address]
				to.guard.Merge(now, n.report)
				n.guard.Merge(now, to.report)
			}
		}
	}
}
