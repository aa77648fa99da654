package tpscale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// unknownReserve is the part of the first targets that must remain after a loss
// of spot targets while the demand is unknown.
const unknownReserve = 0.5

// lossReserve is the part of the first targets that remains after a first loss
// of a zone's spot targets while the demand is unknown, if all are spot targets.
// The platform reclaims those of a zone at once, and others take seconds to start
// and longer to fill their caches.
const lossReserve = 0.8

// plan computes the numbers to order for one pool at one time.
type plan struct {
	now     time.Time
	cfg     *Settings
	pool    *pool
	demand  Observation
	zones   []string
	count   map[Subject]int // to be ordered; at first the expected numbers
	needed  int             // required targets of both kinds
	plain   int             // plain ones among them
	reserve float64         // targets that must remain after a loss of the spot targets of a zone
	// ignoreAssumed is set while targets are added that the demand needs at once,
	// although orders of an earlier holder may have left no room for them.
	ignoreAssumed bool
}

// newPlan returns a plan that changes nothing. Until the demand has been known
// for long enough, the number of targets that was there first is required.
func newPlan(now time.Time, cfg *Settings, p *pool, o Observation, required float64, known bool) *plan {
	pl := &plan{now: now, cfg: cfg, pool: p, demand: o, count: make(map[Subject]int), reserve: o.Peak}
	names := make(map[string]bool)
	for key := range p.subjects {
		names[key.Zone] = true
	}
	pl.zones = slices.Sorted(maps.Keys(names))
	for _, zone := range pl.zones {
		for _, spot := range []bool{false, true} {
			key := Subject{Zone: zone, Spot: spot}
			pl.count[key] = p.subject(key).expected()
		}
	}
	if !known {
		if o.Peak <= warmUpUtilisation*float64(p.initial) {
			required = 0
		}
		required = max(float64(p.initial), required)
		if zones := float64(len(pl.zones)); zones > 1 && pl.hasSpot() {
			required = max(required, lossReserve*float64(p.initial)*zones/(zones-1))
		}
		pl.reserve = max(pl.reserve, unknownReserve*float64(p.initial))
	}
	limit := len(pl.zones) * p.cfg.Autoscale.Max
	pl.needed = int(math.Ceil(min(required, float64(limit))))
	pl.needed = min(max(pl.needed, len(pl.zones)*p.cfg.Autoscale.Min), limit)
	pl.plain = pl.needed
	if pl.hasSpot() {
		pl.plain = int(math.Ceil((1 - cfg.SpotShare) * float64(pl.needed)))
	}
	return pl
}

// decide makes the most urgent change. It returns an empty reason if nothing is
// to be changed. Each order is charged for, so that a raise contains the spot
// targets that will replace plain ones.
func (pl *plan) decide() Reason {
	limited, raised := pl.applyLimits(), pl.raise()
	switch replaced := pl.replace(); {
	case limited:
		return ReasonLimits
	case raised:
		return ReasonRaise
	case replaced:
		return ReasonReplace
	case pl.lower():
		return ReasonLower
	}
	return ""
}

// applyLimits brings each zone within the limits of the configuration. It
// removes plain targets first.
func (pl *plan) applyLimits() bool {
	a := pl.pool.cfg.Autoscale
	changed := false
	for _, zone := range pl.zones {
		for _, spot := range []bool{false, true} {
			key := Subject{Zone: zone, Spot: spot}
			if over := min(pl.zoneTotal(zone)-a.Max, pl.count[key]); over > 0 && !pl.busy(key) {
				pl.count[key] -= over
				changed = true
			}
		}
		for _, spot := range []bool{true, false} {
			key := Subject{Zone: zone, Spot: spot}
			if under := a.Min - pl.zoneTotal(zone); under > 0 && pl.mayAdd(key) {
				pl.count[key] += under
				changed = true
			}
		}
	}
	return changed
}

