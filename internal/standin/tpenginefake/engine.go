package tpenginefake

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Defaults of an engine.
const (
	DefaultStep          = 5 * time.Millisecond
	DefaultPrefillTokens = 2048 // per step
	DefaultChunkTokens   = 4
	DefaultMaxBatch      = 64
)

// Settings configures an engine. The zero value is the default.
type Settings struct {
	Name          string
	Model         string
	Step          time.Duration // time of one batch step
	PrefillTokens int           // prompt tokens that one step processes
	ChunkTokens   int           // tokens in a chunk; one chunk a step and stream
	MaxBatch      int           // streams that decode at the same time
	Clock         tpclock.Clock
}

// stream is one request at the engine.
type stream struct {
	req    tptarget.GenerateRequest
	left   int // prompt tokens still to process
	next   int // number of the next chunk
	chunks int // number of chunks of the whole answer
	lines  *tpring.Ring[tptarget.GenerateLine]
}

// input is one message to the engine's duty.
type input struct {
	arrive *stream
	tick   bool
	load   *tpring.Ring[tpmessage.LoadReport]
}

// Engine is the batch loop. It belongs to one duty.
type Engine struct {
	cfg     Settings
	in      *tpring.Ring[input]
	waiting []*stream
	running []*stream
	role    atomic.Pointer[tpmessage.Role] // set by orders; nil means mixed
}

// New starts an engine. The clean-up function ends its streams and duties.
func New(cfg Settings, r *tpduty.Runner) (*Engine, func(), error) {
	if cfg.Step <= 0 {
		cfg.Step = DefaultStep
	}
	if cfg.PrefillTokens <= 0 {
		cfg.PrefillTokens = DefaultPrefillTokens
	}
	if cfg.ChunkTokens <= 0 {
		cfg.ChunkTokens = DefaultChunkTokens
	}
	if cfg.MaxBatch <= 0 {
		cfg.MaxBatch = DefaultMaxBatch
	}
	if cfg.Clock == nil {
		cfg.Clock = tpclock.System{}
	}
	e := &Engine{cfg: cfg, in: tpring.New[input](tpring.Settings{Capacity: 256})}
	cleanup, err := tpduty.Filter(r, "engine "+cfg.Name, e.in, e.handle)
	if err != nil {
		return nil, nil, err
	}
	stop := make(chan struct{})
	waitTicks, err := r.Go("engine ticks "+cfg.Name, func() { e.tickUntil(stop) })
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	return e, func() {
		close(stop)
		waitTicks()
		cleanup()
		e.closeStreams()
	}, nil
}

func (e *Engine) tickUntil(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-e.cfg.Clock.After(e.cfg.Step):
			if err := e.in.Put(input{tick: true}); err != nil {
				return
			}
		}
	}
}

// Generate queues a request and returns the ring of its lines.
func (e *Engine) Generate(req tptarget.GenerateRequest) (*tpring.Ring[tptarget.GenerateLine], error) {
	chunks := max(1, (req.MaxTokens+e.cfg.ChunkTokens-1)/e.cfg.ChunkTokens)
	s := &stream{
		req:    req,
		left:   req.PromptTokens,
		next:   req.From,
		chunks: chunks,
		// The ring holds the whole answer, so that the batch never waits for a reader.
		lines: tpring.New[tptarget.GenerateLine](tpring.Settings{Capacity: max(1, chunks-req.From)}),
	}
	if err := e.in.Put(input{arrive: s}); err != nil {
		return nil, err
	}
	return s.lines, nil
}

// Load returns the engine's load report.
func (e *Engine) Load() (tpmessage.LoadReport, error) {
	reply := tpring.New[tpmessage.LoadReport](tpring.Settings{Capacity: 1})
	if err := e.in.Put(input{load: reply}); err != nil {
		return tpmessage.LoadReport{}, err
	}
	return reply.Take()
}

func (e *Engine) handle(in input) {
	switch {
	case in.arrive != nil:
		e.waiting = append(e.waiting, in.arrive)
	case in.load != nil:
		_ = in.load.Put(e.report())
	case in.tick:
		e.step()
	}
}

// step processes one batch: prompts up to the budget, then one chunk for each
// running stream.
func (e *Engine) step() {
	budget := e.cfg.PrefillTokens
	for len(e.waiting) > 0 && budget > 0 && len(e.running) < e.cfg.MaxBatch {
		s := e.waiting[0]
		n := min(s.left, budget)
		s.left -= n
		budget -= n
		if s.left > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if e.emit(s) {
			kept = append(kept, s)
		}
	}
	e.running = kept
}

// emit passes on the next chunk and reports whether more follow.
func (e *Engine) emit(s *stream) bool {
	line := tptarget.GenerateLine{
		RequestID: s.req.RequestID,
		Number:    s.next,
		Text:      ChunkText(s.req.RequestID, s.req.Seed, s.next),
		Tokens:    e.cfg.ChunkTokens,
	}
	s.next++
	if s.next >= s.chunks {
		report := e.report()
		line.End = true
		line.PrefillPieces = float64(s.req.PromptTokens) / tpmessage.PieceTokens
		line.DecodePieces = float64(s.chunks*e.cfg.ChunkTokens) / tpmessage.PieceTokens
		line.Load = &report
	}
	if err := s.lines.TryPut(line); err != nil {
		s.lines.Close()
		return false
	}
	if line.End {
		s.lines.Close()
	}
	return !line.End
}

func (e *Engine) report() tpmessage.LoadReport {
	rep := tpmessage.LoadReport{
		Target:  e.cfg.Name,
		At:      e.cfg.Clock.Now(),
		Running: len(e.running),
		Role:    tpmessage.RoleMixed,
		Model:   e.cfg.Model,
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

func (e *Engine) closeStreams() {
	for _, s := range append(e.waiting, e.running...) {
		s.lines.Close()
	}
}

// ChunkText returns the text of one chunk. It depends on the request alone,
// so that every engine gives the same answer to it.
func ChunkText(requestID string, seed int64, number int) string {
	return fmt.Sprintf("%08x ", uint32(xxh3.HashString(fmt.Sprintf("%s/%d/%d", requestID, seed, number))))
}
