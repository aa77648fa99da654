package tpguestfake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that a Server injects into one request.
type Fault string

// Faults of a Server. The zero value injects none.
const (
	FaultNone         Fault = ""
	FaultNotRun       Fault = "shed"    // answers 503 and does not run the request
	FaultCut          Fault = "cut"     // runs, then aborts the connection in the middle of the answer
	FaultLostAnswer   Fault = "lost"    // runs, then aborts the connection without an answer
	FaultForeign      Fault = "foreign" // answers with the ID and the body of another request
	FaultError        Fault = "error"   // answers 500
	FaultSilent       Fault = "silent"  // never answers
	FaultMissingStamp Fault = "bare"    // leaves the response stamp out of the answer
)

// Arrival is a request that has reached a Server.
type Arrival struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   string
	Run    bool // the server ran the request; false for prefill and refused requests
	At     time.Time
	// NamesLimit is true if the header of the answer names a limit.
	NamesLimit bool
	// Ended is the end of the exchange, or zero while it is in progress.
	// CallerLeft is true if the caller closed the connection before it.
	Ended      time.Time
	CallerLeft bool
}

// Server simulates a model engine or a plain service. Its exported fields must
// be set before use. An accepted order changes Stage.
type Server struct {
	ID               string          // instance ID
	Stage            string          // prefill, decode, or empty for a plain service
	EventsPerStream  int             // number of events of a whole stream; 0 means answers that aren't streams
	EventInterval    time.Duration   // pause after each event
	HoldAnswersUntil <-chan struct{} // if not nil, answers wait until it is closed
	RefuseOrders     bool            // answers each order with 409, so that Stage does not change
	CrashPart        string          // if not empty, an answer to a prompt with this part crashes the server; see ListenRestarting
	CrashPath        string          // if not empty, a request whose URI begins with it crashes the server; see ListenRestarting
	CrashTenant      string          // if not empty, an answer to a request of this organisation crashes the server
	CrashDark        bool            // a crash closes no connection, as a loss of power does
	CrashInAnswer    bool            // a crash comes in the middle of the answer, of a stream in the second event

	mu             sync.Mutex
	arrivals       []Arrival
	faults         []Fault   // of the next requests
	silences       []Silence // of the next requests
	silentUntil    time.Time
	leaving        bool
	retryAfter     string
	limit          []string // values of Server-Limit
	limitPeriod    int      // one in so many answers names the limit
	limitAnswers   int      // answers since the limit was set
	limitNamed     []time.Time
	limitChanges   []LimitChange
	kvHandles      map[string]bool
	orderCount     uint64
	acceptedOrders []map[string]any
	crash          func() // set by ListenRestarting
	crashes        []time.Time
}

// QueueFaults queues faults. Each of the next requests takes one.
func (s *Server) QueueFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// SetLeaving sets whether all answers say that the server is leaving. It goes on
// serving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// SetRetryAfter makes the server refuse each request with 503 and the given
// Retry-After header, in seconds. An empty text ends the refusals.
func (s *Server) SetRetryAfter(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = text
}

// Crash crashes a server of ListenRestarting for a reason of its own.
func (s *Server) Crash() { s.crash() }

// Arrivals returns the requests that have reached the server, oldest first.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Orders returns the bodies of the accepted orders, oldest first.
func (s *Server) Orders() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]map[string]any(nil), s.acceptedOrders...)
}

// KVHandleCount returns the number of KV handles that the server holds. A
// prefill request adds one, and any DELETE request removes them all.
func (s *Server) KVHandleCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kvHandles)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case r.URL.Path == "/teaselpin/report":
		answer(w, http.StatusOK, map[string]any{"stage": s.currentStage(), "busy": false, "sequence": s.currentSequence()})
	case r.URL.Path == "/teaselpin/order":
		s.serveOrder(w, r)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		clear(s.kvHandles)
		s.mu.Unlock()
	default:
		s.addLimit(w.Header())
		s.serveRequest(w, r)
	}
}

func (s *Server) currentStage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Stage
}

