package tpmodel_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"teaselpin.example/teaselpin/internal/model/tpmodel"
	"teaselpin.example/teaselpin/internal/order/stage1/tprole"
	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/internal/request/stage2/tpadmission"
	"teaselpin.example/teaselpin/internal/request/stage3/tprouter"
)

var reportLags = []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second}

// mix returns a demand of 18 engines, of which the given fraction is prefill. A
// pool of 18 engines that is split for an even mix has a capacity of 22.5,
// because each engine also does the other work at tpload.OffRoleSpeed.
func mix(prefillFraction float64) tprole.Demand {
	return tprole.Demand{Prefill: 18 * prefillFraction, Decode: 18 * (1 - prefillFraction)}
}

// shifts are demands whose prefill fraction moves between 0.3 and 0.7.
var shifts = []struct {
	name   string
	demand func(at time.Duration) tprole.Demand
}{
	{"step", func(at time.Duration) tprole.Demand {
		if at < 200*time.Second {
			return mix(0.3)
		}
		return mix(0.7)
	}},
	{"ramp", func(at time.Duration) tprole.Demand {
		return mix(0.3 + 0.4*min(max(at.Seconds()-150, 0)/300, 1))
	}},
	{"flapping5s", flapping(5 * time.Second)},
	{"flapping30s", flapping(30 * time.Second)},
	{"sinusoid", func(at time.Duration) tprole.Demand {
		return mix(0.5 - 0.2*math.Cos(2*math.Pi*at.Seconds()/300))
	}},
}

func flapping(interval time.Duration) func(at time.Duration) tprole.Demand {
	return func(at time.Duration) tprole.Demand {
		if at/interval%2 == 0 {
			return mix(0.3)
		}
		return mix(0.7)
	}
}

// BenchmarkRoles runs each role policy with each shift. The metric goodput is
// the work that the policy serves, relative to the clairvoyant policy, which
// knows the future demand.
func BenchmarkRoles(b *testing.B) {
	for _, shift := range shifts {
		for _, lag := range reportLags {
			cfg := tpmodel.RoleSettings{
				Split: tprole.Split{Prefill: 5, Decode: 13}, Demand: shift.demand,
				Duration: 600 * time.Second, ObservationLag: lag, ChangeTime: 5 * time.Second, Seed: 1,
			}
			plan, _ := tprole.Clairvoyant(cfg.Split, tpmodel.DemandPerSecond(cfg), 5, 0)
			noLag := cfg
			noLag.ObservationLag = 0
			bound := tpmodel.RunRoles(noLag, &tprole.Schedule{Start: time.Unix(0, 0), Interval: time.Second, Prefill: plan})
			name := fmt.Sprintf("%s/lag=%v/", shift.name, lag)
			newSkiRental := func(weight float64) *tprole.SkiRental {
				return &tprole.SkiRental{ChangeCost: weight, EngineRate: tpmodel.EngineRate, ChangeTime: cfg.ChangeTime}
			}
			b.Run(name+"clairvoyant", func(b *testing.B) { measureRoles(b, bound, bound) })
			b.Run(name+"skiRental10", func(b *testing.B) { measureRoles(b, tpmodel.RunRoles(cfg, newSkiRental(10)), bound) })
			b.Run(name+"skiRental20", func(b *testing.B) { measureRoles(b, tpmodel.RunRoles(cfg, newSkiRental(20)), bound) })
			b.Run(name+"skiRental40", func(b *testing.B) { measureRoles(b, tpmodel.RunRoles(cfg, newSkiRental(40)), bound) })
			b.Run(name+"follow", func(b *testing.B) { measureRoles(b, tpmodel.RunRoles(cfg, tprole.Greedy{}), bound) })
			b.Run(name+"static", func(b *testing.B) { measureRoles(b, tpmodel.RunRoles(cfg, tprole.Static{}), bound) })
		}
	}
}

func measureRoles(b *testing.B, got, bound tpmodel.RoleResult) {
	b.ReportMetric(got.GoodWork/bound.GoodWork, "goodput")
	b.ReportMetric(float64(got.Changes), "changes")
	b.ReportMetric(0, "ns/op")
}

// capacityPerSecond is the number of requests a second that 18 mixed engines
// serve.
const capacityPerSecond = 43

func fleetSettings(lag time.Duration, rivalLoad float64) tpmodel.FleetSettings {
	cfg := tpmodel.FleetSettings{
		Engines: 18, Nodes: 7, Window: 1024, PerTarget: 24, ReportLag: lag, Duration: 240 * time.Second, Deadline: 20 * time.Second,
		PromptTokens: 2048, MaxTokens: 256, Seed: 1,
	}
	for i := range 10 {
		o := tpmodel.Organisation{Name: fmt.Sprint("org-", i), Share: 0.1, RequestsPerSecond: 0.06 * capacityPerSecond}
		if i == 0 {
			o.RequestsPerSecond = rivalLoad * 0.1 * capacityPerSecond
		}
		cfg.Organisations = append(cfg.Organisations, o)
	}
	return cfg
}

