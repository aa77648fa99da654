package tpadmission

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// DefaultWindow is the limit of requests in flight if Settings.Window is
	// not positive.
	DefaultWindow = 1024
	// DefaultMaxQueued is the limit of waiting requests if Settings.MaxQueued
	// is not positive.
	DefaultMaxQueued = 4096
	// RetryAfter is the shortest retry delay that a refusal advises.
	RetryAfter = time.Second
	// reservedWindowDivisor determines the reserved part of the window: the
	// window divided by it is the number of requests that only organisations
	// within their share may use. Without the reserve, their requests wait for
	// the end of another organisation's request when that organisation fills
	// the window.
	reservedWindowDivisor = 5
	// MaxRetryAfter is the longest retry delay that a refusal advises.
	MaxRetryAfter = 30 * time.Second
)

// Settings configures an Admission. New replaces non-positive values of Window,
// MaxQueued and MaxQueuedPerOrganisation by their defaults.
type Settings struct {
	// Window is the maximum number of requests in flight on the node.
	Window int
	// PerTarget is the maximum number of requests in flight for each
	// configured target, divided among the nodes of the region. It can only
	// lower the limit that Window sets. Zero disables it.
	PerTarget int
	// MaxQueued is the maximum number of waiting requests on the node.
	MaxQueued int
	// MaxQueuedPerOrganisation is the maximum number of waiting requests of one
	// organisation on the node. The default is half of MaxQueued, but at least
	// 1.
	MaxQueuedPerOrganisation int
}

// Queue orders the waiting requests and accounts for the usage of
// organisations. One goroutine uses an implementation.
type Queue interface {
	// Push adds a request that arrives at now.
	Push(now time.Time, w tpmessage.Work)
	// Pop removes and returns the next request to serve. It returns false if
	// the queue is empty.
	Pop(now time.Time) (tpmessage.Work, bool)
	// Expire removes the requests whose deadline has passed or whose caller
	// has cancelled, and appends them to dst.
	Expire(now time.Time, dst []tpmessage.Work) []tpmessage.Work
	// Evict removes and returns a waiting request to make room for one of the
	// given organisation. It returns false if no waiting request should make
	// room for it.
	Evict(organisation string) (tpmessage.Work, bool)
	// NextWithinShare reports whether the next request to serve belongs to an
	// organisation whose recent usage is within its share.
	NextWithinShare(now time.Time) bool
	// Len returns the number of waiting requests.
	Len() int
	// Position returns the position that the organisation's next request would
	// have at now.
	Position(now time.Time, organisation string) Position
	// Settle records the cost that the completion of an attempt reports. After
	// the final completion it replaces the estimated cost of the request.
	Settle(now time.Time, c tpmessage.Completion)
	// ChargePeerUsage charges the usage on other nodes. The counts of a peer
	// are totals since that peer's start.
	ChargePeerUsage(now time.Time, peers []tpmessage.Usage)
	// RetainPeers drops the recorded usage counts of all peers except the given
	// ones.
	RetainPeers(nodes []string)
	// Usage appends this node's usage by organisation to dst, as totals since
	// the node's start.
	Usage(dst []tpmessage.Usage) []tpmessage.Usage
	// SetShares replaces the declared shares of the organisations.
	SetShares(orgs []tpmessage.Organisation)
}

// Position is the position of an organisation's next request in a queue.
type Position struct {
	// Waiting is the number of the organisation's requests in the queue.
	Waiting int
	// CostAhead is an upper bound on the cost, in prefilled pieces, that the
	// node serves before the organisation's next request.
	CostAhead float64
	// OverShare is true if the organisation has more of the backlog than its
	// share among the organisations that wait, or if its recent usage exceeds
	// its share.
	OverShare bool
}

// Kind determines which field of an Input is used.
type Kind uint8

// InputArrival uses the field Work, InputCompletion uses Completion,
// InputConfig uses Snapshot, InputUsage uses Usage, and InputNodes uses Nodes.
// InputTick uses none.
const (
	InputArrival Kind = iota
	InputCompletion
	InputConfig
	InputTick
	InputUsage
	InputNodes
)

// Input is a message to the admission filter.
type Input struct {
	Kind       Kind
	Work       tpmessage.Work
	Completion tpmessage.Completion
	Snapshot   *tpmessage.Snapshot
	Usage      []tpmessage.Usage // totals of peers, each since its node's start
	Nodes      []string          // names of the region's live nodes
}

