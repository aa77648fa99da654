package tpenginefake

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Values that replace the zero values of Settings.
const (
	DefaultStep          = 5 * time.Millisecond
	DefaultPrefillTokens = 2048 // prompt tokens in a step
	DefaultChunkTokens   = 4    // tokens in a chunk
	DefaultMaxBatch      = 64   // decoding streams
	DefaultCachePrefixes = 256  // prompt prefixes
)

// maxQueuedLines bounds the lines that are queued for a slow reader. While the
// queue is full, the stream produces no chunk but keeps its place in the batch.
const maxQueuedLines = 256

// crashExitStatus is the exit status of a process that crashes on a poison
// prompt.
const crashExitStatus = 3

// Settings configures an engine. A zero field takes its default, and a nil
// Clock means the system clock.
type Settings struct {
	Name          string
	Model         string
	Step          time.Duration // duration of one batch step
	PrefillTokens int           // maximum number of prompt tokens in a step
	ChunkTokens   int           // tokens in a chunk; a step produces one chunk for each running stream
	MaxBatch      int           // maximum number of streams that decode at the same time
	CachePrefixes int           // capacity of the prefix cache in prompt prefixes
	Clock         tpclock.Clock
	Faults        Faults
	// Crash ends the process on a poison prompt. If Crash is nil, the process
	// exits with status 3.
	Crash func()
}

func (s *Settings) setDefaults() {
	if s.Step <= 0 {
		s.Step = DefaultStep
	}
	if s.PrefillTokens <= 0 {
		s.PrefillTokens = DefaultPrefillTokens
	}
	if s.ChunkTokens <= 0 {
		s.ChunkTokens = DefaultChunkTokens
	}
	if s.MaxBatch <= 0 {
		s.MaxBatch = DefaultMaxBatch
	}
	if s.CachePrefixes <= 0 {
		s.CachePrefixes = DefaultCachePrefixes
	}
	if s.Clock == nil {
		s.Clock = tpclock.System{}
	}
	if s.Crash == nil {
		s.Crash = func() { os.Exit(crashExitStatus) }
	}
}

// stream is the state of one request at the engine.
type stream struct {
	req               tptarget.GenerateRequest
	sequence          uint64 // arrival number; earlier streams have lower numbers
	prefillTokensLeft int    // prompt tokens still to process
	nextChunk         int    // number of the next chunk
	chunkCount        int    // chunks of the whole answer, from chunk 0
	lines             *tpring.Ring[tptarget.GenerateLine]
	cancelled         atomic.Bool // the request's handler has returned
}

// input is one message to the engine's goroutine. Exactly one field is set.
type input struct {
	enqueue *stream
	tick    bool
	load    *tpring.Ring[tpmessage.LoadReport]
	cache   *cacheQuery
}

// Engine simulates a model engine with a batch loop. One goroutine owns its
// state, apart from the faults, the log of runs and the role, which the HTTP
// handlers share.
type Engine struct {
	cfg          Settings
	inputs       *tpring.Ring[input]
	waiting      []*stream
	running      []*stream
	arrivalCount uint64
	laggedReport tpmessage.LoadReport
	cache        prefixCache
	faults       faultState
	runs         runLog
	role         atomic.Pointer[tpmessage.Role] // set by Orders; nil means tpmessage.RoleMixed
}

// New starts the batch loop and the step timer of an engine. The clean-up
// function stops both and closes the streams.
func New(cfg Settings, r *tpduty.Runner) (*Engine, func(), error) {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, inputs: tpring.New[input](tpring.Settings{Capacity: 256})}
	e.cache.max = cfg.CachePrefixes
	e.SetFaults(cfg.Faults)
	cleanup, err := tpduty.StartFilter(r, "engine "+cfg.Name, e.inputs, e.handle)
	if err != nil {
		return nil, nil, err
	}
	stop := make(chan struct{})
	waitTicks, err := r.Go("engine ticks "+cfg.Name, func() { e.sendTicks(stop) })
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

func (e *Engine) sendTicks(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-e.cfg.Clock.After(e.cfg.Step):
			if err := e.inputs.Put(input{tick: true}); err != nil {
				return
			}
		}
	}
}

// submit queues a request. A request that resumes beyond the end of the answer
// gets one empty last chunk.
func (e *Engine) submit(req tptarget.GenerateRequest) (*stream, error) {
	chunkCount := max(1, (req.MaxTokens+e.cfg.ChunkTokens-1)/e.cfg.ChunkTokens)
	s := &stream{
		req:               req,
		prefillTokensLeft: req.PromptTokens,
		nextChunk:         req.FirstChunk,
		chunkCount:        max(chunkCount, req.FirstChunk+1),
		lines:             tpring.New[tptarget.GenerateLine](tpring.Settings{Capacity: min(maxQueuedLines, max(1, chunkCount-req.FirstChunk))}),
	}
	if err := e.inputs.Put(input{enqueue: s}); err != nil {
		return nil, err
	}
	return s, nil
}

// Load returns the engine's load report. With the fault LoadLag, the report
// may be old. Load returns an error if the engine has stopped.
func (e *Engine) Load() (tpmessage.LoadReport, error) {
	reply := tpring.New[tpmessage.LoadReport](tpring.Settings{Capacity: 1})
	if err := e.inputs.Put(input{load: reply}); err != nil {
		return tpmessage.LoadReport{}, err
	}
	return reply.Take()
}

func (e *Engine) handle(in input) {
	switch {
	case in.enqueue != nil:
		e.enqueue(in.enqueue)
	case in.load != nil:
		_ = in.load.Put(e.loadReport())
	case in.cache != nil:
		in.cache.sendEvents(&e.cache, e.cfg.Clock.Now(), e.faults.current())
	case in.tick:
		e.step()
	}
}

func (e *Engine) closeStreams() {
	for _, s := range append(e.waiting, e.running...) {
		s.lines.Close()
	}
}

// ChunkText returns the text of one chunk. The text depends only on the
// request's ID and seed and on the chunk number, so that every engine gives
// the same answer.
func ChunkText(requestID string, seed int64, number int) string {
	return fmt.Sprintf("%08x ", uint32(xxh3.HashString(fmt.Sprintf("%s/%d/%d", requestID, seed, number))))
}
