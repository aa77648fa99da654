package tpscale_test

import (
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/model/tpscalemodel"
	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/internal/relay/tpscale"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// limitedPlatform returns a platform that refuses orders beyond the limit of a
// zone, a scaler with that limit, and the refused orders.
func limitedPlatform(perZone map[string]int, limit int) (*tpscalemodel.Platform, tpscalemodel.Scaler, *[]tpmessage.ScaleOrder) {
	p, s := tpscalemodel.NewPlatform(perZone), newScaler()
	s.SetConfig(p.Now, tpscalemodel.NewConfig(func(c *tpmessage.RelayPool) { c.Autoscale.Max = limit }))
	var refused []tpmessage.ScaleOrder
	p.Fault = func(o tpmessage.ScaleOrder) (error, bool) {
		if o.Count+len(p.Of(tpscale.Subject{Zone: o.Zone, Spot: !o.Spot})) > limit {
			refused = append(refused, o)
			return tpholder.ErrRefused, false
		}
		return nil, true
	}
	return p, s, &refused
}

// Guards against a new holder that fills a zone beyond its limit, because targets
// that an earlier one ordered have not registered, and against one that waits for
// them although the demand needs more at once.
func TestNewHolderLeavesRoom(t *testing.T) {
	p, s, refused := limitedPlatform(map[string]int{"a": 1, "b": 1, "c": 1}, 53)
	spots := tpscale.Subject{Zone: "b", Spot: true}
	p.Add(spots, 28, p.Now)
	p.Add(spots, 22, p.Now.Add(2*time.Second))
	for _, zone := range []string{"a", "b", "c"} {
		p.None[tpscale.Subject{Zone: zone, Spot: true}] = p.Now.Add(10 * time.Second)
	}
	p.Run(s, 5*time.Second, demand)
	if got := len(p.Ready()); len(*refused) > 0 || got < 42 {
		t.Errorf("spot targets in one zone only: got %d targets, refused orders %+v, want at least 42 and none", got, *refused)
	}
}

// Guards against a new holder that adds no plain targets although there are no
// spot ones, because an earlier holder may have ordered some.
func TestNewHolderWithoutSpots(t *testing.T) {
	p, s, _ := limitedPlatform(map[string]int{"a": 10, "b": 10, "c": 10}, 44)
	for _, zone := range []string{"a", "b", "c"} {
		p.None[tpscale.Subject{Zone: zone, Spot: true}] = p.Now.Add(10 * time.Second)
	}
	p.Run(s, 5*time.Second, demand)
	if got := len(p.Ready()); got < 42 {
		t.Errorf("targets after 5 s: got %d, want at least 42", got)
	}
}

// Guards against plain targets that fill a zone in which spot ones are overdue and
// come after all.
func TestOverdueOrderKeepsItsRoom(t *testing.T) {
	p, s, refused := limitedPlatform(map[string]int{"a": 2}, 30)
	p.Startup = 14 * time.Second
	p.Run(s, 20*time.Second, demand)
	if got := len(p.Ready()); len(*refused) > 0 || got < 26 {
		t.Errorf("late targets: got %d, refused orders %+v, want at least 26 and none", got, *refused)
	}
}

// Guards against an order beyond the limit, which targets that have not registered
// explain, that keeps a zone from its spot targets for a minute.
func TestExplainedRefusalIsShort(t *testing.T) {
	p, s, refused := limitedPlatform(map[string]int{"a": 5}, 40)
	p.Add(tpscale.Subject{Zone: "a"}, 15, p.Now.Add(2*time.Second))
	p.Run(s, 15*time.Second, demand)
	spots := len(p.Of(tpscale.Subject{Zone: "a", Spot: true}))
	if got := len(*refused); got == 0 || got > 3 || spots == 0 {
		t.Errorf("refused orders: got %+v and %d spot targets, want 1 to 3 and some", *refused, spots)
	}
}

// Guards against targets that count as reclaimed, with the order forgotten,
// because they registered after an order that removes them was given.
func TestOrderRemovesTargetsOfEarlierOne(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(map[string]int{"a": 20, "b": 20, "c": 20}), newScaler()
	key := tpscale.Subject{Zone: "c", Spot: true}
	p.Add(key, 40, p.Now.Add(1500*time.Millisecond))
	var counts []int
	p.Fault = func(o tpmessage.ScaleOrder) (error, bool) {
		if o.Zone != key.Zone || !o.Spot || len(counts) == 3 {
			return nil, true
		}
		counts = append(counts, o.Count)
		return errTimeout, len(counts) == 2
	}
	p.Run(s, 12*time.Second, demand)
	if len(counts) != 3 || counts[0] >= 40 || counts[1] != counts[0] || counts[2] != counts[0] {
		t.Errorf("orders with an unknown outcome: got %v, want the same three times, below 40", counts)
	}
}
