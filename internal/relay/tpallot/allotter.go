package tpallot

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// Lifetime is the time from the issue of an allowance to its end. In a large
	// pool a node may have a request for it only after seconds.
	Lifetime = 3 * time.Second
	// settleTime is the time after the end of an allowance from which one that
	// is not settled counts as used. Reports of a large zone take a second.
	settleTime = 1500 * time.Millisecond
	// An issuer has at most savedRequests and the requests of savedTime that may
	// be unused, be they issued or still to be issued. In any 4 s a target gets at
	// most those and the requests of 4 s, which is less than one and a half times
	// its limit and 5 requests. Within savedTime an allowance is settled if it is
	// used at once.
	savedRequests = 3
	savedTime     = 1750 * time.Millisecond
	// MinPerSecond replaces a lower limit. A target whose limit is zero gets a
	// request now and then, because only an answer tells that the limit ended.
	MinPerSecond = 0.2
	// demandFactor bounds the allowances that are issued in relation to the
	// demand. Nodes prefer a target for which they have one, and a target in need
	// must not get many more requests than it would without a limit.
	demandFactor = 1.5
	// nodeRoomDelay and zoneRoomDelay are the times after which the load of a
	// node, and the sum of a zone, show what was granted to them.
	nodeRoomDelay = 200 * time.Millisecond
	zoneRoomDelay = 400 * time.Millisecond
)

// batch is a number of allowances that end at the same time.
type batch struct {
	count int
	until time.Time
}

// account holds the allowances of one target that wait for one receiver.
type account struct {
	batches     []batch
	deliveredAt time.Time // of the last batch that the receiver took
}

func (a *account) count() int {
	n := 0
	for _, b := range a.batches {
		n += b.count
	}
	return n
}

// Allotter is the part of one node in the distribution. Only the collector of a
// zone uses it. The zero value holds nothing. It is owned by one filter.
type Allotter struct {
	// Random draws the receivers of allowances that cannot be divided.
	Random *rand.Rand

	targets map[string]*state // by name
}

// state is what the allotter holds of one target. It outlives the process of the
// target, whose requests count together with those of the next one.
type state struct {
	startedMs int64   // start of the process in the latest statement
	issuer    bool    // this node issues the allowances
	credit    float64 // requests that may be issued
	updatedAt time.Time
	issued    []batch // not settled; each counts as used from its time on
	pool      []batch // granted to this zone, not assigned to a node yet
	// returned and used are to be told to the issuer.
	returned, used int
	zones          map[string]*account
	nodes          map[string]*account
}

// Input is what a collector knows at a step.
type Input struct {
	Zone  string                        // of this node
	Nodes []tpmessage.NodeLoad          // of this zone, including this node
	Zones map[string]tpmessage.NodeLoad // sums of all zones, by name
	// IssuerZone returns the zone whose collector issues the allowances of a
	// target.
	IssuerZone func(target string) string
}

// Reset drops all allowances. A node that is no collector calls it.
func (a *Allotter) Reset() { a.targets = nil }

// Step issues allowances and assigns them to zones and nodes.
func (a *Allotter) Step(now time.Time, in Input) {
	limits := mergeLimits(in.Zones)
	maps.DeleteFunc(a.targets, func(key string, _ *state) bool {
		l, ok := limits[key]
		return !ok || l.Statement != tpmessage.LimitNamed
	})
	for _, key := range slices.Sorted(maps.Keys(limits)) {
		l := limits[key]
		if l.Statement != tpmessage.LimitNamed {
			continue
		}
		s, ok := a.targets[key]
		if !ok {
			s = &state{zones: make(map[string]*account), nodes: make(map[string]*account)}
			if a.targets == nil {
				a.targets = make(map[string]*state)
			}
			a.targets[key] = s
		}
		s.startedMs = l.StartedMs
		s.reclaim(now)
		s.setIssuer(now, in.IssuerZone(key) == in.Zone, max(MinPerSecond, l.PerSecond), demandFactor*l.Demand)
		if s.issuer {
			a.issue(now, s, key, &in)
		}
		a.assignToNodes(now, s, key, &in)
	}
}

// mergeLimits returns the latest statement of each target, with the demand of
// all zones.
func mergeLimits(zones map[string]tpmessage.NodeLoad) map[string]tpmessage.TargetLimit {
	latest := make(map[string]tpmessage.TargetLimit)
	saidAt := make(map[string]time.Time)
	demand := make(map[string]float64)
	for _, zone := range zones {
		for _, l := range zone.Limits {
			key, at := l.Target, zone.At.Add(-l.Age)
			demand[key] += l.Demand
			if l.Statement != tpmessage.LimitUnstated && (saidAt[key].IsZero() || at.After(saidAt[key])) {
				latest[key], saidAt[key] = l, at
			}
		}
	}
	for key, l := range latest {
		l.Demand = demand[key]
		latest[key] = l
	}
	return latest
}

// setIssuer adds the requests that the limit, perSecond, allows since the last
// step to the credit of the issuer, but no more a second than are wanted.
func (s *state) setIssuer(now time.Time, issuer bool, perSecond, wanted float64) {
	if !issuer || !s.issuer {
		s.credit, s.issued = 0, nil
	} else {
		s.issued = slices.DeleteFunc(s.issued, func(b batch) bool { return !now.Before(b.until) })
		unsettled := 0
		for _, b := range s.issued {
			unsettled += b.count
		}
		most := savedRequests + perSecond*savedTime.Seconds() - float64(unsettled)
		s.credit = max(0, min(most, s.credit+min(perSecond, wanted)*now.Sub(s.updatedAt).Seconds()))
	}
	s.issuer, s.updatedAt = issuer, now
}

