package tpprocess

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 5 * time.Millisecond

// Eventually waits until the condition holds, and fails the test if it does
// not within StartTimeout.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(StartTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", StartTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// FreeAddress returns an address on which nothing listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// WaitReady waits until a node has a configuration in force.
func WaitReady(t testing.TB, node *Process) {
	t.Helper()
	Eventually(t, node.Name+" is ready", func() bool {
		resp, err := http.Get("http://" + node.Addresses[1] + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}
