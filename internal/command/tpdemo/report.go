package tpdemo

import (
	"fmt"
	"io"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/proof/tphistory"
)

// report prints the results and returns an error if an answer was incomplete or
// a booking did not run exactly once.
func (d *demo) report(w io.Writer) error {
	incomplete := d.reportAnswers(w)
	wrong := d.reportBookings(w)
	fmt.Fprintf(w, "Callers tried again %d times, %d of them in the middle of an answer.\n", d.retried, d.resumed)
	if incomplete > 0 || wrong > 0 {
		return Error.New("%d answers were not whole, %d bookings did not run exactly once", incomplete, wrong)
	}
	fmt.Fprintln(w, "Every answer was whole and each booking ran once.")
	return nil
}

func (d *demo) reportAnswers(w io.Writer) (incomplete int) {
	for i, o := range organisations {
		complete := 0
		var latencies []time.Duration
		for _, q := range d.questions {
			if q.caller.Number != i {
				continue
			}
			op := d.answerOps[q.id]
			if op.Outcome != tphistory.OutcomeOK || op.Answer != expectedAnswer(q) {
				incomplete++
				fmt.Fprintf(w, "  %s %s: %s after %d chunks: %s\n", q.kind, q.id, op.Outcome, op.LastChunk+1, op.Refusal.Reason)
				continue
			}
			complete++
			latencies = append(latencies, op.Returned.Sub(op.Invoked))
		}
		fmt.Fprintf(w, "%-16s share %.0f%%: %d whole answers, median %v\n",
			o.Name, o.Share*100, complete, median(latencies).Round(time.Millisecond))
	}
	return incomplete
}

func (d *demo) reportBookings(w io.Writer) (wrong int) {
	runs := make(map[string]int)
	for _, run := range d.fleet.service.Runs() {
		runs[run.Key]++
	}
	calls, unanswered, refused := 0, 0, 0
	for _, b := range d.bookings {
		for _, op := range d.bookingOps[b.key] {
			calls++
			switch op.Outcome {
			case tphistory.OutcomeUnknown:
				unanswered++
			case tphistory.OutcomeRefused:
				refused++
			case tphistory.OutcomeOK:
			}
		}
		if err := checkBooking(runs[b.key], d.bookingOps[b.key]); err != nil {
			wrong++
			fmt.Fprintf(w, "  booking %s: %v\n", b.key, err)
		}
	}
	fmt.Fprintf(w, "%d bookings, sent %d times (%d refused, %d without an answer from the stopped node), ran %d times at the service.\n",
		len(d.bookings), calls, refused, unanswered, len(d.fleet.service.Runs()))
	return wrong
}

// checkBooking returns an error unless the key of a booking ran once, at least
// one call was answered, and all answers are the same.
func checkBooking(runs int, ops []tphistory.Operation) error {
	if runs != 1 {
		return Error.New("ran %d times", runs)
	}
	answer := ""
	for _, op := range ops {
		if op.Outcome != tphistory.OutcomeOK {
			continue
		}
		if answer != "" && op.Answer != answer {
			return Error.New("answered %s and then %s", answer, op.Answer)
		}
		answer = op.Answer
	}
	if answer == "" {
		return Error.New("was never confirmed: %+v", ops[len(ops)-1].Refusal)
	}
	return nil
}

func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}
