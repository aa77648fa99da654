package tpnode

import (
	"context"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpquarantine"
	"teaselpin.example/teaselpin/internal/request/stage5/tpsender"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// quarantineCapacity is the number of inputs that wait for the quarantine
// filter. It gets the begin and the end of each attempt; a producer waits for room.
const quarantineCapacity = 1024

// quarantineInput is one message to the quarantine filter. Of its fields one
// is set.
type quarantineInput struct {
	start      *attemptStart
	completion *tpmessage.Completion
	ask        *placement
	told       []tpmessage.Suspect
	tick       bool
}

// attemptStart tells of an attempt that needed no decision.
type attemptStart struct {
	fingerprint uint64
	target      string
}

// placement asks where a copy of a request may run. The answer may wait.
type placement struct {
	ctx         context.Context
	fingerprint uint64
	pool        string
	target      string // where it runs if it is no suspect
	unreachable []string
	reply       *tpring.Ring[tpsender.Verdict]
}

// quarantine is the filter that holds the suspects.
type quarantine struct {
	in       *tpring.Ring[quarantineInput]
	decision tpquarantine.Quarantine
	pending  []*placement
	told     []tpmessage.Suspect // that heartbeats carry
	view     atomic.Pointer[map[uint64]tpmessage.Suspect]
	// written holds the latest quarantined fingerprints for the duty that
	// writes the region's object.
	written *tpring.Ring[[]tpmessage.Suspect]
}

func (n *Node) startQuarantine() error {
	q := &quarantine{
		in:      tpring.New[quarantineInput](tpring.Settings{Capacity: quarantineCapacity}),
		written: tpring.New[[]tpmessage.Suspect](tpring.Settings{Capacity: 1}),
	}
	q.view.Store(&map[uint64]tpmessage.Suspect{})
	n.quarantine = q
	n.rings.Add("quarantine", q.in)
	n.rings.Add("quarantineObject", q.written)
	n.OnSuspects(n.MergeSuspects)
	return startFilter(n, "quarantine", q.in, n.handleQuarantine)
}

func (n *Node) handleQuarantine(in quarantineInput) {
	q := n.quarantine
	now := n.clock.Now()
	changed := true
	switch {
	case in.start != nil:
		q.decision.Start(in.start.fingerprint, in.start.target)
		return
	case in.completion != nil:
		q.decision.Complete(now, in.completion)
		changed = in.completion.Lost || n.known(in.completion.Fingerprint)
	case in.ask != nil:
		q.pending = append(q.pending, in.ask)
		changed = false
	case in.tick:
		changed = q.decision.Expire(now)
	default:
		q.decision.Merge(now, in.told)
	}
	if changed {
		n.publishQuarantine()
	}
	if in.tick {
		n.tellSuspects(q.decision.Tell(now))
	}
	q.pending = slices.DeleteFunc(q.pending, n.place)
}

// publishQuarantine updates the view that the other filters read, and passes
// new quarantined fingerprints to the region's object.
func (n *Node) publishQuarantine() {
	q := n.quarantine
	before := *q.view.Load()
	view := make(map[uint64]tpmessage.Suspect)
	added := false
	for _, s := range q.decision.All() {
		view[s.Fingerprint] = s
		old, known := before[s.Fingerprint]
		if tpquarantine.Quarantined(&s) && (!known || !tpquarantine.Quarantined(&old)) {
			added = true
			n.events.Record(tpmessage.Event{Kind: "quarantined", Detail: tpquarantine.Name(s.Fingerprint)})
			n.log.Warn().Str("fingerprint", tpquarantine.Name(s.Fingerprint)).Strs("targets", s.Targets).
				Msg("request is quarantined")
		}
		if !known && !s.Cleared && !tpquarantine.Quarantined(&s) {
			n.events.Record(tpmessage.Event{Kind: "suspect", Target: s.Targets[0], Detail: tpquarantine.Name(s.Fingerprint)})
		}
	}
	q.view.Store(&view)
	if added {
		_ = q.written.PutDropOldest(q.decision.Quarantined())
	}
}

// tellSuspects sets what heartbeats carry. News goes out at once, and each node
// that learns of it passes it on, so that it reaches a region well within
// tpquarantine.Settle.
func (n *Node) tellSuspects(told []tpmessage.Suspect) {
	q := n.quarantine
	if len(told) == len(q.told) && (len(told) == 0 || reflect.DeepEqual(told, q.told)) {
		return
	}
	q.told = told
	n.SetSuspects(told)
	_ = n.members.in.TryPut(memberInput{kind: memberTick})
}

// place answers a placement if it is decided, and reports whether it was.
func (n *Node) place(p *placement) bool {
	if p.ctx.Err() != nil {
		return true
	}
	var settle time.Duration
	if len(n.Members()) > 1 {
		settle = tpquarantine.Settle
	}
	decision, target := n.quarantine.decision.Place(n.clock.Now(), p.fingerprint, n.usableTargets(p), settle)
	var verdict tpsender.Verdict
	switch decision {
	case tpquarantine.Wait:
		return false
	case tpquarantine.Free:
		n.quarantine.decision.Start(p.fingerprint, p.target)
		target.Name = p.target
	case tpquarantine.Only:
		verdict.Target = &target
	case tpquarantine.Refuse:
		verdict.Refusal = quarantinedRefusal()
	}
	if err := p.reply.TryPut(verdict); err != nil && decision != tpquarantine.Refuse {
		n.quarantine.decision.Release(p.fingerprint, target.Name)
	}
	return true
}

// usableTargets returns the targets of the pool that take new work. Those that
// could not be reached come back once none else is left.
func (n *Node) usableTargets(p *placement) []tpmessage.Target {
	pool, _ := n.poolInForce(p.pool)
	usable := make([]tpmessage.Target, 0, len(pool.Targets))
	var rest []tpmessage.Target
	for _, t := range pool.Targets {
		switch {
		case !n.takesNewWork(t.Name):
		case slices.Contains(p.unreachable, t.Name):
			rest = append(rest, t)
		default:
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return rest
	}
	return usable
}

// known reports whether a fingerprint is remembered.
func (n *Node) known(fingerprint uint64) bool {
	_, ok := (*n.quarantine.view.Load())[fingerprint]
	return ok
}

// admitAttempt decides on one attempt of a request at a target. Requests that
// are no suspects pass without a wait. It is called from stream tasks.
func (n *Node) admitAttempt(ctx context.Context, req *tpmessage.Request, a tpsender.Attempt) tpsender.Verdict {
	q := n.quarantine
	// After a loss, the completion that makes the request a suspect may still
	// be on its way to the filter, ahead of the question.
	if !a.AfterLoss && !n.known(req.Fingerprint) {
		_ = q.in.Put(quarantineInput{start: &attemptStart{fingerprint: req.Fingerprint, target: a.Target}})
		return tpsender.Verdict{}
	}
	p := &placement{
		ctx: ctx, fingerprint: req.Fingerprint, pool: req.Pool, target: a.Target, unreachable: a.Unreachable,
		reply: tpring.New[tpsender.Verdict](tpring.Settings{Capacity: 1}),
	}
	stop := context.AfterFunc(ctx, p.reply.Close)
	defer stop()
	if err := q.in.Put(quarantineInput{ask: p}); err != nil {
		return tpsender.Verdict{}
	}
	verdict, err := p.reply.Take()
	if err != nil {
		return tpsender.Verdict{Ended: true}
	}
	return verdict
}

// noteCompletion passes on the end of an attempt.
func (n *Node) noteCompletion(c tpmessage.Completion) {
	if c.Target != "" {
		_ = n.quarantine.in.Put(quarantineInput{completion: &c})
	}
}

// quarantined returns the refusal of a request that crashed targets, or nil.
func (n *Node) quarantined(req *tpmessage.Request) *tpmessage.Refusal {
	s, ok := (*n.quarantine.view.Load())[req.Fingerprint]
	if !ok || !tpquarantine.Quarantined(&s) {
		return nil
	}
	return quarantinedRefusal()
}

func quarantinedRefusal() *tpmessage.Refusal {
	return &tpmessage.Refusal{
		Code: tpmessage.RefusalQuarantined, Reason: "targets crashed while they ran this request", NotRun: true,
	}
}

// MergeSuspects takes the suspects of a peer's heartbeat. It does not wait; the
// next heartbeat brings again what finds no room.
func (n *Node) MergeSuspects(told []tpmessage.Suspect) {
	if len(told) > 0 {
		_ = n.quarantine.in.TryPut(quarantineInput{told: told})
	}
}

// tickQuarantine lets the quarantine forget what is old, and place the suspects
// whose time has come.
func (n *Node) tickQuarantine() { _ = n.quarantine.in.TryPut(quarantineInput{tick: true}) }
