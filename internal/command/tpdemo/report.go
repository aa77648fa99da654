package tpdemo

import (
	"fmt"
	"io"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tphistory"
)

// report prints the result for each organisation and returns an error if the
// job failed.
func (j *job) report(w io.Writer) error {
	partial := j.reportAnswers(w)
	wrong := j.reportBookings(w)
	fmt.Fprintf(w, "Callers tried again %d times, %d of them in the middle of an answer.\n", j.retried, j.resumed)
	if partial > 0 || wrong > 0 {
		return Error.New("%d answers were not whole, %d bookings did not run exactly once", partial, wrong)
	}
	fmt.Fprintln(w, "Every answer was whole and each booking ran once.")
	return nil
}

func (j *job) reportAnswers(w io.Writer) (partial int) {
	for i, o := range organisations {
		whole := 0
		var times []time.Duration
		for _, q := range j.questions {
			if q.caller.Number != i {
				continue
			}
			op := j.answers[q.id]
			if op.Outcome != tphistory.OK || op.Answer != wantAnswer(q) {
				partial++
				fmt.Fprintf(w, "  %s %s: %s after %d chunks: %s\n", q.kind, q.id, op.Outcome, op.LastChunk+1, op.Refusal.Reason)
				continue
			}
			whole++
			times = append(times, op.Returned.Sub(op.Invoked))
		}
		fmt.Fprintf(w, "%-16s share %.0f%%: %d whole answers, median %v\n",
			o.Name, o.Share*100, whole, median(times).Round(time.Millisecond))
	}
	return partial
}

func (j *job) reportBookings(w io.Writer) (wrong int) {
	runs := make(map[string]int)
	for _, run := range j.fleet.service.Runs() {
		runs[run.Key]++
	}
	calls, lost, refused := 0, 0, 0
	for _, b := range j.bookings {
		for _, op := range j.booked[b.key] {
			calls++
			switch op.Outcome {
			case tphistory.Unknown:
				lost++
			case tphistory.Refused:
				refused++
			case tphistory.OK:
			}
		}
		if err := checkBooking(runs[b.key], j.booked[b.key]); err != nil {
			wrong++
			fmt.Fprintf(w, "  booking %s: %v\n", b.key, err)
		}
	}
	fmt.Fprintf(w, "%d bookings, sent %d times (%d refused, %d without an answer from the stopped node), ran %d times at the service.\n",
		len(j.bookings), calls, refused, lost, len(j.fleet.service.Runs()))
	return wrong
}

// checkBooking holds that a key ran once and that each answer was the same.
func checkBooking(runs int, calls []tphistory.Operation) error {
	if runs != 1 {
		return Error.New("ran %d times", runs)
	}
	answer := ""
	for _, op := range calls {
		if op.Outcome != tphistory.OK {
			continue
		}
		if answer != "" && op.Answer != answer {
			return Error.New("answered %s and then %s", answer, op.Answer)
		}
		answer = op.Answer
	}
	if answer == "" {
		return Error.New("was never confirmed: %+v", calls[len(calls)-1].Refusal)
	}
	return nil
}

func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
