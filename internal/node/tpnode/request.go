package tpnode

import (
	"expvar"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
	"teaselpin.example/teaselpin/internal/request/stage5/tpsender"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// The policies that the node runs. To compare another policy, change only its
// type here.
type (
	admissionQueue = *tpadmission.Fair
	routePolicy    = *tprouter.TwoChoices
)

// requestPipeline holds the rings and decisions of the request pipeline:
//
//	submit -> admission ring -> admission -> routing ring -> router -> sending ring -> sender
//
// Completions go back to the admission and routing rings. At most Window
// requests are in flight after admission, each with at most
// tpsender.MaxAttempts completions that are not yet processed. Both rings
// reserve that much room, which arrivals and reports cannot use. So puts after
// admission never block, and the feedback cannot deadlock.
type requestPipeline struct {
	admissionIn *tpring.Ring[tpadmission.Input]
	routerIn    *tpring.Ring[tprouter.Input]
	sendIn      *tpring.Ring[tpmessage.Assignment]
	admission   *tpadmission.Admission[admissionQueue]
	router      *tprouter.Router[routePolicy]
	sender      *tpsender.Sender
	outputs     []tpadmission.Output // reused by the admission duty
	exchange    usageExchange        // owned by the admission duty
	refusals    expvar.Map           // refusals by code
}

func (n *Node) startRequestPipeline() error {
	window := n.cfg.Window
	reserve := window * (tpsender.MaxAttempts + 1)
	p := &requestPipeline{
		admissionIn: tpring.New[tpadmission.Input](tpring.Settings{Capacity: DefaultArrivalCapacity + reserve}),
		routerIn:    tpring.New[tprouter.Input](tpring.Settings{Capacity: DefaultReportCapacity + reserve}),
		sendIn:      tpring.New[tpmessage.Assignment](tpring.Settings{Capacity: window}),
		admission:   tpadmission.New(tpadmission.Settings{Window: window, PerTarget: n.cfg.PerTarget}, tpadmission.NewFair()),
		router:      n.newRouter(),
	}
	n.request = p
	n.rings.Add("admission", p.admissionIn)
	n.rings.Add("router", p.routerIn)
	n.rings.Add("sender", p.sendIn)

	transport, closeTransport := tptarget.NewTransport(tptarget.Settings{})
	n.onStop(closeTransport)
	p.sender = &tpsender.Sender{
		Transport: transport,
		Clock:     n.clock,
		Events:    n.events,
		Budgets:   &tpsender.Budgets{},
		Counters:  &tpsender.Counters{},
		Callbacks: tpsender.Callbacks{
			Completion: n.handleCompletion, Checked: n.reportCompletion, Report: n.handleReport, Settled: n.settle,
			Usable: n.acceptsNewWork, Alternative: n.alternativeTarget, Admit: n.admitAttempt,
		},
	}
	if err := n.startJournal(); err != nil {
		return err
	}
	// The clean-up functions run in reverse order, so the duties drain from the
	// front of the pipeline to its end. A completion that finds its ring closed
	// is no longer needed.
	n.onStop(p.sender.Start(window))
	if err := startFilter(n, "sender", p.sendIn, p.sender.Handle); err != nil {
		return err
	}
	if err := n.startJournalFilter(); err != nil {
		return err
	}
	if err := startFilter(n, "router", p.routerIn, n.handleRouting); err != nil {
		return err
	}
	if err := startFilter(n, "admission", p.admissionIn, n.handleAdmission); err != nil {
		return err
	}
	n.SetUsageHandler(n.mergeUsage)
	return n.startTicks()
}

func (n *Node) newRouter() *tprouter.Router[routePolicy] {
	// Each node has its own seed, so that the nodes do not choose the same
	// targets.
	seed := xxh3.HashString(n.cfg.Name)
	return tprouter.New(tprouter.Settings{
		Node: n.cfg.Name, Load: tpload.Settings{Zone: n.cfg.Zone}, Seed: seed,
	}, tprouter.NewTwoChoices(seed))
}

// startFilter starts a filter that runs until the node stops.
func startFilter[T any](n *Node, name string, in *tpring.Ring[T], handle func(T)) error {
	cleanup, err := tpduty.StartFilter(n.duties, name, in, handle)
	if err != nil {
		return err
	}
	n.onStop(cleanup)
	return nil
}

// startTicks starts the duty that sends ticks to three filters. On a tick,
// admission expires waiting work, the quarantine places waiting suspects, and
// the targets filter expires the peers' reports of leaving targets.
func (n *Node) startTicks() error {
	return n.startTimer("ticks", func() time.Duration {
		_ = n.request.admissionIn.TryPutBelow(tpadmission.Input{Kind: tpadmission.InputTick}, DefaultArrivalCapacity)
		n.tickQuarantine()
		n.expireLeaving()
		return DefaultTickInterval
	})
}

// submit passes work from the front end to admission. It returns a refusal if
// the node is draining, the request is quarantined, or the ring is full.
func (n *Node) submit(w tpmessage.Work) *tpmessage.Refusal {
	ref := n.drainRefusal()
	if ref == nil {
		ref = n.quarantineRefusal(&w.Request)
	}
	if ref != nil {
		n.request.refusals.Add(string(ref.Code), 1)
		return ref
	}
	n.events.Record(tpmessage.Event{Kind: "arrive", Request: w.Request.ID, Organisation: w.Request.Organisation})
	err := n.request.admissionIn.TryPutBelow(
		tpadmission.Input{Kind: tpadmission.InputArrival, Work: w}, DefaultArrivalCapacity)
	if err == nil {
		return nil
	}
	ref = &tpmessage.Refusal{
		Code: tpmessage.RefusalNotRun, Reason: err.Error(), RetryAfter: time.Second, NotRun: true,
	}
	n.request.refusals.Add(string(ref.Code), 1)
	return ref
}

func (n *Node) handleAdmission(in tpadmission.Input) {
	p := n.request
	p.outputs = p.admission.Step(n.clock.Now(), in, p.outputs[:0])
	n.forwardAdmitted(p.outputs)
	if in.Kind == tpadmission.InputTick {
		n.exchangeUsage()
	}
}

// forwardAdmitted passes admitted work to the router and refuses the rest.
func (n *Node) forwardAdmitted(outs []tpadmission.Output) {
	for _, out := range outs {
		if out.Refusal != nil {
			n.refuse(&out.Work, out.Refusal)
			continue
		}
		_ = n.request.routerIn.Put(tprouter.Input{Kind: tprouter.InputWork, Work: out.Work})
	}
}

func (n *Node) handleRouting(in tprouter.Input) {
	p := n.request
	out, ok := p.router.Step(n.clock.Now(), in)
	if !ok {
		return
	}
	if out.Refusal != nil {
		w := &out.Assignment.Work
		n.refuse(w, out.Refusal)
		n.handleCompletion(tpmessage.Completion{
			RequestID: w.Request.ID, Organisation: w.Request.Organisation,
			Final: true, Outcome: tpmessage.OutcomeNotSent, At: n.clock.Now(),
		})
		return
	}
	if !out.Assignment.Work.Request.Idempotent {
		n.claim(out.Assignment)
		return
	}
	_ = p.sendIn.Put(out.Assignment)
}

// refuse ends work that was not sent to a target.
func (n *Node) refuse(w *tpmessage.Work, ref *tpmessage.Refusal) {
	n.request.refusals.Add(string(ref.Code), 1)
	n.events.Record(tpmessage.Event{
		Kind: "refuse", Request: w.Request.ID, Organisation: w.Request.Organisation, Detail: string(ref.Code),
	})
	// The chunk ring of unsent work is empty, so it has room.
	_ = w.Chunks.TryPut(tpmessage.Chunk{RequestID: w.Request.ID, Refusal: ref})
	w.Chunks.Close()
}

// handleCompletion passes the end of an attempt to the quarantine, to admission
// and to the router.
func (n *Node) handleCompletion(c tpmessage.Completion) {
	n.reportCompletion(c)
	_ = n.request.admissionIn.Put(tpadmission.Input{Kind: tpadmission.InputCompletion, Completion: c})
	_ = n.request.routerIn.Put(tprouter.Input{Kind: tprouter.InputCompletion, Completion: c})
}

// handleReport passes a load report to the router. A full ring discards it.
func (n *Node) handleReport(rep tpmessage.LoadReport) {
	_ = n.request.routerIn.TryPutBelow(tprouter.Input{Kind: tprouter.InputReport, Report: rep}, DefaultReportCapacity)
	n.reportLeaving(rep)
}

// apply passes a configuration to admission, the router and the retry budgets.
func (p *requestPipeline) apply(s *tpmessage.Snapshot) {
	_ = p.admissionIn.Put(tpadmission.Input{Kind: tpadmission.InputConfig, Snapshot: s})
	_ = p.routerIn.Put(tprouter.Input{Kind: tprouter.InputConfig, Snapshot: s})
	p.sender.Budgets.SetRatio(s.Config.Policy.RetryBudget)
}

func (p *requestPipeline) vars() expvar.Var {
	c := p.sender.Counters
	return expvar.Func(func() any {
		return map[string]uint64{
			"streams":    c.Streams.Load(),
			"retries":    c.Retries.Load(),
			"resumes":    c.Resumes.Load(),
			"stalls":     c.Stalls.Load(),
			"lost":       c.Lost.Load(),
			"early":      c.OutOfOrder.Load(),
			"crossed":    c.WrongRequest.Load(),
			"doubled":    c.Duplicate.Load(),
			"late":       c.AfterEnd.Load(),
			"incomplete": c.Incomplete.Load(),
		}
	})
}
