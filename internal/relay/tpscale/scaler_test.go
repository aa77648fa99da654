package tpscale_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/model/tpscalemodel"
	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/internal/relay/tpscale"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// errTimeout leaves the outcome of a call unknown.
var errTimeout = errors.New("no answer")

const demand = 25.0 // engines

func newScaler() tpscalemodel.Scaler {
	s := tpscale.New(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.5})
	s.SetConfig(tpscalemodel.Start, tpscalemodel.NewConfig(nil))
	return s
}

// misreported changes the results of orders on their way to the scaler, which
// makes a naive variant of it.
type misreported struct {
	tpscalemodel.Scaler
	change func(error) error
}

func (m misreported) HandleResult(now time.Time, o tpscale.Order, err error) {
	m.Scaler.HandleResult(now, o, m.change(err))
}

// newForgetful returns a naive scaler that takes an order with an unknown outcome
// as not sent.
func newForgetful() tpscalemodel.Scaler {
	return misreported{newScaler(), func(err error) error {
		if tpscale.OutcomeOf(err) == tpscale.OutcomeUnknown {
			return tpscale.ErrNotSent
		}
		return err
	}}
}

// newEager returns a naive scaler that soon asks again for what is not to be had.
func newEager() tpscalemodel.Scaler {
	return misreported{newScaler(), func(err error) error {
		if errors.Is(err, tpholder.ErrNoCapacity) {
			return tpholder.ErrLimited
		}
		return err
	}}
}

// Guards against a pool that keeps targets which are not needed, one that loses
// targets before others serve, and one that a loss of spot targets leaves with
// too few for the demand.
func TestReplacesAndLowers(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(tpscalemodel.FirstServers), newScaler()
	for range 28 {
		p.Tick(s, 0)
		p.Advance(tpscalemodel.Interval)
		if got := len(p.Ready()); got < 140 {
			t.Fatalf("targets before the demand is known: got %d, want at least 140", got)
		}
	}
	if got := p.Plain(); got > 10 {
		t.Errorf("plain targets after 14 s: got %d, want at most 10", got)
	}
	var orders []tpscale.Order
	lowered := tpscalemodel.Start
	for range 60 {
		before := len(p.Ready())
		orders = append(orders, p.Tick(s, demand)...)
		if got := len(p.Ready()); got < before {
			if float64(got) < 0.64*float64(before) || p.Now.Sub(lowered) < 3*time.Second {
				t.Errorf("removal at %v, %v after the one before: got %d of %d targets, want steps of at most 0.35 every 3 s", p.Now.Sub(tpscalemodel.Start), p.Now.Sub(lowered), got, before)
			}
			lowered = p.Now
		}
		p.Advance(tpscalemodel.Interval)
	}
	if got := len(p.Ready()); got < 2*demand || got > 60 {
		t.Errorf("targets with the demand known: got %d, want 50 to 60", got)
	}
	if got := len(orders); got > 12 {
		t.Errorf("orders at a steady demand: got %d, want at most 12", got)
	}
	p.Reclaim("b")
	if got := len(p.Ready()); got < demand {
		t.Errorf("targets after a loss: got %d, want at least %v", got, demand)
	}
	for _, o := range p.Tick(s, demand) {
		if o.Zone == "b" && o.Spot {
			t.Errorf("order in the zone that lost its spot targets: got %+v, want none", o.ScaleOrder)
		}
	}
	p.Run(s, 6*time.Second, demand)
	if got := len(p.Ready()); got < 2*demand {
		t.Errorf("targets 6 s after a loss: got %d, want at least %v", got, 2*demand)
	}
}

// Guards against a new holder that lowers the number before it has known the
// demand for 10 s, and against orders of a node that is not the holder.
func TestNewHolderWaits(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(tpscalemodel.FirstServers), newScaler()
	p.Run(s, 9*time.Second, demand)
	if got := len(p.Ready()); got < 140 {
		t.Errorf("targets after 9 s of demand: got %d, want at least 140", got)
	}
	p.Run(s, 20*time.Second, demand)
	if got := len(p.Ready()); got > 60 {
		t.Errorf("targets after 29 s of demand: got %d, want at most 60", got)
	}
	second := newScaler()
	second.SetTargets(p.Now, p.Registered())
	second.SetDemand(p.Now, 4*demand)
	if got := second.Step(p.Now); len(got) != 0 {
		t.Errorf("orders of a node that is not the holder: got %+v, want none", got)
	}
	second.SetHolder(p.Now, true, 2)
	if got := second.Step(p.Now); len(got) == 0 {
		t.Error("orders of a new holder at four times the demand: got none")
	}
}

