package proof_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
)

const (
	benchStreams = 64  // concurrent streams
	benchChunks  = 400 // chunks of a long answer
	// plannedRequestsPerSecond and plannedTokensPerSecond are the load of one
	// of 370 nodes that together serve 19,000 requests and 6.1 million tokens a
	// second.
	plannedRequestsPerSecond = 51
	plannedTokensPerSecond   = 16500
)

// BenchmarkNodeCost measures the CPU time of a node per request and per chunk.
// It also measures the CPU time of node, engine and callers together, as a
// ratio to that of direct connections to the engine in the same run. Run it
// with -benchtime=20x.
func BenchmarkNodeCost(b *testing.B) {
	f := tpprocess.StartFleet(b, tpprocess.FleetSettings{
		Engines: 1, Nodes: 1, EngineArgs: []string{"--step", "1ms", "--max-batch", "256"},
	})
	engine, node := f.Engines[0], f.Nodes[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	direct := func(chunks int) {
		post(b, client, "http://"+engine.Addresses[0]+tptarget.PathGenerate, generateBody(chunks))
	}
	throughNode := func(chunks int) { post(b, client, "http://"+node.Addresses[0]+"/v1/language", languageBody(chunks)) }
	totalTime := func() time.Duration { return node.CPUTime(b) + engine.CPUTime(b) + ownCPUTime(b) }
	measure := func(request func(int), chunks int) (total, nodeTime time.Duration) {
		totalBefore, nodeBefore := totalTime(), node.CPUTime(b)
		for range b.N {
			var wg sync.WaitGroup
			for range benchStreams {
				wg.Go(func() { request(chunks) })
			}
			wg.Wait()
		}
		return totalTime() - totalBefore, node.CPUTime(b) - nodeBefore
	}
	requests := float64(b.N * benchStreams)
	shortDirect, _ := measure(direct, 1)
	shortThrough, shortNode := measure(throughNode, 1)
	longDirect, _ := measure(direct, benchChunks)
	longThrough, longNode := measure(throughNode, benchChunks)

	perRequest := shortNode.Seconds() / requests
	perChunk := max(0, (longNode-shortNode).Seconds()) / requests / (benchChunks - 1)
	b.ReportMetric(perRequest*1e6, "node-µs/request")
	b.ReportMetric(perChunk*1e6, "node-µs/chunk")
	b.ReportMetric(shortThrough.Seconds()/shortDirect.Seconds(), "path/direct-short")
	b.ReportMetric(longThrough.Seconds()/longDirect.Seconds(), "path/direct-long")
	// This assumes one token in each chunk, which is the most expensive case.
	b.ReportMetric(1/(plannedRequestsPerSecond*perRequest+plannedTokensPerSecond*perChunk), "times-aimed-load/core")
}

func generateBody(chunks int) any {
	return tptarget.GenerateRequest{
		RequestID: uuid.Must(uuid.NewV7()).String(), Prompt: "q", PromptTokens: 1,
		MaxTokens: chunks * tpenginefake.DefaultChunkTokens,
	}
}

func languageBody(chunks int) any {
	return tpfront.LanguageBody{Prompt: "q", MaxTokens: chunks * tpenginefake.DefaultChunkTokens}
}

func post(b *testing.B, client *http.Client, url string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		b.Error(err)
		return
	}
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(string(data)))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+tpprocess.Token)
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("answer of %s: got status %s, error %v", url, resp.Status, err)
	}
}

// ownCPUTime returns the CPU time of this process, which runs the
// callers.
func ownCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
