package tprelaynode_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/platform/tpguest"
)

// Guards against a request that crashes servers again after all nodes were killed.
func TestQuarantineOutlastsAllNodes(t *testing.T) {
	var ran atomic.Int32
	s := &site{}
	log := &lockedBuffer{}
	s.log = log
	startRawSite(t, s, 3, func(net.Conn, *http.Request) bool {
		ran.Add(1)
		return false // closes the connection, as a crash does
	})
	first := s.startWith(t, tprelaynode.Settings{Name: "node-0", Peers: tpprocess.FreeAddress(t)})
	first.untilReady(t)
	eventually(t, func() string {
		got := first.post(t.Context(), fmt.Sprint("deadly-", ran.Load()), "/raw/x", nil)
		if got.status == 503 && log.count(`"quarantined"`) == 1 {
			return ""
		}
		return fmt.Sprintf("%d crashes: got %+v, want 503", ran.Load(), got)
	})
	store, closeStore := tpguest.NewStore(s.address)
	defer closeStore()
	eventually(t, func() string {
		if _, err := store.Get(t.Context(), "quarantine/r"); err != nil {
			return fmt.Sprint("stored quarantines: ", err)
		}
		return ""
	})
	first.stop()
	crashes := ran.Load()
	second := s.startWith(t, tprelaynode.Settings{Name: "node-0", Peers: tpprocess.FreeAddress(t)})
	second.untilReady(t)
	eventually(t, func() string {
		if got := log.count(`"quarantined"`); got != 2 {
			return fmt.Sprintf("quarantines: got %d, want 2", got)
		}
		return ""
	})
	if got := second.post(t.Context(), "again", "/raw/x", nil); got.status != 503 || ran.Load() != crashes {
		t.Errorf("the request at a new node: got %+v and %d more crashes, want 503 and none", got, ran.Load()-crashes)
	}
}
