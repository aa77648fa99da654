package tpscale_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/internal/relay/tpscale"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var (
	errNoCapacity = fmt.Errorf("call: %w", tpholder.ErrNoCapacity)
	errLimited    = fmt.Errorf("call: %w", tpholder.ErrLimited)
	errRefused    = fmt.Errorf("call: %w", tpholder.ErrRefused)
	errTimeout    = errors.New("no answer")
	fullPool      = map[string]int{"a": 47, "b": 47, "c": 46}
)

const demand = 25.0 // engines

func newScaler() scaler {
	s := tpscale.New(tpscale.Settings{}, tpscale.Forecast{})
	s.SetConfig(start, newConfig(nil))
	return s
}

// misreported changes the results of orders on their way to the scaler, which
// makes a naive variant of it.
type misreported struct {
	scaler
	change func(error) error
}

func (m misreported) HandleResult(now time.Time, o tpscale.Order, err error) {
	m.scaler.HandleResult(now, o, m.change(err))
}

// Guards against a pool that keeps targets which are not needed, one that loses
// targets before others serve, and one that a loss of spot targets leaves with
// too few for the demand.
func TestReplacesAndLowers(t *testing.T) {
	p, s := newPlatform(fullPool), newScaler()
	for range 28 {
		p.tick(s, 0)
		p.advance(tick)
		if got := len(p.ready()); got < 140 {
			t.Fatalf("targets before the demand is known: got %d, want at least 140", got)
		}
	}
	if got := p.count(false); got > 10 {
		t.Errorf("plain targets after 14 s: got %d, want at most 10", got)
	}
	orders := p.run(s, 30*time.Second, demand)
	if got := len(p.ready()); got < 2*demand || got > 60 {
		t.Errorf("targets with the demand known: got %d, want 50 to 60", got)
	}
	if got := len(orders); got > 12 {
		t.Errorf("orders at a steady demand: got %d, want at most 12", got)
	}
	p.reclaim("b", 2500*time.Millisecond, 10*time.Second)
	if got := len(p.ready()); got < demand {
		t.Errorf("targets after a loss: got %d, want at least %v", got, demand)
	}
	for _, o := range p.tick(s, demand) {
		if o.Zone == "b" && o.Spot {
			t.Errorf("order in the zone that lost its spot targets: got %+v, want none", o.ScaleOrder)
		}
	}
	p.run(s, 6*time.Second, demand)
	if got := len(p.ready()); got < 2*demand {
		t.Errorf("targets 6 s after a loss: got %d, want at least %v", got, 2*demand)
	}
}

// Guards against a new holder that lowers the number before it has known the
// demand for 10 s, and against orders of a node that is not the holder.
func TestNewHolderWaits(t *testing.T) {
	p, s := newPlatform(fullPool), newScaler()
	p.run(s, 9*time.Second, demand)
	if got := len(p.ready()); got < 140 {
		t.Errorf("targets after 9 s of demand: got %d, want at least 140", got)
	}
	p.run(s, 20*time.Second, demand)
	if got := len(p.ready()); got > 60 {
		t.Errorf("targets after 29 s of demand: got %d, want at most 60", got)
	}
	second := newScaler()
	second.SetTargets(p.now, p.registered())
	second.SetDemand(p.now, 4*demand)
	if got := second.Step(p.now); len(got) != 0 {
		t.Errorf("orders of a node that is not the holder: got %+v, want none", got)
	}
	second.SetHolder(p.now, true, 2)
	if got := second.Step(p.now); len(got) == 0 {
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
		{"limited or unavailable", errLimited, false, 4 * time.Second},
		{"refused", errRefused, false, 4 * time.Second},
		{"silent", errTimeout, false, 4 * time.Second},
		{"answer lost", errTimeout, true, 4 * time.Second},
		{"late", nil, true, 14 * time.Second},
	} {
		p, s := newPlatform(map[string]int{"a": 8, "b": 8, "c": 8}), newScaler()
		p.startup = test.startup
		faultyUntil := start.Add(20 * time.Second)
		p.fault = func(tpmessage.ScaleOrder) (error, bool) {
			if p.now.Before(faultyUntil) {
				return test.err, test.carriedOut
			}
			return nil, true
		}
		p.run(s, 20*time.Second, demand)
		// Six subjects, with delays of 1, 2, 4 and 8 s.
		if got := len(p.calls); got > 36 {
			t.Errorf("%s: calls in 20 s: got %d, want at most 36", test.name, got)
		}
		p.run(s, 65*time.Second, demand)
		if got := len(p.ready()); got < 42 || got > 75 {
			t.Errorf("%s: targets after the fault: got %d, want 42 to 75", test.name, got)
		}
	}
}

