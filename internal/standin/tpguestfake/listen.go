package tpguestfake

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Listen serves a handler on a local port until the end of the test. It returns
// the address as host:port.
func Listen(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}
