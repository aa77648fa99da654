package tpenginefake

import (
	"encoding/json"
	"net/http"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tptarget.PathGenerate, e.serveGenerate)
	mux.HandleFunc("GET "+tptarget.PathLoad, e.serveLoad)
	return mux
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req tptarget.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.Header().Set(tptarget.HeaderRefused, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lines, err := e.Generate(req)
	if err != nil {
		w.Header().Set(tptarget.HeaderRefused, "true")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	// Closing the ring cancels the stream when the reader is gone.
	defer lines.Close()
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	for {
		line, err := lines.Take()
		if err != nil {
			return
		}
		if enc.Encode(line) != nil || rc.Flush() != nil || line.End {
			return
		}
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	rep, err := e.Load()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rep)
}