// Guards against calls without end when the platform refuses them, and against a
// number that stays too low after the fault: the platform limits calls or is
// unavailable, does not answer although it carries out what it was sent, or does
// neither, and it carries an order out late.
func TestFaultsOfThePlatform(t *testing.T) {
	for _, test := range []struct {
		name       string
		err        error
		carriedOut bool
		startup    time.Duration
	}{
		{"limited or unavailable", tpholder.ErrLimited, false, 4 * time.Second},
		{"refused", tpholder.ErrRefused, false, 4 * time.Second},
		{"silent", errTimeout, false, 4 * time.Second},
		{"answer lost", errTimeout, true, 4 * time.Second},
		{"late", nil, true, 14 * time.Second},
	} {
		p, s := tpscalemodel.NewPlatform(map[string]int{"a": 8, "b": 8, "c": 8}), newScaler()
		p.Startup = test.startup
		faultyUntil := tpscalemodel.Start.Add(20 * time.Second)
		p.Fault = func(tpmessage.ScaleOrder) (error, bool) {
			if p.Now.Before(faultyUntil) {
				return test.err, test.carriedOut
			}
			return nil, true
		}
		p.Run(s, 20*time.Second, demand)
		// Six subjects, with delays of 1, 2, 4 and 8 s.
		if got := len(p.Calls); got > 36 {
			t.Errorf("%s: calls in 20 s: got %d, want at most 36", test.name, got)
		}
		p.Run(s, 65*time.Second, demand)
		if got := len(p.Ready()); got < 42 || got > 75 {
			t.Errorf("%s: targets after the fault: got %d, want 42 to 75", test.name, got)
		}
	}
}

// Guards against another order for a subject while the outcome of one is
// unknown.
func TestUnknownOrderIsRepeated(t *testing.T) {
	// changed returns the calls that follow one with an unknown outcome for the
	// same subject and differ from it.
	changed := func(s tpscalemodel.Scaler) []tpmessage.ScaleOrder {
		p := tpscalemodel.NewPlatform(map[string]int{"a": 8, "b": 8, "c": 8})
		unknown := make(map[tpscale.Subject]int)
		var changed []tpmessage.ScaleOrder
		i := 0
		p.Fault = func(o tpmessage.ScaleOrder) (error, bool) {
			key := tpscale.Subject{Zone: o.Zone, Spot: o.Spot}
			if before, ok := unknown[key]; ok && before != o.Count {
				changed = append(changed, o)
			}
			delete(unknown, key)
			if i++; i%3 != 0 {
				unknown[key] = o.Count
				return errTimeout, i%2 == 0
			}
			return nil, true
		}
		for step := range 120 {
			p.Tick(s, demand+float64(step)/4)
			p.Advance(tpscalemodel.Interval)
		}
		return changed
	}
	if got := changed(newScaler()); len(got) != 0 {
		t.Errorf("orders that replace one with an unknown outcome: got %+v, want none", got)
	}
	if got := changed(newForgetful()); len(got) == 0 {
		t.Error("the naive variant passes")
	}
}

// Guards against requests for what is not to be had, and against a number that
// stays too low because of it.
func TestNoCapacity(t *testing.T) {
	run := func(s tpscalemodel.Scaler, zones ...string) (repeated, ready, plain int) {
		p := tpscalemodel.NewPlatform(map[string]int{"a": 8, "b": 8, "c": 8})
		for _, zone := range zones {
			p.None[tpscale.Subject{Zone: zone, Spot: true}] = tpscalemodel.Start.Add(9 * time.Second)
		}
		last := make(map[tpscale.Subject]time.Time)
		p.Fault = func(o tpmessage.ScaleOrder) (error, bool) {
			key := tpscale.Subject{Zone: o.Zone, Spot: o.Spot}
			if at, ok := last[key]; ok && p.Now.Sub(at) < 10*time.Second && p.Now.Before(p.None[key]) {
				repeated++
			}
			last[key] = p.Now
			return nil, true
		}
		p.Run(s, 9*time.Second, demand)
		return repeated, len(p.Ready()), p.Plain()
	}
	repeated, ready, plain := run(newScaler(), "b")
	if repeated != 0 || ready < 42 || plain > 24 {
		t.Errorf("one zone without spot targets: got %d repeated calls, %d targets, %d plain, want 0, at least 42, at most 24", repeated, ready, plain)
	}
	repeated, ready, plain = run(newScaler(), "a", "b", "c")
	if repeated != 0 || ready < 42 || plain < 42 {
		t.Errorf("no spot targets at all: got %d repeated calls, %d targets, %d plain, want 0, at least 42 of both", repeated, ready, plain)
	}
	if repeated, _, _ := run(newEager(), "a", "b", "c"); repeated == 0 {
		t.Error("the naive variant passes")
	}
}

