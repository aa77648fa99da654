package tpadmission

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DefaultWindow is the number of requests in flight if Settings say none.
	DefaultWindow = 1024
	// DefaultMaxQueued is the number of waiting requests if Settings say none.
	DefaultMaxQueued = 4096
	// RetryAfter is the least advice given with a refusal in overload.
	RetryAfter = time.Second
	// reservedPart is the divisor for the part of the window that only work
	// within its organisation's share may use. Without it such work waits for
	// the end of a rival's request when a rival fills the window.
	reservedPart = 5
	// MaxRetryAfter is the largest advice given with a refusal in overload.
	MaxRetryAfter = 30 * time.Second
)

// Settings configures an Admission. The zero value is the default.
type Settings struct {
	// Window is the number of requests that may be in flight.
	Window int
	// PerTarget lowers Window to the node's part of so many requests for each
	// target of the configuration. Zero leaves Window as it is.
	PerTarget int
	// MaxQueued is the number of requests that may wait.
	MaxQueued int
	// MaxOrganisation is the number of requests of one organisation that may
	// wait, half of MaxQueued by default.
	MaxOrganisation int
}

// Queue orders waiting work. Implementations are used by one goroutine.
type Queue interface {
	// Push adds work at an instant.
	Push(now time.Time, w tpmessage.Work)
	// Pop removes the work to serve next.
	Pop(now time.Time) (tpmessage.Work, bool)
	// Expire removes the work whose deadline has passed or whose caller is
	// gone, and appends it to dst.
	Expire(now time.Time, dst []tpmessage.Work) []tpmessage.Work
	// Evict removes work to make room for an organisation's request, or
	// returns false if that organisation has no better claim to the room.
	Evict(organisation string) (tpmessage.Work, bool)
	// Within reports whether the work to serve next is of an organisation that
	// is within its recent share.
	Within(now time.Time) bool
	// Len returns the number of waiting requests.
	Len() int
	// Standing returns what the queue means to an organisation's next request.
	Standing(now time.Time, organisation string) Standing
	// Settle corrects the accounts by the work that a request really took.
	Settle(now time.Time, c tpmessage.Completion)
	// Charge adds peers' usage since their start to the accounts.
	Charge(now time.Time, peers []tpmessage.Usage)
	// Retain forgets the usage of peers other than the given ones.
	Retain(nodes []string)
	// Usage appends this node's own usage since its start to dst.
	Usage(dst []tpmessage.Usage) []tpmessage.Usage
	// SetShares replaces the promised shares.
	SetShares(orgs []tpmessage.Organisation)
}

// Standing is an organisation's position in a queue.
type Standing struct {
	// Waiting is the number of the organisation's requests in the queue.
	Waiting int
	// Ahead is the cost, in the unit of Cost, that the node serves at most
	// before the organisation's next request.
	Ahead float64
	// OverShare is true if the organisation holds more of the waiting work
	// than its share among the organisations that wait, or has used more than
	// its share recently.
	OverShare bool
}

// Kind tells what an Input holds.
type Kind uint8

// Kinds of inputs.
const (
	InputArrival Kind = iota
	InputCompletion
	InputConfig
	InputTick
	InputUsage
	InputNodes
)

// Input is one message to the admission filter.
type Input struct {
	Kind       Kind
	Work       tpmessage.Work
	Completion tpmessage.Completion
	Snapshot   *tpmessage.Snapshot
	Usage      []tpmessage.Usage // of peers, each since its node's start
	Nodes      []string          // names of the live nodes of the region
}

// Output is one decision: admit the work, or refuse it.
type Output struct {
	Work    tpmessage.Work
	Refusal *tpmessage.Refusal // nil if admitted
}

// Admission decides which work goes on. It belongs to one filter.
type Admission[Q Queue] struct {
	cfg      Settings
	queue    Q
	inFlight int
	window   int // in force
	targets  int
	nodes    int
	rate     Rate
	service  [tpmessage.KindCall + 1]serviceTime
	admitted map[string]admitted // by request identity
	expired  []tpmessage.Work
}

// New returns an admission decision over an empty queue.
func New[Q Queue](cfg Settings, queue Q) *Admission[Q] {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = DefaultMaxQueued
	}
	if cfg.MaxOrganisation <= 0 {
		cfg.MaxOrganisation = max(1, cfg.MaxQueued/2)
	}
	return &Admission[Q]{cfg: cfg, queue: queue, window: cfg.Window, nodes: 1, admitted: make(map[string]admitted)}
}

// Step takes one input and appends the decisions that follow to dst.
func (a *Admission[Q]) Step(now time.Time, in Input, dst []Output) []Output {
	queued := a.queue.Len() > 0
	switch in.Kind {
	case InputArrival:
		dst = a.arrive(now, in.Work, dst)
	case InputCompletion:
		a.complete(now, in.Completion)
	case InputConfig:
		a.configure(&in.Snapshot.Config)
	case InputTick:
		dst = a.expire(now, dst)
	case InputUsage:
		a.queue.Charge(now, in.Usage)
	case InputNodes:
		a.queue.Retain(in.Nodes)
		a.nodes = max(1, len(in.Nodes))
		a.setWindow()
	}
	return a.release(now, queued, dst)
}

// InFlight returns the number of admitted requests without a final completion.
func (a *Admission[Q]) InFlight() int { return a.inFlight }

// Usage appends this node's own usage since its start to dst, ordered by
// organisation.
func (a *Admission[Q]) Usage(dst []tpmessage.Usage) []tpmessage.Usage { return a.queue.Usage(dst) }

