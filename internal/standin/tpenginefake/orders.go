package tpenginefake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Paths that only the stand-in has.
const (
	PathOrderLog    = "/orders/log"    // GET, answered by a list of OrderEvent
	PathOrderFaults = "/orders/faults" // PUT OrderFaults
)

// OrderSettings configures how an engine takes orders. The zero value checks
// no fencing number, waits without bound for a body and changes at once.
type OrderSettings struct {
	State tpmessage.EngineState // after each start
	// ChecksFencing makes the engine refuse an order with an older fencing
	// number. The highest fencing number outlives a crash.
	ChecksFencing bool
	// ReadTimeout bounds the time from 100 Continue to the end of the body.
	ReadTimeout time.Duration
	// ChangeTime is the time that a change takes the engine away.
	ChangeTime time.Duration
	Faults     OrderFaults
}

// OrderFaults are the faults on command.
type OrderFaults struct {
	// ContinueDelay is the time from the head of an order to 100 Continue.
	ContinueDelay time.Duration `json:"continueDelay"`
	// CrashChanges is the number of next changes in the middle of which the
	// engine crashes. It then forgets its state and the order's number.
	CrashChanges int `json:"crashChanges"`
}

// Kinds of order events.
const (
	OrderHead      = "head"      // the head of an order arrived
	OrderDiscarded = "discarded" // the body did not arrive in time
	OrderFenced    = "fenced"    // refused for its fencing number
	OrderRepeat    = "repeat"    // the order that was applied last came again
	OrderApplied   = "applied"   // the change began
	OrderDone      = "done"      // the change ended
	OrderCrash     = "crash"     // the engine crashed in the change
)

// OrderEvent is one entry of the engine's own history.
type OrderEvent struct {
	At    time.Time       `json:"at"`
	Kind  string          `json:"kind"`
	Order tpmessage.Order `json:"order"`
	Busy  bool            `json:"busy"` // another change was in progress
	Cut   int             `json:"cut"`  // streams that the change cut
}

// Orders adds the order interface to an engine's handler.
type Orders struct {
	cfg    OrderSettings
	engine *Engine
	next   http.Handler

	mu      sync.Mutex
	faults  OrderFaults
	state   tpmessage.EngineState
	last    tpmessage.Order // taken up since the last crash
	fencing uint64
	busy    uint64 // number of the change in progress, counted from 1
	changes uint64
	streams map[*http.ResponseController]bool
	log     []OrderEvent
}

// NewOrders returns a handler that serves orders, and passes everything else
// on to the engine while no change takes it away.
func NewOrders(cfg OrderSettings, e *Engine) *Orders {
	if cfg.State.Role == "" {
		cfg.State.Role = tpmessage.RoleMixed
	}
	o := &Orders{
		cfg: cfg, engine: e, next: e.Handler(), faults: cfg.Faults, state: cfg.State,
		streams: make(map[*http.ResponseController]bool),
	}
	e.role.Store(&o.state.Role)
	return o
}

// ServeHTTP implements http.Handler.
func (o *Orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST " + tptarget.PathOrders:
		o.serveOrder(w, r)
	case "GET " + tptarget.PathState:
		writeJSON(w, o.status())
	case "GET " + PathOrderLog:
		writeJSON(w, o.events())
	case "PUT " + PathOrderFaults:
		o.setFaults(w, r)
	case "POST " + tptarget.PathGenerate:
		o.serveStream(w, r)
	default:
		o.next.ServeHTTP(w, r)
	}
}

func (o *Orders) setFaults(w http.ResponseWriter, r *http.Request) {
	var f OrderFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// serveStream runs a stream unless a change has taken the engine away.
func (o *Orders) serveStream(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	o.mu.Lock()
	if o.busy != 0 {
		o.mu.Unlock()
		w.Header().Set(tptarget.HeaderRefused, "true")
		http.Error(w, "a change is in progress", http.StatusServiceUnavailable)
		return
	}
	o.streams[rc] = true
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.streams, rc)
	}()
	o.next.ServeHTTP(w, r)
}

func (o *Orders) serveOrder(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	delay := o.faults.ContinueDelay
	o.record(OrderHead, tpmessage.Order{}, 0)
	o.mu.Unlock()
	time.Sleep(delay) // a fault on command: 100 Continue comes late
	order, err := o.readOrder(w, r)
	if err != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.record(OrderDiscarded, order, 0)
		http.Error(w, "order discarded: "+err.Error(), http.StatusRequestTimeout)
		return
	}
	if !o.apply(order) {
		http.Error(w, "a newer order was taken up", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// readOrder reads the body. Its first read sends 100 Continue if the sender
// waits for it, and the read timeout counts from there.
func (o *Orders) readOrder(w http.ResponseWriter, r *http.Request) (tpmessage.Order, error) {
	var order tpmessage.Order
	began := time.Now()
	if o.cfg.ReadTimeout > 0 {
		rc := http.NewResponseController(w)
		if err := rc.SetReadDeadline(began.Add(o.cfg.ReadTimeout)); err != nil {
			return order, err
		}
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return order, err
	}
	if err := json.Unmarshal(data, &order); err != nil {
		return order, err
	}
	if o.cfg.ReadTimeout > 0 && time.Since(began) > o.cfg.ReadTimeout {
		return order, http.ErrHandlerTimeout
	}
	return order, nil
}

// apply begins the change that an order asks for. It returns false for an
// order that the fencing check refuses.
func (o *Orders) apply(order tpmessage.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cfg.ChecksFencing && order.Fencing < o.fencing {
		o.record(OrderFenced, order, 0)
		return false
	}
	o.fencing = max(o.fencing, order.Fencing)
	if order.Number == o.last.Number && order.Want == o.last.Want {
		o.record(OrderRepeat, order, 0)
		return true
	}
	cut := o.cutStreams()
	o.record(OrderApplied, order, cut)
	o.last = order
	o.changes++
	o.busy = o.changes
	change := o.changes
	crash := o.faults.CrashChanges > 0
	if crash {
		o.faults.CrashChanges--
	}
	time.AfterFunc(o.cfg.ChangeTime, func() { o.finish(change, order, crash) })
	return true
}

func (o *Orders) finish(change uint64, order tpmessage.Order, crash bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy == change {
		o.busy = 0
	}
	if crash {
		o.state, o.last = o.cfg.State, tpmessage.Order{}
		o.record(OrderCrash, order, 0)
		return
	}
	o.state = order.Want
	role := order.Want.Role
	o.engine.role.Store(&role)
	o.record(OrderDone, order, 0)
}

// cutStreams ends the streams in progress. The caller holds mu.
func (o *Orders) cutStreams() int {
	for rc := range o.streams {
		_ = rc.SetWriteDeadline(time.Now())
	}
	return len(o.streams)
}

// record appends to the history. The caller holds mu.
func (o *Orders) record(kind string, order tpmessage.Order, cut int) {
	o.log = append(o.log, OrderEvent{At: time.Now(), Kind: kind, Order: order, Busy: o.busy != 0, Cut: cut})
}

func (o *Orders) status() tptarget.EngineStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return tptarget.EngineStatus{
		State: o.state, Number: o.last.Number, Fencing: o.last.Fencing, Busy: o.busy != 0,
	}
}

func (o *Orders) events() []OrderEvent {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]OrderEvent{}, o.log...)
}
