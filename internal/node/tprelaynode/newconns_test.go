package tprelaynode

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a server that begins to shut down between the read of a request and its check for that, and so closes the connection without an answer.
func TestStopWaitsUntilTheFirstRequestIsHandled(t *testing.T) {
	var conns newConns
	c, peer := net.Pipe()
	defer c.Close()
	defer peer.Close()
	conns.track(c, http.StateNew)
	conns.track(c, http.StateActive)
	over := make(chan time.Time, 1)
	over <- time.Time{}
	conns.wait(over)
	if len(over) != 0 {
		t.Error("the server shuts down before the handler has the request")
	}
	r := httptest.NewRequestWithContext(conns.withConn(t.Context(), c), http.MethodGet, "/", nil)
	handled := false
	conns.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true })).ServeHTTP(httptest.NewRecorder(), r)
	conns.wait(nil) // would wait for ever
	if !handled {
		t.Error("the handler did not get the request")
	}
}