// Output is the decision to admit or to refuse one request.
type Output struct {
	Work    tpmessage.Work
	Refusal *tpmessage.Refusal // nil if admitted
}

// Admission decides which requests go on to the router. It belongs to one
// filter and is not safe for concurrent use.
type Admission[Q Queue] struct {
	cfg           Settings
	queue         Q
	inFlight      int
	window        int // limit of requests in flight at present
	targets       int // number of configured targets
	nodes         int // number of live nodes of the region
	rate          ServiceRate
	service       [tpmessage.KindServiceCall + 1]serviceTime // by tpmessage.Kind
	admission     map[string]admission                       // by request ID
	expiredBuffer []tpmessage.Work
}

// New returns an Admission that holds waiting requests in queue, which must be
// empty.
func New[Q Queue](cfg Settings, queue Q) *Admission[Q] {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = DefaultMaxQueued
	}
	if cfg.MaxQueuedPerOrganisation <= 0 {
		cfg.MaxQueuedPerOrganisation = max(1, cfg.MaxQueued/2)
	}
	return &Admission[Q]{cfg: cfg, queue: queue, window: cfg.Window, nodes: 1, admission: make(map[string]admission)}
}

// Step processes one input and appends the resulting decisions to dst.
func (a *Admission[Q]) Step(now time.Time, in Input, dst []Output) []Output {
	hadBacklog := a.queue.Len() > 0
	switch in.Kind {
	case InputArrival:
		dst = a.handleArrival(now, in.Work, dst)
	case InputCompletion:
		a.handleCompletion(now, in.Completion)
	case InputConfig:
		a.configure(&in.Snapshot.Config)
	case InputTick:
		dst = a.refuseExpired(now, dst)
	case InputUsage:
		a.queue.ChargePeerUsage(now, in.Usage)
	case InputNodes:
		a.queue.RetainPeers(in.Nodes)
		a.nodes = max(1, len(in.Nodes))
		a.setWindow()
	}
	return a.admitWaiting(now, hadBacklog, dst)
}

// InFlight returns the number of admitted requests whose final completion has
// not arrived.
func (a *Admission[Q]) InFlight() int { return a.inFlight }

// Usage appends this node's usage by organisation to dst, as totals since the
// node's start. A Fair queue sorts them by organisation.
func (a *Admission[Q]) Usage(dst []tpmessage.Usage) []tpmessage.Usage { return a.queue.Usage(dst) }

func (a *Admission[Q]) configure(cfg *tpmessage.Config) {
	a.queue.SetShares(cfg.Organisations)
	a.targets = 0
	for _, p := range cfg.Pools {
		a.targets += len(p.Targets)
	}
	a.setWindow()
}

// setWindow computes the limit of requests in flight. Requests beyond the
// concurrency of the targets would queue inside the targets, which do not
// enforce shares.
func (a *Admission[Q]) setWindow() {
	a.window = a.cfg.Window
	if a.cfg.PerTarget > 0 && a.targets > 0 {
		nodeWindow := (a.cfg.PerTarget*a.targets + a.nodes - 1) / a.nodes
		a.window = min(a.cfg.Window, nodeWindow)
	}
}

func (a *Admission[Q]) handleArrival(now time.Time, w tpmessage.Work, dst []Output) []Output {
	if IsExpired(now, &w) {
		return append(dst, Output{Work: w, Refusal: newNotRunRefusal("the deadline passed before admission", 0)})
	}
	pos := a.queue.Position(now, w.Request.Organisation)
	if pos.Waiting >= a.cfg.MaxQueuedPerOrganisation {
		return append(dst, Output{Work: w, Refusal: a.refuseOverload("the organisation's queue on this node is full", pos)})
	}
	if a.cannotMeetDeadline(now, &w, pos) {
		return append(dst, Output{Work: w, Refusal: a.refuseOverload("the queue ahead cannot be served before the deadline", pos)})
	}
	if a.queue.Len() >= a.cfg.MaxQueued {
		evicted, ok := a.queue.Evict(w.Request.Organisation)
		if !ok {
			return append(dst, Output{Work: w, Refusal: a.refuseOverload("the queue of this node is full", pos)})
		}
		refusal := a.refuseOverload("the queue of this node is full", Position{OverShare: true})
		dst = append(dst, Output{Work: evicted, Refusal: refusal})
	}
	a.queue.Push(now, w)
	return dst
}

