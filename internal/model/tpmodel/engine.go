package tpmodel

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// EngineRate is the service rate of an engine in prefilled pieces a second:
	// 8,192 prompt tokens or, by DecodeWeight, 1,024 generated tokens. At the
	// target scale an engine generates 508 tokens a second besides its prefill.
	EngineRate = 2.0
	// streamRate is the maximum decode rate of one stream in pieces a second:
	// one token in 20 ms.
	streamRate = 50.0 / tpmessage.PieceTokens
)

// job is a request at an engine.
type job struct {
	request          tpmessage.Request
	targets          []tpmessage.Target // in the order of the attempts
	attempt          int                // index of the attempt's target
	node             int                // index of the node that admitted the request
	remainingPrefill float64            // in pieces
	remainingDecode  float64            // in pieces
	sequence         int                // number of the attempt in the run
	firstTokenAt     time.Time          // zero before the first token
}

// engine runs its jobs in mixed batches. The waiting jobs use the prefill
// budget of a step in the order of priority and then of arrival. The running
// streams share the decode budget equally.
type engine struct {
	name     string
	role     tpmessage.Role
	lost     bool
	leaving  bool   // the engine is draining
	waiting  []*job // for their prefill, in the order of service
	running  []*job // jobs that decode
	finished []*job // jobs that ended in the last step
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

// step runs one batch, which takes d and ends at now.
func (e *engine) step(now time.Time, d time.Duration) {
	prefill, decode := tpload.Speeds(e.role)
	e.decodeBatch(decode*EngineRate/tpadmission.DecodeWeight*d.Seconds(), streamRate*d.Seconds())
	e.prefillBatch(now, prefill*EngineRate*d.Seconds())
}

func (e *engine) prefillBatch(now time.Time, budget float64) {
	for len(e.waiting) > 0 && budget > 0 {
		j := e.waiting[0]
		work := min(budget, j.remainingPrefill)
		budget -= work
		j.remainingPrefill -= work
		if j.remainingPrefill > 0 {
			return
		}
		if j.firstTokenAt.IsZero() {
			j.firstTokenAt = now
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
	}
}

func (e *engine) decodeBatch(budget, perStream float64) {
	e.finished = e.finished[:0]
	if len(e.running) == 0 {
		return
	}
	perJob := min(budget/float64(len(e.running)), perStream)
	kept := e.running[:0]
	for _, j := range e.running {
		j.remainingDecode -= perJob
		if j.remainingDecode > 0 {
			kept = append(kept, j)
			continue
		}
		e.finished = append(e.finished, j)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *engine) report(now time.Time) tpmessage.LoadReport {
	rep := tpmessage.LoadReport{Target: e.name, At: now, Running: len(e.running), Role: e.role, Leaving: e.leaving}
	for _, j := range e.waiting {
		rep.WaitingPrefill += j.remainingPrefill
		rep.WaitingDecode += j.remainingDecode
	}
	for _, j := range e.running {
		rep.WaitingDecode += j.remainingDecode
	}
	return rep
}

// crash marks the engine as lost and returns the jobs that were at it.
func (e *engine) crash() []*job {
	jobs := slices.Concat(e.waiting, e.running)
	e.waiting, e.running = nil, nil
	e.lost = true
	return jobs
}