// raise adds targets if there are too few for the demand, or would be after a
// loss of the spot targets of any one zone. Plain targets take the place of spot
// ones that are not to be had, but only as far as the number is too low.
func (pl *plan) raise() bool {
	added := 0
	lowest := pl.lowest()
	if pl.total() < lowest {
		added += pl.add(pl.needed-pl.total(), true, "")
		added += pl.add(lowest-pl.total(), false, "")
	}
	zone, spots := pl.largestSpotZone()
	if short := int(math.Ceil(pl.reserve - float64(pl.total()-spots))); short >= pl.minChange() {
		extra := pl.add(short, true, zone)
		added += extra + pl.add(short-extra, false, "")
	}
	required := min(max(pl.reserve, pl.demand.Peak/warmUpUtilisation), float64(lowest))
	if short := int(math.Ceil(required)) - pl.total(); short > 0 {
		pl.ignoreAssumed = true
		extra := pl.add(short, true, "")
		added += extra + pl.add(short-extra, false, "")
		pl.ignoreAssumed = false
	}
	return added > 0
}

// lowest returns the number of targets below which more are ordered.
func (pl *plan) lowest() int { return int(math.Ceil(pl.cfg.RaiseBelow * float64(pl.needed))) }

// replace adds the spot targets that will replace plain ones.
func (pl *plan) replace() bool {
	plain, spots := pl.kindTotal(false), pl.kindTotal(true)
	missing := min(plain-pl.plain, pl.needed-pl.plain-spots)
	return missing >= pl.minChange() && pl.add(missing, true, "") > 0
}

// lower removes targets if there are too many, while no order is in progress.
// Plain ones that spot ones can replace are removed first. The number falls in
// steps while there is demand, or while roles have to change.
func (pl *plan) lower() bool {
	for _, sub := range pl.pool.subjects {
		if sub.inProgress() {
			return false
		}
	}
	total := pl.total()
	surplus := total - pl.needed
	plain := pl.kindTotal(false) - pl.plain
	tooManyPlain := plain >= pl.minChange()
	rolesMatch, spotAge := pl.pool.spotRoles(pl.now)
	if tooManyPlain && pl.hasSpot() && !rolesMatch && spotAge < roleTimeout {
		return false
	}
	if pl.demand.Peak > idleDemand || !rolesMatch {
		if pl.now.Sub(pl.pool.loweredAt) < pl.cfg.LowerInterval {
			return false
		}
		surplus = min(surplus, int(pl.cfg.MaxLowering*float64(total)))
	}
	tooMany := float64(total) > pl.cfg.LowerAbove*float64(pl.needed)
	removed := 0
	if tooManyPlain && (tooMany || pl.hasSpot()) {
		removed += pl.remove(min(plain, surplus), false)
	}
	if tooMany && surplus-removed >= pl.minChange() {
		removed += pl.remove(surplus-removed, true)
	}
	return removed > 0
}

// add adds up to n targets of one kind, in all zones but the given one, and
// returns their number. They are spread so that zones with a lower price have
// more.
func (pl *plan) add(n int, spot bool, except string) int {
	if spot && !pl.hasSpot() {
		return 0
	}
	room := make(map[Subject]int) // largest count that the limits allow
	for _, zone := range pl.zones {
		if key := (Subject{Zone: zone, Spot: spot}); zone != except && pl.mayAdd(key) {
			room[key] = pl.room(key)
		}
	}
	for added := range max(0, n) {
		best, cost := Subject{}, math.Inf(1)
		for _, zone := range pl.zones {
			key := Subject{Zone: zone, Spot: spot}
			if pl.count[key] >= room[key] {
				continue
			}
			if c := float64(pl.count[key]+1) * pl.price(zone); c < cost {
				best, cost = key, c
			}
		}
		if best.Zone == "" {
			return added
		}
		pl.count[best]++
	}
	return max(0, n)
}

// remove removes up to n targets of one kind and returns their number. It keeps
// the minimum of each zone and what must remain after a loss of spot targets.
func (pl *plan) remove(n int, spot bool) int {
	for removed := range max(0, n) {
		best, cost := Subject{}, 0.0
		for _, zone := range pl.zones {
			key := Subject{Zone: zone, Spot: spot}
			c := float64(pl.count[key]) * pl.price(zone)
			if c <= cost || pl.busy(key) || pl.zoneTotal(zone) <= pl.pool.cfg.Autoscale.Min || !pl.spare(key) {
				continue
			}
			best, cost = key, c
		}
		if best.Zone == "" {
			return removed
		}
		pl.count[best]--
	}
	return max(0, n)
}

// spare reports whether enough targets remain for a loss of the spot targets of
// any one zone if one target is removed.
func (pl *plan) spare(key Subject) bool {
	pl.count[key]--
	_, spots := pl.largestSpotZone()
	remaining := pl.total() - spots
	pl.count[key]++
	return float64(remaining) >= pl.reserve
}

