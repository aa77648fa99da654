package tprelaynode

import (
	"strings"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// arrivals is the number of inputs up to which new requests are taken. Ends
	// of steps and further asks have the rest of the ring.
	arrivals = 1024
	// inputsPerTask is the number of inputs that one task has outstanding.
	inputsPerTask = 2
	// loadTick is the interval at which the node's own load is published.
	loadTick = 100 * time.Millisecond
	// answerMargin is taken off a client's time, so that the last answer
	// reaches it before it gives up.
	answerMargin = 25 * time.Millisecond
	// endGrace is how long an answer that has begun may go on past its route's
	// timeout. A quarter of a second is allowed.
	endGrace = 200 * time.Millisecond
	// defaultTime is the time of a request whose client and route name none.
	defaultTime = 30 * time.Second
	// startRetry is the advice of a node that knows no configuration yet.
	startRetry = 500 * time.Millisecond
)

// placePolicy is the chosen policy. A test that compares another instance
// changes the type here alone.
type placePolicy = tpplace.Affinity

// placement holds the rings and the decision of the first stages:
//
//	front -> placement ring -> placement -> tasks ring -> relay
//	tasks -> placement ring (ends of steps, asks for further ones)
type placement struct {
	in     *tpring.Ring[tpplace.Input]
	tasks  *tpring.Ring[tpplace.Grant]
	load   *tpring.Ring[tpmessage.NodeLoad] // newest
	placer *tpplace.Placer[placePolicy]
}

func newPlacement(n *Node) *placement {
	p := &placement{
		in:    tpring.New[tpplace.Input](tpring.Settings{Capacity: arrivals + inputsPerTask*n.cfg.Window}),
		tasks: tpring.New[tpplace.Grant](tpring.Settings{Capacity: n.cfg.Window}),
		load:  tpring.New[tpmessage.NodeLoad](tpring.Settings{Capacity: 1}),
		placer: tpplace.New(tpplace.Settings{
			Node: n.cfg.Name, Zone: n.cfg.Zone,
			Budget: tpplace.BudgetSettings{Ratio: n.cfg.Budget.Ratio, Slack: n.cfg.Budget.Slack, Window: n.cfg.Budget.Window},
		}, placePolicy{}),
	}
	n.deps.Rings.Add("placement", p.in)
	n.deps.Rings.Add("tasks", p.tasks)
	return p
}

func (n *Node) startPlacement() error {
	p := n.place
	n.relay = &tprelay.Relay{
		Upstream: n.deps.Upstream, Clock: n.clock, Log: &n.log, Counters: &tprelay.Counters{},
		Place: func(in tpplace.Input) { _ = p.in.Put(in) }, // a closed ring means that the node has ended
		Ended: n.latency.record,
	}
	// The placement ends last, since running tasks ask it until they end.
	if err := startFilter(n, "placement", p.in, n.handlePlacement); err != nil {
		return err
	}
	n.onStop(n.relay.Start(n.cfg.Window))
	if err := startFilter(n, "relay", p.tasks, n.relay.Handle); err != nil {
		return err
	}
	return n.startTimer("load ticks", func() time.Duration {
		_ = p.in.TryPutBelow(tpplace.Input{Kind: tpplace.InputTick}, arrivals)
		return loadTick
	})
}

func (n *Node) handlePlacement(in tpplace.Input) {
	now := n.clock.Now()
	if in.Kind == tpplace.InputTick {
		_ = n.place.load.PutDropOldest(n.place.placer.Load(now))
		return
	}
	g, ok := n.place.placer.Step(now, in)
	switch {
	case !ok:
	case in.Ask.Reply != nil:
		_ = in.Ask.Reply.TryPut(g) // holds the one grant of its task
	case g.Refusal != nil:
		n.refuse(&g)
	default:
		if err := n.place.tasks.TryPut(g); err != nil {
			n.place.placer.Step(now, tpplace.Input{Kind: tpplace.InputDone, Done: tpplace.Done{
				Charge: g.Charge, Outcome: tpplace.OutcomeAbandoned,
			}})
			g.Refusal = &tpmessage.RelayRefusal{
				Status: tpmessage.StatusUnavailable, Reason: "too many requests are in progress", RetryAfter: startRetry,
			}
			n.refuse(&g)
		}
	}
}

// refuse ends a request that was not sent.
func (n *Node) refuse(g *tpplace.Grant) {
	req := g.Work.Request
	n.relay.Counters.Refused.Add(1)
	n.log.Info().Str("event", "end").Str("request", req.ID).Str("route", req.Route.Name).
		Uint64("generation", req.Generation).Str("outcome", "refused").Str("reason", g.Refusal.Reason).
		Int64("retryAfterMs", g.Refusal.RetryAfter.Milliseconds()).Int("sends", 0).Send()
	// The ring of a request that was not sent is empty, or closed by a client
	// that has left.
	_ = g.Work.Answer.TryPut(tpmessage.AnswerPart{Refusal: g.Refusal, Event: -1})
}

// Submit routes a request and puts it on the pipeline.
func (n *Node) Submit(work *tpmessage.RelayWork, timeLeft time.Duration) *tpmessage.RelayRefusal {
	req := work.Request
	t := n.table.Load()
	if t == nil {
		return n.turnAway(req, tpmessage.StatusUnavailable, "no configuration is known yet")
	}
	path, _, _ := strings.Cut(req.URI, "?")
	route, pool := t.Find(req.Host, path, req.ID)
	if route == nil {
		return n.turnAway(req, tpmessage.StatusNotFound, "no route")
	}
	if pool == nil {
		return n.turnAway(req, tpmessage.StatusUnavailable, "the route has no pool")
	}
	req.Route, req.Pool, req.Generation = *route, *pool, t.Config.Generation
	limit := defaultTime
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	latest := limit + endGrace
	if timeLeft > 0 {
		limit, latest = min(limit, timeLeft), min(latest, timeLeft)
	}
	req.Deadline, req.Latest = req.Arrived.Add(limit-answerMargin), req.Arrived.Add(latest-answerMargin)
	in := tpplace.Input{Kind: tpplace.InputAsk, Ask: tpplace.Ask{Work: *work}}
	if err := n.place.in.TryPutBelow(in, arrivals); err != nil {
		return n.turnAway(req, tpmessage.StatusUnavailable, err.Error())
	}
	return nil
}

func (n *Node) turnAway(req *tpmessage.RelayRequest, status int, reason string) *tpmessage.RelayRefusal {
	ref := &tpmessage.RelayRefusal{Status: status, Reason: reason}
	if status == tpmessage.StatusUnavailable {
		ref.RetryAfter = startRetry
	}
	n.relay.Counters.Refused.Add(1)
	n.log.Info().Str("event", "end").Str("request", req.ID).Str("host", req.Host).Str("outcome", "turnedAway").
		Int("status", status).Str("reason", reason).Send()
	return ref
}
