package tpnode_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpfront"
	"teaselpin.example/teaselpin/internal/edge/tptarget"
	"teaselpin.example/teaselpin/internal/guard/tpquarantine"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	darkTime     = 2500 * time.Millisecond
	darkDeadline = 500 * time.Millisecond
)

// darkService is a plain service that goes dark at a call with the body
// "deadly": its connections stay open and silent, and new ones get no answer
// until it is back.
type darkService struct {
	darkUntil atomic.Int64 // Unix nanoseconds
	deadly    atomic.Int32 // calls that have darkened it
}

func (s *darkService) isDark() bool { return time.Now().UnixNano() < s.darkUntil.Load() }
func (s *darkService) darken()      { s.darkUntil.Store(time.Now().Add(darkTime).UnixNano()) }

func (s *darkService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !s.isDark() && strings.Contains(string(body), "deadly") {
		s.deadly.Add(1)
		s.darken()
	}
	if s.isDark() {
		<-r.Context().Done()
		return
	}
	_, _ = io.WriteString(w, "done")
}

func startDarkServices(t *testing.T, count int) ([]*darkService, []tpmessage.Target) {
	t.Helper()
	var services []*darkService
	var targets []tpmessage.Target
	for i := range count {
		s := &darkService{}
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		services = append(services, s)
		targets = append(targets, tpmessage.Target{Name: fmt.Sprint("service-", i), Address: server.Listener.Addr().String()})
	}
	return services, targets
}

// callWithin sends a call with a key of its own and returns the answer as text,
// or an empty text if it has no answer in time.
func (b *bookings) callWithin(t *testing.T, node int, body string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 4*darkDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.nodes[node].CallerAddress()+"/v1/booking", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set(tptarget.HeaderKey, newKey())
	r.Header.Set(tpfront.HeaderTimeout, darkDeadline.String())
	r.Close = true
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return string(text)
}

// Guards against a call that darkens one service after the other, or the only one, without end, because nothing closes a connection.
func TestCallThatDarkensServicesIsQuarantined(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d services", count), func(t *testing.T) {
			t.Parallel()
			services, targets := startDarkServices(t, count)
			b := startBookingNodes(t, 2, false, targets)
			refused := false
			for i := 0; i < 40 && !refused; i++ {
				refused = strings.Contains(b.callWithin(t, i%2, "deadly"), string(tpmessage.RefusalQuarantined))
				time.Sleep(100 * time.Millisecond) // pace of the caller
			}
			crashes := 0
			for _, s := range services {
				crashes += int(s.deadly.Load())
			}
			if !refused || crashes > tpquarantine.MaxCrashes {
				t.Errorf("got %d crashes, refused %t, want %d at most and the refusal", crashes, refused, tpquarantine.MaxCrashes)
			}
		})
	}
}

// Guards against a sound call that is quarantined because a service goes dark by itself again and again.
func TestCallAtAServiceThatGoesDarkByItselfIsServed(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d services", count), func(t *testing.T) {
			t.Parallel()
			services, targets := startDarkServices(t, count)
			b := startBookingNodes(t, 2, false, targets)
			answered := 0
			for i := range 4 {
				services[0].darken()
				for end := time.Now().Add(2 * darkTime); time.Now().Before(end); {
					got := b.callWithin(t, i%2, "sound")
					if strings.Contains(got, string(tpmessage.RefusalQuarantined)) {
						t.Fatalf("outage %d: the call is quarantined", i+1)
					}
					if strings.Contains(got, "done") {
						answered++
					}
					time.Sleep(50 * time.Millisecond) // pace of the caller
				}
			}
			if answered == 0 {
				t.Error("no call was answered")
			}
		})
	}
}
