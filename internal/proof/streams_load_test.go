package proof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/edge/tptimeline"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/internal/proof/tphistory"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// streamsSeed is the seed of the prompts' answers in these tests.
	streamsSeed = 20261204
	// patience is the time without a chunk after which a caller turns to
	// another node. It is above the silence that a node allows an engine.
	patience = 20 * time.Second
	// maxTries bounds the connections of one caller for one answer.
	maxTries = 200
)

// load is a set of callers with what they saw.
type load struct {
	t     *testing.T
	nodes func() []string // addresses for callers that the balancer offers

	mu      sync.Mutex
	ops     []tphistory.Operation
	reached map[int]int // callers by number to the chunks they have
}

// newLoad returns a load over the nodes of a fleet. A failing test prints its
// seed, what the callers saw and the timeline of the nodes.
func newLoad(t *testing.T, f *tpprocess.Fleet) *load {
	l := &load{t: t, reached: make(map[int]int)}
	l.nodes = func() []string {
		var list []string
		for _, n := range f.Nodes {
			list = append(list, n.Addresses[0])
		}
		return list
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d\n%s\n%s", streamsSeed, l.history(), timeline(f))
		}
	})
	return l
}

func (l *load) history() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var text strings.Builder
	for _, op := range l.ops {
		fmt.Fprintf(&text, "%s %s caller %d request %s: %s, chunks %d to %d, %+v %s\n",
			op.Invoked.Format("05.000"), op.Returned.Format("05.000"), op.Caller, op.RequestID,
			op.Outcome, op.LastChunk-op.Chunks+1, op.LastChunk, op.Refusal, op.Violation)
	}
	return text.String()
}

func timeline(f *tpprocess.Fleet) string {
	var addresses []string
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Addresses[1])
	}
	var timelines [][]tpmessage.Event
	var text bytes.Buffer
	for _, g := range tppeer.GatherEvents(context.Background(), addresses) {
		timelines = append(timelines, g.Events)
		if g.Err != nil {
			fmt.Fprintln(&text, "missing:", g.Err)
		}
	}
	events := tpevent.Merge(tpevent.Filter{}, timelines...)
	if err := tptimeline.Write(&text, tptimeline.Format("text"), events); err != nil {
		return err.Error()
	}
	return text.String()
}

// result is what a caller has after all its connections for one answer.
type result struct {
	answer string
	ops    []tphistory.Operation
}

func (r *result) last() tphistory.Operation { return r.ops[len(r.ops)-1] }

// ask gets one answer. After a connection that ended without an end, or a
// refusal that allows it, the caller goes on at the next node.
func (l *load) ask(caller int, id string, body tpfront.LanguageBody) result {
	var r result
	last := -1
	for try := range maxTries {
		nodes := l.nodes()
		op := l.connect(caller, nodes[(caller+try)%len(nodes)], id, body, last)
		r.ops = append(r.ops, op)
		r.answer += op.Answer
		last = op.LastChunk
		final := op.Outcome == tphistory.OK || op.Refusal.Code == tpmessage.RefusalQuarantined
		if final || op.Violation != "" || l.t.Context().Err() != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return r
}

// connect makes one connection and gives it up when no chunk comes in time.
func (l *load) connect(caller int, node, id string, body tpfront.LanguageBody, last int) tphistory.Operation {
	ctx, cancel := context.WithCancel(l.t.Context())
	defer cancel()
	silence := time.AfterFunc(patience, cancel)
	defer silence.Stop()
	c := tphistory.NewCaller(caller, tpprocess.Token)
	c.OnChunk = func(number int) {
		silence.Reset(patience)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reached[caller] = number + 1
	}
	op := c.Stream(ctx, node, "/v1/language", id, body, last)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
	return op
}

// midStream waits until each of the callers below n has received a chunk.
func (l *load) midStream(n int) {
	l.t.Helper()
	tpprocess.Eventually(l.t, "all callers have a chunk", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for caller := range n {
			if l.reached[caller] == 0 {
				return false
			}
		}
		return true
	})
}

// askAll lets callers 0 to n-1 ask for one answer each, at the same time.
func (l *load) askAll(n, tokens int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for caller := range n {
		wg.Go(func() { l.askWhole(caller, fmt.Sprintf("question of caller %d", caller), tokens) })
	}
	return &wg
}

// askWhole asks for one answer and checks that it is whole.
func (l *load) askWhole(caller int, prompt string, tokens int) {
	id := uuid.Must(uuid.NewV7()).String()
	r := l.ask(caller, id, tpfront.LanguageBody{Prompt: prompt, MaxTokens: tokens, Seed: streamsSeed})
	if op := r.last(); op.Outcome != tphistory.OK || r.answer != answerTo(id, tokens) {
		l.t.Errorf("caller %d, request %s: got %s %q %+v, want the whole answer", caller, id, op.Outcome, op.Violation, op.Refusal)
	}
}

func answerTo(id string, tokens int) string {
	var text strings.Builder
	for number := range (tokens + tpenginefake.DefaultChunkTokens - 1) / tpenginefake.DefaultChunkTokens {
		text.WriteString(tpenginefake.ChunkText(id, streamsSeed, number))
	}
	return text.String()
}

func setFaults(t *testing.T, engine *tpprocess.Process, f tpenginefake.Faults) {
	t.Helper()
	put(t, "http://"+engine.Addresses[0]+"/faults", f)
}

// put sends a value as JSON to a stand-in.
func put(t *testing.T, url string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("put to %s: got %s", url, resp.Status)
	}
}

// runsOf returns the engine's record of requests.
func runsOf(t *testing.T, engine *tpprocess.Process) []tpenginefake.Run {
	t.Helper()
	resp, err := http.Get("http://" + engine.Addresses[0] + "/runs")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var runs []tpenginefake.Run
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		t.Fatal(err)
	}
	return runs
}
