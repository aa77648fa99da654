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

// Run is one call that the service ran.
type Run struct {
	Key       string `json:"key"` // idempotency key
	RequestID string `json:"requestId"`
	Body      string `json:"body"`
	Result    string `json:"result"`
	Status    int    `json:"status"` // HTTP status of the answer
}

// Faults is the set of faults that a test injects. The zero value injects none.
// The refusals come before the lost answers.
type Faults struct {
	LoseAnswers int           `json:"loseAnswers"` // number of next calls that run but whose answer is lost
	Refuse      int           `json:"refuse"`      // number of next calls to refuse before they run
	DelayBefore time.Duration `json:"delayBefore"` // delay before a call runs, in nanoseconds
	DelayAfter  time.Duration `json:"delayAfter"`  // delay between the run and its answer, in nanoseconds
}

// Service runs each call that it receives, also a call with a key that it has
// already run. The zero value is ready to use.
type Service struct {
	Name string // in the results

	mu     sync.Mutex
	runs   []Run
	faults Faults
}

// SetFaults replaces all faults and their remaining counts.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns all runs, oldest first.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Handler returns the service's HTTP interface. Besides a plain service's own
// paths, GET /runs returns the runs, and PUT /faults replaces the faults.
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

// nextFaults returns the faults of the next call and counts down the one that
// applies.
func (s *Service) nextFaults() Faults {
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
	f := s.nextFaults()
	time.Sleep(f.DelayBefore) // injected fault
	if f.Refuse > 0 {
		w.Header().Set(tptarget.HeaderNotRun, "true")
		http.Error(w, "refused before the call ran", http.StatusServiceUnavailable)
		return
	}
	run := s.Call(r.Header.Get(tptarget.HeaderKey), r.Header.Get(tptarget.HeaderRequestID), string(body))
	time.Sleep(f.DelayAfter) // injected fault
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, run.Result)
}

// Call runs a call without faults and records the run. The result is a JSON
// document with the service's name, the number of the run and the key.
func (s *Service) Call(key, id, body string) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{Key: key, RequestID: id, Body: body, Status: http.StatusOK}
	run.Result = fmt.Sprintf(`{"service":%q,"number":%d,"key":%q}`, s.Name, len(s.runs)+1, key)
	s.runs = append(s.runs, run)
	return run
}

// serveKey answers with the first run of a key, or with 404 if the key was not
// run.
func (s *Service) serveKey(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, tptarget.PathCalls+"/")
	for _, run := range s.Runs() {
		if run.Key == key {
			writeJSON(w, tptarget.CallResult{Key: key, Status: run.Status, Result: run.Result})
			return
		}
	}
	http.Error(w, "not run", http.StatusNotFound)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
