package tpjournal_test

import (
	"context"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// localDirectory is a directory in which this node holds every shard.
type localDirectory struct{}

func (localDirectory) HolderOf(int) (string, bool) { return "", true }

// Guards against an early repeat that gets AnswerUnknown although the result of
// the earlier request is recorded one group interval later, and against a
// repeat that waits without end for a result that is never recorded.
func TestRepeatWaitsForResult(t *testing.T) {
	for _, c := range []struct {
		name    string
		unknown int // number of AnswerUnknown before the result
		want    tpjournal.AnswerState
	}{
		{"recorded soon", 2, tpjournal.AnswerDone},
		{"never recorded", 1 << 30, tpjournal.AnswerUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			operations := 0
			answered := make(chan tpjournal.Answer, 1)
			client, cleanup := tpjournal.NewClient(tpjournal.ClientSettings{
				Directory: localDirectory{},
				Window:    1,
				Local: func(context.Context, tpjournal.Op) tpjournal.Answer {
					operations++
					if operations <= c.unknown {
						return tpjournal.Answer{State: tpjournal.AnswerUnknown}
					}
					return tpjournal.Answer{State: tpjournal.AnswerDone}
				},
				OnAnswer: func(_ string, a tpjournal.Answer) { answered <- a },
			})
			client.Claim(tpmessage.Work{Request: tpmessage.Request{Deadline: time.Now().Add(time.Minute)}})
			got := <-answered
			cleanup()
			if got.State != c.want {
				t.Errorf("answer: got %v, want %v", got.State, c.want)
			}
		})
	}
}
