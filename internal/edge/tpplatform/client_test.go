package tpplatform_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
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
