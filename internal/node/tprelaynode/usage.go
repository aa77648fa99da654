package tprelaynode

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"sync/atomic"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/relay/tpusage"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// dutyUsage is the name of the duty in Settings.Duties.
	dutyUsage = "usage"
	// usageCountRingCapacity is the number of requests that wait to be counted.
	// One that finds the ring full is not counted, and the drop is.
	usageCountRingCapacity = 4096
	// usageRingCapacity exceeds the results that can wait: of tpusage.MaxAsks
	// calls to members, one of the store and one of the duty API.
	usageRingCapacity = 64
	// usageAskers is the number of calls to members at the same time. A member
	// that does not answer blocks one of them for tppeer.UsageTimeout.
	usageAskers = 8
	// usageCallers is the number of duties that call the store and the duty API.
	// At most one call of each is in progress.
	usageCallers = 2
	// usageTickInterval is the time between two decisions of the holder.
	usageTickInterval = 200 * time.Millisecond
	// leftCopies is the number of members with which a node that ends leaves its
	// counts, so that they outlast two of them. Each copy is offered to
	// leftAttempts members until one takes it.
	leftCopies, leftAttempts = 3, 2
	// leftTimeout limits one such offer. All attempts together end within
	// exitReserve.
	leftTimeout = 150 * time.Millisecond
	// maxUsageStoreTime limits a call of the record, so that a call without an
	// answer does not delay a report until it is missed.
	maxUsageStoreTime = 1500 * time.Millisecond
)

// usageCount is a request that began to run or, with reply, the request of a
// peer for the counts.
type usageCount struct {
	organisation string
	at           time.Time // of the lease clock
	request      tpmessage.UsageRequest
	reply        *tpring.Ring[tpmessage.UsageAnswer]
}

type usageInput struct {
	answer *tpusage.Answer
	left   *tpmessage.UsageStatement // of a node that has ended
	result func(now time.Time)       // hands the result of a call to the reporter
}

// usageFilter holds the rings and the state of the two filters that count
// requests and report the counts:
//
//	tasks, peers -> usageCounts ring -> usage counts (answers on a ring of one place)
//	ticks, results -> usage ring -> usage -> usageAsks ring -> askers -> peers
//	                                      -> usageCalls ring -> callers -> store, duty API
//	askers, callers -> usage ring (results)
type usageFilter struct {
	node     *Node
	counts   *tpring.Ring[usageCount]
	in       *tpring.Ring[usageInput]
	asks     *tpring.Ring[tpusage.Action]
	calls    *tpring.Ring[tpusage.Action]
	counter  tpusage.Counter
	reporter *tpusage.Reporter[tpusage.Fixed]
	client   *tppeer.Client
	// holder is the name of the node that last asked for counts.
	holder atomic.Pointer[string]
	offset atomic.Int64 // of the counter's clock, for the reporter
	// Counters of windows and of requests that were not counted.
	sent, repeated, missed, uncounted atomic.Uint64
}

// newUsageFilter returns nil if the duty API does not accept reports of usage.
func newUsageFilter(n *Node) *usageFilter {
	if !n.cfg.HasDuty(dutyUsage) {
		return nil
	}
	f := &usageFilter{
		node:   n,
		counts: tpring.New[usageCount](tpring.Settings{Capacity: usageCountRingCapacity}),
		in:     tpring.New[usageInput](tpring.Settings{Capacity: usageRingCapacity}),
		asks:   tpring.New[tpusage.Action](tpring.Settings{Capacity: tpusage.MaxAsks}),
		calls:  tpring.New[tpusage.Action](tpring.Settings{Capacity: usageCallers}),
	}
	clock := tpusage.Clock{Length: n.cfg.UsageWindow, Wall: n.clock.Now().Round(0), Start: n.leaseClock.Now()}
	source := tpusage.Source(n.cfg.Name, n.members.incarnation)
	f.counter = tpusage.Counter{Source: source, Clock: clock}
	f.reporter = tpusage.NewReporter(tpusage.Settings{Late: n.cfg.UsageLate}, clock, tpusage.Fixed{})
	n.deps.Rings.Add("usageCounts", f.counts)
	n.deps.Rings.Add("usage", f.in)
	n.deps.Rings.Add("usageAsks", f.asks)
	n.deps.Rings.Add("usageCalls", f.calls)
	return f
}