// allows reports whether the limits allow an order that was decided before.
func (pl *plan) allows(o *Order) bool {
	key := Subject{Zone: o.Zone, Spot: o.Spot}
	return pl.zoneTotal(o.Zone)-pl.count[key]+o.Count <= pl.pool.cfg.Autoscale.Max
}

func (pl *plan) hasSpot() bool {
	price := pl.pool.cfg.Autoscale.SpotPrice
	return price > 0 && price < 1
}

func (pl *plan) price(zone string) float64 {
	if price, ok := pl.pool.cfg.Autoscale.ZonePrices[zone]; ok {
		return price
	}
	return 1
}

// minChange returns the smallest number of targets that is worth an order.
func (pl *plan) minChange() int { return max(minStep, int(minStepPart*float64(pl.needed))) }

func (pl *plan) busy(key Subject) bool {
	sub := pl.pool.subject(key)
	return sub.sending || sub.repeat != nil || pl.now.Before(sub.retryAt)
}

func (pl *plan) mayAdd(key Subject) bool {
	return !pl.busy(key) && !pl.now.Before(pl.pool.subject(key).blockedUntil) && (!key.Spot || pl.hasSpot())
}

// room returns the largest number that the limit of the zone allows. An order
// replaces the earlier ones for its subject, but not those for the other kind.
func (pl *plan) room(key Subject) int {
	return pl.pool.cfg.Autoscale.Max - pl.mostOf(Subject{Zone: key.Zone, Spot: !key.Spot})
}

func (pl *plan) zoneTotal(zone string) int {
	return pl.count[Subject{Zone: zone}] + pl.count[Subject{Zone: zone, Spot: true}]
}

// mostOf returns the largest number of targets of a subject that the platform may
// count: as ordered, as registered if an order to remove some has no effect, or as
// an order that may still be carried out.
func (pl *plan) mostOf(key Subject) int {
	sub := pl.pool.subject(key)
	most := max(pl.count[key], sub.ready)
	if p := sub.possible; pl.now.Before(p.until) && (!p.assumed || !pl.ignoreAssumed) {
		most = max(most, p.count)
	}
	return most
}

// assumeEarlierOrders records, for the first decision of a holder, what an earlier
// one may have ordered that has not registered yet. Nobody tells a holder, but the
// earlier one saw about the same demand: the number that it required was below the
// one at which this holder lowers. Any zone may have all of these targets.
func (pl *plan) assumeEarlierOrders() {
	until := pl.now.Add(pl.pool.cfg.Autoscale.Startup + arrivalMargin)
	plain, spots, largest := 0, 0, 0
	for key, sub := range pl.pool.subjects {
		if key.Spot {
			spots += sub.ready
			largest = max(largest, sub.ready)
		} else {
			plain += sub.ready
		}
	}
	needed := pl.cfg.LowerAbove * float64(pl.needed)
	// Plain targets take the place of lost spot ones, and without demand there is
	// no reason to add any.
	morePlain := 0
	if pl.demand.Peak > idleDemand {
		afterLoss := plain + spots - largest
		morePlain = max(0, int(math.Ceil(pl.cfg.RaiseBelow*needed))-plain-spots, int(math.Ceil(pl.reserve))-afterLoss)
	}
	moreSpots := max(0, int(math.Ceil(needed))-spots)
	for key, sub := range pl.pool.subjects {
		more := morePlain
		if key.Spot {
			more = moreSpots
		}
		sub.possible = possibleCount{count: sub.ready + more, until: until, assumed: true}
	}
}

func (pl *plan) kindTotal(spot bool) int {
	sum := 0
	for _, zone := range pl.zones {
		sum += pl.count[Subject{Zone: zone, Spot: spot}]
	}
	return sum
}

func (pl *plan) total() int { return pl.kindTotal(false) + pl.kindTotal(true) }

// largestSpotZone returns the zone with the most spot targets, and their number.
func (pl *plan) largestSpotZone() (string, int) {
	zone, spots := "", 0
	for _, z := range pl.zones {
		if n := pl.count[Subject{Zone: z, Spot: true}]; n > spots {
			zone, spots = z, n
		}
	}
	return zone, spots
}

func compareSubjects(a, b Subject) int {
	if c := cmp.Compare(a.Zone, b.Zone); c != 0 || a.Spot == b.Spot {
		return c
	}
	if b.Spot {
		return -1
	}
	return 1
}
