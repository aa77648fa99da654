package tpscale_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpscale"
)

// The model is a day of a deployment: 140 engines in three zones, calls to the
// duty API from dutyFrom on and requests from trafficFrom on.
const (
	modelStep     = 100 * time.Millisecond
	dutyFrom      = 5 * time.Second
	trafficFrom   = 14 * time.Second
	dayLength     = 60 * time.Second
	days          = 30
	readPerMs     = 37.9 // tokens
	decodeMs      = 9.0  // engine time for an answer in a full batch
	balance       = 0.8  // part of the engines' time that placement can use
	maxWait       = 1.5  // seconds after which a request is refused
	lateWait      = 0.4  // seconds
	orderPrice    = 3.0  // seconds of a plain server
	swing         = 0.27
	swingPeriod   = 11.0 // seconds
	secondCopy    = 0.05 // part of the requests that make another copy of their prefix
	smoothingTime = 3.0  // seconds, of the measured demand
)

type modelRoute struct {
	perSecond, shared, own float64
	prefixes               int
}

var modelRoutes = []modelRoute{{72, 13_300, 3_720, 60}, {88, 6_300, 2_890, 80}, {79, 350, 1_110, 40}}

// modelResult is the sum over all days.
type modelResult struct {
	requests, served, late float64
	shared, readAgain      float64 // tokens of shared prompts; those among them that were read and had been read before
	cost                   float64 // seconds of a plain server
	orders                 int
}

func (r *modelResult) row(name string) string {
	seconds := days * dayLength.Seconds()
	return fmt.Sprintf("| %s | %.2f%% | %.2f%% | %.1f%% | %.1f | %.1f | %.1f |", name, 100*(1-r.served/r.requests), 100*r.late/r.requests,
		100*r.readAgain/r.shared, r.cost/seconds, float64(r.orders)/days, r.charged()/seconds)
}

// charged returns the cost of the servers and of the orders, in seconds of a
// plain server.
func (r *modelResult) charged() float64 { return r.cost + orderPrice*float64(r.orders) }

type burst struct {
	route        int
	from, length float64 // seconds
	factor       float64
}

// prefix is a shared prompt and the servers that hold it.
type prefix struct {
	homes []*server
	known bool // it was read before
}

// modelDay runs one day and adds it to the result. All policies see the same
// days.
func modelDay(s scaler, seed uint64, r *modelResult) {
	random := rand.New(rand.NewPCG(seed, 1))
	var bursts []burst
	for range 3 {
		bursts = append(bursts, burst{route: random.IntN(3), from: 16 + 34*random.Float64(), length: 3 + 11*random.Float64(), factor: 1.7 + 0.3*random.Float64()})
	}
	bursts[0].factor = 2.5
	reclaimAt, zone, nowhere := 22+25*random.Float64(), string("abc"[random.IntN(3)]), random.Float64() < 0.3
	phase := 2 * math.Pi * random.Float64()
	prefixes := make([][]prefix, len(modelRoutes))
	for i, route := range modelRoutes {
		prefixes[i] = make([]prefix, route.prefixes)
	}
	p := newPlatform(fullPool)
	demand, backlog, reclaimed := 0.0, 0.0, false // engines, engine milliseconds
	for elapsed := time.Duration(0); elapsed < dayLength; elapsed += modelStep {
		at := elapsed.Seconds()
		if !reclaimed && at >= reclaimAt {
			reclaimed = true
			p.reclaim(zone)
			for _, z := range "abc" {
				if nowhere {
					p.none[tpscale.Subject{Zone: string(z), Spot: true}] = p.now.Add(10 * time.Second)
				}
			}
		}
		if elapsed >= dutyFrom && elapsed%tick == 0 {
			p.tick(s, demand)
		}
		ready := p.ready()
		capacity := balance * float64(len(ready)) * float64(modelStep.Milliseconds())
		work := 0.0
		for i, route := range modelRoutes {
			rate := route.perSecond * (1 + swing*math.Sin(2*math.Pi*at/swingPeriod+phase))
			for _, b := range bursts {
				if b.route == i && at >= b.from && at < b.from+b.length {
					rate *= b.factor
				}
			}
			arrivals := rate * modelStep.Seconds()
			for n := int(arrivals + random.Float64()); n > 0 && elapsed >= trafficFrom; n-- {
				work += modelRequest(random, &prefixes[i][random.IntN(route.prefixes)], route, ready, backlog/capacity*modelStep.Seconds(), r)
			}
		}
		backlog = max(0, backlog+work-capacity)
		if elapsed >= trafficFrom {
			// As tpplace measures it: an average without a bias towards zero.
			age := max((elapsed - trafficFrom).Seconds(), 0.5)
			weight := max(-math.Expm1(-modelStep.Seconds()/smoothingTime), modelStep.Seconds()/age)
			demand += min(1, weight) * (work/float64(modelStep.Milliseconds()) - demand)
		}
		for _, srv := range p.servers {
			price := map[string]float64{"a": 1, "b": 0.8, "c": 1.25}[srv.Zone]
			if srv.Spot {
				price *= 0.22
			}
			r.cost += price * modelStep.Seconds()
		}
		p.advance(modelStep)
	}
	r.orders += len(p.calls)
}