// startUsage starts the filters. They stop after the tasks, whose last counts are
// left with other members.
func (n *Node) startUsage() error {
	f := n.usage
	if f == nil {
		return nil
	}
	client, closeClient := tppeer.NewClient(nil)
	f.client = client
	n.onStop(closeClient)
	n.onStop(f.leave)
	if err := startFilter(n, "usage counts", f.counts, f.count); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	for range usageAskers {
		if err := startFilter(n, "usage asks", f.asks, func(a tpusage.Action) { f.ask(ctx, a) }); err != nil {
			cancel()
			return err
		}
	}
	for range usageCallers {
		if err := startFilter(n, "usage calls", f.calls, func(a tpusage.Action) { f.call(ctx, a) }); err != nil {
			cancel()
			return err
		}
	}
	n.onStop(cancel)
	if err := startFilter(n, "usage", f.in, f.handle); err != nil {
		return err
	}
	return n.startTimer("usage ticks", func() time.Duration {
		_ = f.in.TryPutBelow(usageInput{}, usageRingCapacity/2)
		return usageTickInterval
	})
}

// recordBegin passes a request that began to run at a time of the node's clock to
// the filter that counts.
func (f *usageFilter) recordBegin(organisation string, at time.Time) {
	age := f.node.clock.Now().Sub(at)
	if err := f.counts.TryPut(usageCount{organisation: organisation, at: f.node.leaseClock.Now().Add(-age)}); err != nil {
		f.uncounted.Add(1)
	}
}

func (f *usageFilter) count(in usageCount) {
	if in.reply == nil {
		f.counter.Add(in.at, in.organisation)
		return
	}
	// The peer's call would wait for ever if this step panicked.
	defer in.reply.Close()
	_ = in.reply.Put(f.counter.Answer(f.node.leaseClock.Now(), in.request))
	f.offset.Store(int64(f.counter.Clock.Offset))
}

// receive passes a request of a peer, or of this node as the holder, to the
// filter that counts and returns the answer. It returns an error if the ring is
// full or closed.
func (f *usageFilter) receive(req tpmessage.UsageRequest) (tpmessage.UsageAnswer, error) {
	if req.Holder != "" {
		f.holder.Store(&req.Holder)
	}
	if req.Left != nil {
		_ = f.in.TryPut(usageInput{left: req.Left}) // for the holder; the counter keeps it for the next one
	}
	reply := tpring.New[tpmessage.UsageAnswer](tpring.Settings{Capacity: 1})
	if err := f.counts.TryPut(usageCount{request: req, reply: reply}); err != nil {
		return tpmessage.UsageAnswer{}, err
	}
	return reply.Take()
}

func (f *usageFilter) handle(in usageInput) {
	n := f.node
	now := n.leaseClock.Now()
	switch {
	case in.answer != nil:
		f.reporter.HandleAnswer(*in.answer)
	case in.left != nil:
		f.reporter.HandleLeft(*in.left)
	case in.result != nil:
		in.result(now)
	default:
		f.reporter.SetOffset(time.Duration(f.offset.Load()))
		f.reporter.SetEra(now, tpobject.EraOf(f.node.deps.Store))
		held, fencing := false, uint64(0)
		if term := n.dutyTerm.Load(); term != nil {
			held, fencing = term.Authority.Held && now.Before(term.Authority.Until), term.Authority.Fencing
		}
		f.reporter.SetHolder(held, fencing)
		f.reporter.SetMembers(*n.members.liveMembers.Load())
	}
	for _, a := range f.reporter.Step(now) {
		// The reporter has no more calls in progress than the rings hold.
		if a.Kind == tpusage.ActionAsk {
			_ = f.asks.TryPut(a)
		} else {
			_ = f.calls.TryPut(a)
		}
	}
	for _, o := range f.reporter.TakeOutcomes() {
		f.record(o)
	}
}

func (f *usageFilter) record(o tpusage.Outcome) {
	e := f.node.log.Info()
	switch o.Kind {
	case tpusage.Sent:
		f.sent.Add(1)
	case tpusage.Repeated:
		f.repeated.Add(1)
	case tpusage.Missed:
		f.missed.Add(uint64(o.Last - o.Window + 1))
		e = f.node.log.Warn()
	}
	e = e.Str("event", string(o.Kind)).Int64("window", o.Window)
	if o.Last != o.Window {
		e = e.Int64("lastWindow", o.Last)
	}
	if o.Reason != "" {
		e = e.Str("reason", o.Reason)
	}
	e.Int("asked", o.Asked).Int("answered", o.Answered).Uint64("sum", o.Sum).Bool("own", o.Own).Send()
}

// ask asks a member for its counts and passes the answer to the filter.
func (f *usageFilter) ask(ctx context.Context, a tpusage.Action) {
	n := f.node
	answer := tpusage.Answer{Member: a.Member, Request: a.Request, SentAt: n.leaseClock.Now()}
	a.Request.Holder = n.cfg.Name
	if a.Member.Name == n.cfg.Name {
		answer.Answer, answer.Err = f.receive(a.Request)
	} else {
		answer.Answer, answer.Err = f.client.Usage(ctx, a.Member.Address, a.Request)
	}
	answer.ArrivedAt = n.leaseClock.Now()
	_ = f.in.Put(usageInput{answer: &answer})
}

