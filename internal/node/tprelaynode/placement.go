package tprelaynode

import (
	"strings"
	"sync/atomic"
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// newRequestLimit is the number of waiting inputs at which the placement
	// ring stops accepting new requests. The rest of the ring is reserved for
	// step results and for target requests of running tasks.
	newRequestLimit = 1024
	// inputsPerTask is the largest number of inputs that one task has waiting
	// in the placement ring: a notice of its target, the begin of a stream, a
	// silence, a replacement that is given back, the end of a step and the request
	// for the next target.
	inputsPerTask = 6
	// settledRingCapacity is the number of lists of settled allowances that wait
	// for the membership. Both filters handle one at each of their ticks.
	settledRingCapacity = 4
	// loadTickInterval is the interval at which the node publishes its own
	// load.
	loadTickInterval = 100 * time.Millisecond
	// deadlineMargin is subtracted from a client's deadline, so that the last
	// part of the answer reaches the client before it gives up.
	deadlineMargin = 25 * time.Millisecond
	// timeoutGrace is how long a started answer may continue after the timeout
	// of its route. 250 ms are allowed; the rest is a margin.
	timeoutGrace = 200 * time.Millisecond
	// defaultTimeout applies to a request for which neither the client nor the
	// route sets a timeout.
	defaultTimeout = 30 * time.Second
	// unavailableRetryAfter is the retry delay in a refusal of a node that has
	// no configuration yet or that has no room for the request.
	unavailableRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the retry delay in a refusal of a node that is
	// stopping. Other nodes can take the request at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// placePolicy is the policy by which the placer chooses targets. To compare
// another policy, change only this type.
type placePolicy = tpplace.Affinity

// placementFilter holds the rings and the placer of the first stages:
//
//	front -> placement ring -> placement -> tasks ring -> relay
//	tasks -> placement ring (step results, target requests for further steps)
//	peers -> placement ring (evidence about requests that crash targets, allowances)
//	placement -> allowances ring (those that were used or have ended) -> membership
type placementFilter struct {
	in     *tpring.Ring[tpplace.Input]
	tasks  *tpring.Ring[tpplace.Grant]
	load   *tpring.Ring[tpmessage.NodeLoad] // the latest
	placer *tpplace.Placer[placePolicy]
	guard  tpcrash.Guard
	// evidence holds the latest report of the guard for peers. reported is true
	// if that report is not empty.
	evidence *tpring.Ring[[]tpmessage.SuspectRequest]
	// settled holds allowances that were used or have ended, for the membership.
	settled  *tpring.Ring[[]tpmessage.Allowance]
	reported bool
	// newEra holds the eras of the store that the object filter has learnt of.
	newEra tpring.Ring[uint64]
	// notices holds the notices that the placer knows, for other filters.
	notices atomic.Pointer[tpplace.Notices]
}

func newPlacementFilter(n *Node) *placementFilter {
	started := n.started
	if n.cfg.Bootstrap {
		started = time.Time{} // no process before has used the retry budget
	}
	p := &placementFilter{
		in:    tpring.New[tpplace.Input](tpring.Settings{Capacity: newRequestLimit + inputsPerTask*n.cfg.Window}),
		tasks: tpring.New[tpplace.Grant](tpring.Settings{Capacity: n.cfg.Window}),
		load:  tpring.New[tpmessage.NodeLoad](tpring.Settings{Capacity: 1}),

		evidence: tpring.New[[]tpmessage.SuspectRequest](tpring.Settings{Capacity: 1}),
		settled:  tpring.New[[]tpmessage.Allowance](tpring.Settings{Capacity: settledRingCapacity}),
		placer: tpplace.New(tpplace.Settings{
			Node: n.cfg.Name, Zone: n.cfg.Zone, Started: started,
			Budget: tpplace.BudgetSettings{Ratio: n.cfg.Budget.Ratio, Slack: n.cfg.Budget.Slack, Window: n.cfg.Budget.Window},
		}, placePolicy{}),
	}
	p.notices.Store(&tpplace.Notices{})
	n.deps.Rings.Add("placement", p.in)
	n.deps.Rings.Add("tasks", p.tasks)
	n.deps.Rings.Add("allowances", p.settled)
	return p
}

func (n *Node) startPlacement() error {
	p := n.placement
	n.relay = &tprelay.Relay{
		Upstream: n.deps.Upstream, Clock: n.clock, Log: &n.log, Counters: &tprelay.Counters{},
		Place:     func(in tpplace.Input) { _ = p.in.Put(in) }, // the ring is closed only after the node has stopped
		RecordEnd: n.latency.record,
		IsBlocked: func(t *tpmessage.RelayTarget) bool { return p.notices.Load().IsBlocked(n.clock.Now(), t) },
		IsLimited: func(t *tpmessage.RelayTarget) bool { return p.notices.Load().IsLimited(t) },
	}
	if n.usage != nil {
		n.relay.RecordBegin = n.usage.recordBegin
	}
	// The placement filter stops last, because running tasks use it until they
	// end.
	if err := startFilter(n, "placement", p.in, n.handlePlacement); err != nil {
		return err
	}
	n.onStop(n.relay.Start(n.cfg.Window))
	if err := startFilter(n, "relay", p.tasks, n.relay.Handle); err != nil {
		return err
	}
	return n.startTimer("load ticks", func() time.Duration {
		_ = p.in.TryPutBelow(tpplace.Input{Kind: tpplace.InputTick}, newRequestLimit)
		return loadTickInterval
	})
}

func (n *Node) handlePlacement(in tpplace.Input) {
	now := n.clock.Now()
	if in.Kind == tpplace.InputTick {
		if settled := n.placement.placer.TakeSettled(now); len(settled) > 0 {
			_ = n.placement.settled.PutDropOldest(settled)
		}
		_ = n.placement.load.PutDropOldest(n.placement.placer.Load(now))
		n.tickGuard(now)
		return
	}
	if in.Kind == tpplace.InputNotice {
		n.handleNotice(in.Notice)
		return
	}
	if in.Kind == tpplace.InputTargetRequest {
		// Without an answer, the task or the client would wait for ever.
		defer n.refuseAfterPanic(&in.TargetRequest)
	}
	n.updateGuard(now, &in)
	g, ok := n.checkGuard(now, &in)
	if !ok {
		g, ok = n.placement.placer.Step(now, in)
	}
	n.publishLimits(&in)
	switch {
	case !ok:
	case in.TargetRequest.Reply != nil:
		_ = in.TargetRequest.Reply.TryPut(g) // never full: a task waits for one grant at a time
	case g.Refusal != nil:
		n.refuseGrant(&g)
	default:
		if err := n.placement.tasks.TryPut(g); err != nil {
			n.placement.placer.Step(now, tpplace.Input{Kind: tpplace.InputStepResult, StepResult: tpplace.StepResult{
				Reservation: g.Reservation, Outcome: tpplace.OutcomeAbandoned,
			}})
			g.Refusal = &tpmessage.RelayRefusal{
				Status: tpmessage.StatusUnavailable, Reason: "too many requests are in progress", RetryAfter: unavailableRetryAfter,
			}
			n.refuseGrant(&g)
		}
	}
}

// publishLimits passes the limits that other nodes have told of to the relay.
func (n *Node) publishLimits(in *tpplace.Input) {
	if in.Kind == tpplace.InputLoads || in.Kind == tpplace.InputTargets {
		notices := n.placement.placer.Notices()
		n.placement.notices.Store(&notices)
	}
	// A process may have said that it is leaving before it was registered.
	for i := range in.Targets {
		if t := &in.Targets[i]; n.placement.notices.Load().IsLeaving(t) {
			n.placement.guard.RecordLeaving(t.Name, t.StartedMs)
		}
	}
}

// handleNotice passes what a target has said about itself to the placer, and
// logs it unless it was known.
func (n *Node) handleNotice(notice tpplace.Notice) {
	isNew := n.placement.placer.HandleNotice(notice)
	notices := n.placement.placer.Notices()
	n.placement.notices.Store(&notices)
	if notice.Leaving {
		n.placement.guard.RecordLeaving(notice.Target.Name, notice.Target.StartedMs)
	}
	if isNew {
		n.log.Info().Str("event", "targetNotice").Str("target", notice.Target.Name).Str("address", notice.Target.Address).
			Int64("startedMs", notice.Target.StartedMs).Bool("leaving", notice.Leaving).
			Int64("pauseMs", notice.Pause.Milliseconds()).
			Bool("limited", notices.IsLimited(&notice.Target)).Float64("limit", notice.Limit).Send()
	}
}

// refuseAfterPanic refuses a target request whose placement panics, and
// continues the panic, which the duty reports.
func (n *Node) refuseAfterPanic(r *tpplace.TargetRequest) {
	value := recover()
	if value == nil {
		return
	}
	g := tpplace.Grant{Work: r.Work, Step: r.Step, Refusal: &tpmessage.RelayRefusal{
		Status: tpmessage.StatusUnavailable, Reason: "the placement of the request failed",
	}}
	if r.Reply != nil {
		_ = r.Reply.TryPut(g) // never full: a task waits for one grant at a time
	} else {
		n.refuseGrant(&g)
	}
	panic(value)
}

// refuseGrant answers a request that was not sent to a target with the refusal
// in its grant.
func (n *Node) refuseGrant(g *tpplace.Grant) {
	req := g.Work.Request
	n.relay.Counters.Refused.Add(1)
	withOrganisation(n.log.Info().Str("event", "end").Str("request", req.ID).Str("route", req.Route.Name).
		Uint64("generation", req.Generation).Str("outcome", "refused").Str("reason", g.Refusal.Reason).
		Int64("retryAfterMs", g.Refusal.RetryAfter.Milliseconds()).Int("sends", 0), req).Send()
	// The answer ring of a request that was not sent is empty, or closed
	// because the client has disconnected.
	_ = g.Work.Answer.TryPut(tpmessage.AnswerPart{Refusal: g.Refusal, Event: -1})
}

// Submit routes a request, finds the organisation of its key and passes it to the
// placement filter. If the request cannot be routed, may not use its route, or the
// ring accepts no new request, it returns a refusal.
// TimeLeft is the client's timeout; 0 means that the client sets none.
func (n *Node) Submit(work *tpmessage.RelayWork, timeLeft time.Duration) *tpmessage.RelayRefusal {
	req := work.Request
	age := n.access.age(n.leaseClock.Now())
	t := n.table.Load()
	if t == nil {
		return n.rejectRequest(req, tpmessage.StatusUnavailable, "no configuration is known yet")
	}
	path, _, _ := strings.Cut(req.URI, "?")
	route, pool := t.Find(req.Host, path, req.ID)
	if route == nil {
		return n.rejectRequest(req, tpmessage.StatusNotFound, "no route")
	}
	req.Route, req.Generation = *route, t.Config.Generation
	if ref := n.admit(t, route, req, age); ref != nil {
		return ref
	}
	if n.cfg.StrictRevoke && req.Organisation != "" && !route.Public {
		n.useKey(work)
	}
	if pool == nil {
		return n.rejectRequest(req, tpmessage.StatusUnavailable, "the route has no pool")
	}
	req.Pool = *pool
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	latest := limit + timeoutGrace
	if timeLeft > 0 {
		limit, latest = min(limit, timeLeft), min(latest, timeLeft)
	}
	req.Deadline, req.CompletionDeadline = req.Arrived.Add(limit-deadlineMargin), req.Arrived.Add(latest-deadlineMargin)
	if until := n.drainsUntil.Load(); until != nil && req.CompletionDeadline.After(*until) {
		ref := n.rejectRequest(req, tpmessage.StatusUnavailable, "the node is stopping and may end before the request")
		ref.RetryAfter = stoppingRetryAfter
		return ref
	}
	in := tpplace.Input{Kind: tpplace.InputTargetRequest, TargetRequest: tpplace.TargetRequest{Work: *work}}
	if err := n.placement.in.TryPutBelow(in, newRequestLimit); err != nil {
		return n.rejectRequest(req, tpmessage.StatusUnavailable, err.Error())
	}
	return nil
}

func (n *Node) rejectRequest(req *tpmessage.RelayRequest, status int, reason string) *tpmessage.RelayRefusal {
	ref := &tpmessage.RelayRefusal{Status: status, Reason: reason}
	if status == tpmessage.StatusUnavailable {
		ref.RetryAfter = unavailableRetryAfter
	}
	n.relay.Counters.Refused.Add(1)
	withOrganisation(n.log.Info().Str("event", "end").Str("request", req.ID).Str("host", req.Host).Str("outcome", "turnedAway").
		Int("status", status).Str("reason", reason), req).Send()
	return ref
}
