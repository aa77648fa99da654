package tpjournal_test

import (
	"context"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// self is a directory in which this node holds every shard.
type self struct{}

func (self) HolderOf(int) (string, bool) { return "", true }

// Guards against a prompt repeat that gets "unknown" although the result of
// the earlier request is recorded a group interval later, and against a repeat
// that waits for ever for a result that never comes.
func TestRepeatWaitsForResult(t *testing.T) {
	for _, c := range []struct {
		name    string
		unknown int // answers before the result
		want    tpjournal.AnswerState
	}{
		{"recorded soon", 2, tpjournal.AnswerDone},
		{"never recorded", 1 << 30, tpjournal.AnswerUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked := 0
			answered := make(chan tpjournal.Answer, 1)
			client, cleanup := tpjournal.NewClient(tpjournal.ClientSettings{
				Directory: self{},
				Window:    1,
				Local: func(context.Context, tpjournal.Op) tpjournal.Answer {
					asked++
					if asked <= c.unknown {
						return tpjournal.Answer{State: tpjournal.AnswerUnknown}
					}
					return tpjournal.Answer{State: tpjournal.AnswerDone}
				},
				Answered: func(_ string, a tpjournal.Answer) { answered <- a },
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