// call makes a call of the store or of the duty API and passes the result to the
// filter.
func (f *usageFilter) call(ctx context.Context, a tpusage.Action) {
	var result func(time.Time)
	switch a.Kind {
	case tpusage.ActionSend:
		err := f.send(ctx, a.Report)
		result = func(now time.Time) { f.reporter.HandleSent(now, a.Report.Window, err) }
	case tpusage.ActionStore:
		version, err := f.store(ctx, a)
		era := tpobject.EraOf(f.node.deps.Store)
		result = func(now time.Time) { f.reporter.HandleStored(now, era, version, err) }
	default:
		result = f.read(ctx)
	}
	_ = f.in.Put(usageInput{result: result})
}

// send sends a report if this node may call the duty API.
func (f *usageFilter) send(ctx context.Context, report tpmessage.UsageReport) error {
	holder, ok := f.node.dutyHolder()
	if !ok {
		return tpusage.ErrNotHolder
	}
	err := f.node.deps.DutyAPI.ReportUsage(ctx, holder, report)
	if err != nil {
		f.node.log.Warn().Str("event", "usageNotReported").Int64("window", report.Window).Uint64("fencing", holder.Fencing).Err(err).Send()
	}
	return err
}

func (f *usageFilter) objectName() string { return tpusage.ObjectPrefix + f.node.cfg.Region }

func (f *usageFilter) store(ctx context.Context, a tpusage.Action) (uint64, error) {
	data, err := json.Marshal(a.Record)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, maxUsageStoreTime)
	defer cancel()
	version, err := f.node.deps.Store.Put(ctx, f.objectName(), data, a.Version)
	if err != nil {
		f.node.log.Warn().Str("event", "usageNotStored").Uint64("version", a.Version).Err(err).Send()
	}
	return version, err
}

func (f *usageFilter) read(ctx context.Context) func(time.Time) {
	ctx, cancel := context.WithTimeout(ctx, maxUsageStoreTime)
	defer cancel()
	o, err := f.node.deps.Store.Get(ctx, f.objectName())
	era := tpobject.EraOf(f.node.deps.Store)
	if errors.Is(err, tpobject.ErrNotFound) {
		o, err = tpobject.Object{}, nil
	}
	var stored tpusage.Record
	if err == nil && len(o.Value) > 0 {
		if fault := json.Unmarshal(o.Value, &stored); fault != nil {
			f.node.log.Warn().Str("event", "usageUnreadable").Uint64("version", o.Version).Err(fault).Send()
			return func(now time.Time) { f.reporter.HandleUnreadable(now, era, o.Version) }
		}
	}
	return func(now time.Time) { f.reporter.HandleRead(now, era, stored, o.Version, err) }
}

// leave leaves the counts of this node, which counts nothing more, with the
// holder and other members, so that the next reports have them.
func (f *usageFilter) leave() {
	n := f.node
	final := f.counter.Final(n.leaseClock.Now())
	heirs := f.heirs()
	var taken atomic.Int64
	var waits []func()
	for i := range min(leftCopies, len(heirs)) {
		wait, err := n.deps.Duties.Go("usage leave", func() {
			for j := i; j < min(len(heirs), leftCopies*leftAttempts); j += leftCopies {
				if f.offer(heirs[j], &final) {
					taken.Add(1)
					return
				}
			}
		})
		if err == nil {
			waits = append(waits, wait)
		}
	}
	for _, wait := range waits {
		wait()
	}
	n.log.Info().Str("event", "usageLeft").Int64("copies", taken.Load()).Int("windows", len(final.Windows)).Send()
}

// offer reports whether a member has taken the final statement of this node.
func (f *usageFilter) offer(m tpmessage.Member, final *tpmessage.UsageStatement) bool {
	ctx, cancel := context.WithTimeout(context.Background(), leftTimeout)
	defer cancel()
	_, err := f.client.Usage(ctx, m.Address, tpmessage.UsageRequest{First: 1, Left: final})
	return err == nil
}

// heirs returns the members that may take the final statement: the holder first,
// then the others in random order, so that the nodes of a region choose different
// ones.
func (f *usageFilter) heirs() []tpmessage.Member {
	holder := ""
	if name := f.holder.Load(); name != nil {
		holder = *name
	}
	var first, others []tpmessage.Member
	for _, m := range *f.node.members.liveMembers.Load() {
		switch {
		case m.Name == f.node.cfg.Name, m.Leaving, m.Suspect:
		case m.Name == holder:
			first = append(first, m)
		default:
			others = append(others, m)
		}
	}
	f.node.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(first, others...)
}

func (f *usageFilter) metricsVar() expvar.Var {
	return expvar.Func(func() any {
		return map[string]uint64{
			"sent": f.sent.Load(), "repeated": f.repeated.Load(), "missed": f.missed.Load(), "uncounted": f.uncounted.Load(),
		}
	})
}