// BenchmarkFleet runs pairs of admission and routing policies in several
// scenarios: with one organisation, the rival, at ten times its share, and with
// engines lost or drained. The other organisations stay at 0.6 of their shares.
// So does the rival in the scenarios calm, lost and drained.
//
// The metrics alone and calm are ratios of 95th percentiles of the time to
// first token, each the maximum over the organisations other than the rival.
// The denominator of alone is the percentile of an organisation that is the
// only one. That of calm is the percentile of the same organisation in the
// scenario calm.
func BenchmarkFleet(b *testing.B) {
	for _, lag := range reportLags {
		for _, scenario := range []string{"calm", "rival", "rivalPerTarget64", "rivalWideWindow", "lost", "drained"} {
			cfg := fleetSettings(lag, 10)
			switch scenario {
			case "calm":
				cfg = fleetSettings(lag, 0.6)
			case "rivalPerTarget64":
				cfg.PerTarget = 64
			case "rivalWideWindow":
				cfg.PerTarget = 0
			case "lost", "drained":
				cfg = fleetSettings(lag, 0.6)
				for i := range 4 {
					cfg.Faults = append(cfg.Faults, tpmodel.Fault{
						At: time.Duration(40+i) * time.Second, Engine: i * 4, Drain: scenario == "drained",
					})
				}
			}
			name := fmt.Sprintf("%s/lag=%v/", scenario, lag)
			b.Run(name+"fair+twoChoices", func(b *testing.B) { measureFleet(b, cfg, tpadmission.NewFair, tprouter.NewTwoChoices) })
			b.Run(name+"fair+leastReported", func(b *testing.B) { measureFleet(b, cfg, tpadmission.NewFair, newLeastReported) })
			b.Run(name+"fair+roundRobin", func(b *testing.B) { measureFleet(b, cfg, tpadmission.NewFair, newRoundRobin) })
			b.Run(name+"fair+random", func(b *testing.B) { measureFleet(b, cfg, tpadmission.NewFair, tprouter.NewRandom) })
			b.Run(name+"fcfs+twoChoices", func(b *testing.B) { measureFleet(b, cfg, newFCFS, tprouter.NewTwoChoices) })
			b.Run(name+"fcfs+roundRobin", func(b *testing.B) { measureFleet(b, cfg, newFCFS, newRoundRobin) })
		}
	}
}

func newFCFS() *tpadmission.FCFS { return &tpadmission.FCFS{} }

func newRoundRobin(uint64) *tprouter.RoundRobin { return &tprouter.RoundRobin{} }

func newLeastReported(uint64) (p tprouter.LeastReportedLoad) { return p }

func measureFleet[Q tpadmission.Queue, P tprouter.RoutePolicy](
	b *testing.B, cfg tpmodel.FleetSettings, queue func() Q, policy func(uint64) P,
) {
	got := tpmodel.RunFleet(cfg, queue, policy)
	calmSettings := fleetSettings(cfg.ReportLag, 0.6)
	calmResult := tpmodel.RunFleet(calmSettings, queue, policy)
	aloneSettings := calmSettings
	aloneSettings.Organisations = slices.Clone(calmSettings.Organisations)
	for i := range aloneSettings.Organisations {
		if i != 1 {
			aloneSettings.Organisations[i].RequestsPerSecond = 0
		}
	}
	aloneResult := tpmodel.RunFleet(aloneSettings, queue, policy)
	baseline := p95Seconds(aloneResult.TimesToFirstToken["org-1"])
	worst, worstCalm := 0.0, 0.0
	for _, o := range cfg.Organisations[1:] {
		p := p95Seconds(got.TimesToFirstToken[o.Name])
		worst = max(worst, p/baseline)
		worstCalm = max(worstCalm, p/p95Seconds(calmResult.TimesToFirstToken[o.Name]))
	}
	engines := float64(cfg.Engines)
	for _, f := range cfg.Faults {
		engines -= (cfg.Duration - f.At).Seconds() / (cfg.Duration.Seconds() * 3 / 4)
	}
	capacity := 2 * tpload.MixedRoleSpeed * tpmodel.EngineRate * engines * cfg.Duration.Seconds() * 3 / 4
	b.ReportMetric(got.GoodCost/min(got.OfferedCost, capacity), "goodput")
	b.ReportMetric(worst, "alone")
	b.ReportMetric(worstCalm, "calm")
	b.ReportMetric(0, "ns/op")
}

// p95Seconds returns the 95th percentile in seconds.
func p95Seconds(times []time.Duration) float64 {
	sorted := slices.Sorted(slices.Values(times))
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[len(sorted)*95/100].Seconds()
}