// Guards against limits of an earlier configuration, and against orders for a
// pool that is not, or no longer, to be scaled.
func TestConfigurationTakesEffect(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(map[string]int{"a": 30, "b": 30, "c": 30}), newScaler()
	p.Run(s, 20*time.Second, demand)
	s.SetConfig(p.Now, tpscalemodel.NewConfig(func(c *tpmessage.RelayPool) { c.Autoscale.Max = 12 }))
	for _, o := range p.Tick(s, demand) {
		if o.Count > 12 {
			t.Errorf("order after max fell to 12: got %+v", o.ScaleOrder)
		}
	}
	p.Run(s, 10*time.Second, demand)
	s.SetConfig(p.Now, tpscalemodel.NewConfig(func(c *tpmessage.RelayPool) { c.Autoscale.Min = 30 }))
	p.Run(s, 10*time.Second, demand)
	if got := len(p.Ready()); got < 90 {
		t.Errorf("targets after min rose to 30: got %d, want at least 90", got)
	}
	s.SetConfig(p.Now, tpscalemodel.NewConfig(func(c *tpmessage.RelayPool) { c.Autoscale = nil }))
	if got := p.Run(s, 10*time.Second, 9*demand); len(got) != 0 {
		t.Errorf("orders without autoscale: got %+v, want none", got)
	}
	for field, change := range map[string]func(*tpmessage.RelayPool){
		"fault":  func(c *tpmessage.RelayPool) { c.Autoscale, c.AutoscaleFault = nil, "max: a value is required" },
		"engine": func(c *tpmessage.RelayPool) { c.Engine = nil },
	} {
		if got := s.SetConfig(p.Now, tpscalemodel.NewConfig(change)); got[tpscalemodel.PoolName] == "" {
			t.Errorf("%s: got no fault for the log", field)
		}
		if got := p.Run(s, time.Second, 9*demand); len(got) != 0 {
			t.Errorf("%s: got orders %+v, want none", field, got)
		}
	}
}

// Guards against a repetition of an order that a later configuration does not
// allow.
func TestUnknownOrderBeyondNewLimits(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(map[string]int{"a": 8, "b": 8, "c": 8}), newScaler()
	p.Fault = func(tpmessage.ScaleOrder) (error, bool) { return errTimeout, false }
	p.Run(s, 3*time.Second, demand)
	s.SetConfig(p.Now, tpscalemodel.NewConfig(func(c *tpmessage.RelayPool) { c.Autoscale.Max = 10 }))
	p.Calls = nil
	p.Run(s, 10*time.Second, demand)
	for _, o := range p.Calls {
		if o.Count > 10 {
			t.Errorf("order after max fell to 10: got %+v", o)
		}
	}
}

// Guards against spot targets that are so distributed that a loss of those in one
// zone leaves too few for the demand, and against removals that bring this about.
func TestLossOfAnyZoneLeavesEnough(t *testing.T) {
	for name, initial := range map[string]map[tpscale.Subject]int{
		"most in one zone":  {{Zone: "a"}: 1, {Zone: "c"}: 1, {Zone: "b", Spot: true}: 80},
		"beside plain ones": {{Zone: "a"}: 30, {Zone: "b", Spot: true}: 50},
	} {
		p, s := tpscalemodel.NewPlatform(nil), newScaler()
		for key, n := range initial {
			p.Add(key, n, tpscalemodel.Start)
		}
		orders := p.Run(s, 6*time.Second, demand)
		for range 60 {
			spots := make(map[string]int)
			most := 0
			for _, target := range p.Ready() {
				if target.Spot {
					spots[target.Zone]++
					most = max(most, spots[target.Zone])
				}
			}
			if got := len(p.Ready()) - most; got < demand {
				t.Fatalf("%s: targets but for the largest zone of spot ones: got %d, want at least %v", name, got, demand)
			}
			orders = append(orders, p.Run(s, tpscalemodel.Interval, demand)...)
		}
		lowered := false
		for _, o := range orders {
			lowered = lowered || o.Reason == tpscale.ReasonLower
			if lowered && o.Reason == tpscale.ReasonRaise {
				t.Errorf("%s: order that takes back a removal: got %+v", name, o.ScaleOrder)
			}
		}
	}
}

