package tpnode_test

import (
	"fmt"
	"sync"
	"testing"

	"teaselpin.example/teaselpin/internal/node/tpnode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against nodes that find each other only through the platform, against
// usage and suspects that heartbeats do not deliver, and against a planned stop
// that peers detect only by the missing heartbeats.
func TestMembersThroughSeeds(t *testing.T) {
	first, stopFirst := startMember(t, "node-0", nil)
	second, stopSecond := startMember(t, "node-1", []string{first.PeerAddress()})
	third, stopThird := startMember(t, "node-2", []string{second.PeerAddress()})
	defer stopFirst()
	defer stopSecond()
	for _, n := range []*tpnode.Node{first, second, third} {
		tpprocess.Eventually(t, "three members", func() bool { return len(n.Members()) == 3 })
	}
	if got, want := third.Members()[0].Name, "node-2"; got != want {
		t.Errorf("first member of node-2: got %s, want %s", got, want)
	}

	var mu sync.Mutex
	var usage []tpmessage.Usage
	var suspects []tpmessage.SuspectRequest
	first.SetUsageHandler(func(u []tpmessage.Usage) { mu.Lock(); usage = u; mu.Unlock() })
	first.SetSuspectsHandler(func(s []tpmessage.SuspectRequest) { mu.Lock(); suspects = s; mu.Unlock() })
	third.SetUsage([]tpmessage.Usage{{Node: "node-2", Organisation: "bergamo", PrefillPieces: 2}})
	third.SetSuspects([]tpmessage.SuspectRequest{{Fingerprint: 9, Targets: []string{"engine-1"}}})
	tpprocess.Eventually(t, "usage and suspects", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(usage) == 1 && usage[0].PrefillPieces == 2 && len(suspects) == 1 && suspects[0].Fingerprint == 9
	})

	stopThird()
	tpprocess.Eventually(t, "node-2 is leaving or gone", func() bool {
		for _, m := range first.Members() {
			if m.Name == "node-2" && !m.Leaving {
				return false
			}
		}
		return true
	})
}

func startMember(t *testing.T, name string, seeds []string) (*tpnode.Node, func()) {
	t.Helper()
	n, stop, err := tpnode.New(tpnode.Settings{
		Name: name, CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", Seeds: seeds,
	}, tpnode.Deps{})
	if err != nil {
		t.Fatal(fmt.Errorf("start %s: %w", name, err))
	}
	return n, stop
}
