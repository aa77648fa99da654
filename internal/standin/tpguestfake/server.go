package tpguestfake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is what a server does wrong with a request.
type Fault string

// Faults of a server.
const (
	FaultNone    Fault = ""
	FaultShed    Fault = "shed"    // refuses without running
	FaultCut     Fault = "cut"     // runs, then resets the connection in the answer
	FaultLost    Fault = "lost"    // runs, then resets the connection without an answer
	FaultForeign Fault = "foreign" // answers under another request's identity
	FaultError   Fault = "error"   // answers 500
	FaultSilent  Fault = "silent"  // never answers
	FaultBare    Fault = "bare"    // answers without its digest
)

// Arrival is a request that has reached a server.
type Arrival struct {
	ID     string
	Method string
	URI    string
	Header http.Header
	Body   string
	Run    bool // the server began to work on it
}

// Server is a model engine or a plain service. Its fields are set before use.
type Server struct {
	ID      string
	Stage   string // prefill, decode, or empty for a plain service
	Events  int    // of each stream
	Pause   time.Duration
	Waiting <-chan struct{} // holds answers back until it is closed, if set

	mu       sync.Mutex
	arrivals []Arrival
	faults   []Fault // of the next requests
	handles  map[string]bool
	orders   uint64
	given    []map[string]any
}

// Fail sets the faults of the next requests, one each.
func (s *Server) Fail(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Arrivals returns the requests that have reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Orders returns the bodies of the orders that the server has accepted.
func (s *Server) Orders() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]map[string]any(nil), s.given...)
}

// Handles returns the number of handles that are kept.
func (s *Server) Handles() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.handles)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/teaselpin/report":
		answer(w, http.StatusOK, map[string]any{"stage": s.stage(), "busy": false, "sequence": s.count()})
	case r.URL.Path == "/teaselpin/order":
		s.order(w, r)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		clear(s.handles)
		s.mu.Unlock()
	default:
		s.request(w, r)
	}
}

func (s *Server) stage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Stage
}

func (s *Server) count() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o map[string]any
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected, ok := o["expected"].(float64); ok && uint64(expected) != s.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.orders++
	s.given = append(s.given, o)
	s.Stage, _ = o["stage"].(string)
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	prefill := r.Header.Get("X-Teaselpin-Stage") == "prefill"
	s.mu.Lock()
	fault := FaultNone
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	expect := r.Header.Get("X-Teaselpin-Expect-Instance")
	run := fault != FaultShed && (expect == "" || expect == s.ID) && !prefill
	s.arrivals = append(s.arrivals, Arrival{
		ID: r.Header.Get("X-Teaselpin-Request-Id"), Method: r.Method, URI: r.RequestURI,
		Header: r.Header.Clone(), Body: string(body), Run: run,
	})
	s.mu.Unlock()
	id := r.Header.Get("X-Teaselpin-Request-Id")
	if fault == FaultForeign {
		id, body = "another", []byte("another")
	}
	w.Header().Set("X-Teaselpin-Request-Id", id)
	switch {
	case expect != "" && expect != s.ID:
		w.Header().Set("X-Teaselpin-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case fault == FaultShed:
		w.Header().Set("X-Teaselpin-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == FaultLost:
		panic(http.ErrAbortHandler)
	case fault == FaultSilent:
		<-r.Context().Done()
		return
	}
	if s.Waiting != nil {
		<-s.Waiting
	}
	if prefill {
		s.prefill(w, id)
		return
	}
	if fault != FaultBare {
		w.Header().Set("X-Teaselpin-Response-Stamp", s.ID+"."+id)
	}
	if fault == FaultError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.Events == 0 {
		s.whole(w, string(body), fault)
		return
	}
	s.stream(w, r, fault)
}

func (s *Server) prefill(w http.ResponseWriter, id string) {
	s.mu.Lock()
	if s.handles == nil {
		s.handles = make(map[string]bool)
	}
	s.handles[id] = true
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"handle": "h" + id, "tokens": 1, "version": 1})
}

func (s *Server) whole(w http.ResponseWriter, body string, fault Fault) {
	text := "answer to " + body
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultCut {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// stream writes the events after the one that the request names. A cut comes
// in the middle of an event.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := first; i < s.Events; i++ {
		if r.Context().Err() != nil {
			return
		}
		if fault == FaultCut && i >= (first+s.Events)/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = rc.Flush()
		if s.Pause > 0 {
			time.Sleep(s.Pause)
		}
	}
}