// Guards against a number that stays too low because the platform accepts orders
// in some zones and does not carry them out.
func TestOrderWithoutEffect(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(map[string]int{"a": 8, "b": 8, "c": 8}), newScaler()
	p.Fault = func(o tpmessage.ScaleOrder) (error, bool) { return nil, o.Zone == "a" }
	p.Run(s, 15*time.Second, demand)
	if got := len(p.Ready()); got < 42 {
		t.Errorf("targets: got %d, want at least 42", got)
	}
}

// Guards against an order that is forgotten, and given in other zones too, because
// the platform takes no further one for the same zone.
func TestOrderBeforeALimitedOne(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(map[string]int{"a": 8, "b": 8, "c": 8}), newScaler()
	p.Run(s, time.Second, demand)
	p.Fault = func(o tpmessage.ScaleOrder) (error, bool) {
		if o.Zone == "a" {
			return tpholder.ErrLimited, false
		}
		return nil, true
	}
	p.Run(s, 9*time.Second, 1.6*demand)
	// 76 of 80 required targets are spot ones, beside the first 24.
	if got := p.Started; got > 100 {
		t.Errorf("targets that were started: got %d, want at most 100", got)
	}
}

// Guards against removed targets that count as lost to the platform, after which
// no more would be requested in their zones.
func TestRemovalIsNoLoss(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(tpscalemodel.FirstServers), newScaler()
	for lowered := false; !lowered; p.Advance(tpscalemodel.Interval) {
		for _, o := range p.Tick(s, demand) {
			lowered = lowered || o.Spot && o.Reason == tpscale.ReasonLower
		}
	}
	zones := make(map[string]bool)
	for range 3 {
		for _, o := range p.Tick(s, 5*demand) {
			zones[o.Zone] = zones[o.Zone] || o.Spot && o.Reason == tpscale.ReasonRaise
		}
		p.Advance(tpscalemodel.Interval)
	}
	for _, zone := range []string{"a", "b", "c"} {
		if !zones[zone] {
			t.Errorf("spot targets of zone %s after some were removed and the demand rose: got no order", zone)
		}
	}
}

// Guards against targets that are expected although the platform reclaimed them
// before they registered.
func TestLossDuringAnOrder(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(nil), newScaler()
	for _, zone := range []string{"a", "b", "c"} {
		p.Add(tpscale.Subject{Zone: zone, Spot: true}, 10, tpscalemodel.Start)
	}
	p.Run(s, time.Second, demand)
	p.Reclaim("b")
	p.Run(s, 6*time.Second, demand)
	if got := len(p.Ready()); got < 42 {
		t.Errorf("targets 6 s after the loss: got %d, want at least 42", got)
	}
}

// Guards against orders that follow each oscillation of the demand.
func TestOscillationCausesNoOrders(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(tpscalemodel.FirstServers), newScaler()
	orders := 0
	for step := range 160 {
		d := demand * (1 + 0.27*math.Sin(2*math.Pi*float64(step)*tpscalemodel.Interval.Seconds()/11))
		if got := p.Tick(s, d); step > 60 {
			orders += len(got)
		}
		p.Advance(tpscalemodel.Interval)
	}
	if orders != 0 {
		t.Errorf("orders in 50 s of oscillation: got %d, want 0", orders)
	}
}

// Guards against orders in zones of another region, which the configuration may
// price too, and against a zone of the region that is not used because it has no
// target of the pool yet.
func TestZonesOfTheRegion(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(map[string]int{"a": 20}), newScaler()
	other := tpmessage.RelayTarget{Target: tpmessage.Target{Name: "other", Zone: "b"}, Pool: "other"}
	s.SetTargets(p.Now, append(p.Registered(), other))
	s.SetDemand(p.Now, demand)
	s.SetHolder(p.Now, true, 1)
	zones := make(map[string]bool)
	for _, o := range s.Step(p.Now) {
		zones[o.Zone] = true
	}
	if !zones["a"] || !zones["b"] || zones["c"] {
		t.Errorf("zones with orders: got %v, want a and b", zones)
	}
}

