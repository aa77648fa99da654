package tpguestfake

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Listen serves a handler until the end of the test and returns its host:port.
func Listen(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}