func (s *Server) currentSequence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orderCount
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o map[string]any
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected, ok := o["expected"].(float64); s.RefuseOrders || ok && uint64(expected) != s.orderCount {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.orderCount++
	s.acceptedOrders = append(s.acceptedOrders, o)
	s.Stage, _ = o["stage"].(string)
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	silence := s.takeSilence()
	s.pause(r.Context(), SilenceBeforeBody, silence)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller left before the end of the request
	}
	prefill := r.Header.Get("X-Teaselpin-Stage") == "prefill"
	s.mu.Lock()
	fault := FaultNone
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	retryAfter := s.retryAfter
	if retryAfter != "" {
		fault = FaultNotRun
	}
	expectedInstance := r.Header.Get("X-Teaselpin-Expect-Instance")
	run := fault != FaultNotRun && (expectedInstance == "" || expectedInstance == s.ID) && !prefill
	index := len(s.arrivals)
	s.arrivals = append(s.arrivals, Arrival{
		ID: r.Header.Get("X-Teaselpin-Request-Id"), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: r.Header.Clone(), Body: string(body), Run: run, At: time.Now(),
		NamesLimit: len(w.Header().Values(headerLimit)) > 0,
	})
	s.mu.Unlock()
	defer s.recordEnd(r, index)
	id := r.Header.Get("X-Teaselpin-Request-Id")
	if fault == FaultForeign {
		id, body = "another", []byte("another")
	}
	w.Header().Set("X-Teaselpin-Request-Id", id)
	switch {
	case expectedInstance != "" && expectedInstance != s.ID:
		w.Header().Set("X-Teaselpin-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case fault == FaultNotRun:
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.Header().Set("X-Teaselpin-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == FaultLostAnswer:
		panic(http.ErrAbortHandler)
	case fault == FaultSilent:
		<-r.Context().Done()
		return
	}
	if s.HoldAnswersUntil != nil {
		<-s.HoldAnswersUntil
	}
	s.pause(r.Context(), SilenceBeforeHead, silence)
	if prefill {
		s.prefill(w, id)
		return
	}
	if s.crashesAt(r) {
		if s.CrashInAnswer {
			s.beginAnswer(w, id)
		}
		time.Sleep(crashDelay) // injected fault: works on the request before it crashes
		s.crash()
		if s.CrashDark {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	if fault != FaultMissingStamp {
		w.Header().Set("X-Teaselpin-Response-Stamp", s.ID+"."+id)
	}
	if fault == FaultError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.EventsPerStream == 0 {
		s.writeAnswer(w, r, string(body), fault, silence)
		return
	}
	s.writeEvents(w, r, fault, silence)
}

func (s *Server) crashesAt(r *http.Request) bool {
	return s.CrashPart != "" && strings.Contains(r.Header.Get("X-Teaselpin-Prefix-Hash"), s.CrashPart+":") ||
		s.CrashPath != "" && strings.HasPrefix(r.RequestURI, s.CrashPath) ||
		s.CrashTenant != "" && r.Header.Get("X-Teaselpin-Tenant") == s.CrashTenant
}

// beginAnswer writes the part of an answer that comes before a crash.
func (s *Server) beginAnswer(w http.ResponseWriter, id string) {
	w.Header().Set("X-Teaselpin-Response-Stamp", s.ID+"."+id)
	if s.EventsPerStream > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 0\ndata: piece 0\n\nid: 1\nda")
	} else {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "answer to ")
	}
	_ = http.NewResponseController(w).Flush()
}

func (s *Server) recordEnd(r *http.Request, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[index].Ended, s.arrivals[index].CallerLeft = time.Now(), r.Context().Err() != nil
}

func (s *Server) prefill(w http.ResponseWriter, id string) {
	s.mu.Lock()
	if s.kvHandles == nil {
		s.kvHandles = make(map[string]bool)
	}
	s.kvHandles[id] = true
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"handle": "h" + id, "tokens": 1, "version": 1})
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, body string, fault Fault, silence Silence) {
	text := "answer to " + body
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text[:len(text)/2])
	if fault == FaultCut || silence.Point == SilenceInBody {
		_ = http.NewResponseController(w).Flush()
	}
	if fault == FaultCut {
		panic(http.ErrAbortHandler)
	}
	s.pause(r.Context(), SilenceInBody, silence)
	_, _ = io.WriteString(w, text[len(text)/2:])
}

// writeEvents writes the events after the request's Last-Event-ID. FaultCut
// aborts the connection in the middle of an event.
func (s *Server) writeEvents(w http.ResponseWriter, r *http.Request, fault Fault, silence Silence) {
	first := 0
	if lastID, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = lastID + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	if silence.Point == SilenceBeforeFirstEvent {
		_ = rc.Flush()
	}
	s.pause(r.Context(), SilenceBeforeFirstEvent, silence)
	middle := (first + s.EventsPerStream) / 2
	for i := first; i < s.EventsPerStream; i++ {
		point := SilenceNone
		if i == middle {
			point = silence.Point
		}
		if point == SilenceBetweenEvents {
			s.pause(r.Context(), SilenceBetweenEvents, silence)
		}
		if r.Context().Err() != nil {
			return
		}
		if fault == FaultCut && i >= middle {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\nda", i)
		if point == SilenceInEvent {
			_ = rc.Flush()
			s.pause(r.Context(), SilenceInEvent, silence)
		}
		_, _ = fmt.Fprintf(w, "ta: piece %d\n\n", i)
		_ = rc.Flush()
		if s.EventInterval > 0 {
			time.Sleep(s.EventInterval) // pace of the simulated engine
		}
		s.pause(r.Context(), SilenceNone, Silence{}) // while the whole server is silent
	}
	s.pause(r.Context(), SilenceBeforeEnd, silence)
}
