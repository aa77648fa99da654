package tpplatform_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/standin/tpguestfake"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpobject/tpobjecttest"
)

// Guards against an encoding that loses a version, the kind of an error or a
// change of a watch.
func TestClientConforms(t *testing.T) {
	tpobjecttest.Run(t, func(t *testing.T) tpobject.Store {
		p := &tpplatformfake.Platform{WatchTimeout: time.Second}
		srv := httptest.NewServer(p.Handler())
		t.Cleanup(srv.Close)
		c, cleanup := tpplatform.NewClient(srv.URL)
		t.Cleanup(cleanup)
		return c
	})
}

func TestOddObjectHidesNoOther(t *testing.T) {
	srv := httptest.NewServer((&tpplatformfake.Platform{WatchTimeout: time.Second}).Handler())
	defer srv.Close()
	c, cleanup := tpplatform.NewClient(srv.URL)
	defer cleanup()
	values := map[string]string{
		"orders/a": strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000), "orders/b": `{"n":1}`, "orders/c": `{"n":1e999}`, "orders/d": "\xff\x00",
	}
	for name, value := range values {
		if _, err := c.Put(t.Context(), name, []byte(value), 0); err != nil {
			t.Fatal(err)
		}
	}
	listed, err := c.List(t.Context(), "orders/")
	if err != nil || len(listed) != len(values) {
		t.Fatalf("list: got %d objects, %v", len(listed), err)
	}
	changes, err := c.Watch(t.Context(), "orders/", 0)
	if err != nil || len(changes) != len(values) {
		t.Fatalf("watch: got %d changes, %v", len(changes), err)
	}
	for _, o := range listed {
		if string(o.Value) != values[o.Name] {
			t.Errorf("value of %s: got %.40q, want %.40q", o.Name, o.Value, values[o.Name])
		}
	}
}

// Guards against one odd element that hides the whole list of machines.
func TestOddMachineHidesNoOther(t *testing.T) {
	sound := `{"name":%q,"address":"10.0.0.1:80","zone":"z"}`
	for _, odd := range []string{
		`{"name":7}`, `{"name":"x","address":80}`, `{"name":"x","leaving":1e999}`, `[]`, `"x"`, `7`, `null`, `{}`, `{"name":"","address":"10.0.0.9:80"}`,
	} {
		for _, format := range []string{`[%[3]s,%[1]s,%[2]s]`, `[%[1]s,%[3]s,%[2]s]`, `[%[1]s,%[2]s,%[3]s]`} {
			body := fmt.Sprintf(format, fmt.Sprintf(sound, "a"), fmt.Sprintf(sound, "b"), odd)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = io.WriteString(w, body)
			}))
			c, cleanup := tpplatform.NewClient(srv.URL)
			list, err := c.VMs(t.Context())
			if err != nil || len(list) != 2 || list[0].Name != "a" || list[1].Name != "b" {
				t.Errorf("%s: got %+v, %v; want a and b", body, list, err)
			}
			cleanup()
			srv.Close()
		}
	}
}

// Guards against one timed-out call for each kept connection after all of them have gone silent.
func TestSilentConnectionsFailOneCall(t *testing.T) {
	const calls = 3
	p := tpguestfake.NewProxy(t, tpguestfake.Listen(t, (&tpplatformfake.Platform{WatchTimeout: time.Second}).Handler()))
	c, cleanup := tpplatform.NewClient("http://" + p.Address)
	defer cleanup()
	p.SetMode(tpguestfake.ModeDelay) // so that the calls overlap, and each opens a connection
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			if _, err := c.List(t.Context(), "config/"); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	p.SetMode(tpguestfake.ModePass)
	p.Mute()
	failed := 0
	for range calls + 1 {
		if _, err := c.List(t.Context(), "config/"); err == nil {
			break
		}
		failed++
	}
	if got, want := failed, 1; got != want {
		t.Errorf("failed calls after the kept connections went silent: got %d, want %d", got, want)
	}
}
