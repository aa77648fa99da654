package tpring_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/proof/tpseed"
	"teaselpin.example/teaselpin/pkg/tpring"
)

func TestMain(m *testing.M) { os.Exit(tpseed.Run(m, tpseed.Default)) }

// Guards against values that are lost, duplicated or reordered when the buffer
// wraps around or grows, or when TryPut or PutDropOldest meets a full ring.
func TestRingMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 70).Draw(t, "capacity")
		r := tpring.New[int](tpring.Settings{Capacity: capacity})
		var want []int
		for i := range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				err := r.TryPut(i)
				if got, full := errors.Is(err, tpring.ErrFull), len(want) == capacity; got != full {
					t.Fatalf("full: got %v, want %v", got, full)
				}
				if err == nil {
					want = append(want, i)
				}
			case 1:
				if err := r.PutDropOldest(i); err != nil {
					t.Fatal(err)
				}
				want = append(want, i)
				if len(want) > capacity {
					want = want[1:]
				}
			case 2:
				got, err := r.TryTake()
				if len(want) == 0 {
					if !errors.Is(err, tpring.ErrEmpty) {
						t.Fatalf("got %v, want ErrEmpty", err)
					}
					continue
				}
				if got != want[0] {
					t.Fatalf("got %d, want %d", got, want[0])
				}
				want = want[1:]
			}
		}
		if got := r.Stats().Depth; got != len(want) {
			t.Fatalf("depth: got %d, want %d", got, len(want))
		}
	})
}

// Guards against a value that is lost while producers and consumers block, and
// against a consumer that stays blocked after Close.
func TestRingDrainsOnClose(t *testing.T) {
	const producers, each = 4, 500
	r := tpring.New[int](tpring.Settings{Capacity: 3})
	var put, take sync.WaitGroup
	for range producers {
		put.Go(func() {
			for i := range each {
				if err := r.Put(i); err != nil {
					t.Errorf("put: %v", err)
				}
			}
		})
	}
	var mu sync.Mutex
	got := 0
	for range 3 {
		take.Go(func() {
			for {
				if _, err := r.Take(); err != nil {
					return
				}
				mu.Lock()
				got++
				mu.Unlock()
			}
		})
	}
	put.Wait()
	r.Close()
	take.Wait()
	if want := producers * each; got != want {
		t.Errorf("taken: got %d, want %d", got, want)
	}
	if err := r.Put(1); !errors.Is(err, tpring.ErrClosed) {
		t.Errorf("put after close: got %v, want ErrClosed", err)
	}
}

func ExampleRing() {
	var r tpring.Ring[string]
	_ = r.Put("first")
	_ = r.Put("second")
	r.Close()
	for {
		v, err := r.Take()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(v)
	}
	// Output:
	// first
	// second
	// ring is closed
}

func BenchmarkRingHop(b *testing.B) {
	for _, producers := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("producers=%d", producers), func(b *testing.B) {
			b.ReportAllocs()
			r := tpring.New[[4]uint64](tpring.Settings{Capacity: 1024})
			var wg sync.WaitGroup
			for p := range producers {
				n := b.N / producers
				if p == 0 {
					n += b.N % producers
				}
				wg.Go(func() {
					for i := range n {
						_ = r.Put([4]uint64{uint64(i)})
					}
				})
			}
			for range b.N {
				if _, err := r.Take(); err != nil {
					b.Fatal(err)
				}
			}
			wg.Wait()
		})
	}
}

// Guards against a producer that stays blocked on a full ring after its context
// is done, because the consumer takes no value.
func TestPutContextEnds(t *testing.T) {
	r := tpring.New[int](tpring.Settings{Capacity: 1})
	ctx, cancel := context.WithCancel(t.Context())
	if err := r.PutContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- r.PutContext(ctx, 2) }()
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("put on a full ring: got %v, want %v", err, context.Canceled)
	}
	if got, err := r.Take(); got != 1 || err != nil {
		t.Errorf("take: got %d %v, want 1", got, err)
	}
}
