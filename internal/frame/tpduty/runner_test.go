package tpduty_test

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpclock"
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

// Guards against one malformed value that ends a filter, while the process goes
// on without it, and against a panic that nobody hears of.
func TestFilterSurvivesPanic(t *testing.T) {
	r, stop := tpduty.NewRunner(tpduty.Settings{})
	defer stop()
	var panics []tpduty.Panic
	r.OnPanic(func(p tpduty.Panic) { panics = append(panics, p) })
	in := tpring.New[int](tpring.Settings{Capacity: 8})
	var got []int
	cleanup, err := tpduty.StartFilter(r, "divide", in, func(v int) { got = append(got, 12/v) })
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []int{3, 0, 4} {
		if err := in.Put(v); err != nil {
			t.Fatal(err)
		}
	}
	cleanup()
	if len(got) != 2 || got[0] != 4 || got[1] != 3 {
		t.Errorf("results: got %v, want [4 3]", got)
	}
	if len(panics) != 1 || panics[0].Duty != "divide" || panics[0].Input != "0" || panics[0].Ended ||
		!strings.Contains(panics[0].Value, "divide by zero") || !strings.Contains(panics[0].Stack, "runner_test.go") {
		t.Errorf("panics: got %+v, want one of divide, with its input, value and stack", panics)
	}
}

// Guards against a timer that ends with its first panic, and against a duty that
// ends with a panic and is not reported as ended.
func TestTimerSurvivesPanic(t *testing.T) {
	r, stop := tpduty.NewRunner(tpduty.Settings{})
	defer stop()
	reported := make(chan tpduty.Panic, 2)
	r.OnPanic(func(p tpduty.Panic) { reported <- p })
	calls := make(chan int, 4)
	n := 0
	cleanup, err := tpduty.StartTimer(r, "tick", tpclock.System{}, func() time.Duration {
		n++
		calls <- n
		if n == 1 {
			panic("first call")
		}
		return time.Hour
	})
	if err != nil {
		t.Fatal(err)
	}
	for want := 1; want <= 2; want++ {
		if got := <-calls; got != want {
			t.Errorf("call: got %d, want %d", got, want)
		}
	}
	if p := <-reported; p.Duty != "tick" || p.Ended {
		t.Errorf("panic of the timer: got %+v, want one that did not end it", p)
	}
	cleanup()
	wait, err := r.Go("once", func() { panic("over") })
	if err != nil {
		t.Fatal(err)
	}
	wait()
	if p := <-reported; p.Duty != "once" || !p.Ended {
		t.Errorf("panic of the duty: got %+v, want one that ended it", p)
	}
}