// settle removes issued allowances, the oldest first, and returns their number,
// which is n at most.
func (s *state) settle(n int) int {
	settled := 0
	for settled < n && len(s.issued) > 0 {
		part := min(n-settled, s.issued[0].count)
		s.issued[0].count -= part
		settled += part
		if s.issued[0].count == 0 {
			s.issued = s.issued[1:]
		}
	}
	return settled
}

// issue assigns the credit to the zones.
func (a *Allotter) issue(now time.Time, s *state, key string, in *Input) {
	var asks []ask
	for _, zone := range slices.Sorted(maps.Keys(in.Zones)) {
		l := in.Zones[zone]
		asks = appendAsk(asks, zone, &l, key, s.zones[zone], zoneRoomDelay)
	}
	until := now.Add(Lifetime)
	for zone, n := range a.divide(int(s.credit), asks) {
		s.credit -= float64(n)
		s.issued = append(s.issued, batch{count: n, until: until.Add(settleTime)})
		if zone == in.Zone {
			s.pool = append(s.pool, batch{count: n, until: until})
			continue
		}
		accountOf(s.zones, zone).batches = append(accountOf(s.zones, zone).batches, batch{count: n, until: until})
	}
}

// assignToNodes assigns the pool of the zone to its nodes. What no node can use
// is returned.
func (a *Allotter) assignToNodes(now time.Time, s *state, key string, in *Input) {
	pool := s.pool
	s.pool = nil
	if len(pool) == 0 {
		return
	}
	var asks []ask
	for i := range in.Nodes {
		l := &in.Nodes[i]
		asks = appendAsk(asks, l.Node, l, key, s.nodes[l.Node], nodeRoomDelay)
	}
	for _, b := range pool {
		if !now.Before(b.until) {
			s.takeBack(b.count)
			continue
		}
		for node, n := range a.divide(b.count, asks) {
			b.count -= n
			accountOf(s.nodes, node).batches = append(accountOf(s.nodes, node).batches, batch{count: n, until: b.until})
			i := slices.IndexFunc(asks, func(k ask) bool { return k.receiver == node })
			asks[i].room -= n
		}
		s.takeBack(b.count)
	}
}

// reclaim takes back the allowances that ended before their receivers took them.
func (s *state) reclaim(now time.Time) {
	for _, accounts := range []map[string]*account{s.zones, s.nodes} {
		for _, acc := range accounts {
			acc.batches = slices.DeleteFunc(acc.batches, func(b batch) bool {
				ended := !now.Before(b.until)
				if ended {
					s.takeBack(b.count)
				}
				return ended
			})
		}
	}
}

// takeBack takes back allowances that were not used. Those that the issuer does
// not know, because another one issued them, are lost.
func (s *state) takeBack(n int) {
	if s.issuer {
		s.credit += float64(s.settle(n))
	} else {
		s.returned += n
	}
}

// Receive records the allowances of a message to this zone's collector: those
// that another collector grants, and those that a node or a zone has settled.
func (a *Allotter) Receive(now time.Time, list []tpmessage.Allowance) {
	for _, in := range list {
		s, ok := a.targets[in.Target]
		if !ok {
			continue
		}
		if in.Granted > 0 && in.Left > 0 {
			s.pool = append(s.pool, batch{count: in.Granted, until: now.Add(min(in.Left, Lifetime))})
		}
		if in.Returned > 0 {
			s.takeBack(in.Returned)
		}
		if s.issuer {
			s.settle(in.Used)
		} else {
			s.used += in.Used
		}
	}
}

// TakeForNode returns what is assigned to a node of this zone.
func (a *Allotter) TakeForNode(now time.Time, node string) []tpmessage.Allowance {
	var out []tpmessage.Allowance
	for key, s := range a.targets {
		out = s.nodes[node].take(now, key, s.startedMs, out)
	}
	return out
}

// TakeForZone returns what is assigned to another zone, and what is settled if
// that is the zone of the issuer.
func (a *Allotter) TakeForZone(now time.Time, zone string, issuerZone func(target string) string) []tpmessage.Allowance {
	var out []tpmessage.Allowance
	for key, s := range a.targets {
		out = s.zones[zone].take(now, key, s.startedMs, out)
		if s.returned+s.used > 0 && issuerZone(key) == zone {
			out = append(out, tpmessage.Allowance{Target: key, StartedMs: s.startedMs, Returned: s.returned, Used: s.used})
			s.returned, s.used = 0, 0
		}
	}
	return out
}

// take appends the allowances of an account to a list and empties the account.
func (a *account) take(now time.Time, target string, startedMs int64, out []tpmessage.Allowance) []tpmessage.Allowance {
	if a == nil || len(a.batches) == 0 {
		return out
	}
	for _, b := range a.batches {
		out = append(out, tpmessage.Allowance{
			Target: target, StartedMs: startedMs, Granted: b.count, Left: b.until.Sub(now),
		})
	}
	a.batches, a.deliveredAt = nil, now
	return out
}

func accountOf(accounts map[string]*account, receiver string) *account {
	acc, ok := accounts[receiver]
	if !ok {
		acc = &account{}
		accounts[receiver] = acc
	}
	return acc
}