// Guards against targets that are ordered for the demand of the first seconds, in
// which empty caches multiply it.
func TestEmptyCachesNeedNoMoreTargets(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(tpscalemodel.FirstServers), newScaler()
	p.Run(s, 10*time.Second, 0)
	for step := range 60 {
		for _, o := range p.Tick(s, demand+60*math.Exp(-float64(step)*tpscalemodel.Interval.Seconds()/1.5)) {
			if o.Reason == tpscale.ReasonRaise {
				t.Errorf("order %v after the first demand: got %+v, want none", time.Duration(step)*tpscalemodel.Interval, o.ScaleOrder)
			}
		}
		p.Advance(tpscalemodel.Interval)
	}
	if got := len(p.Ready()); got > 65 {
		t.Errorf("targets after 30 s: got %d, want at most 65", got)
	}
}

// Guards against plain targets that are removed while the spot ones have other
// roles than they.
func TestReplacementsHaveTheRoles(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(tpscalemodel.FirstServers), newScaler()
	for i, target := range p.Servers {
		target.Role = tpmessage.RoleDecode
		if i%4 != 0 {
			target.Role = tpmessage.RolePrefill
		}
	}
	setRoles := func(prefill int) {
		for i, target := range p.Servers {
			if target.Spot {
				target.Role = tpmessage.RoleDecode
				if i%4 < prefill {
					target.Role = tpmessage.RolePrefill
				}
			}
		}
	}
	for range 17 {
		setRoles(0)
		p.Run(s, tpscalemodel.Interval, 0)
	}
	if got := p.Plain(); got != 140 || len(p.Ready()) < 270 {
		t.Errorf("targets while the spot ones have one role: got %d and %d plain ones, want 270 and 140", len(p.Ready()), got)
	}
	p.Run(s, 4*time.Second, 0)
	if got := p.Plain(); got < 42 || got == 140 {
		t.Errorf("plain targets after the first step: got %d, want 42 to 139", got)
	}
	// The limit of a zone leaves no room for all spot targets beside the first
	// plain ones, so that the others are ordered after the first step.
	for range 10 {
		setRoles(3)
		p.Run(s, tpscalemodel.Interval, 0)
		if got := len(p.Ready()); got < 140 {
			t.Fatalf("targets while plain ones leave: got %d, want at least 140", got)
		}
	}
	if got := p.Plain(); got > 10 {
		t.Errorf("plain targets after the spot ones have both roles: got %d, want at most 10", got)
	}
}

// BenchmarkDecision is one decision for the servers of a region, after one of
// them has changed.
func BenchmarkDecision(b *testing.B) {
	p, s := tpscalemodel.NewPlatform(map[string]int{"a": 450, "b": 450, "c": 433}), newScaler()
	s.SetConfig(tpscalemodel.Start, tpscalemodel.NewConfig(func(c *tpmessage.RelayPool) { c.Autoscale.Max = 900 }))
	s.SetHolder(tpscalemodel.Start, true, 1)
	list := p.Registered()
	b.ReportAllocs()
	for i := range b.N {
		now := tpscalemodel.Start.Add(time.Duration(i) * tpscalemodel.Interval)
		s.SetTargets(now, list)
		s.SetDemand(now, 9*demand)
		s.Step(now)
	}
}

// Guards against a pool whose first targets count as enough while the others still register.
func TestFirstOrderWaitsForRegistrations(t *testing.T) {
	p, s := tpscalemodel.NewPlatform(map[string]int{"a": 1}), newScaler()
	for n := range 10 {
		p.Add(tpscale.Subject{Zone: "b"}, n+1, p.Now)
		if got := p.Tick(s, 0); len(got) > 0 {
			t.Fatalf("orders while targets register: got %+v, want none", got)
		}
		p.Advance(tpscalemodel.Interval)
	}
	p.Run(s, 10*time.Second, 0)
	if got, want := len(p.Ready()), 56; got < want {
		t.Errorf("targets: got %d, want at least %d", got, want)
	}
}
