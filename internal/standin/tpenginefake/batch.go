package tpenginefake

import (
	"errors"
	"sort"
	"strings"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// enqueue adds a stream to the waiting queue. A cached prefix saves one piece
// of prefill.
func (e *Engine) enqueue(s *stream) {
	e.arrivalCount++
	s.sequence = e.arrivalCount
	if e.cache.lookup(s.req.PrefixHash) {
		s.prefillTokensLeft = max(0, s.prefillTokensLeft-tpmessage.PieceTokens)
	}
	e.waiting = append(e.waiting, s)
}

// step runs one batch step: it processes prompts up to the prefill budget, then
// produces one chunk for each running stream. Streams with a higher priority
// run first, and streams of equal priority run in order of arrival.
func (e *Engine) step() {
	e.waiting = dropCancelled(e.waiting)
	e.running = dropCancelled(e.running)
	sort.SliceStable(e.waiting, func(i, j int) bool { return runsBefore(e.waiting[i], e.waiting[j]) })
	e.preempt()
	budget := e.cfg.PrefillTokens
	for len(e.waiting) > 0 && budget > 0 && len(e.running) < e.cfg.MaxBatch {
		s := e.waiting[0]
		n := min(s.prefillTokensLeft, budget)
		s.prefillTokensLeft -= n
		budget -= n
		if s.prefillTokensLeft > 0 {
			break
		}
		e.addToBatch(s)
		e.waiting = e.waiting[1:]
	}
	remaining := e.running[:0]
	for _, s := range e.running {
		if e.sendChunk(s) {
			remaining = append(remaining, s)
		}
	}
	e.running = remaining
	e.refreshLaggedReport()
}

// addToBatch moves a stream whose prefill is complete into the batch. A poison
// prompt crashes the process here, which ends all its streams.
func (e *Engine) addToBatch(s *stream) {
	if poison := e.faults.current().Poison; poison != "" && strings.Contains(s.req.Prompt, poison) {
		e.cfg.Crash()
	}
	e.cache.store(s.req.PrefixHash, e.cfg.Clock.Now())
	e.running = append(e.running, s)
}

// preempt returns the lowest-ranked running stream to the queue if the batch is
// full and the first waiting stream has a higher priority.
func (e *Engine) preempt() {
	if len(e.waiting) == 0 || len(e.running) < e.cfg.MaxBatch {
		return
	}
	lowest := 0
	for i, s := range e.running {
		if runsBefore(e.running[lowest], s) {
			lowest = i
		}
	}
	s := e.running[lowest]
	if e.waiting[0].req.Priority <= s.req.Priority {
		return
	}
	e.running = append(e.running[:lowest], e.running[lowest+1:]...)
	e.waiting = append(e.waiting, s)
}

func runsBefore(a, b *stream) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority > b.req.Priority
	}
	return a.sequence < b.sequence
}

func dropCancelled(streams []*stream) []*stream {
	remaining := streams[:0]
	for _, s := range streams {
		if !s.cancelled.Load() {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// sendChunk queues the next chunk for the reader and reports whether the stream
// stays in the batch. If the reader's queue is full, the chunk is sent in a
// later step.
func (e *Engine) sendChunk(s *stream) bool {
	line := tptarget.GenerateLine{
		RequestID: s.req.RequestID,
		Number:    s.nextChunk,
		Text:      ChunkText(s.req.RequestID, s.req.Seed, s.nextChunk),
		Tokens:    e.cfg.ChunkTokens,
	}
	if e.faults.current().CorruptText {
		line.Text = e.cfg.Name + " " + line.Text
	}
	if s.nextChunk >= max(1, (s.req.MaxTokens+e.cfg.ChunkTokens-1)/e.cfg.ChunkTokens) {
		line.Text, line.Tokens = "", 0
	}
	if s.nextChunk+1 >= s.chunkCount {
		loadReport := e.loadReport()
		line.End = true
		line.PrefillPieces = float64(s.req.PromptTokens) / tpmessage.PieceTokens
		line.DecodePieces = float64((s.chunkCount-s.req.FirstChunk)*e.cfg.ChunkTokens) / tpmessage.PieceTokens
		line.Load = &loadReport
	}
	err := s.lines.TryPut(line)
	if errors.Is(err, tpring.ErrFull) {
		return true
	}
	if err != nil {
		return false
	}
	s.nextChunk++
	if line.End {
		s.lines.Close()
	}
	return !line.End
}

// loadReport returns the current load, or the lagged report if the fault
// LoadLag is set and a lagged report exists.
func (e *Engine) loadReport() tpmessage.LoadReport {
	if e.faults.current().LoadLag > 0 && !e.laggedReport.At.IsZero() {
		return e.laggedReport
	}
	return e.currentLoad()
}

// refreshLaggedReport replaces the lagged report once its age reaches LoadLag.
func (e *Engine) refreshLaggedReport() {
	lag := e.faults.current().LoadLag
	if lag > 0 && e.cfg.Clock.Now().Sub(e.laggedReport.At) >= lag {
		e.laggedReport = e.currentLoad()
	}
}

func (e *Engine) currentLoad() tpmessage.LoadReport {
	rep := tpmessage.LoadReport{
		Target:          e.cfg.Name,
		At:              e.cfg.Clock.Now(),
		Running:         len(e.running),
		FreeCacheTokens: int64(e.cache.free()) * tpmessage.PieceTokens,
		Role:            tpmessage.RoleMixed,
		Model:           e.cfg.Model,
		Leaving:         e.faults.current().Leaving,
	}
	if role := e.role.Load(); role != nil {
		rep.Role = *role
	}
	for _, s := range e.waiting {
		rep.WaitingPrefill += float64(s.prefillTokensLeft) / tpmessage.PieceTokens
		rep.WaitingDecode += float64((s.chunkCount-s.nextChunk)*e.cfg.ChunkTokens) / tpmessage.PieceTokens
	}
	for _, s := range e.running {
		rep.WaitingDecode += float64((s.chunkCount-s.nextChunk)*e.cfg.ChunkTokens) / tpmessage.PieceTokens
	}
	return rep
}
