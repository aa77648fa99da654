package tppeer

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"teaselpin.example/teaselpin/internal/edge/tpwire"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Guards against a view that arrives without its era, and against messages of
// era 0 that differ from those of a node that knows no eras.
func TestViewCarriesItsEra(t *testing.T) {
	for _, era := range []uint64{0, 3} {
		want := tpobject.View{Kind: "config", Era: era, Version: 7, Objects: []tpobject.Object{{Name: "config/main", Version: 6, Value: []byte("{}")}}}
		srv := httptest.NewServer((&MembersServer{LookupView: func(string) (tpobject.View, bool) { return want, true }}).Handler())
		client, closeClient := NewClient(nil)
		got, err := client.View(t.Context(), strings.TrimPrefix(srv.URL, "http://"), "config")
		closeClient()
		srv.Close()
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("view: got %+v, %v, want %+v", got, err, want)
		}
	}
	mark := heartbeatToWire(tpmessage.Heartbeat{Views: []tpmessage.ViewVersion{{Kind: "config", Version: 7, Digest: 1}}}).Views[0]
	if got, want := proto.Size(mark), proto.Size(&tpwire.ViewMark{Kind: "config", Version: 7, Digest: 1}); got != want {
		t.Errorf("size of a mark of era 0: got %d bytes, want %d", got, want)
	}
}
