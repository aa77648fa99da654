package tprelay_test

import (
	"context"
	"fmt"
	"testing"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/stage3/tprelay"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// partsUpstream delivers scripted parts in each run. A run that delivers all of
// them has the end of its script.
type partsUpstream struct {
	scriptedUpstream
	scripts []script
}

type script struct {
	parts   []tpmessage.AnswerPart
	end     tprelay.End
	failure []tpmessage.AnswerPart // answer with an error status, which is not delivered
}

func (u *partsUpstream) Run(_ context.Context, s *tprelay.UpstreamRequest, deliver func(tpmessage.AnswerPart) error) (tprelay.Result, []tpmessage.AnswerPart) {
	u.runs = append(u.runs, *s)
	next := u.scripts[0]
	u.scripts = u.scripts[1:]
	if next.failure != nil {
		return tprelay.Result{Status: next.failure[0].Head.Status}, next.failure
	}
	for _, p := range next.parts {
		if err := deliver(p); err != nil {
			return tprelay.Result{End: tprelay.EndIncomplete, Err: err}, nil
		}
	}
	return tprelay.Result{End: next.end, Status: 200}, nil
}

func eventHead() tpmessage.AnswerPart {
	return tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: 200, MediaType: "text/event-stream"}, Event: -1}
}

func events(numbers ...int) (parts []tpmessage.AnswerPart) {
	for _, n := range numbers {
		parts = append(parts, tpmessage.AnswerPart{Data: fmt.Appendf(nil, "%d ", n), Event: n})
	}
	return parts
}

// Guards against a stream that broke off and goes on with what is no exact continuation.
func TestOnlyExactContinuationIsJoined(t *testing.T) {
	end := tpmessage.AnswerPart{Event: -1, End: true}
	text := tpmessage.AnswerPart{Data: []byte("error "), Event: -1}
	comment := tpmessage.AnswerPart{Data: []byte(": "), Event: -1, Comment: true}
	answer := func(head tpmessage.AnswerPart, parts ...tpmessage.AnswerPart) script {
		return script{parts: append([]tpmessage.AnswerPart{head}, parts...)}
	}
	headOf := func(status int, mediaType string) tpmessage.AnswerPart {
		return tpmessage.AnswerPart{Head: &tpmessage.AnswerHead{Status: status, MediaType: mediaType}, Event: -1}
	}
	framedHead := eventHead()
	framedHead.Head.Framed = true
	first := events(0, 1, 2)
	for _, test := range []struct {
		name  string
		first []tpmessage.AnswerPart
		next  script
		text  string
		whole bool
	}{
		{"exact", first, answer(eventHead(), append(events(3, 4), end)...), "0 1 2 3 4 ", true},
		{"exact with repeats", first, answer(eventHead(), append(events(0, 1, 2, 3, 4), end)...), "0 1 2 3 4 ", true},
		{"exact with a comment", first, answer(eventHead(), append([]tpmessage.AnswerPart{comment}, append(events(3), end)...)...), "0 1 2 3 ", true},
		{"the last event once more", first, answer(eventHead(), append(events(2), end)...), "0 1 2 ", true},
		{"numbers with gaps", events(0, 4, 8), answer(eventHead(), append(events(12, 13), end)...), "0 4 8 12 13 ", true},
		{"a first number other than 0", events(1, 2), answer(eventHead(), append(events(3), end)...), "1 2 3 ", true},
		{"comment before the break", append([]tpmessage.AnswerPart{comment}, first...), answer(eventHead(), append(events(3), end)...), ": 0 1 2 3 ", true},
		{"error status", first, script{failure: []tpmessage.AnswerPart{headOf(500, "text/event-stream"), text, end}}, "0 1 2 ", false},
		{"text without a number", first, answer(eventHead(), text, end), "0 1 2 ", false},
		{"text after some events", first, answer(eventHead(), append(events(3), text, end)...), "0 1 2 3 ", false},
		{"another type", first, answer(headOf(200, "application/json"), append(events(3, 4), end)...), "0 1 2 ", false},
		{"no type", first, answer(headOf(200, ""), append(events(3, 4), end)...), "0 1 2 ", false},
		{"another status", first, answer(headOf(204, "text/event-stream"), end), "0 1 2 ", false},
		{"empty", first, answer(eventHead(), end), "0 1 2 ", false},
		{"empty, with an end of its own", first, answer(framedHead, end), "0 1 2 ", true},
		{"only earlier events, with an end of its own", first, answer(framedHead, append(events(0, 1), end)...), "0 1 2 ", false},
		{"only a comment", first, answer(eventHead(), comment, end), "0 1 2 ", false},
		{"only earlier events", first, answer(eventHead(), append(events(0, 1), end)...), "0 1 2 ", false},
		{"later start", first, answer(eventHead(), append(events(4, 5), end)...), "0 1 2 ", false},
		{"later start after one event", events(0), answer(eventHead(), append(events(2), end)...), "0 ", false},
		{"piece missing", first, answer(eventHead(), append(events(3, 5), end)...), "0 1 2 3 ", false},
		{"text before the break", append([]tpmessage.AnswerPart{text}, first...), answer(eventHead(), append(events(3), end)...), "error 0 1 2 ", false},
	} {
		u := &partsUpstream{scripts: []script{{parts: append([]tpmessage.AnswerPart{eventHead()}, test.first...), end: tprelay.EndIncomplete}, test.next}}
		out, _ := runScript(t, u, resumable, tpplace.StepRun, 1)
		if out.text != test.text || out.ended != test.whole || out.broken == test.whole || out.refusal != nil {
			t.Errorf("%s: got %q, ended %v, broken %v, refusal %v; want %q, complete %v",
				test.name, out.text, out.ended, out.broken, out.refusal, test.text, test.whole)
		}
	}
}
