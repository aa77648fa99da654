package tpprocess

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition. A process under
// test sends no event when a condition of its state begins to hold.
const pollInterval = 5 * time.Millisecond

// Eventually polls the condition every 5 ms until it holds. It fails the test
// with the description if the condition does not hold within StartTimeout.
func Eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(StartTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", StartTimeout, description)
		}
		time.Sleep(pollInterval)
	}
}

// FreeAddress returns a local host:port on which nothing listens. Another
// process may take the port before the caller does.
func FreeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// WaitReady waits until a node's peer address answers /ready with status 200,
// which means that the node has a configuration in force.
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
