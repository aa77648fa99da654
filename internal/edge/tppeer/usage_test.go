package tppeer

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against a field of a request for counts, or of its answer, that is lost
// on the way.
func TestUsageRoundTrip(t *testing.T) {
	counts := []tpmessage.OrganisationCount{{Organisation: "alder", Requests: 3}, {Organisation: "birch", Requests: 1}}
	statement := tpmessage.UsageStatement{Source: "n/1", Final: true, Windows: []tpmessage.UsageReport{{Window: 9, Counts: counts}}}
	req := tpmessage.UsageRequest{First: 8, Last: 9, Holder: "h", Source: "n/1", Offset: -3 * time.Second, Left: &statement}
	want := tpmessage.UsageAnswer{Closed: 9, TimeMs: 1 << 41, Statements: []tpmessage.UsageStatement{statement, {Source: "m/1"}}}
	var got tpmessage.UsageRequest
	var failure error
	server := &MembersServer{AnswerUsage: func(r tpmessage.UsageRequest) (tpmessage.UsageAnswer, error) {
		got = r
		return want, failure
	}}
	srv := httptest.NewServer(server.Handler())
	defer srv.Close()
	c, closeClient := NewClient(nil)
	defer closeClient()
	address := strings.TrimPrefix(srv.URL, "http://")
	answer, err := c.Usage(t.Context(), address, req)
	if err != nil || !reflect.DeepEqual(answer, want) {
		t.Errorf("answer: got %+v and %v, want %+v", answer, err, want)
	}
	if !reflect.DeepEqual(got, req) {
		t.Errorf("request: got %+v, want %+v", got, req)
	}
	failure = errors.New("full")
	if _, err := c.Usage(t.Context(), address, req); err == nil {
		t.Error("a request that a full ring refuses: got no error")
	}
	server.AnswerUsage = nil
	if _, err := c.Usage(t.Context(), address, req); err == nil {
		t.Error("a node that counts nothing: got no error")
	}
}

// BenchmarkUsage measures the encoded size of the request for one window and of
// its answer with the counts of 70 requests of as many organisations, and the
// time of the call with both of its sides.
func BenchmarkUsage(b *testing.B) {
	window := tpmessage.UsageReport{Window: 353445120}
	for i := range 70 {
		window.Counts = append(window.Counts, tpmessage.OrganisationCount{Organisation: fmt.Sprintf("organisation-%02d", i), Requests: 1})
	}
	statement := tpmessage.UsageStatement{Source: "front-cz-central-a-1/0dz3x9k1q8-5f3a", Windows: []tpmessage.UsageReport{window}}
	req := tpmessage.UsageRequest{First: window.Window, Last: window.Window, Holder: "front-cz-central-a-2", Source: statement.Source, Offset: -12 * time.Millisecond}
	size := 0
	for _, m := range []proto.Message{usageRequestToWire(&req), statementToWire(&statement)} {
		data, err := proto.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		size += len(data)
	}
	server := &MembersServer{AnswerUsage: func(tpmessage.UsageRequest) (tpmessage.UsageAnswer, error) {
		return tpmessage.UsageAnswer{Closed: window.Window, TimeMs: 1 << 41, Statements: []tpmessage.UsageStatement{statement}}, nil
	}}
	srv := httptest.NewServer(server.Handler())
	defer srv.Close()
	c, closeClient := NewClient(nil)
	defer closeClient()
	for b.Loop() {
		if _, err := c.Usage(b.Context(), strings.TrimPrefix(srv.URL, "http://"), req); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
