package tpenginefake

import (
	"sync"
	"time"
)

// Run is one request that the engine ran or refused.
type Run struct {
	RequestID  string    `json:"requestId"`
	Prompt     string    `json:"prompt"`  // first 64 bytes of the prompt
	FirstChunk int       `json:"from"`    // number of the first requested chunk
	At         time.Time `json:"at"`      // time of arrival
	SentChunks int       `json:"sent"`    // number of chunks sent
	Completed  bool      `json:"whole"`   // the last chunk was sent
	Refused    bool      `json:"refused"` // the engine did not run the request, because it was leaving
}

const (
	maxRuns           = 1 << 16
	maxRunPromptBytes = 64
)

// runLog holds the latest maxRuns runs of an engine, oldest first.
type runLog struct {
	mu   sync.Mutex
	runs []*Run
}

func (r *runLog) begin(id, prompt string, from int, now time.Time) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &Run{RequestID: id, Prompt: prompt[:min(len(prompt), maxRunPromptBytes)], FirstChunk: from, At: now}
	if len(r.runs) == maxRuns {
		r.runs = r.runs[1:]
	}
	r.runs = append(r.runs, run)
	return run
}

func (r *runLog) markRefused(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Refused = true
}

func (r *runLog) addSentChunk(run *Run, end bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.SentChunks++
	run.Completed = run.Completed || end
}

// Runs returns copies of the latest 65,536 runs, oldest first.
func (e *Engine) Runs() []Run {
	e.runs.mu.Lock()
	defer e.runs.mu.Unlock()
	runs := make([]Run, len(e.runs.runs))
	for i, run := range e.runs.runs {
		runs[i] = *run
	}
	return runs
}
