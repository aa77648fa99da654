package tpdemo_test

import (
	"bytes"
	"strings"
	"testing"

	"teaselpin.example/teaselpin/internal/command/tpdemo"
)

// Guards against a demonstration, the first command of the README, that fails,
// or that reports success without a check of every answer and booking.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	err := tpdemo.Run(t.Context(), &out, tpdemo.Settings{Requests: 30, Bookings: 10, Seed: 1})
	if err != nil {
		t.Errorf("run: got %v, want no error\n%s", err, out.String())
	}
	for _, want := range []string{"10 bookings", "ran 10 times", "Every answer was whole"} {
		if got := out.String(); !strings.Contains(got, want) {
			t.Errorf("report: got %q, want it to contain %q", got, want)
		}
	}
}
