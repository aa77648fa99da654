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

// Defaults and limits of the demonstration.
const (
	DefaultRequests = 60
	DefaultBookings = 20
	maxCallers      = 32
	chunkTokens     = tpenginefake.DefaultChunkTokens
	// retryDelay is the delay before a caller sends a failed request again.
	retryDelay = 50 * time.Millisecond
	// maxAttempts is the maximum number of times that a caller sends one
	// request.
	maxAttempts = 20
)

// Settings configures the demonstration. A zero field stands for its default.
// The seed determines the prompts.
type Settings struct {
	Requests int
	Bookings int
	Seed     uint64
	Clock    tpclock.Clock
	Log      zerolog.Logger
}

// question is a language request. Its first attempt goes to the node with the
// index firstNode.
type question struct {
	id        string
	caller    *tphistory.Caller
	body      tpfront.LanguageBody
	kind      string
	firstNode int
}

// booking is a call that books one slot. The key is its idempotency key.
type booking struct {
	key       string
	caller    *tphistory.Caller
	body      string
	firstNode int
}

// Run runs the demonstration and prints a report to w. It returns an error if
// an answer was incomplete or a booking did not run exactly once.
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
	d := &demo{fleet: f, settings: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	d.generate()
	d.run(ctx, w)
	return d.report(w)
}

// demo is the state of one demonstration.
type demo struct {
	fleet     *fleet
	settings  Settings
	random    *rand.Rand
	questions []question
	bookings  []booking

	mu         sync.Mutex
	answerOps  map[string]tphistory.Operation
	bookingOps map[string][]tphistory.Operation
	retried    int
	resumed    int
}

// generate generates the questions and bookings. Every third question is a long
// dossier with a short answer; the others have a short prompt and a longer
// answer.
func (d *demo) generate() {
	d.answerOps = make(map[string]tphistory.Operation)
	d.bookingOps = make(map[string][]tphistory.Operation)
	callers := make([]*tphistory.Caller, len(organisations))
	for i, o := range organisations {
		callers[i] = tphistory.NewCaller(i, o.Name)
	}
	for i := range d.settings.Requests {
		q := question{
			id: uuid.Must(uuid.NewV7()).String(), caller: callers[i%len(callers)], kind: "question", firstNode: i % nodeCount,
			body: tpfront.LanguageBody{Prompt: fmt.Sprintf("Which voucher fits case %d?", i), MaxTokens: 80, Seed: d.random.Int64()},
		}
		if i%3 == 0 {
			q.kind = "dossier"
			q.body.Prompt = strings.Repeat("A line of a long case dossier. ", 400+d.random.IntN(400))
			q.body.MaxTokens = 24
		}
		d.questions = append(d.questions, q)
	}
	for i := range d.settings.Bookings {
		d.bookings = append(d.bookings, booking{
			key: uuid.Must(uuid.NewV7()).String(), caller: callers[i%len(callers)], firstNode: i % nodeCount,
			body: fmt.Sprintf(`{"slot":%d}`, i),
		})
	}
}

// run sends all requests with up to maxCallers at a time. It closes an engine
// while streams are in progress, and stops a node gracefully when the first
// half of the questions has ended.
func (d *demo) run(ctx context.Context, w io.Writer) {
	pool := pond.NewPool(maxCallers)
	var firstHalf sync.WaitGroup
	firstHalf.Add(len(d.questions) / 2)
	for i, q := range d.questions {
		pool.Submit(func() {
			if i < len(d.questions)/2 {
				defer firstHalf.Done()
			}
			d.sendQuestion(ctx, q)
		})
		if i < len(d.bookings) {
			b := d.bookings[i]
			pool.Submit(func() { d.sendBooking(ctx, b) })
		}
	}
	for i := len(d.questions); i < len(d.bookings); i++ {
		pool.Submit(func() { d.sendBooking(ctx, d.bookings[i]) })
	}
	_ = d.fleet.engines[0].Close()
	fmt.Fprintln(w, "Lost engine-0 with its streams in progress.")
	firstHalf.Wait()
	fmt.Fprintln(w, "Stopping node-1 as planned; its requests finish, new ones go to node-0.")
	d.fleet.stopNode(nodeCount - 1)
	pool.StopAndWait()
}

// sendQuestion sends a question until its answer is complete. After a stream
// that ended early, the caller resumes after the last received chunk, at the
// other node.
func (d *demo) sendQuestion(ctx context.Context, q question) {
	var merged tphistory.Operation
	lastChunk := -1
	for attempt := range maxAttempts {
		node := d.fleet.nodes[(q.firstNode+attempt)%nodeCount]
		op := q.caller.Stream(ctx, node.CallerAddress(), "/v1/language", q.id, q.body, lastChunk)
		if attempt > 0 {
			d.countRetry(lastChunk >= 0)
		}
		if op.ChunkCount > 0 {
			lastChunk = op.LastChunk
		}
		op.Answer = merged.Answer + op.Answer
		merged = op
		if op.Outcome == tphistory.OutcomeOK {
			break
		}
		<-d.settings.Clock.After(retryDelay)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answerOps[q.id] = merged
}

// sendBooking sends the same call to alternate nodes until it has succeeded
// twice, as a caller does that does not know whether its call succeeded.
func (d *demo) sendBooking(ctx context.Context, b booking) {
	for attempt, successes := 0, 0; attempt < maxAttempts && successes < 2; attempt++ {
		node := d.fleet.nodes[(b.firstNode+attempt)%nodeCount]
		op := b.caller.Call(ctx, node.CallerAddress(), "/v1/booking", b.key, b.body)
		d.mu.Lock()
		d.bookingOps[b.key] = append(d.bookingOps[b.key], op)
		d.mu.Unlock()
		if op.Outcome == tphistory.OutcomeOK {
			successes++
			continue
		}
		<-d.settings.Clock.After(retryDelay)
	}
}

func (d *demo) countRetry(resumed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retried++
	if resumed {
		d.resumed++
	}
}

// expectedAnswer returns the complete answer to a question.
func expectedAnswer(q question) string {
	var want strings.Builder
	for n := range (q.body.MaxTokens + chunkTokens - 1) / chunkTokens {
		want.WriteString(tpenginefake.ChunkText(q.id, q.body.Seed, n))
	}
	return want.String()
}
