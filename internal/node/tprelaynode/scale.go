package tprelaynode

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/relay/tpholder"
	"teaselpin.example/teaselpin/internal/relay/tpscale"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// scaleDuty is the name of the duty in the settings.
	scaleDuty = "scale"
	// scaleRingCapacity is the number of inputs that wait for the scale filter.
	// Each order adds at most one input, its result.
	scaleRingCapacity = 64
	// scaleOrderRingCapacity is the number of orders that wait to be sent. A pool
	// has one for each kind in each availability zone at most.
	scaleOrderRingCapacity = 16
	// scaleSenders is the number of orders sent at the same time, so that one
	// that gets no answer does not delay the others.
	scaleSenders = 3
	// scaleTickInterval is the time between two decisions.
	scaleTickInterval = 500 * time.Millisecond
	// scalePeakHold and scaleKnownAfter replace the defaults of tpscale. A spot
	// target costs a fraction of a plain one, so that a number that falls and
	// rises with the demand saves less than the prompts cost that are read again
	// after each change.
	scalePeakHold, scaleKnownAfter = time.Minute, time.Minute
)

type scaleInput struct {
	config  *tpmessage.RelayConfig
	targets []tpmessage.RelayTarget
	result  *scaleResult
}

type scaleResult struct {
	order tpscale.Order
	err   error
}

// scaleFilter holds the rings and the state of the scale filter:
//
//	configuration, targets, ticks -> scale ring -> scale -> scaleOrders ring -> senders
//	senders -> scale ring (results of orders)
type scaleFilter struct {
	node     *Node
	enabled  bool // the settings list the duty
	in       *tpring.Ring[scaleInput]
	orders   *tpring.Ring[tpscale.Order]
	loads    *tpring.Ring[[]tpmessage.NodeLoad] // the latest, from the membership filter
	scaler   *tpscale.Scaler[tpscale.Forecast]
	targets  []tpmessage.RelayTarget // as registered
	marked   []tpmessage.RelayTarget // as the scaler has them, with leaving ones marked
	demand   float64                 // of all nodes, in engines
	logged   map[string]tpscale.State
	states   atomic.Pointer[map[string]tpscale.State] // for the metrics
	outcomes expvar.Map                               // number of orders by outcome
}

func newScaleFilter(n *Node) *scaleFilter {
	f := &scaleFilter{
		node:    n,
		enabled: n.cfg.HasDuty(scaleDuty) && n.deps.DutyAPI != nil,
		in:      tpring.New[scaleInput](tpring.Settings{Capacity: scaleRingCapacity}),
		orders:  tpring.New[tpscale.Order](tpring.Settings{Capacity: scaleOrderRingCapacity}),
		loads:   tpring.New[[]tpmessage.NodeLoad](tpring.Settings{Capacity: 1}),
		scaler:  tpscale.New(tpscale.Settings{PeakHold: scalePeakHold, KnownAfter: scaleKnownAfter}, tpscale.Forecast{}),
	}
	n.deps.Rings.Add("scale", f.in)
	n.deps.Rings.Add("scaleOrders", f.orders)
	return f
}

