package tpscale_test

import (
	"fmt"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpscale"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	poolName = "reader"
	tick     = 500 * time.Millisecond
	// noticeTime is the time for which reclaimed servers stay.
	noticeTime = 2500 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

func newConfig(change func(*tpmessage.RelayPool)) *tpmessage.RelayConfig {
	p := tpmessage.RelayPool{
		Name: poolName, Engine: &tpmessage.EngineTraits{Slots: 64},
		Autoscale: &tpmessage.Autoscale{
			Min: 1, Max: 94, Startup: 4 * time.Second, SpotPrice: 0.22,
			ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25},
		},
	}
	if change != nil {
		change(&p)
	}
	return &tpmessage.RelayConfig{Pools: []tpmessage.RelayPool{p}}
}

// server is a target of the simulated platform.
type server struct {
	tpmessage.RelayTarget
	readyAt time.Time
	goneAt  time.Time // zero unless it leaves
}

// platform simulates the servers of a pool and the duty API.
type platform struct {
	now     time.Time
	startup time.Duration
	servers []*server
	nextID  int
	calls   []tpmessage.ScaleOrder
	none    map[tpscale.Subject]time.Time // no capacity until then
	// fault returns the error of a call and whether the call is carried out.
	fault func(o tpmessage.ScaleOrder) (err error, carriedOut bool)
}

func newPlatform(perZone map[string]int) *platform {
	p := &platform{now: start, startup: 4 * time.Second, none: make(map[tpscale.Subject]time.Time)}
	for _, zone := range []string{"a", "b", "c"} {
		p.add(tpscale.Subject{Zone: zone}, perZone[zone], start)
	}
	return p
}

func (p *platform) add(key tpscale.Subject, n int, readyAt time.Time) {
	for range n {
		p.nextID++
		p.servers = append(p.servers, &server{readyAt: readyAt, RelayTarget: tpmessage.RelayTarget{
			Target: tpmessage.Target{Name: fmt.Sprintf("s%04d", p.nextID), Zone: key.Zone}, Pool: poolName, Spot: key.Spot, StartedMs: int64(p.nextID),
		}})
	}
}

// of returns the servers of a subject that are there or will be.
func (p *platform) of(key tpscale.Subject) []*server {
	var list []*server
	for _, s := range p.servers {
		if s.Zone == key.Zone && s.Spot == key.Spot && !s.Draining {
			list = append(list, s)
		}
	}
	return list
}

func (p *platform) order(o tpmessage.ScaleOrder) error {
	p.calls = append(p.calls, o)
	var err error
	carriedOut := true
	if p.fault != nil {
		err, carriedOut = p.fault(o)
	}
	key := tpscale.Subject{Zone: o.Zone, Spot: o.Spot}
	present := p.of(key)
	if carriedOut && o.Count > len(present) && p.now.Before(p.none[key]) {
		return errNoCapacity
	}
	if carriedOut {
		p.add(key, o.Count-len(present), p.now.Add(p.startup))
		for _, s := range present[min(o.Count, len(present)):] {
			s.Draining, s.LeavesIn, s.goneAt = true, time.Second, p.now.Add(time.Second)
		}
	}
	return err
}

// reclaim takes all spot servers of a zone, which has none for 10 s.
func (p *platform) reclaim(zone string) {
	key := tpscale.Subject{Zone: zone, Spot: true}
	for _, s := range p.of(key) {
		s.Draining, s.LeavesIn, s.goneAt = true, noticeTime, p.now.Add(noticeTime)
	}
	p.none[key] = p.now.Add(10 * time.Second)
}

// advance removes the servers that have left.
func (p *platform) advance(d time.Duration) {
	p.now = p.now.Add(d)
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool { return !s.goneAt.IsZero() && !p.now.Before(s.goneAt) })
}

func (p *platform) ready() []*server {
	var list []*server
	for _, s := range p.servers {
		if !s.Draining && !p.now.Before(s.readyAt) {
			list = append(list, s)
		}
	}
	return list
}

// plain returns the number of ready plain servers.
func (p *platform) plain() int {
	n := 0
	for _, s := range p.ready() {
		if !s.Spot {
			n++
		}
	}
	return n
}

func (p *platform) registered() []tpmessage.RelayTarget {
	list := []tpmessage.RelayTarget{}
	for _, s := range p.servers {
		if !p.now.Before(s.readyAt) {
			list = append(list, s.RelayTarget)
		}
	}
	return list
}

// scaler is a tpscale.Scaler of any policy.
type scaler interface {
	SetConfig(now time.Time, cfg *tpmessage.RelayConfig) map[string]string
	SetTargets(now time.Time, list []tpmessage.RelayTarget)
	SetDemand(now time.Time, engines float64)
	SetHolder(now time.Time, held bool, fencing uint64)
	Step(now time.Time) []tpscale.Order
	HandleResult(now time.Time, o tpscale.Order, err error)
}

// tick runs one decision of the scaler and carries out its orders.
func (p *platform) tick(s scaler, demand float64) []tpscale.Order {
	s.SetTargets(p.now, p.registered())
	s.SetDemand(p.now, demand)
	s.SetHolder(p.now, true, 1)
	orders := s.Step(p.now)
	for _, o := range orders {
		s.HandleResult(p.now, o, p.order(o.ScaleOrder))
	}
	return orders
}

// run runs decisions for some time with one demand.
func (p *platform) run(s scaler, d time.Duration, demand float64) []tpscale.Order {
	var orders []tpscale.Order
	for range int(d / tick) {
		orders = append(orders, p.tick(s, demand)...)
		p.advance(tick)
	}
	return orders
}
