package tpscale_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/model/tpscalemodel"
	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/internal/relay/tpscale"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

var scaleSeeds = flag.Uint64("scale.seeds", 50, "number of random days in TestRandomFaults")

// randomDay runs two minutes in which calls fail, zones lose their spot targets
// and the duty changes its holder, and returns what is wrong.
func randomDay(seed uint64, newScaler func() tpscalemodel.Scaler) []string {
	const maxPerZone = 60
	random := rand.New(rand.NewPCG(seed, 2))
	var faults []string
	p := tpscalemodel.NewPlatform(map[string]int{"a": 20, "b": 20, "c": 20})
	var holder, other tpscalemodel.Scaler
	fencing := uint64(0)
	unknown, blocked := make(map[tpscale.Subject]int), make(map[tpscale.Subject]time.Time)
	change := func() {
		fencing++
		holder, other = other, holder
		clear(unknown)
		clear(blocked)
	}
	cfg := tpscalemodel.NewConfig(func(c *tpmessage.RelayPool) { c.Autoscale.Max = maxPerZone })
	holder, other = newScaler(), newScaler()
	holder.SetConfig(tpscalemodel.Start, cfg)
	other.SetConfig(tpscalemodel.Start, cfg)
	change()
	p.Fault = func(o tpmessage.ScaleOrder) (error, bool) {
		key := tpscale.Subject{Zone: o.Zone, Spot: o.Spot}
		present := len(p.Of(key))
		if count, ok := unknown[key]; ok && count != o.Count && present > 0 {
			faults = append(faults, fmt.Sprintf("%v: order %+v after one for %d with an unknown outcome", p.Now.Sub(tpscalemodel.Start), o, count))
		}
		if p.Now.Before(blocked[key]) && o.Count > present {
			faults = append(faults, fmt.Sprintf("%v: order %+v for what is not to be had", p.Now.Sub(tpscalemodel.Start), o))
		}
		if o.Count < 0 || o.Count+len(p.Of(tpscale.Subject{Zone: o.Zone, Spot: !o.Spot})) > maxPerZone {
			faults = append(faults, fmt.Sprintf("%v: order %+v beyond the limits", p.Now.Sub(tpscalemodel.Start), o))
		}
		delete(unknown, key)
		if o.Count > present && p.Now.Before(p.None[key]) {
			blocked[key] = p.Now.Add(10 * time.Second)
			return nil, true // the platform has none
		}
		switch random.IntN(10) {
		case 0:
			return tpholder.ErrLimited, false
		case 1, 2:
			unknown[key] = o.Count
			return errTimeout, random.IntN(2) == 0
		}
		return nil, true
	}
	demand, reclaimedAt := 20.0, tpscalemodel.Start
	for step := range 240 {
		if random.IntN(50) == 0 {
			reclaimedAt = p.Now
			p.Reclaim(string("abc"[random.IntN(3)]))
			clear(unknown)
		}
		if random.IntN(40) == 0 {
			change()
		}
		demand = min(max(demand+random.NormFloat64()/2, 8), 35)
		now := p.Now
		other.SetDemand(now, demand)
		other.SetHolder(now, false, 0)
		holder.SetTargets(now, p.Registered())
		holder.SetDemand(now, demand)
		holder.SetHolder(now, true, fencing)
		for _, o := range holder.Step(now) {
			holder.HandleResult(now, o, p.Order(o.ScaleOrder))
		}
		p.Advance(tpscalemodel.Interval)
		if got := len(p.Ready()); step > 20 && p.Now.Sub(reclaimedAt) > 12*time.Second && float64(got) < demand {
			faults = append(faults, fmt.Sprintf("%v: %d targets for a demand of %.1f", p.Now.Sub(tpscalemodel.Start), got, demand))
		}
	}
	if got := len(p.Calls); got > 200 {
		faults = append(faults, fmt.Sprintf("%d calls in two minutes", got))
	}
	return faults
}

// Guards against orders that break a rule when failures, losses and changes of
// the holder coincide.
func TestRandomFaults(t *testing.T) {
	for seed := range *scaleSeeds {
		for _, fault := range randomDay(seed, newScaler) {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
	for name, newNaive := range map[string]func() tpscalemodel.Scaler{"forgetful": newForgetful, "eager": newEager} {
		found := 0
		for seed := range uint64(50) {
			found += len(randomDay(seed, newNaive))
		}
		if found == 0 {
			t.Errorf("the %s variant passes", name)
		}
	}
}

// Guards against orders beyond the limit of a zone after several changes of the
// holder within seconds.
func TestHoldersInARowKeepTheLimits(t *testing.T) {
	for _, seed := range []uint64{1489, 2871} {
		for _, fault := range randomDay(seed, newScaler) {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}