func (a *Admission[Q]) configure(cfg *tpmessage.Config) {
	a.queue.SetShares(cfg.Organisations)
	a.targets = 0
	for _, p := range cfg.Pools {
		a.targets += len(p.Targets)
	}
	a.setWindow()
}

// setWindow computes the window in force. Requests beyond what the targets run
// at a time would queue in the targets, where no share holds.
func (a *Admission[Q]) setWindow() {
	a.window = a.cfg.Window
	if a.cfg.PerTarget > 0 && a.targets > 0 {
		part := (a.cfg.PerTarget*a.targets + a.nodes - 1) / a.nodes
		a.window = min(a.cfg.Window, part)
	}
}

func (a *Admission[Q]) arrive(now time.Time, w tpmessage.Work, dst []Output) []Output {
	if IsExpired(now, &w) {
		return append(dst, Output{Work: w, Refusal: notRun("the deadline passed before admission", 0)})
	}
	st := a.queue.Standing(now, w.Request.Organisation)
	if st.Waiting >= a.cfg.MaxOrganisation {
		return append(dst, Output{Work: w, Refusal: a.overload("the organisation's queue on this node is full", st)})
	}
	if a.cannotMeet(now, &w, st) {
		return append(dst, Output{Work: w, Refusal: a.overload("the queue ahead cannot be served before the deadline", st)})
	}
	if a.queue.Len() >= a.cfg.MaxQueued {
		evicted, ok := a.queue.Evict(w.Request.Organisation)
		if !ok {
			return append(dst, Output{Work: w, Refusal: a.overload("the queue of this node is full", st)})
		}
		ref := a.overload("the queue of this node is full", Standing{OverShare: true})
		dst = append(dst, Output{Work: evicted, Refusal: ref})
	}
	a.queue.Push(now, w)
	return dst
}

// cannotMeet reports whether the measured service rate is too low for the
// queue ahead to be served before the deadline.
func (a *Admission[Q]) cannotMeet(now time.Time, w *tpmessage.Work, st Standing) bool {
	if a.hasRoom(now) {
		return false
	}
	wait, known := a.rate.Duration(st.Ahead)
	return known && a.tooLate(now.Add(wait), w)
}

// tooLate reports whether work that is admitted at an instant is expected to
// end after its deadline.
func (a *Admission[Q]) tooLate(at time.Time, w *tpmessage.Work) bool {
	service := a.service[w.Request.Kind].expect(&w.Request)
	return !at.Add(service).Before(w.Request.Deadline)
}

func (a *Admission[Q]) complete(now time.Time, c tpmessage.Completion) {
	a.queue.Settle(now, c)
	cost := Cost(c.PrefillPieces, c.DecodePieces)
	if c.Outcome == tpmessage.OutcomeDone {
		cost = max(cost, MinCost)
	}
	a.rate.Done(now, cost, a.queue.Len() > 0)
	if !c.Final {
		return
	}
	a.inFlight--
	ad, ok := a.admitted[c.RequestID]
	if ok && c.Outcome == tpmessage.OutcomeDone {
		a.service[ad.kind].measure(now.Sub(ad.at), ad.cost)
	}
	delete(a.admitted, c.RequestID)
}

func (a *Admission[Q]) expire(now time.Time, dst []Output) []Output {
	a.expired = a.queue.Expire(now, a.expired[:0])
	for _, w := range a.expired {
		dst = append(dst, Output{Work: w, Refusal: notRun("the deadline passed in the queue", 0)})
	}
	return dst
}

// release admits work while the window has room. Work that has queued is
// refused if too little of its time is left.
func (a *Admission[Q]) release(now time.Time, queued bool, dst []Output) []Output {
	for a.hasRoom(now) {
		w, ok := a.queue.Pop(now)
		if !ok {
			return dst
		}
		if ref := a.late(now, queued, &w); ref != nil {
			a.queue.Settle(now, tpmessage.Completion{
				RequestID: w.Request.ID, Organisation: w.Request.Organisation,
				Final: true, Outcome: tpmessage.OutcomeNotSent,
			})
			dst = append(dst, Output{Work: w, Refusal: ref})
			continue
		}
		a.inFlight++
		a.admitted[w.Request.ID] = admitted{at: now, cost: Cost(estimate(&w.Request)), kind: w.Request.Kind}
		dst = append(dst, Output{Work: w})
	}
	return dst
}

// late refuses work that has left the queue too late.
func (a *Admission[Q]) late(now time.Time, queued bool, w *tpmessage.Work) *tpmessage.Refusal {
	if IsExpired(now, w) {
		return notRun("the deadline passed in the queue", 0)
	}
	if queued && a.tooLate(now, w) {
		return a.overload("too little time was left after the queue", a.queue.Standing(now, w.Request.Organisation))
	}
	return nil
}

func (a *Admission[Q]) hasRoom(now time.Time) bool {
	if a.inFlight < a.window-a.window/reservedPart {
		return true
	}
	return a.inFlight < a.window && a.queue.Within(now)
}

// overload refuses work that the node cannot serve in time.
func (a *Admission[Q]) overload(reason string, st Standing) *tpmessage.Refusal {
	wait, _ := a.rate.Duration(st.Ahead)
	ref := notRun(reason, wait)
	if st.OverShare {
		ref.Code = tpmessage.RefusalOverShare
	}
	return ref
}

func notRun(reason string, wait time.Duration) *tpmessage.Refusal {
	return &tpmessage.Refusal{
		Code:       tpmessage.RefusalNotRun,
		Reason:     reason,
		RetryAfter: min(max(wait, RetryAfter), MaxRetryAfter),
		NotRun:     true,
	}
}