// startScale starts the filter if the settings list the duty.
func (n *Node) startScale() error {
	f := n.scale
	if !f.enabled {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	for range scaleSenders {
		if err := startFilter(n, "scale orders", f.orders, func(o tpscale.Order) { f.sendOrder(ctx, o) }); err != nil {
			cancel()
			return err
		}
	}
	n.onStop(cancel)
	if err := startFilter(n, "scale", f.in, f.handle); err != nil {
		return err
	}
	return n.startTimer("scale ticks", func() time.Duration {
		_ = f.in.TryPutBelow(scaleInput{}, scaleRingCapacity/2)
		return scaleTickInterval
	})
}

// setConfig, setTargets and setLoads pass values to the filter if it runs.
func (f *scaleFilter) setConfig(cfg *tpmessage.RelayConfig) {
	if f.enabled {
		_ = f.in.Put(scaleInput{config: cfg})
	}
}

func (f *scaleFilter) setTargets(list []tpmessage.RelayTarget) {
	if f.enabled {
		_ = f.in.Put(scaleInput{targets: list})
	}
}

func (f *scaleFilter) setLoads(loads []tpmessage.NodeLoad) {
	if f.enabled {
		_ = f.loads.PutDropOldest(loads)
	}
}

func (f *scaleFilter) handle(in scaleInput) {
	now := f.node.leaseClock.Now()
	if loads, err := f.loads.TryTake(); err == nil {
		f.demand = 0
		for _, l := range loads {
			f.demand += l.PrefillDemand + l.DecodeDemand
		}
	}
	switch {
	case in.config != nil:
		faults := f.scaler.SetConfig(now, in.config)
		for _, pool := range slices.Sorted(maps.Keys(faults)) {
			f.node.log.Warn().Str("event", "scaleUnusable").Uint64("generation", in.config.Generation).
				Str("pool", pool).Str("fault", faults[pool]).Send()
		}
	case in.targets != nil:
		f.targets = in.targets
	case in.result != nil:
		f.scaler.HandleResult(now, in.result.order, in.result.err)
	default:
		f.tick(now)
	}
}

func (f *scaleFilter) tick(now time.Time) {
	f.scaler.SetDemand(now, f.demand)
	holder, held := f.node.dutyHolder()
	if held && f.targets != nil {
		if marked := markLeaving(f.node.placement.notices.Load(), f.targets); f.marked == nil || !slices.Equal(marked, f.marked) {
			f.marked = marked
			f.scaler.SetTargets(now, marked)
		}
	}
	f.scaler.SetHolder(now, held, holder.Fencing)
	for _, o := range f.scaler.Step(now) {
		if err := f.orders.TryPut(o); err != nil {
			f.scaler.HandleResult(now, o, tpscale.ErrNotSent)
		}
	}
	f.publishStates(held)
}

// publishStates passes the numbers of targets to the metrics. The holder logs
// those of a pool when they have changed.
func (f *scaleFilter) publishStates(held bool) {
	states := f.scaler.States()
	f.states.Store(&states)
	if !held {
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(states)) {
		if state := states[pool]; !reflect.DeepEqual(state.Present, f.logged[pool].Present) {
			f.node.log.Info().Str("event", "scalePresent").Str("pool", pool).Int("needed", state.Needed).
				Float64("demand", f.demand).Dict("targets", countsDict(state.Present)).Send()
		}
	}
	f.logged = states
}

// sendOrder sends one order, unless this node's grant has ended or changed since
// the order was decided.
func (f *scaleFilter) sendOrder(ctx context.Context, o tpscale.Order) {
	n := f.node
	ctx, cancel := context.WithTimeout(ctx, tpholder.CallTimeout)
	defer cancel()
	sent := n.clock.Now()
	err := tpscale.ErrNotSent
	if holder, held := n.dutyHolder(); held && holder.Fencing == o.Fencing {
		err = n.deps.DutyAPI.OrderScale(ctx, holder, o.ScaleOrder)
	}
	outcome := string(tpscale.OutcomeOf(err))
	f.outcomes.Add(outcome, 1)
	n.log.Info().Str("event", "scaleOrder").Str("pool", o.Pool).Str("zone", o.Zone).Bool("spot", o.Spot).
		Int("count", o.Count).Str("reason", string(o.Reason)).Str("outcome", outcome).Uint64("fencing", o.Fencing).
		Float64("demand", o.Demand.Demand).Float64("peak", o.Demand.Peak).Float64("rise", o.Demand.Rise).Int("needed", o.Needed).
		Dict("targets", countsDict(o.Present)).Int64("tookMs", n.clock.Now().Sub(sent).Milliseconds()).Err(err).Send()
	_ = f.in.Put(scaleInput{result: &scaleResult{order: o, err: err}})
}

func countName(c tpscale.Count) string {
	kind := "plain"
	if c.Spot {
		kind = "spot"
	}
	return c.Zone + "." + kind
}

// countsDict returns the ready, expected and leaving targets by zone and kind.
func countsDict(counts []tpscale.Count) *zerolog.Event {
	d := zerolog.Dict()
	for _, c := range counts {
		d.Str(countName(c), fmt.Sprintf("%d/%d/%d", c.Ready, c.Expected, c.Leaving))
	}
	return d
}

func (f *scaleFilter) metricsVar() expvar.Var {
	return expvar.Func(func() any {
		out := map[string]any{"orders": json.RawMessage(f.outcomes.String())}
		states := f.states.Load()
		if states == nil {
			return out
		}
		for pool, state := range *states {
			present := make(map[string]int)
			for _, c := range state.Present {
				present[countName(c)] = c.Ready
			}
			out[pool] = map[string]any{"needed": state.Needed, "present": present}
		}
		return out
	})
}
