package tpenginefake

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
)

// maxRequestBytes bounds the body of a generate request.
const maxRequestBytes = 16 << 20

// Handler returns the engine's HTTP interface. Besides an engine's own paths,
// PUT /faults replaces the faults, and GET /runs returns the log of runs.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tptarget.PathGenerate, e.serveGenerate)
	mux.HandleFunc("GET "+tptarget.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+tptarget.PathCache, e.serveCache)
	mux.HandleFunc("PUT /faults", e.serveFaults)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	return mux
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	e.faults.waitUntilReading(r.Context().Done())
	var req tptarget.GenerateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set(tptarget.HeaderRequestID, req.RequestID)
	run := e.runs.begin(req.RequestID, req.Prompt, req.FirstChunk, e.cfg.Clock.Now())
	if e.faults.current().Leaving {
		e.runs.markRefused(run)
		w.Header().Set(tptarget.HeaderLeaving, "true")
		refuse(w, http.StatusServiceUnavailable, e.cfg.Name+" is leaving")
		return
	}
	s, err := e.submit(req)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer s.cancelled.Store(true)
	out := &lineWriter{
		engine:         e,
		w:              w,
		run:            run,
		chunksUntilCut: -1,
	}
	if e.faults.claimCut() {
		out.chunksUntilCut = e.faults.current().CutAfter
	}
	// Closes the ring when the client disconnects, which ends a wait for the
	// next line.
	stop := context.AfterFunc(r.Context(), s.lines.Close)
	defer stop()
	for {
		line, err := s.lines.Take()
		if err != nil {
			return
		}
		if !out.write(line) || line.End {
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
	writeJSON(w, rep)
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	events, err := e.CacheEvents(after)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, events)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// lineWriter writes the lines of one answer and applies the faults.
type lineWriter struct {
	engine         *Engine
	w              http.ResponseWriter
	run            *Run
	chunksUntilCut int                    // chunks to write before the cut; negative for no cut
	delayed        *tptarget.GenerateLine // chunk that the fault ReorderEvery sends after the next one
}

// write writes a line and reports whether the stream continues.
func (l *lineWriter) write(line tptarget.GenerateLine) bool {
	f := l.engine.faults.current()
	if f.Delay > 0 { // injected fault
		time.Sleep(f.Delay)
	}
	if l.chunksUntilCut == 0 {
		panic(http.ErrAbortHandler)
	}
	l.chunksUntilCut--
	if isMultiple(f.ReorderEvery, line.Number) && !line.End && l.delayed == nil {
		l.delayed = &line
		return true
	}
	if isMultiple(f.ForeignEvery, line.Number) {
		foreign := line
		foreign.RequestID = "00000000-0000-7000-8000-000000000000"
		foreign.Text = "of another request"
		if !l.send(foreign) {
			return false
		}
	}
	if !l.send(line) || isMultiple(f.DuplicateEvery, line.Number) && !l.send(line) {
		return false
	}
	l.engine.runs.addSentChunk(l.run, line.End)
	if delayed := l.delayed; delayed != nil {
		l.delayed = nil
		l.engine.runs.addSentChunk(l.run, false)
		return l.send(*delayed)
	}
	return true
}

func (l *lineWriter) send(line tptarget.GenerateLine) bool {
	return json.NewEncoder(l.w).Encode(line) == nil && http.NewResponseController(l.w).Flush() == nil
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(tptarget.HeaderNotRun, "true")
	http.Error(w, reason, status)
}
