package tpnode_test

import (
	"sync"
	"testing"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against usage that does not reach the peers. Each node would then
// enforce the shares of the organisations on its own.
func TestUsageReachesPeers(t *testing.T) {
	node := startNode(t, startEngines(t, 1))
	peer, stop := startMember(t, "node-1", []string{node.PeerAddress()})
	defer stop()
	var mu sync.Mutex
	var received []tpmessage.Usage
	peer.SetUsageHandler(func(u []tpmessage.Usage) { mu.Lock(); received = u; mu.Unlock() })
	if _, err := stream(node, uuid.Must(uuid.NewV7()).String(), "question", 40); err != nil {
		t.Fatal(err)
	}
	want := 40.0 / tpmessage.PieceTokens
	tpprocess.Eventually(t, "usage of node-0", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(received) == 1 && received[0].Node == "node-0" && received[0].Organisation == "bergamo" &&
			received[0].DecodePieces == want && received[0].PrefillPieces > 0
	})
}
