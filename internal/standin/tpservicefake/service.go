package tpservicefake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
)

// Run is one call that the service carried out.
type Run struct {
	Key       string `json:"key"`
	RequestID string `json:"requestId"`
	Body      string `json:"body"`
	Result    string `json:"result"`
	Status    int    `json:"status"` // HTTP status of the answer
}

// Faults is the state of the faults on command.
type Faults struct {
	LoseAnswers int           `json:"loseAnswers"` // number of next calls that run and whose answer is lost
	Refuse      int           `json:"refuse"`      // number of next calls that are refused before they run
	DelayBefore time.Duration `json:"delayBefore"` // wait before a call runs, in nanoseconds
	DelayAfter  time.Duration `json:"delayAfter"`  // wait after a call ran, in nanoseconds
}

// Service carries out each call that it receives, also a repeated one. The
// zero value is ready to use.
type Service struct {
	// Name names the service in its results.
	Name string

	mu     sync.Mutex
	runs   []Run
	faults Faults
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the recorded runs, oldest first.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Handler returns the service's HTTP interface. GET /runs returns the runs,
// PUT /faults sets the faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tptarget.PathCalls, s.serveCall)
	mux.HandleFunc("GET "+tptarget.PathCalls+"/", s.serveKey)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

// takeFaults returns the faults of one call and counts them down.
func (s *Service) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Refuse > 0 {
		s.faults.Refuse--
	} else if f.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	return f
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.takeFaults()
	time.Sleep(f.DelayBefore) // a fault on command
	if f.Refuse > 0 {
		w.Header().Set(tptarget.HeaderRefused, "true")
		http.Error(w, "refused before the call ran", http.StatusServiceUnavailable)
		return
	}
	run := s.Call(r.Header.Get(tptarget.HeaderKey), r.Header.Get(tptarget.HeaderRequestID), string(body))
	time.Sleep(f.DelayAfter) // a fault on command
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, run.Result)
}

// Call carries out a call.
func (s *Service) Call(key, id, body string) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{Key: key, RequestID: id, Body: body, Status: http.StatusOK}
	run.Result = fmt.Sprintf(`{"service":%q,"number":%d,"key":%q}`, s.Name, len(s.runs)+1, key)
	s.runs = append(s.runs, run)
	return run
}

// serveKey answers whether a key was run.
func (s *Service) serveKey(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, tptarget.PathCalls+"/")
	for _, run := range s.Runs() {
		if run.Key == key {
			writeJSON(w, tptarget.KeyAnswer{Key: key, Status: run.Status, Result: run.Result})
			return
		}
	}
	http.Error(w, "not run", http.StatusNotFound)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
