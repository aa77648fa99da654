package tpservicefake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
)

// Run is one call that the service carried out.
type Run struct {
	Key       string `json:"key"`
	RequestID string `json:"requestId"`
	Body      string `json:"body"`
	Result    string `json:"result"`
}

// Service carries out each call that it receives, also a repeated one. The
// zero value is ready to use.
type Service struct {
	// Name names the service in its results.
	Name string

	mu   sync.Mutex
	runs []Run
}

// Runs returns the recorded runs, oldest first.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Handler returns the service's HTTP interface. GET /runs returns the runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tptarget.PathCalls, s.serveCall)
	mux.HandleFunc("GET "+tptarget.PathCalls+"/", s.serveKey)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := s.record(r.Header.Get(tptarget.HeaderKey), r.Header.Get(tptarget.HeaderRequestID), string(body))
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, run.Result)
}

func (s *Service) record(key, id, body string) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{Key: key, RequestID: id, Body: body}
	run.Result = fmt.Sprintf(`{"service":%q,"number":%d,"key":%q}`, s.Name, len(s.runs)+1, key)
	s.runs = append(s.runs, run)
	return run
}

// serveKey answers whether a key was run.
func (s *Service) serveKey(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, tptarget.PathCalls+"/")
	for _, run := range s.Runs() {
		if run.Key == key {
			writeJSON(w, run)
			return
		}
	}
	http.Error(w, "not run", http.StatusNotFound)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
