package tpdemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpclock"
)

// Defaults of the job.
const (
	DefaultRequests = 60
	DefaultBookings = 20
	maxCallers      = 32
	chunkTokens     = tpenginefake.DefaultChunkTokens
	// retryDelay is the wait of a caller whose request was refused.
	retryDelay = 50 * time.Millisecond
	// maxTries bounds the tries of one caller.
	maxTries = 20
)

// Settings configures the job. The zero value is the default.
type Settings struct {
	Requests int
	Bookings int
	Seed     uint64
	Clock    tpclock.Clock
	Log      zerolog.Logger
}

// question is one language request with its expected length.
type question struct {
	id        string
	caller    *tphistory.Caller
	body      tpfront.LanguageBody
	kind      string
	firstNode int
}

// booking is one slot with its idempotency key.
type booking struct {
	key       string
	caller    *tphistory.Caller
	body      string
	firstNode int
}

// Run carries out the job, prints what happened, and returns an error if an
// answer was not whole or a booking did not run exactly once.
func Run(ctx context.Context, w io.Writer, cfg Settings) error {
	if cfg.Requests <= 0 {
		cfg.Requests = DefaultRequests
	}
	if cfg.Bookings <= 0 {
		cfg.Bookings = DefaultBookings
	}
	if cfg.Clock == nil {
		cfg.Clock = tpclock.System{}
	}
	f, cleanup, err := newFleet(ctx, cfg.Clock, cfg.Log)
	if err != nil {
		return err
	}
	defer cleanup()
	fmt.Fprintf(w, "Started %d nodes, %d engines and 1 booking service; %d organisations share them.\n",
		len(f.nodes), len(f.engines), len(organisations))
	j := &job{fleet: f, settings: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	j.prepare()
	j.run(ctx, w)
	return j.report(w)
}

// job is the state of one run.
type job struct {
	fleet     *fleet
	settings  Settings
	random    *rand.Rand
	questions []question
	bookings  []booking

	mu      sync.Mutex
	answers map[string]tphistory.Operation
	booked  map[string][]tphistory.Operation
	retried int
	resumed int
}

// prepare draws the questions and bookings. Every third question is a long
// dossier with a short answer, the others are short with a longer answer.
func (j *job) prepare() {
	j.answers = make(map[string]tphistory.Operation)
	j.booked = make(map[string][]tphistory.Operation)
	callers := make([]*tphistory.Caller, len(organisations))
	for i, o := range organisations {
		callers[i] = tphistory.NewCaller(i, o.Name)
	}
	for i := range j.settings.Requests {
		q := question{
			id: uuid.Must(uuid.NewV7()).String(), caller: callers[i%len(callers)], kind: "question", firstNode: i % nodeCount,
			body: tpfront.LanguageBody{Prompt: fmt.Sprintf("Which voucher fits case %d?", i), MaxTokens: 80, Seed: j.random.Int64()},
		}
		if i%3 == 0 {
			q.kind = "dossier"
			q.body.Prompt = strings.Repeat("A line of a long case dossier. ", 400+j.random.IntN(400))
			q.body.MaxTokens = 24
		}
		j.questions = append(j.questions, q)
	}
	for i := range j.settings.Bookings {
		j.bookings = append(j.bookings, booking{
			key: uuid.Must(uuid.NewV7()).String(), caller: callers[i%len(callers)], firstNode: i % nodeCount,
			body: fmt.Sprintf(`{"slot":%d}`, i),
		})
	}
}

// run sends everything at the same time, loses an engine in the middle and
// then stops a node as planned.
func (j *job) run(ctx context.Context, w io.Writer) {
	pool := pond.NewPool(maxCallers)
	var half sync.WaitGroup
	half.Add(len(j.questions) / 2)
	for i, q := range j.questions {
		pool.Submit(func() {
			if i < len(j.questions)/2 {
				defer half.Done()
			}
			j.ask(ctx, q)
		})
		if i < len(j.bookings) {
			b := j.bookings[i]
			pool.Submit(func() { j.book(ctx, b) })
		}
	}
	for i := len(j.questions); i < len(j.bookings); i++ {
		pool.Submit(func() { j.book(ctx, j.bookings[i]) })
	}
	_ = j.fleet.engines[0].Close()
	fmt.Fprintln(w, "Lost engine-0 with its streams in progress.")
	half.Wait()
	fmt.Fprintln(w, "Stopping node-1 as planned; its requests finish, new ones go to node-0.")
	j.fleet.stopNode(nodeCount - 1)
	pool.StopAndWait()
}

// ask sends a question until its whole answer has come. A caller whose stream
// ended early continues after the last chunk, at the other node.
func (j *job) ask(ctx context.Context, q question) {
	var whole tphistory.Operation
	last := -1
	for try := range maxTries {
		node := j.fleet.nodes[(q.firstNode+try)%nodeCount]
		op := q.caller.Stream(ctx, node.CallerAddress(), "/v1/language", q.id, q.body, last)
		if try > 0 {
			j.count(last >= 0)
		}
		if op.Chunks > 0 {
			last = op.LastChunk
		}
		op.Answer = whole.Answer + op.Answer
		whole = op
		if op.Outcome == tphistory.OK {
			break
		}
		<-j.settings.Clock.After(retryDelay)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[q.id] = whole
}

// book books a slot, and repeats the same call through the other node as a
// caller does that is not sure.
func (j *job) book(ctx context.Context, b booking) {
	for try, successes := 0, 0; try < maxTries && successes < 2; try++ {
		node := j.fleet.nodes[(b.firstNode+try)%nodeCount]
		op := b.caller.Call(ctx, node.CallerAddress(), "/v1/booking", b.key, b.body)
		j.mu.Lock()
		j.booked[b.key] = append(j.booked[b.key], op)
		j.mu.Unlock()
		if op.Outcome == tphistory.OK {
			successes++
			continue
		}
		<-j.settings.Clock.After(retryDelay)
	}
}

func (j *job) count(resumed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.retried++
	if resumed {
		j.resumed++
	}
}

// wantAnswer returns the whole answer to a question.
func wantAnswer(q question) string {
	var want strings.Builder
	for n := range (q.body.MaxTokens + chunkTokens - 1) / chunkTokens {
		want.WriteString(tpenginefake.ChunkText(q.id, q.body.Seed, n))
	}
	return want.String()
}
