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
	benchStreams = 64  // at the same time
	benchChunks  = 400 // of a long answer
	// aimedRequests and aimedTokens are what one of 370 nodes carries a second
	// of 19,000 requests and 6.1 million tokens.
	aimedRequests = 51
	aimedTokens   = 16500
)

// BenchmarkNodeCost measures the processor time of a node for each request and
// each chunk, and the processor time of the whole path with a node as a ratio
// to a direct connection in the same run. Run it with -benchtime=20x.
func BenchmarkNodeCost(b *testing.B) {
	f := tpprocess.StartFleet(b, tpprocess.FleetSettings{
		Engines: 1, Nodes: 1, EngineArgs: []string{"--step", "1ms", "--max-batch", "256"},
	})
	engine, node := f.Engines[0], f.Nodes[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	direct := func(chunks int) {
		post(b, client, "http://"+engine.Addresses[0]+tptarget.PathGenerate, generateBody(chunks))
	}
	through := func(chunks int) { post(b, client, "http://"+node.Addresses[0]+"/v1/language", languageBody(chunks)) }
	all := func() time.Duration { return node.ProcessorTime(b) + engine.ProcessorTime(b) + ownTime(b) }
	measure := func(request func(int), chunks int) (total, ofNode time.Duration) {
		allBefore, nodeBefore := all(), node.ProcessorTime(b)
		for range b.N {
			var wg sync.WaitGroup
			for range benchStreams {
				wg.Go(func() { request(chunks) })
			}
			wg.Wait()
		}
		return all() - allBefore, node.ProcessorTime(b) - nodeBefore
	}
	requests := float64(b.N * benchStreams)
	shortDirect, _ := measure(direct, 1)
	shortThrough, shortNode := measure(through, 1)
	longDirect, _ := measure(direct, benchChunks)
	longThrough, longNode := measure(through, benchChunks)

	perRequest := shortNode.Seconds() / requests
	perChunk := max(0, (longNode-shortNode).Seconds()) / requests / (benchChunks - 1)
	b.ReportMetric(perRequest*1e6, "node-µs/request")
	b.ReportMetric(perChunk*1e6, "node-µs/chunk")
	b.ReportMetric(shortThrough.Seconds()/shortDirect.Seconds(), "path/direct-short")
	b.ReportMetric(longThrough.Seconds()/longDirect.Seconds(), "path/direct-long")
	// One token in each chunk is the most expensive case.
	b.ReportMetric(1/(aimedRequests*perRequest+aimedTokens*perChunk), "times-aimed-load/core")
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
		b.Errorf("answer of %s: got %s %v", url, resp.Status, err)
	}
}

// ownTime returns the processor time of this process, the callers.
func ownTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
