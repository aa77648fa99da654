package tpprocess

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition. A process under
// test sends no event when a condition of its state begins to hold.
const pollInterval = 5 * time.Millisecond

// The kernel gives ports from 32768 on unless it is configured otherwise.
const (
	firstPort    = 12000
	portCount    = 32768 - firstPort
	maxPortTries = 20000
	// portGroups is the number of groups of ports. Test processes that run at
	// the same time mostly have ports of different groups.
	portGroups = 16
)

// usedPorts holds the ports that FreeAddress has returned in this process. The
// caller may not listen yet.
var usedPorts sync.Map

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

// FreeAddress returns a local host:port on which nothing listens. The port is
// below those that the kernel gives to outgoing connections and to listeners
// without a port of their own, which would take it before the caller does. No
// port is returned twice in a process before all others of its group.
func FreeAddress(t testing.TB) string {
	t.Helper()
	const groupSize = portCount / portGroups
	first := firstPort + os.Getpid()%portGroups*groupSize
	for try := range maxPortTries {
		if try == maxPortTries/2 {
			usedPorts.Clear() // a soak of many seeds has used the group
		}
		port := first + rand.IntN(groupSize)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	t.Fatalf("no free port found in %d tries", maxPortTries)
	return ""
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
