package tpscalemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"teaselpin.example/teaselpin/internal/relay/tpscale"
)

// The model is a day of a deployment: 140 engines in three zones, calls to the
// duty API from dutyFrom on and requests from trafficFrom on.
const (
	step          = 100 * time.Millisecond
	dutyFrom      = 5 * time.Second
	trafficFrom   = 14 * time.Second
	dayLength     = 60 * time.Second
	days          = 20
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

// FirstServers are the plain servers by zone at the start of a day.
var FirstServers = map[string]int{"a": 47, "b": 47, "c": 46}

type route struct {
	perSecond, shared, own float64
	prefixes               int
}

var routes = []route{{72, 13_300, 3_720, 60}, {88, 6_300, 2_890, 80}, {79, 350, 1_110, 40}}

// Result is the sum over all days.
type Result struct {
	Requests, Served, Late float64
	Shared, ReadAgain      float64 // tokens of shared prompts; those among them that were read and had been read before
	Cost                   float64 // seconds of a plain server
	Orders                 int
}

// Row returns a row of a table: unserved, late, shared prompts read again, servers
// on average in plain ones, orders a day, and servers with orders.
func (r *Result) Row(name string) string {
	seconds := days * dayLength.Seconds()
	return fmt.Sprintf("| %s | %.2f%% | %.2f%% | %.1f%% | %.1f | %.1f | %.1f |", name, 100*(1-r.Served/r.Requests), 100*r.Late/r.Requests,
		100*r.ReadAgain/r.Shared, r.Cost/seconds, float64(r.Orders)/days, r.Charged()/seconds)
}

// Charged returns the cost of the servers and of the orders, in seconds of a
// plain server.
func (r *Result) Charged() float64 { return r.Cost + orderPrice*float64(r.Orders) }

type burst struct {
	route        int
	from, length float64 // seconds
	factor       float64
}

// prefix is a shared prompt and the servers that hold it.
type prefix struct {
	homes []*Server
	known bool // it was read before
}

// runDay runs one day and adds it to the result. All policies see the same
// days.
func runDay(s Scaler, seed uint64, r *Result) {
	random := rand.New(rand.NewPCG(seed, 1))
	var bursts []burst
	for range 3 {
		bursts = append(bursts, burst{route: random.IntN(3), from: 16 + 34*random.Float64(), length: 3 + 11*random.Float64(), factor: 1.7 + 0.3*random.Float64()})
	}
	bursts[0].factor = 2.5
	reclaimAt, zone, nowhere := 22+25*random.Float64(), string("abc"[random.IntN(3)]), random.Float64() < 0.3
	phase := 2 * math.Pi * random.Float64()
	prefixes := make([][]prefix, len(routes))
	for i, route := range routes {
		prefixes[i] = make([]prefix, route.prefixes)
	}
	p := NewPlatform(FirstServers)
	demand, backlog, reclaimed := 0.0, 0.0, false // engines, engine milliseconds
	for elapsed := time.Duration(0); elapsed < dayLength; elapsed += step {
		at := elapsed.Seconds()
		if !reclaimed && at >= reclaimAt {
			reclaimed = true
			p.Reclaim(zone)
			for _, z := range "abc" {
				if nowhere {
					p.None[tpscale.Subject{Zone: string(z), Spot: true}] = p.Now.Add(10 * time.Second)
				}
			}
		}
		if elapsed >= dutyFrom && elapsed%Interval == 0 {
			p.Tick(s, demand)
		}
		ready := p.Ready()
		capacity := balance * float64(len(ready)) * float64(step.Milliseconds())
		work := 0.0
		for i, route := range routes {
			rate := route.perSecond * (1 + swing*math.Sin(2*math.Pi*at/swingPeriod+phase))
			for _, b := range bursts {
				if b.route == i && at >= b.from && at < b.from+b.length {
					rate *= b.factor
				}
			}
			arrivals := rate * step.Seconds()
			for n := int(arrivals + random.Float64()); n > 0 && elapsed >= trafficFrom; n-- {
				work += request(random, &prefixes[i][random.IntN(route.prefixes)], route, ready, backlog/capacity*step.Seconds(), r)
			}
		}
		backlog = max(0, backlog+work-capacity)
		if elapsed >= trafficFrom {
			// As tpplace measures it: an average without a bias towards zero.
			age := max((elapsed - trafficFrom).Seconds(), 0.5)
			weight := max(-math.Expm1(-step.Seconds()/smoothingTime), step.Seconds()/age)
			demand += min(1, weight) * (work/float64(step.Milliseconds()) - demand)
		}
		for _, srv := range p.Servers {
			price := map[string]float64{"a": 1, "b": 0.8, "c": 1.25}[srv.Zone]
			if srv.Spot {
				price *= 0.22
			}
			r.Cost += price * step.Seconds()
		}
		p.Advance(step)
	}
	r.Orders += len(p.Calls)
}

// request returns the engine time that a request takes, in milliseconds. Wait is
// the time in seconds for which it waits for an engine.
func request(random *rand.Rand, pre *prefix, class route, ready []*Server, wait float64, r *Result) float64 {
	r.Requests++
	if wait > maxWait {
		return 0
	}
	r.Served++
	if wait > lateWait {
		r.Late++
	}
	r.Shared += class.shared
	alive := pre.homes[:0]
	for _, home := range pre.homes {
		if !home.Draining {
			alive = append(alive, home)
		}
	}
	pre.homes = alive
	read := class.own
	if len(alive) == 0 || len(alive) == 1 && random.Float64() < secondCopy {
		read += class.shared
		if pre.known && len(alive) == 0 {
			r.ReadAgain += class.shared
		}
		pre.known = true
		pre.homes = append(pre.homes, ready[random.IntN(len(ready))])
	}
	return read/readPerMs + decodeMs
}

// Days runs all days, each with a new scaler.
func Days(newScaler func() Scaler) Result {
	var r Result
	for day := range days {
		runDay(newScaler(), uint64(day), &r)
	}
	return r
}
