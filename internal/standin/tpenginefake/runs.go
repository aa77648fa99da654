package tpenginefake

import (
	"sync"
	"time"
)

// Run is one request that the engine took up or refused.
type Run struct {
	RequestID string    `json:"requestId"`
	Prompt    string    `json:"prompt"` // its first bytes
	From      int       `json:"from"`   // number of the first chunk that was asked for
	At        time.Time `json:"at"`
	Sent      int       `json:"sent"`    // chunks sent
	Whole     bool      `json:"whole"`   // the last chunk was sent
	Refused   bool      `json:"refused"` // it was not run, since the engine is leaving
}

const (
	runsKept        = 1 << 16
	runPromptLength = 64
)

// record keeps the runs of an engine, oldest first.
type record struct {
	mu   sync.Mutex
	runs []*Run
}

func (r *record) begin(id, prompt string, from int, now time.Time) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &Run{RequestID: id, Prompt: prompt[:min(len(prompt), runPromptLength)], From: from, At: now}
	if len(r.runs) == runsKept {
		r.runs = r.runs[1:]
	}
	r.runs = append(r.runs, run)
	return run
}

func (r *record) refused(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Refused = true
}

func (r *record) sent(run *Run, end bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Sent++
	run.Whole = run.Whole || end
}

// Runs returns the recorded runs, oldest first.
func (e *Engine) Runs() []Run {
	e.runs.mu.Lock()
	defer e.runs.mu.Unlock()
	runs := make([]Run, len(e.runs.runs))
	for i, run := range e.runs.runs {
		runs[i] = *run
	}
	return runs
}