// Guards against another order for a subject while the outcome of one is
// unknown. A naive scaler takes the order as not sent.
func TestUnknownOrderIsRepeated(t *testing.T) {
	// changed returns the calls that follow one with an unknown outcome for the
	// same subject and differ from it.
	changed := func(s scaler) []tpmessage.ScaleOrder {
		p := newPlatform(map[string]int{"a": 8, "b": 8, "c": 8})
		unknown := make(map[tpscale.Subject]int)
		var changed []tpmessage.ScaleOrder
		i := 0
		p.fault = func(o tpmessage.ScaleOrder) (error, bool) {
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
			p.tick(s, demand+float64(step)/4)
			p.advance(tick)
		}
		return changed
	}
	if got := changed(newScaler()); len(got) != 0 {
		t.Errorf("orders that replace one with an unknown outcome: got %+v, want none", got)
	}
	naive := misreported{newScaler(), func(err error) error {
		if tpscale.OutcomeOf(err) == tpscale.OutcomeUnknown {
			return tpscale.ErrNotSent
		}
		return err
	}}
	if got := changed(naive); len(got) == 0 {
		t.Error("the naive variant passes")
	}
}

// Guards against requests for what is not to be had, and against a number that
// stays too low because of it. A naive scaler repeats a refused order at once.
func TestNoCapacity(t *testing.T) {
	run := func(s scaler, zones ...string) (repeated, ready, plain int) {
		p := newPlatform(map[string]int{"a": 8, "b": 8, "c": 8})
		for _, zone := range zones {
			p.none[tpscale.Subject{Zone: zone, Spot: true}] = start.Add(9 * time.Second)
		}
		last := make(map[tpscale.Subject]time.Time)
		p.fault = func(o tpmessage.ScaleOrder) (error, bool) {
			key := tpscale.Subject{Zone: o.Zone, Spot: o.Spot}
			if at, ok := last[key]; ok && p.now.Sub(at) < 10*time.Second && p.now.Before(p.none[key]) {
				repeated++
			}
			last[key] = p.now
			return nil, true
		}
		p.run(s, 9*time.Second, demand)
		return repeated, len(p.ready()), p.count(false)
	}
	repeated, ready, plain := run(newScaler(), "b")
	if repeated != 0 || ready < 42 || plain > 24 {
		t.Errorf("one zone without spot targets: got %d repeated calls, %d targets, %d plain, want 0, at least 42, at most 24", repeated, ready, plain)
	}
	repeated, ready, plain = run(newScaler(), "a", "b", "c")
	if repeated != 0 || ready < 42 || plain < 42 {
		t.Errorf("no spot targets at all: got %d repeated calls, %d targets, %d plain, want 0, at least 42 of both", repeated, ready, plain)
	}
	naive := misreported{newScaler(), func(err error) error {
		if errors.Is(err, tpholder.ErrNoCapacity) {
			return errLimited
		}
		return err
	}}
	if repeated, _, _ := run(naive, "a", "b", "c"); repeated == 0 {
		t.Error("the naive variant passes")
	}
}

// Guards against limits of an earlier configuration, and against orders for a
// pool that is not, or no longer, to be scaled.
func TestConfigurationTakesEffect(t *testing.T) {
	p, s := newPlatform(map[string]int{"a": 30, "b": 30, "c": 30}), newScaler()
	p.run(s, 20*time.Second, demand)
	s.SetConfig(p.now, newConfig(func(c *tpmessage.RelayPool) { c.Autoscale.Max = 12 }))
	for _, o := range p.tick(s, demand) {
		if o.Count > 12 {
			t.Errorf("order after max fell to 12: got %+v", o.ScaleOrder)
		}
	}
	p.run(s, 10*time.Second, demand)
	s.SetConfig(p.now, newConfig(func(c *tpmessage.RelayPool) { c.Autoscale.Min = 30 }))
	p.run(s, 10*time.Second, demand)
	if got := len(p.ready()); got < 90 {
		t.Errorf("targets after min rose to 30: got %d, want at least 90", got)
	}
	s.SetConfig(p.now, newConfig(func(c *tpmessage.RelayPool) { c.Autoscale = nil }))
	if got := p.run(s, 10*time.Second, 9*demand); len(got) != 0 {
		t.Errorf("orders without autoscale: got %+v, want none", got)
	}
	for field, change := range map[string]func(*tpmessage.RelayPool){
		"fault":  func(c *tpmessage.RelayPool) { c.Autoscale, c.AutoscaleFault = nil, "max: a value is required" },
		"engine": func(c *tpmessage.RelayPool) { c.Engine = nil },
	} {
		if got := s.SetConfig(p.now, newConfig(change)); got[poolName] == "" {
			t.Errorf("%s: got no fault for the log", field)
		}
		if got := p.run(s, time.Second, 9*demand); len(got) != 0 {
			t.Errorf("%s: got orders %+v, want none", field, got)
		}
	}
}

// Guards against an order that removes targets because their registrations are
// missing for a moment.
func TestMissingRegistrations(t *testing.T) {
	p, s := newPlatform(map[string]int{"a": 8, "b": 8, "c": 8}), newScaler()
	p.run(s, 20*time.Second, demand)
	before := len(p.of(tpscale.Subject{Zone: "b", Spot: true}))
	list := slices.DeleteFunc(p.registered(), func(t tpmessage.RelayTarget) bool { return t.Zone == "b" && t.Spot })
	s.SetTargets(p.now, list)
	for _, o := range s.Step(p.now) {
		if o.Zone == "b" && o.Spot && o.Count < before {
			t.Errorf("order while %d registrations are missing: got %+v", before, o.ScaleOrder)
		}
	}
}
