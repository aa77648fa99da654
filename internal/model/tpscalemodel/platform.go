package tpscalemodel

import (
	"fmt"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/internal/relay/tpscale"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// PoolName is the name of the only pool.
	PoolName = "reader"
	// Interval is the time between two decisions.
	Interval = 500 * time.Millisecond
	// reclaimedFor is the time for which a zone has no spot servers after a loss.
	reclaimedFor = 10 * time.Second
	// noticeTime is the time for which reclaimed servers stay.
	noticeTime = 2500 * time.Millisecond
)

// Start is the time at which the model starts.
var Start = time.Unix(1_800_000_000, 0)

// NewConfig returns a configuration with the pool, after a change unless that is
// nil.
func NewConfig(change func(*tpmessage.RelayPool)) *tpmessage.RelayConfig {
	p := tpmessage.RelayPool{
		Name: PoolName, Engine: &tpmessage.EngineTraits{Slots: 64},
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

// Server is a target of the simulated platform.
type Server struct {
	tpmessage.RelayTarget
	readyAt time.Time
	goneAt  time.Time // zero unless it leaves
}

// Platform simulates the servers of a pool and the duty API.
type Platform struct {
	Now     time.Time
	Startup time.Duration // until an ordered server registers
	Servers []*Server     // including those that are starting
	Started int           // number of servers that were ever started
	Calls   []tpmessage.ScaleOrder
	None    map[tpscale.Subject]time.Time // no capacity until then
	// Fault returns the error of a call and whether the call is carried out.
	Fault func(o tpmessage.ScaleOrder) (err error, carriedOut bool)
}

// NewPlatform returns a platform with plain servers in the zones a, b and c.
func NewPlatform(perZone map[string]int) *Platform {
	p := &Platform{Now: Start, Startup: 4 * time.Second, None: make(map[tpscale.Subject]time.Time)}
	for _, zone := range []string{"a", "b", "c"} {
		p.Add(tpscale.Subject{Zone: zone}, perZone[zone], Start)
	}
	return p
}

// Add adds servers that register at the given time.
func (p *Platform) Add(key tpscale.Subject, n int, readyAt time.Time) {
	for range n {
		p.Started++
		p.Servers = append(p.Servers, &Server{readyAt: readyAt, RelayTarget: tpmessage.RelayTarget{
			Target: tpmessage.Target{Name: fmt.Sprintf("s%04d", p.Started), Zone: key.Zone}, Pool: PoolName, Spot: key.Spot, StartedMs: int64(p.Started),
		}})
	}
}

// Of returns the servers of a subject that are there or will be.
func (p *Platform) Of(key tpscale.Subject) []*Server {
	var list []*Server
	for _, s := range p.Servers {
		if s.Zone == key.Zone && s.Spot == key.Spot && !s.Draining {
			list = append(list, s)
		}
	}
	return list
}

// Order carries out an order. It returns an error of tpholder.API, or that of
// Fault.
func (p *Platform) Order(o tpmessage.ScaleOrder) error {
	p.Calls = append(p.Calls, o)
	var err error
	carriedOut := true
	if p.Fault != nil {
		err, carriedOut = p.Fault(o)
	}
	key := tpscale.Subject{Zone: o.Zone, Spot: o.Spot}
	present := p.Of(key)
	if carriedOut && o.Count > len(present) && p.Now.Before(p.None[key]) {
		return tpholder.ErrNoCapacity
	}
	if carriedOut {
		p.Add(key, o.Count-len(present), p.Now.Add(p.Startup))
		for _, s := range present[min(o.Count, len(present)):] {
			s.Draining, s.LeavesIn, s.goneAt = true, time.Second, p.Now.Add(time.Second)
		}
	}
	return err
}

// Reclaim takes all spot servers of a zone, which has none for reclaimedFor.
func (p *Platform) Reclaim(zone string) {
	key := tpscale.Subject{Zone: zone, Spot: true}
	for _, s := range p.Of(key) {
		s.Draining, s.LeavesIn, s.goneAt = true, noticeTime, p.Now.Add(noticeTime)
	}
	p.None[key] = p.Now.Add(reclaimedFor)
}

// Advance advances the time and removes the servers that have left.
func (p *Platform) Advance(d time.Duration) {
	p.Now = p.Now.Add(d)
	p.Servers = slices.DeleteFunc(p.Servers, func(s *Server) bool { return !s.goneAt.IsZero() && !p.Now.Before(s.goneAt) })
}

// Ready returns the servers that are registered and do not leave.
func (p *Platform) Ready() []*Server {
	var list []*Server
	for _, s := range p.Servers {
		if !s.Draining && !p.Now.Before(s.readyAt) {
			list = append(list, s)
		}
	}
	return list
}

// Plain returns the number of ready plain servers.
func (p *Platform) Plain() int {
	n := 0
	for _, s := range p.Ready() {
		if !s.Spot {
			n++
		}
	}
	return n
}

// Registered returns the registrations, including those of leaving servers.
func (p *Platform) Registered() []tpmessage.RelayTarget {
	list := []tpmessage.RelayTarget{}
	for _, s := range p.Servers {
		if !p.Now.Before(s.readyAt) {
			list = append(list, s.RelayTarget)
		}
	}
	return list
}

// Scaler is a tpscale.Scaler of any policy.
type Scaler interface {
	SetConfig(now time.Time, cfg *tpmessage.RelayConfig) map[string]string
	SetTargets(now time.Time, list []tpmessage.RelayTarget)
	SetDemand(now time.Time, engines float64)
	SetHolder(now time.Time, held bool, fencing uint64)
	Step(now time.Time) []tpscale.Order
	HandleResult(now time.Time, o tpscale.Order, err error)
}

// Tick runs one decision of the scaler and carries out its orders.
func (p *Platform) Tick(s Scaler, demand float64) []tpscale.Order {
	s.SetTargets(p.Now, p.Registered())
	s.SetDemand(p.Now, demand)
	s.SetHolder(p.Now, true, 1)
	orders := s.Step(p.Now)
	for _, o := range orders {
		s.HandleResult(p.Now, o, p.Order(o.ScaleOrder))
	}
	return orders
}

// Run runs decisions for some time with one demand.
func (p *Platform) Run(s Scaler, d time.Duration, demand float64) []tpscale.Order {
	var orders []tpscale.Order
	for range int(d / Interval) {
		orders = append(orders, p.Tick(s, demand)...)
		p.Advance(Interval)
	}
	return orders
}