// modelRequest returns the engine time that a request takes, in milliseconds.
func modelRequest(random *rand.Rand, pre *prefix, route modelRoute, ready []*server, wait float64, r *modelResult) float64 {
	r.requests++
	if wait > maxWait {
		return 0
	}
	r.served++
	if wait > lateWait {
		r.late++
	}
	r.shared += route.shared
	alive := pre.homes[:0]
	for _, home := range pre.homes {
		if !home.Draining {
			alive = append(alive, home)
		}
	}
	pre.homes = alive
	read := route.own
	if len(alive) == 0 || len(alive) == 1 && random.Float64() < secondCopy {
		read += route.shared
		if pre.known && len(alive) == 0 {
			r.readAgain += route.shared
		}
		pre.known = true
		pre.homes = append(pre.homes, ready[random.IntN(len(ready))])
	}
	return read/readPerMs + decodeMs
}

func modelDays(newScaler func() scaler) modelResult {
	var r modelResult
	for day := range days {
		modelDay(newScaler(), uint64(day), &r)
	}
	return r
}

func modelScaler[P tpscale.Policy](cfg tpscale.Settings, policy P) func() scaler {
	return func() scaler {
		s := tpscale.New(cfg, policy)
		s.SetConfig(start, newConfig(nil))
		return s
	}
}

// Guards against a number of targets that costs as much as no scaling at all, and
// against one that leaves more callers unserved than it. A naive policy follows
// the demand of the moment.
func TestPoliciesOnModel(t *testing.T) {
	naive := modelScaler(tpscale.Settings{
		PeakHold: 1, KnownAfter: 1, RaiseBelow: 0.999, LowerAbove: 1.001, MaxLowering: 1, LowerInterval: 1,
	}, tpscale.TargetUtilisation{Utilisation: 0.8})
	results := make(map[string]modelResult)
	for _, test := range []struct {
		name      string
		newScaler func() scaler
	}{
		{"none", modelScaler(tpscale.Settings{}, tpscale.None{})},
		{"target utilisation 0.35", modelScaler(tpscale.Settings{}, tpscale.TargetUtilisation{})},
		{"forecast 0.35", modelScaler(tpscale.Settings{}, tpscale.Forecast{})},
		{"forecast 0.3", modelScaler(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.3})},
		{"forecast 0.4", modelScaler(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.4})},
		{"forecast 0.5", modelScaler(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.5})},
		{"forecast 0.7", modelScaler(tpscale.Settings{}, tpscale.Forecast{Utilisation: 0.7})},
		{"forecast 0.35, spot share 0.7", modelScaler(tpscale.Settings{SpotShare: 0.7}, tpscale.Forecast{})},
		{"forecast 0.35, spot share 1", modelScaler(tpscale.Settings{SpotShare: 1}, tpscale.Forecast{})},
		{"forecast 0.35, peak held 6 s", modelScaler(tpscale.Settings{PeakHold: 6 * time.Second}, tpscale.Forecast{})},
		{"forecast 0.35, peak held 20 s", modelScaler(tpscale.Settings{PeakHold: 20 * time.Second}, tpscale.Forecast{})},
		{"demand of the moment 0.8", naive},
	} {
		r := modelDays(test.newScaler)
		results[test.name] = r
		t.Log(r.row(test.name))
	}
	before := results["none"]
	// fault says what is wrong with a policy, or nothing.
	fault := func(r modelResult) string {
		switch unserved, late := 1-r.served/r.requests, r.late/r.requests; {
		case r.charged() > 0.45*before.charged():
			return fmt.Sprintf("cost %.0f, want at most 0.45 of %.0f", r.charged(), before.charged())
		case unserved > 1-before.served/before.requests+0.001, late > 0.01:
			return fmt.Sprintf("unserved %.4f, late %.4f, want at most 0.001 more than none and 0.01", unserved, late)
		}
		return ""
	}
	if got := fault(results["forecast 0.35"]); got != "" {
		t.Error(got)
	}
	if fault(results["demand of the moment 0.8"]) == "" {
		t.Error("the naive variant passes")
	}
}