// cannotMeetDeadline reports whether the node cannot serve the backlog ahead
// of a request before its deadline at the measured service rate. It returns
// false if the request can be admitted at once or if no rate has been
// measured.
func (a *Admission[Q]) cannotMeetDeadline(now time.Time, w *tpmessage.Work, pos Position) bool {
	if a.hasCapacity(now) {
		return false
	}
	wait, known := a.rate.Duration(pos.CostAhead)
	return known && a.missesDeadline(now.Add(wait), w)
}

// missesDeadline reports whether a request that is admitted at the given time
// is expected to end after its deadline.
func (a *Admission[Q]) missesDeadline(at time.Time, w *tpmessage.Work) bool {
	service := a.service[w.Request.Kind].expected(&w.Request)
	return !at.Add(service).Before(w.Request.Deadline)
}

func (a *Admission[Q]) handleCompletion(now time.Time, c tpmessage.Completion) {
	a.queue.Settle(now, c)
	cost := Cost(c.PrefillPieces, c.DecodePieces)
	if c.Outcome == tpmessage.OutcomeDone {
		cost = max(cost, MinCost)
	}
	a.rate.Observe(now, cost, a.queue.Len() > 0)
	if !c.Final {
		return
	}
	a.inFlight--
	record, ok := a.admission[c.RequestID]
	if ok && c.Outcome == tpmessage.OutcomeDone {
		a.service[record.kind].observe(now.Sub(record.at), record.cost)
	}
	delete(a.admission, c.RequestID)
}

func (a *Admission[Q]) refuseExpired(now time.Time, dst []Output) []Output {
	a.expiredBuffer = a.queue.Expire(now, a.expiredBuffer[:0])
	for _, w := range a.expiredBuffer {
		dst = append(dst, Output{Work: w, Refusal: newNotRunRefusal("the deadline passed in the queue", 0)})
	}
	return dst
}

// admitWaiting admits requests while the window has capacity. hadBacklog is
// true if requests were waiting before this step; then a request is refused if
// it is expected to miss its deadline.
func (a *Admission[Q]) admitWaiting(now time.Time, hadBacklog bool, dst []Output) []Output {
	for a.hasCapacity(now) {
		w, ok := a.queue.Pop(now)
		if !ok {
			return dst
		}
		if refusal := a.refuseIfLate(now, hadBacklog, &w); refusal != nil {
			a.queue.Settle(now, tpmessage.Completion{
				RequestID: w.Request.ID, Organisation: w.Request.Organisation,
				Final: true, Outcome: tpmessage.OutcomeNotSent,
			})
			dst = append(dst, Output{Work: w, Refusal: refusal})
			continue
		}
		a.inFlight++
		a.admission[w.Request.ID] = admission{at: now, cost: Cost(estimate(&w.Request)), kind: w.Request.Kind}
		dst = append(dst, Output{Work: w})
	}
	return dst
}

// refuseIfLate returns a refusal if a request that leaves the queue has
// expired, or if it has waited and is expected to miss its deadline. Otherwise
// it returns nil.
func (a *Admission[Q]) refuseIfLate(now time.Time, wasQueued bool, w *tpmessage.Work) *tpmessage.Refusal {
	if IsExpired(now, w) {
		return newNotRunRefusal("the deadline passed in the queue", 0)
	}
	if wasQueued && a.missesDeadline(now, w) {
		return a.refuseOverload("too little time was left after the queue", a.queue.Position(now, w.Request.Organisation))
	}
	return nil
}

func (a *Admission[Q]) hasCapacity(now time.Time) bool {
	if a.inFlight < a.window-a.window/reservedWindowDivisor {
		return true
	}
	return a.inFlight < a.window && a.queue.NextWithinShare(now)
}

// refuseOverload returns a refusal for a request that the node cannot serve in
// time. The retry delay is the expected time to serve the backlog ahead.
func (a *Admission[Q]) refuseOverload(reason string, pos Position) *tpmessage.Refusal {
	wait, _ := a.rate.Duration(pos.CostAhead)
	refusal := newNotRunRefusal(reason, wait)
	if pos.OverShare {
		refusal.Code = tpmessage.RefusalOverShare
	}
	return refusal
}

func newNotRunRefusal(reason string, wait time.Duration) *tpmessage.Refusal {
	return &tpmessage.Refusal{
		Code:       tpmessage.RefusalNotRun,
		Reason:     reason,
		RetryAfter: min(max(wait, RetryAfter), MaxRetryAfter),
		NotRun:     true,
	}
}
