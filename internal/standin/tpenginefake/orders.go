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

// Paths that a simulated engine has and a real engine lacks.
const (
	PathOrderLog    = "/orders/log"    // GET returns a list of OrderEvent
	PathOrderFaults = "/orders/faults" // PUT replaces the OrderFaults
)

// OrderSettings configures how an engine accepts orders. With the zero value,
// the engine checks no fencing number, waits for a body without a timeout and
// completes a change at once.
type OrderSettings struct {
	InitialState tpmessage.EngineState // initial state, also after a crash
	// ChecksFencing makes the engine refuse an order whose fencing number is
	// lower than the highest one that it has accepted. A crash does not reset
	// the highest fencing number.
	ChecksFencing bool
	// ReadTimeout bounds the time from 100 Continue to the end of the body; 0
	// means no timeout.
	ReadTimeout time.Duration
	// ChangeTime is the duration of a change, in which the engine refuses
	// streams.
	ChangeTime time.Duration
	Faults     OrderFaults
}

// OrderFaults is the set of order faults that a test injects. Durations are in
// nanoseconds in JSON.
type OrderFaults struct {
	// ContinueDelay is the time from the header of an order to 100 Continue.
	ContinueDelay time.Duration `json:"continueDelay"`
	// CrashChanges is the number of next changes during which the engine
	// crashes. A crash resets its state and the number of the last order.
	CrashChanges int `json:"crashChanges"`
}

// Values of OrderEvent.Kind.
const (
	OrderHeaderReceived = "head"      // the header of an order arrived
	OrderDiscarded      = "discarded" // the body was incomplete, invalid or too late
	OrderFenced         = "fenced"    // the fencing number was too low
	OrderRepeat         = "repeat"    // the last applied order arrived again
	OrderApplied        = "applied"   // the change started
	OrderDone           = "done"      // the change completed
	OrderCrash          = "crash"     // the engine crashed during the change
)

// OrderEvent is one entry of the engine's own history of orders.
type OrderEvent struct {
	At               time.Time       `json:"at"`
	Kind             string          `json:"kind"`
	Order            tpmessage.Order `json:"order"` // zero for OrderHeaderReceived
	ChangeInProgress bool            `json:"busy"`  // another change was in progress
	CutStreams       int             `json:"cut"`   // number of streams that the change cut
}

// Orders is an HTTP handler that adds the order interface to an engine.
type Orders struct {
	cfg           OrderSettings
	engine        *Engine
	engineHandler http.Handler

	mu             sync.Mutex
	faults         OrderFaults
	state          tpmessage.EngineState
	lastOrder      tpmessage.Order // last applied order since the last crash
	highestFencing uint64
	activeChange   uint64 // number of the change in progress, from 1; 0 means none
	changeCount    uint64
	activeStreams  map[*http.ResponseController]bool
	history        []OrderEvent
}

// NewOrders returns a handler that serves orders and passes other requests to
// the engine. It refuses generate requests while a change is in progress. An
// empty role in cfg.InitialState means tpmessage.RoleMixed.
func NewOrders(cfg OrderSettings, e *Engine) *Orders {
	if cfg.InitialState.Role == "" {
		cfg.InitialState.Role = tpmessage.RoleMixed
	}
	o := &Orders{
		cfg: cfg, engine: e, engineHandler: e.Handler(), faults: cfg.Faults, state: cfg.InitialState,
		activeStreams: make(map[*http.ResponseController]bool),
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
		o.engineHandler.ServeHTTP(w, r)
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

// serveStream runs a stream, or refuses it while a change is in progress.
func (o *Orders) serveStream(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	o.mu.Lock()
	if o.activeChange != 0 {
		o.mu.Unlock()
		w.Header().Set(tptarget.HeaderRequestID, r.Header.Get(tptarget.HeaderRequestID))
		w.Header().Set(tptarget.HeaderNotRun, "true")
		http.Error(w, "a change is in progress", http.StatusServiceUnavailable)
		return
	}
	o.activeStreams[rc] = true
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.activeStreams, rc)
	}()
	o.engineHandler.ServeHTTP(w, r)
}

func (o *Orders) serveOrder(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	delay := o.faults.ContinueDelay
	o.recordEvent(OrderHeaderReceived, tpmessage.Order{}, 0)
	o.mu.Unlock()
	time.Sleep(delay) // injected fault: delays 100 Continue
	order, err := o.readOrder(w, r)
	if err != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.recordEvent(OrderDiscarded, order, 0)
		http.Error(w, "order discarded: "+err.Error(), http.StatusRequestTimeout)
		return
	}
	if !o.apply(order) {
		http.Error(w, "a newer order was taken up", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// readOrder reads the body of an order. If the sender waits for 100 Continue,
// the first read sends it, and the read timeout starts there.
func (o *Orders) readOrder(w http.ResponseWriter, r *http.Request) (tpmessage.Order, error) {
	var order tpmessage.Order
	start := time.Now()
	if o.cfg.ReadTimeout > 0 {
		rc := http.NewResponseController(w)
		if err := rc.SetReadDeadline(start.Add(o.cfg.ReadTimeout)); err != nil {
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
	if o.cfg.ReadTimeout > 0 && time.Since(start) > o.cfg.ReadTimeout {
		return order, http.ErrHandlerTimeout
	}
	return order, nil
}

// apply starts the change to the state that an order requests. A repeat of the
// last order starts no change. apply returns false if the fencing check refuses
// the order.
func (o *Orders) apply(order tpmessage.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cfg.ChecksFencing && order.Fencing < o.highestFencing {
		o.recordEvent(OrderFenced, order, 0)
		return false
	}
	o.highestFencing = max(o.highestFencing, order.Fencing)
	if order.Number == o.lastOrder.Number && order.Want == o.lastOrder.Want {
		o.recordEvent(OrderRepeat, order, 0)
		return true
	}
	cutCount := o.cutStreams()
	o.recordEvent(OrderApplied, order, cutCount)
	o.lastOrder = order
	o.changeCount++
	o.activeChange = o.changeCount
	change := o.changeCount
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
	if o.activeChange == change {
		o.activeChange = 0
	}
	if crash {
		o.state, o.lastOrder = o.cfg.InitialState, tpmessage.Order{}
		o.recordEvent(OrderCrash, order, 0)
		return
	}
	o.state = order.Want
	role := order.Want.Role
	o.engine.role.Store(&role)
	o.recordEvent(OrderDone, order, 0)
}

// cutStreams ends the streams in progress and returns their number. The caller
// holds mu.
func (o *Orders) cutStreams() int {
	for rc := range o.activeStreams {
		_ = rc.SetWriteDeadline(time.Now())
	}
	return len(o.activeStreams)
}

// recordEvent appends an event to the history. The caller holds mu.
func (o *Orders) recordEvent(kind string, order tpmessage.Order, cutCount int) {
	o.history = append(o.history, OrderEvent{At: time.Now(), Kind: kind, Order: order, ChangeInProgress: o.activeChange != 0, CutStreams: cutCount})
}

func (o *Orders) status() tptarget.EngineStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return tptarget.EngineStatus{
		State: o.state, Number: o.lastOrder.Number, Fencing: o.lastOrder.Fencing, Busy: o.activeChange != 0,
	}
}

func (o *Orders) events() []OrderEvent {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]OrderEvent{}, o.history...)
}
