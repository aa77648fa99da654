package tppeer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/request/stage4/tpjournal"
)

// Guards against an operation or an answer that loses a field in its encoding,
// and against a node that executes an operation on a shard that it does not
// hold.
func TestJournalOverTheWire(t *testing.T) {
	holds := true
	var got tpjournal.Op
	answer := tpjournal.Answer{State: tpjournal.AnswerDone, Status: 201, Result: []byte{0, 255, 'x'}}
	path, h := tppeer.NewJournalHandler(&tppeer.JournalServer{
		IsHolder: func(int) bool { return holds },
		Do: func(_ context.Context, op tpjournal.Op) tpjournal.Answer {
			got = op
			return answer
		},
	})
	mux := http.NewServeMux()
	mux.Handle(path, h)
	srv := httptest.NewServer(mux)
	defer srv.Close()
	client, cleanup := tppeer.NewJournalClient(nil)
	defer cleanup()
	for _, want := range []tpjournal.Op{
		{Kind: tpjournal.OpClaim, Key: "k", Attempt: "a", Organisation: "o", Fingerprint: 1 << 63, Pool: "p"},
		{Kind: tpjournal.OpSettle, Key: "k", Attempt: "a", Status: 201, Result: []byte{0, 255}},
		{Kind: tpjournal.OpSettle, Key: "k", Attempt: "a", NotRun: true},
		{Kind: tpjournal.OpSettle, Key: "k", Attempt: "a", Status: 200, Omitted: true},
	} {
		a, err := client.Do(t.Context(), srv.Listener.Addr().String(), want)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("operation: got %+v, want %+v", got, want)
		}
		if want.Kind == tpjournal.OpClaim && !reflect.DeepEqual(a, answer) {
			t.Errorf("answer: got %+v, want %+v", a, answer)
		}
	}
	holds = false
	a, err := client.Do(t.Context(), srv.Listener.Addr().String(), tpjournal.Op{Key: "k"})
	if err != nil || a.State != tpjournal.AnswerNotHolder {
		t.Errorf("at a node that does not hold the shard: got %s, %v, want notHolder", a.State, err)
	}
}
