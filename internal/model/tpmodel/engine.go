package tpmodel

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// EngineRate is the work of an engine in prefilled pieces a second: 8,192
	// prompt tokens, or by DecodeWeight 1,024 generated tokens. At the target
	// scale an engine generates 508 tokens a second beside its prefill.
	EngineRate = 2.0
	// streamRate bounds the decode of one stream in pieces a second: one token
	// in 20 ms.
	streamRate = 50.0 / tpmessage.PieceTokens
)

// job is a request at an engine.
type job struct {
	request  tpmessage.Request
	targets  []tpmessage.Target
	attempt  int
	node     int
	prefill  float64 // pieces left
	decode   float64 // pieces left
	sequence int
	first    time.Time // instant of the first token; zero before
}

// engine runs its jobs in mixed batches. The prefill budget of a step goes to
// the waiting jobs by priority and then by arrival; the decode budget is
// divided among the running streams.
type engine struct {
	name    string
	role    tpmessage.Role
	lost    bool
	leaving bool
	waiting []*job
	running []*job
	done    []*job // ended in the last step
}

func (e *engine) add(j *job) {
	i, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		if a.request.Priority != b.request.Priority {
			return b.request.Priority - a.request.Priority
		}
		return a.sequence - b.sequence
	})
	e.waiting = slices.Insert(e.waiting, i, j)
}

// step runs one batch that ends at now.
func (e *engine) step(now time.Time, d time.Duration) {
	prefill, decode := tpload.Speeds(e.role)
	e.decodeBatch(decode*EngineRate/tpadmission.DecodeWeight*d.Seconds(), streamRate*d.Seconds())
	e.prefillBatch(now, prefill*EngineRate*d.Seconds())
}

func (e *engine) prefillBatch(now time.Time, budget float64) {
	for len(e.waiting) > 0 && budget > 0 {
		j := e.waiting[0]
		work := min(budget, j.prefill)
		budget -= work
		j.prefill -= work
		if j.prefill > 0 {
			return
		}
		if j.first.IsZero() {
			j.first = now
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
	}
}

func (e *engine) decodeBatch(budget, perStream float64) {
	e.done = e.done[:0]
	if len(e.running) == 0 {
		return
	}
	each := min(budget/float64(len(e.running)), perStream)
	kept := e.running[:0]
	for _, j := range e.running {
		j.decode -= each
		if j.decode > 0 {
			kept = append(kept, j)
			continue
		}
		e.done = append(e.done, j)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *engine) report(now time.Time) tpmessage.LoadReport {
	rep := tpmessage.LoadReport{Target: e.name, At: now, Running: len(e.running), Role: e.role, Leaving: e.leaving}
	for _, j := range e.waiting {
		rep.WaitingPrefill += j.prefill
		rep.WaitingDecode += j.decode
	}
	for _, j := range e.running {
		rep.WaitingDecode += j.decode
	}
	return rep
}

// crash takes all jobs off the engine.
func (e *engine) crash() []*job {
	jobs := slices.Concat(e.waiting, e.running)
	e.waiting, e.running = nil, nil
	e.lost = true
	return jobs
}
