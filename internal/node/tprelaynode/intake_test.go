package tprelaynode_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
)

// Guards against bounds that contradict a configured value and are found only
// under load, and against an error that doesn't name both settings.
func TestSettingsForBoundsAgree(t *testing.T) {
	for _, test := range []struct {
		memoryMB, maxFDs, window int
		want                     []string
	}{
		{0, 0, 100000, nil},
		{144, 0, 0, nil},
		{144, 4096, 768, nil},
		{144, 4096, 1000, []string{"window", "memoryMB"}},
		{4096, 1024, 768, []string{"window", "maxFDs"}},
		{47, 0, 0, []string{"memoryMB"}},
		{144, 231, 0, []string{"maxFDs"}},
	} {
		s := tprelaynode.Settings{
			Name: "a", Front: "h:1", Ready: "h:2", Peers: "h:3", Store: "h:4",
			MemoryMB: test.memoryMB, MaxFDs: test.maxFDs, Window: test.window,
		}
		err := s.Check()
		if (err != nil) != (test.want != nil) {
			t.Errorf("%+v: got %v", test, err)
		}
		for _, name := range test.want {
			if err != nil && !strings.Contains(err.Error(), name) {
				t.Errorf("%+v: got %v, want an error that names %s", test, err, name)
			}
		}
	}
	s := tprelaynode.Settings{MemoryMB: 144}
	if l := s.BodyLimits(); l.Bytes <= 0 || l.Bytes > 144<<20*6/10 || l.AddressBytes >= l.Bytes {
		t.Errorf("bounds for bodies: got %+v, want ones below the limit of the heap", l)
	}
}

// Guards against silent connections that keep others out, and against more
// connections than the bound.
func TestSilentConnectionsGiveWay(t *testing.T) {
	s := newSite(t)
	s.log = &lockedBuffer{}
	n := s.startWith(t, tprelaynode.Settings{Name: "node-0", Peers: tpprocess.FreeAddress(t), MaxFDs: 240, StopDelay: time.Millisecond})
	n.untilReady(t)
	const bound = (240 - 200) * 3 / 8
	var conns []net.Conn
	for range 2 * bound {
		c, err := net.Dial("tcp", n.front)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
	}
	// The node closes as many as were too many, and keeps the others.
	eventually(t, func() string {
		if s.log.(*lockedBuffer).count(`"connectionTurnedAway"`) < bound {
			return "the node has not turned away all connections that are too many"
		}
		return ""
	})
	if res := n.post(t.Context(), "1", "/swap/x", nil); res.status != 200 {
		t.Errorf("ordinary request: got %+v, want status 200", res)
	}
	_ = conns[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conns[0].Read(make([]byte, 1)); err == nil {
		t.Error("the connection that is silent longest is open")
	}
}
