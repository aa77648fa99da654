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

// quarantineCapacity is the maximum number of inputs that wait for the
// quarantine filter. The filter receives the start and the end of each attempt.
// A producer blocks while the ring is full.
const quarantineCapacity = 1024

// quarantineInput is one message to the quarantine filter. One field is set.
type quarantineInput struct {
	start      *attemptStart
	completion *tpmessage.Completion
	placement  *placementRequest
	suspects   []tpmessage.SuspectRequest
	tick       bool
}

// attemptStart reports an attempt that started without a decision of the
// quarantine.
type attemptStart struct {
	fingerprint uint64
	target      string
}

// placementRequest asks on which target a copy of a request may run. The filter
// may delay the answer.
type placementRequest struct {
	ctx         context.Context
	fingerprint uint64
	pool        string
	target      string // used if the request is not a suspect
	unreachable []string
	reply       *tpring.Ring[tpsender.AttemptDecision]
}

// quarantine is the filter that holds the suspects, which are requests that may
// have crashed a target.
type quarantine struct {
	in       *tpring.Ring[quarantineInput]
	decision tpquarantine.Quarantine
	pending  []*placementRequest
	suspects []tpmessage.SuspectRequest // carried by heartbeats
	view     atomic.Pointer[map[uint64]tpmessage.SuspectRequest]
	// writeQueue holds the latest list of quarantined fingerprints until the
	// writer duty adds it to the region's object.
	writeQueue *tpring.Ring[[]tpmessage.SuspectRequest]
}

func (n *Node) startQuarantine() error {
	q := &quarantine{
		in:         tpring.New[quarantineInput](tpring.Settings{Capacity: quarantineCapacity}),
		writeQueue: tpring.New[[]tpmessage.SuspectRequest](tpring.Settings{Capacity: 1}),
	}
	q.view.Store(&map[uint64]tpmessage.SuspectRequest{})
	n.quarantine = q
	n.rings.Add("quarantine", q.in)
	n.rings.Add("quarantineObject", q.writeQueue)
	n.SetSuspectsHandler(n.MergeSuspects)
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
		changed = in.completion.Lost || n.isKnown(in.completion.Fingerprint)
	case in.placement != nil:
		q.pending = append(q.pending, in.placement)
		changed = false
	case in.tick:
		changed = q.decision.Expire(now)
	default:
		q.decision.Merge(now, in.suspects)
	}
	if changed {
		n.publishQuarantine()
	}
	if in.tick {
		n.announceSuspects(q.decision.RecentChanges(now))
	}
	q.pending = slices.DeleteFunc(q.pending, n.answerPlacement)
}

// publishQuarantine updates the view that other goroutines read. If a
// fingerprint was newly quarantined, it passes the quarantined fingerprints to
// the writer of the region's object.
func (n *Node) publishQuarantine() {
	q := n.quarantine
	before := *q.view.Load()
	view := make(map[uint64]tpmessage.SuspectRequest)
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
		_ = q.writeQueue.PutDropOldest(q.decision.Quarantined())
	}
}

// announceSuspects sets the suspects that heartbeats carry. A changed list is
// sent at once, and each node that receives it forwards it, so that it reaches
// all nodes of a region well within tpquarantine.SettleDelay.
func (n *Node) announceSuspects(suspects []tpmessage.SuspectRequest) {
	q := n.quarantine
	if len(suspects) == len(q.suspects) && (len(suspects) == 0 || reflect.DeepEqual(suspects, q.suspects)) {
		return
	}
	q.suspects = suspects
	n.SetSuspects(suspects)
	_ = n.members.in.TryPut(memberInput{kind: memberTick})
}

// answerPlacement answers a placement request if it can be decided now. It
// reports whether the request is done. A request whose context has ended is
// done without an answer.
func (n *Node) answerPlacement(p *placementRequest) bool {
	if p.ctx.Err() != nil {
		return true
	}
	var settle time.Duration
	if len(n.Members()) > 1 {
		settle = tpquarantine.SettleDelay
	}
	decision, target := n.quarantine.decision.Place(n.clock.Now(), p.fingerprint, n.usableTargets(p), settle)
	var attemptDecision tpsender.AttemptDecision
	switch decision {
	case tpquarantine.Wait:
		return false
	case tpquarantine.RunAnywhere:
		n.quarantine.decision.Start(p.fingerprint, p.target)
		target.Name = p.target
	case tpquarantine.RunAtTarget:
		attemptDecision.Target = &target
		attemptDecision.HasCrashed = n.quarantine.decision.HasCrashed(p.fingerprint, target.Name)
	case tpquarantine.Refuse:
		attemptDecision.Refusal = newQuarantineRefusal()
	}
	if err := p.reply.TryPut(attemptDecision); err != nil && decision != tpquarantine.Refuse {
		n.quarantine.decision.Release(p.fingerprint, target.Name)
	}
	return true
}

