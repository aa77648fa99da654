package tpenginefake

import (
	"errors"
	"sort"
	"strings"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// arrive queues a stream and takes a cached prefix off its prefill.
func (e *Engine) arrive(s *stream) {
	e.arrivals++
	s.arrived = e.arrivals
	if e.cache.hit(s.req.PrefixHash) {
		s.left = max(0, s.left-tpmessage.PieceTokens)
	}
	e.waiting = append(e.waiting, s)
}

// step processes one batch: prompts up to the budget, then one chunk for each
// running stream. A higher priority goes first, and the order of arrival
// decides between equals.
func (e *Engine) step() {
	e.waiting = dropGone(e.waiting)
	e.running = dropGone(e.running)
	sort.SliceStable(e.waiting, func(i, j int) bool { return before(e.waiting[i], e.waiting[j]) })
	e.preempt()
	budget := e.cfg.PrefillTokens
	for len(e.waiting) > 0 && budget > 0 && len(e.running) < e.cfg.MaxBatch {
		s := e.waiting[0]
		n := min(s.left, budget)
		s.left -= n
		budget -= n
		if s.left > 0 {
			break
		}
		e.start(s)
		e.waiting = e.waiting[1:]
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if e.emit(s) {
			kept = append(kept, s)
		}
	}
	e.running = kept
	e.lagReport()
}

// start moves a stream into the batch. A poison prompt ends the process here,
// with all its streams.
func (e *Engine) start(s *stream) {
	if poison := e.faults.now().Poison; poison != "" && strings.Contains(s.req.Prompt, poison) {
		e.cfg.Crash()
	}
	e.cache.store(s.req.PrefixHash, e.cfg.Clock.Now())
	e.running = append(e.running, s)
}

// preempt puts the running stream that is last in order back into the queue
// if the first waiting one has a higher priority and the batch is full.
func (e *Engine) preempt() {
	if len(e.waiting) == 0 || len(e.running) < e.cfg.MaxBatch {
		return
	}
	last := 0
	for i, s := range e.running {
		if before(e.running[last], s) {
			last = i
		}
	}
	s := e.running[last]
	if e.waiting[0].req.Priority <= s.req.Priority {
		return
	}
	e.running = append(e.running[:last], e.running[last+1:]...)
	e.waiting = append(e.waiting, s)
}

func before(a, b *stream) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority > b.req.Priority
	}
	return a.arrived < b.arrived
}

func dropGone(streams []*stream) []*stream {
	kept := streams[:0]
	for _, s := range streams {
		if !s.gone.Load() {
			kept = append(kept, s)
		}
	}
	return kept
}

// emit passes on the next chunk and reports whether more follow.
func (e *Engine) emit(s *stream) bool {
	line := tptarget.GenerateLine{
		RequestID: s.req.RequestID,
		Number:    s.next,
		Text:      ChunkText(s.req.RequestID, s.req.Seed, s.next),
		Tokens:    e.cfg.ChunkTokens,
	}
	if e.faults.now().Corrupt {
		line.Text = e.cfg.Name + " " + line.Text
	}
	if s.next >= max(1, (s.req.MaxTokens+e.cfg.ChunkTokens-1)/e.cfg.ChunkTokens) {
		line.Text, line.Tokens = "", 0
	}
	if s.next+1 >= s.chunks {
		report := e.report()
		line.End = true
		line.PrefillPieces = float64(s.req.PromptTokens) / tpmessage.PieceTokens
		line.DecodePieces = float64((s.chunks-s.req.From)*e.cfg.ChunkTokens) / tpmessage.PieceTokens
		line.Load = &report
	}
	err := s.lines.TryPut(line)
	if errors.Is(err, tpring.ErrFull) {
		return true
	}
	if err != nil {
		return false
	}
	s.next++
	if line.End {
		s.lines.Close()
	}
	return !line.End
}

// report returns the report that the engine gives, which lags by a fault.
func (e *Engine) report() tpmessage.LoadReport {
	if e.faults.now().LoadLag > 0 && !e.reported.At.IsZero() {
		return e.reported
	}
	return e.measure()
}

// lagReport takes a new lagging report when the last one is old enough.
func (e *Engine) lagReport() {
	lag := e.faults.now().LoadLag
	if lag > 0 && e.cfg.Clock.Now().Sub(e.reported.At) >= lag {
		e.reported = e.measure()
	}
}

func (e *Engine) measure() tpmessage.LoadReport {
	rep := tpmessage.LoadReport{
		Target:    e.cfg.Name,
		At:        e.cfg.Clock.Now(),
		Running:   len(e.running),
		FreeCache: int64(e.cache.free()) * tpmessage.PieceTokens,
		Role:      tpmessage.RoleMixed,
		Model:     e.cfg.Model,
		Leaving:   e.faults.now().Leaving,
	}
	if role := e.role.Load(); role != nil {
		rep.Role = *role
	}
	for _, s := range e.waiting {
		rep.WaitingPrefill += float64(s.left) / tpmessage.PieceTokens
		rep.WaitingDecode += float64((s.chunks-s.next)*e.cfg.ChunkTokens) / tpmessage.PieceTokens
	}
	for _, s := range e.running {
		rep.WaitingDecode += float64((s.chunks-s.next)*e.cfg.ChunkTokens) / tpmessage.PieceTokens
	}
	return rep
}
