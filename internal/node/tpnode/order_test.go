package tpnode_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/node/tpnode"
	"teaselpin.example/teaselpin/internal/order/stage4/tpdispatch"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/internal/standin/tpenginefake"
	"teaselpin.example/teaselpin/internal/standin/tpplatformfake"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against roles that do not reach the engine, and against a planned stop
// that leaves a duty running.
func TestSetRoles(t *testing.T) {
	platform := httptest.NewServer((&tpplatformfake.Platform{WatchTimeout: time.Second}).Handler())
	t.Cleanup(platform.Close)
	duties, stop := tpduty.NewRunner(tpduty.Settings{})
	t.Cleanup(stop)
	e, cleanup, err := tpenginefake.New(tpenginefake.Settings{Name: "engine-0"}, duties)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	engine := httptest.NewServer(tpenginefake.NewOrders(tpenginefake.OrderSettings{ChecksFencing: true}, e))
	t.Cleanup(engine.Close)

	client, closeClient := tpplatform.NewClient(platform.URL)
	t.Cleanup(closeClient)
	address := engine.Listener.Addr().String()
	cfg := tpmessage.Config{
		EngineTypes: []tpmessage.EngineType{{Name: "checks", ChecksFencing: true}},
		Pools: []tpmessage.Pool{{
			Name: "language", Kind: tpmessage.PoolEngine, EngineType: "checks",
			Targets: []tpmessage.Target{{Name: "engine-0", Address: address}},
		}},
	}
	if _, err := tprollout.Publish(t.Context(), client, &cfg, 0, "test"); err != nil {
		t.Fatal(err)
	}
	n, stopNode, err := tpnode.New(tpnode.Settings{
		Name: "node-0", Region: "nord-ovest", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Platform: platform.URL, DrainGrace: time.Millisecond, StopGrace: time.Millisecond,
	}, tpnode.Deps{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopNode)
	engines := tpdispatch.NewEngineClient()
	n.SetDesiredRoles(map[string]tpmessage.Role{"engine-0": tpmessage.RoleDecode})
	deadline := time.Now().Add(time.Minute)
	for {
		s, err := engines.Status(t.Context(), address, false)
		if err == nil && s.State.Role == tpmessage.RoleDecode {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %+v, %v, want role decode", s, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