// usableTargets returns the targets of the pool that accept new work. It
// returns unreachable targets only if there are no others.
func (n *Node) usableTargets(p *placementRequest) []tpmessage.Target {
	pool, _ := n.poolInForce(p.pool)
	usable := make([]tpmessage.Target, 0, len(pool.Targets))
	var fallback []tpmessage.Target
	for _, t := range pool.Targets {
		switch {
		case !n.acceptsNewWork(t.Name):
		case slices.Contains(p.unreachable, t.Name):
			fallback = append(fallback, t)
		default:
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return fallback
	}
	return usable
}

// isKnown reports whether the quarantine has an entry for a fingerprint.
func (n *Node) isKnown(fingerprint uint64) bool {
	_, ok := (*n.quarantine.view.Load())[fingerprint]
	return ok
}

// admitAttempt decides on one attempt of a request at a target. It admits
// requests that are not suspects without waiting for a decision. Stream tasks
// call it.
func (n *Node) admitAttempt(ctx context.Context, req *tpmessage.Request, a tpsender.Attempt) tpsender.AttemptDecision {
	q := n.quarantine
	// After a loss, the completion that makes the request a suspect may still
	// be in the filter's ring. The placement request queues behind it.
	if !a.AfterLoss && !n.isKnown(req.Fingerprint) {
		_ = q.in.Put(quarantineInput{start: &attemptStart{fingerprint: req.Fingerprint, target: a.Target}})
		return tpsender.AttemptDecision{}
	}
	p := &placementRequest{
		ctx: ctx, fingerprint: req.Fingerprint, pool: req.Pool, target: a.Target, unreachable: a.Unreachable,
		reply: tpring.New[tpsender.AttemptDecision](tpring.Settings{Capacity: 1}),
	}
	stop := context.AfterFunc(ctx, p.reply.Close)
	defer stop()
	if err := q.in.Put(quarantineInput{placement: p}); err != nil {
		return tpsender.AttemptDecision{}
	}
	decision, err := p.reply.Take()
	if err != nil {
		return tpsender.AttemptDecision{Ended: true}
	}
	return decision
}

// reportCompletion passes the end of an attempt at a target to the quarantine
// filter. To that, an attempt lasts until it is known whether the target is lost.
func (n *Node) reportCompletion(c tpmessage.Completion) {
	if c.Target != "" && !c.LossUnchecked {
		_ = n.quarantine.in.Put(quarantineInput{completion: &c})
	}
}

// quarantineRefusal returns the refusal of a quarantined request, or nil if the
// request is not quarantined.
func (n *Node) quarantineRefusal(req *tpmessage.Request) *tpmessage.Refusal {
	s, ok := (*n.quarantine.view.Load())[req.Fingerprint]
	if !ok || !tpquarantine.Quarantined(&s) {
		return nil
	}
	return newQuarantineRefusal()
}

func newQuarantineRefusal() *tpmessage.Refusal {
	return &tpmessage.Refusal{
		Code: tpmessage.RefusalQuarantined, Reason: "targets crashed while they ran this request", NotRun: true,
	}
}

// MergeSuspects adds the suspects of a peer's heartbeat or of the region's
// object. It does not block: a full ring discards them, and the next heartbeat
// carries them again.
func (n *Node) MergeSuspects(suspects []tpmessage.SuspectRequest) {
	if len(suspects) > 0 {
		_ = n.quarantine.in.TryPut(quarantineInput{suspects: suspects})
	}
}

// tickQuarantine makes the quarantine remove expired entries and answer the
// placement requests whose delay has passed.
func (n *Node) tickQuarantine() { _ = n.quarantine.in.TryPut(quarantineInput{tick: true}) }
