package tpjournal_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	platformLatency = 3 * time.Millisecond  // of one call to the platform
	serviceLatency  = 20 * time.Millisecond // of one run of a call
)

// timedStore answers after platformLatency and counts calls and bytes.
type timedStore struct {
	tpobject.Store
	puts, gets, bytes atomic.Int64
}

func (s *timedStore) Get(ctx context.Context, name string) (tpobject.Object, error) {
	s.gets.Add(1)
	time.Sleep(platformLatency)
	return s.Store.Get(ctx, name)
}

func (s *timedStore) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	s.puts.Add(1)
	s.bytes.Add(int64(len(value)))
	time.Sleep(platformLatency)
	return s.Store.Put(ctx, name, value, version)
}

// benchCalls makes b.N calls at the given rate per second, spread over all
// shards of one region. The reported latency is the time from the claim to its
// committed answer, in milliseconds.
func benchCalls[S tpjournal.Scheme](b *testing.B, rate int, newShard func(tpjournal.Settings) S) {
	duties, stopDuties := tpduty.NewRunner(tpduty.Settings{})
	defer stopDuties()
	store := &timedStore{Store: new(tpobject.Memory)}
	holder := tpjournal.NewHolder(func(shard int) S {
		return newShard(tpjournal.Settings{Region: "r", Shard: shard, Holder: "bench"})
	})
	server, stop, err := tpjournal.NewServer(tpjournal.ServerSettings{Store: store}, holder, duties, new(tpring.Group))
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	latencies := make([]time.Duration, b.N)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			key, attempt := uuid.Must(uuid.NewV7()).String(), uuid.NewString()
			begin := time.Now()
			a := server.Do(b.Context(), tpjournal.Op{Kind: tpjournal.OpClaim, Key: key, Attempt: attempt, Organisation: "bergamo", Pool: "booking"})
			latencies[i] = time.Since(begin)
			if a.State != tpjournal.AnswerCommitted {
				b.Errorf("claim: got %s, want committed", a.State)
			}
			time.Sleep(serviceLatency)
			server.Do(b.Context(), tpjournal.Op{Kind: tpjournal.OpSettle, Key: key, Attempt: attempt, Status: 200, Result: make([]byte, 200)})
		})
	}
	elapsed := time.Since(start)
	wg.Wait()
	slices.Sort(latencies)
	b.ReportMetric(float64(store.puts.Load())/float64(b.N), "writes/call")
	b.ReportMetric(float64(store.puts.Load())/elapsed.Seconds(), "writes/s")
	b.ReportMetric(float64(store.bytes.Load())/float64(b.N), "written-B/call")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[b.N*95/100].Microseconds())/1000, "p95-ms")
}

// BenchmarkCalls compares group commit with one object for each call, at three
// call rates of a region. A call to the platform takes 3 ms and a run of the
// service 20 ms.
func BenchmarkCalls(b *testing.B) {
	for _, rate := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("grouped/%d-per-s", rate), func(b *testing.B) {
			benchCalls(b, rate, tpjournal.NewGroupCommit)
		})
		b.Run(fmt.Sprintf("per-call/%d-per-s", rate), func(b *testing.B) {
			benchCalls(b, rate, tpjournal.NewPerCall)
		})
	}
}

// BenchmarkState measures the memory that the holder of one shard uses for each
// entry, and the encoded size of an entry on the platform.
func BenchmarkState(b *testing.B) {
	for _, c := range []struct{ entries, result int }{
		{1_000, 200}, {10_000, 200}, {50_000, 200}, {10_000, 0}, {10_000, 1 << 10}, {10_000, 4 << 10},
	} {
		b.Run(fmt.Sprintf("entries=%d/result=%dB", c.entries, c.result), func(b *testing.B) {
			for b.Loop() {
				memory, encoded := measureState(b, c.entries, c.result)
				b.ReportMetric(memory, "mem-B/entry")
				b.ReportMetric(encoded, "json-B/entry")
			}
		})
	}
}

// measureState fills one shard with completed calls and returns its bytes per
// entry, in memory and encoded.
func measureState(b *testing.B, entries, result int) (memory, encoded float64) {
	b.Helper()
	var store tpobject.Memory
	writer := tpjournal.NewGroupCommit(tpjournal.Settings{Region: "r", Holder: "feeder", Interval: time.Nanosecond})
	writeEntries(b, writer, &store, entries, result)
	size := encodedSize(b, &store)
	// The measured holder reads what the writer stored, as after a change of
	// the holder, and shares no memory with the writer.
	before := heapBytes()
	g := tpjournal.NewGroupCommit(tpjournal.Settings{Region: "r", Holder: "bench"})
	writeEntries(b, g, &store, 1, 0)
	after := heapBytes()
	if got := g.Entries(); got != entries+1 {
		b.Fatalf("entries: got %d, want %d", got, entries+1)
	}
	runtime.KeepAlive(writer)
	runtime.KeepAlive(&store)
	return float64(after-before) / float64(entries), float64(size) / float64(entries)
}

func encodedSize(b *testing.B, store *tpobject.Memory) int {
	list, err := store.List(b.Context(), tpjournal.ShardName("r", 0))
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for _, o := range list {
		size += len(o.Value)
	}
	return size
}

func heapBytes() int64 {
	// The second collection frees what the first one removed from sync.Pool.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// writeEntries claims and settles keys in groups of 50.
func writeEntries(b *testing.B, g *tpjournal.GroupCommit, store *tpobject.Memory, entries, result int) {
	b.Helper()
	now := time.Now()
	var in []tpjournal.Input
	for i := range entries {
		key := uuid.Must(uuid.NewV7()).String()
		attempt := uuid.NewString()
		in = append(in,
			tpjournal.Input{Op: tpjournal.Op{Kind: tpjournal.OpClaim, Key: key, Attempt: attempt, Organisation: "bergamo", Pool: "booking"}},
			tpjournal.Input{Op: tpjournal.Op{Kind: tpjournal.OpSettle, Key: key, Attempt: attempt, Status: 200, Result: make([]byte, result)}},
		)
		if i%50 != 49 && i < entries-1 {
			continue
		}
		for len(in) > 0 {
			now = now.Add(time.Microsecond)
			out := g.Step(now, in[0], nil)
			in = in[1:]
			for _, o := range out {
				if o.Command != nil {
					in = append(in, tpjournal.Input{Kind: tpjournal.InputResult, Result: carryOut(b, store, o.Command)})
				}
			}
		}
	}
}
