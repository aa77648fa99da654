package tprelaynode_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
	"teaselpin.example/teaselpin/internal/proof/tpprocess"
	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// scaleCall is a call of OrderScale.
type scaleCall struct {
	holder tpmessage.DutyHolder
	order  tpmessage.ScaleOrder
}

// scaleAPI passes on the orders and accepts them.
type scaleAPI struct {
	tpholder.API
	calls chan scaleCall
}

func (a *scaleAPI) OrderScale(_ context.Context, holder tpmessage.DutyHolder, order tpmessage.ScaleOrder) error {
	a.calls <- scaleCall{holder: holder, order: order}
	return nil
}

// Guards against a node that orders nothing although it holds the duty, that
// orders under another name or number, or that orders what its settings do not
// list. A pool whose values cannot be used is named in the log.
func TestScaleOrders(t *testing.T) {
	s := newSite(t)
	autoscale := map[string]any{"min": 2, "max": 9, "startup_s": 1, "spot_price": 0.2}
	s.store.Set("config", "main", map[string]any{"version": 2, "services": []any{
		map[string]any{"name": "llm", "engine": map[string]any{"slots": 64}, "autoscale": autoscale},
		map[string]any{"name": "app", "autoscale": autoscale},
		map[string]any{"name": "odd", "engine": map[string]any{"slots": 64}, "autoscale": map[string]any{"min": 2}},
	}})
	api, log := &scaleAPI{calls: make(chan scaleCall, 64)}, &lockedBuffer{}
	s.dutyAPI, s.log = api, log
	s.startWith(t, tprelaynode.Settings{
		Name: "node-0", Peers: tpprocess.FreeAddress(t), DutyAPI: "127.0.0.1:1", Duties: []string{"scale"},
	})
	var got scaleCall
	select {
	case got = <-api.calls:
	case <-time.After(waitTimeout):
		t.Fatal("the node sends no order")
	}
	if want := (tpmessage.ScaleOrder{Pool: "llm", Zone: "z", Spot: true, Count: 3}); got.order != want {
		t.Errorf("first order: got %+v, want %+v", got.order, want)
	}
	if got.holder.Name != "node-0" || got.holder.Fencing == 0 {
		t.Errorf("holder: got %+v, want node-0 and a fencing number", got.holder)
	}
	for _, text := range []string{`"pool":"odd","fault":"max`, `"pool":"app","fault":"autoscale`} {
		eventually(t, func() string {
			if log.count(text) != 1 {
				return fmt.Sprintf("lines with %s: got %d, want 1", text, log.count(text))
			}
			return ""
		})
	}
}

// Guards against orders of a node whose settings do not list the duty.
func TestScaleIsOffWithoutTheDuty(t *testing.T) {
	s := newSite(t)
	s.dutyAPI = &scaleAPI{}
	n := s.startWith(t, tprelaynode.Settings{
		Name: "node-0", Peers: tpprocess.FreeAddress(t), DutyAPI: "127.0.0.1:1", Duties: []string{"usage"},
	})
	n.untilReady(t)
	if got := n.rings.Stats()["scale"]; got.Puts != 0 {
		t.Errorf("inputs of the scale filter: got %+v, want none", got)
	}
}
