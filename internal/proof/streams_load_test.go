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
	// streamsSeed is the seed of each language request in these tests; the
	// answers depend on it.
	streamsSeed = 20261204
	// chunkTimeout is the time without a chunk after which a caller closes the
	// connection and turns to another node. It is longer than a node waits for
	// the next chunk of an engine.
	chunkTimeout = 20 * time.Second
	// maxConnections limits the number of connections that a caller makes for
	// one answer.
	maxConnections = 200
)

// streamLoad runs callers that stream answers, and records the outcome of each
// connection.
type streamLoad struct {
	t             *testing.T
	nodeAddresses func() []string // caller addresses of the nodes that a load balancer offers

	mu             sync.Mutex
	ops            []tphistory.Operation
	chunksReceived map[int]int // by caller: chunks of its current answer
}

// newStreamLoad returns a load over the nodes of a fleet. If the test fails, it
// logs the seed, the outcome of each connection and the event timeline of the
// nodes.
func newStreamLoad(t *testing.T, f *tpprocess.Fleet) *streamLoad {
	l := &streamLoad{t: t, chunksReceived: make(map[int]int)}
	l.nodeAddresses = func() []string {
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

func (l *streamLoad) history() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var text strings.Builder
	for _, op := range l.ops {
		fmt.Fprintf(&text, "%s %s caller %d request %s: %s, chunks %d to %d, %+v %s\n",
			op.Invoked.Format("05.000"), op.Returned.Format("05.000"), op.Caller, op.RequestID,
			op.Outcome, op.LastChunk-op.ChunkCount+1, op.LastChunk, op.Refusal, op.Violation)
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

// result is the answer that a caller assembled from all its connections, and
// the outcomes of these.
type result struct {
	answer string
	ops    []tphistory.Operation
}

func (r *result) last() tphistory.Operation { return r.ops[len(r.ops)-1] }

// request streams one answer. After any outcome but a complete answer, a
// quarantined request or a violation of the protocol, the caller continues
// after the last chunk that it received, at the next node.
func (l *streamLoad) request(caller int, id string, body tpfront.LanguageBody) result {
	var r result
	lastChunk := -1
	for attempt := range maxConnections {
		nodeAddresses := l.nodeAddresses()
		op := l.connect(caller, nodeAddresses[(caller+attempt)%len(nodeAddresses)], id, body, lastChunk)
		r.ops = append(r.ops, op)
		r.answer += op.Answer
		lastChunk = op.LastChunk
		final := op.Outcome == tphistory.OutcomeOK || op.Refusal.Code == tpmessage.RefusalQuarantined
		if final || op.Violation != "" || l.t.Context().Err() != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return r
}

// connect makes one connection and closes it when no chunk arrives within
// chunkTimeout. It continues the answer after the chunk with number lastChunk;
// -1 stands for a new answer.
func (l *streamLoad) connect(caller int, node, id string, body tpfront.LanguageBody, lastChunk int) tphistory.Operation {
	ctx, cancel := context.WithCancel(l.t.Context())
	defer cancel()
	chunkTimer := time.AfterFunc(chunkTimeout, cancel)
	defer chunkTimer.Stop()
	c := tphistory.NewCaller(caller, tpprocess.Token)
	c.OnChunk = func(number int) {
		chunkTimer.Reset(chunkTimeout)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.chunksReceived[caller] = number + 1
	}
	op := c.Stream(ctx, node, "/v1/language", id, body, lastChunk)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
	return op
}

// waitFirstChunks waits until each of the callers 0 to n-1 has received a
// chunk.
func (l *streamLoad) waitFirstChunks(n int) {
	l.t.Helper()
	tpprocess.Eventually(l.t, "all callers have received a chunk", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for caller := range n {
			if l.chunksReceived[caller] == 0 {
				return false
			}
		}
		return true
	})
}

// requestAll starts callers 0 to n-1, which concurrently request one answer
// each and check that it is complete. The caller of requestAll waits for the
// returned group.
func (l *streamLoad) requestAll(n, tokens int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for caller := range n {
		wg.Go(func() { l.requestAndCheck(caller, fmt.Sprintf("question of caller %d", caller), tokens) })
	}
	return &wg
}

// requestAndCheck requests one answer and checks that it is complete.
func (l *streamLoad) requestAndCheck(caller int, prompt string, tokens int) {
	id := uuid.Must(uuid.NewV7()).String()
	r := l.request(caller, id, tpfront.LanguageBody{Prompt: prompt, MaxTokens: tokens, Seed: streamsSeed})
	if op := r.last(); op.Outcome != tphistory.OutcomeOK || r.answer != expectedAnswer(id, tokens) {
		l.t.Errorf("caller %d, request %s: got %s %q %+v, want the complete answer", caller, id, op.Outcome, op.Violation, op.Refusal)
	}
}

func expectedAnswer(id string, tokens int) string {
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

// put sends a value as JSON to a stand-in by an HTTP PUT request.
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
		t.Fatalf("PUT to %s: got %s", url, resp.Status)
	}
}

// engineRuns returns the requests that the stand-in engine recorded.
func engineRuns(t *testing.T, engine *tpprocess.Process) []tpenginefake.Run {
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
