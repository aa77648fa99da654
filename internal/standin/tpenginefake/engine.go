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

// Defaults of an engine.
const (
	DefaultStep          = 5 * time.Millisecond
	DefaultPrefillTokens = 2048 // per step
	DefaultChunkTokens   = 4
	DefaultMaxBatch      = 64
	DefaultCachePrefixes = 256
)

// streamLines is the number of lines that wait for a slow reader; its stream
// is then passed over in the batch until there is room.
const streamLines = 256

// crashStatus is the exit status of a process that a poison prompt ended.
const crashStatus = 3

// Settings configures an engine. The zero value is the default.
type Settings struct {
	Name          string
	Model         string
	Step          time.Duration // time of one batch step
	PrefillTokens int           // prompt tokens that one step processes
	ChunkTokens   int           // tokens in a chunk; one chunk a step and stream
	MaxBatch      int           // streams that decode at the same time
	CachePrefixes int           // prompt prefixes that the cache holds
	Clock         tpclock.Clock
	Faults        Faults
	// Crash ends the process on a poison prompt; nil means os.Exit.
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
		s.Crash = func() { os.Exit(crashStatus) }
	}
}

// stream is one request at the engine.
type stream struct {
	req     tptarget.GenerateRequest
	arrived uint64 // rises with each arrival
	left    int    // prompt tokens still to process
	next    int    // number of the next chunk
	chunks  int    // number of chunks of the whole answer
	lines   *tpring.Ring[tptarget.GenerateLine]
	gone    atomic.Bool // the reader has cancelled the stream
}

// input is one message to the engine's duty.
type input struct {
	arrive *stream
	tick   bool
	load   *tpring.Ring[tpmessage.LoadReport]
	cache  *cacheQuery
}

// Engine is the batch loop. Apart from the faults and the record of runs, its
// state belongs to one duty.
type Engine struct {
	cfg      Settings
	in       *tpring.Ring[input]
	waiting  []*stream
	running  []*stream
	arrivals uint64
	reported tpmessage.LoadReport
	cache    prefixCache
	faults   faultState
	runs     record
	role     atomic.Pointer[tpmessage.Role] // set by orders; nil means mixed
}

// New starts an engine. The clean-up function ends its streams and duties.
func New(cfg Settings, r *tpduty.Runner) (*Engine, func(), error) {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, in: tpring.New[input](tpring.Settings{Capacity: 256})}
	e.cache.max = cfg.CachePrefixes
	e.SetFaults(cfg.Faults)
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

// generate queues a request. A request from beyond the end of the answer gets
// one empty last chunk.
func (e *Engine) generate(req tptarget.GenerateRequest) (*stream, error) {
	chunks := max(1, (req.MaxTokens+e.cfg.ChunkTokens-1)/e.cfg.ChunkTokens)
	s := &stream{
		req:    req,
		left:   req.PromptTokens,
		next:   req.From,
		chunks: max(chunks, req.From+1),
		lines:  tpring.New[tptarget.GenerateLine](tpring.Settings{Capacity: min(streamLines, max(1, chunks-req.From))}),
	}
	if err := e.in.Put(input{arrive: s}); err != nil {
		return nil, err
	}
	return s, nil
}

// Load returns the engine's load report, which may lag by a fault.
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
		e.arrive(in.arrive)
	case in.load != nil:
		_ = in.load.Put(e.report())
	case in.cache != nil:
		in.cache.answer(&e.cache, e.cfg.Clock.Now(), e.faults.now())
	case in.tick:
		e.step()
	}
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
