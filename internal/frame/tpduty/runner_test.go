package tpduty_test

import (
	"testing"

	"go.uber.org/goleak"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpring"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a filter that stops before it has drained its input, and
// against a goroutine that still runs after its clean-up function has returned.
func TestFilterDrains(t *testing.T) {
	r, stop := tpduty.NewRunner(tpduty.Settings{})
	defer stop()
	in := tpring.New[int](tpring.Settings{Capacity: 2})
	got := 0
	cleanup, err := tpduty.StartFilter(r, "sum", in, func(v int) { got += v })
	if err != nil {
		t.Fatal(err)
	}
	want := 0
	for i := range 100 {
		want += i
		if err := in.Put(i); err != nil {
			t.Fatal(err)
		}
	}
	cleanup()
	if got != want {
		t.Errorf("sum: got %d, want %d", got, want)
	}
	if got := r.Running(); got != 0 {
		t.Errorf("running duties: got %d, want 0", got)
	}
}

// Guards against a duty that silently never starts when the pool is full.
func TestRunnerRefusesWhenFull(t *testing.T) {
	r, stop := tpduty.NewRunner(tpduty.Settings{MaxDuties: 1})
	defer stop()
	release := make(chan struct{})
	defer close(release)
	refused := false
	for range 3 {
		if _, err := r.Go("block", func() { <-release }); err != nil {
			refused = true
		}
	}
	if !refused {
		t.Error("three duties on a runner with MaxDuties 1: got no error, want one")
	}
}
