package tpcollect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// reportInterval is the time between two reports of a node in a small zone.
	reportInterval = 100 * time.Millisecond
	// reportsPerSecond limits the reports that a collector receives. Each
	// report takes about 0.2 ms, and the smallest machines have a fifth of a
	// core.
	reportsPerSecond = 100
	// exchangeInterval is the time between two exchanges of a pair of zones.
	exchangeInterval = 200 * time.Millisecond
	// sumMaxAge is the age from which the sum of another zone is ignored, and
	// the sum over all other nodes in a small zone. The loads that nodes have
	// sent directly are used instead.
	sumMaxAge = time.Second
	// sumMaxReports is the number of report intervals from which the sum over
	// all other nodes is ignored in a large zone.
	sumMaxReports = 2.5
	// totalMaxAge is the age up to which a collector answers reports from the
	// same total. The loads of all nodes and targets are added up for each total.
	totalMaxAge = 100 * time.Millisecond
	// nodeMaxAge is the age from which the collector ignores the report of a
	// node.
	nodeMaxAge = 2 * time.Second
	// timerTolerance is the time by which a report may be sent before it is
	// due, so that a tick that comes slightly early does not delay it to the
	// next tick.
	timerTolerance = 20 * time.Millisecond
	// rankingKey is hashed with the name of each node and distinguishes this
	// ranking of the nodes from others.
	rankingKey = "collect"
	// issuerKey is hashed with the names of a target and of a collector.
	issuerKey = "issue"
)

// Collector is the state of one node in the collection of loads. Every node has
// one; IsCollector reports whether the node is the collector of its zone. It is
// owned by one filter.
type Collector struct {
	self       tpmessage.Member
	collectors map[string]tpmessage.Member   // collector of each zone, by zone
	zoneSize   int                           // number of nodes in this node's zone
	nodeLoads  map[string]tpmessage.NodeLoad // last load of each other node, by name
	zoneSums   map[string]tpmessage.NodeLoad // of the other zones, by zone
	othersSum  tpmessage.NodeLoad            // sum over all other nodes, as sent by the collector of this node's zone
	nextReport time.Time                     // time of the next report or exchange
	members    map[string]tpmessage.Member   // live nodes, by name
	total      total                         // over all nodes
	ownSpeeds  tpmessage.NodeLoad            // the node's own load, only for its speeds
	speedsSent map[string]sentSpeeds         // by receiver; empty for the receivers of reports
}

// total is the sum of the loads of all nodes, and the loads that it includes.
type total struct {
	at    time.Time
	sum   tpmessage.NodeLoad
	nodes map[string]tpmessage.NodeLoad // loads of the nodes of this zone, by name
}

// New returns a Collector whose only live member is self.
func New(self tpmessage.Member) *Collector {
	c := &Collector{
		self: self, nodeLoads: make(map[string]tpmessage.NodeLoad), zoneSums: make(map[string]tpmessage.NodeLoad),
		speedsSent: make(map[string]sentSpeeds),
	}
	c.SetMembers([]tpmessage.Member{self})
	return c
}

// SetMembers sets the live members, including this node. It drops the loads of
// nodes and zones that are gone.
func (c *Collector) SetMembers(live []tpmessage.Member) {
	c.collectors = make(map[string]tpmessage.Member)
	c.members = make(map[string]tpmessage.Member, len(live))
	c.zoneSize = 0
	for _, m := range live {
		c.members[m.Name] = m
		if m.Zone == c.self.Zone {
			c.zoneSize++
		}
		if m.Leaving || m.Suspect || m.Zone == "" {
			continue
		}
		if best, ok := c.collectors[m.Zone]; !ok || collectorWeight(m) > collectorWeight(best) {
			c.collectors[m.Zone] = m
		}
	}
	isGone := func(name string, _ tpmessage.NodeLoad) bool { _, live := c.members[name]; return !live }
	maps.DeleteFunc(c.nodeLoads, isGone)
	maps.DeleteFunc(c.speedsSent, func(name string, _ sentSpeeds) bool { _, live := c.members[name]; return !live && name != "" })
	maps.DeleteFunc(c.zoneSums, func(zone string, _ tpmessage.NodeLoad) bool { _, ok := c.collectors[zone]; return !ok })
}

// collectorWeight ranks the nodes of a zone. All nodes compute the same
// collector.
func collectorWeight(m tpmessage.Member) uint64 { return xxh3.HashString(rankingKey + m.Name) }

// IsCollector reports whether this node is the collector of its zone.
func (c *Collector) IsCollector() bool { return c.collectors[c.self.Zone].Name == c.self.Name }

// Reports returns the addresses to which a report must be sent now. A node
// reports to the collector of its zone. A collector reports to the collectors
// of the zones whose names sort after its own; the other collectors send it
// theirs, and each answer contains the sum of the answering zone.
func (c *Collector) Reports(now time.Time) []string {
	if now.Add(timerTolerance).Before(c.nextReport) {
		return nil
	}
	if !c.IsCollector() {
		c.nextReport = now.Add(c.ReportInterval())
		if m, ok := c.collectors[c.self.Zone]; ok {
			return []string{m.Address}
		}
		return nil
	}
	c.nextReport = now.Add(exchangeInterval)
	var addresses []string
	for zone, m := range c.collectors {
		if zone > c.self.Zone {
			addresses = append(addresses, m.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// OtherCollectors returns the addresses of the collectors of all zones, without
// this node.
func (c *Collector) OtherCollectors() []string {
	var addresses []string
	for _, m := range c.collectors {
		if m.Name != c.self.Name {
			addresses = append(addresses, m.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// ReportInterval returns the time between two reports of a node in this zone.
func (c *Collector) ReportInterval() time.Duration {
	return max(reportInterval, time.Duration(c.zoneSize)*time.Second/reportsPerSecond)
}

// Report returns the content of a report: the node's own load, or the sum of
// the zone if the node is its collector.
func (c *Collector) Report(now time.Time, own tpmessage.NodeLoad) tpmessage.NodeLoad {
	if c.IsCollector() {
		own = c.sumLoads(now, own, false)
	}
	c.addSpeeds(now, &own, "", c.IsCollector(), false)
	return own
}

// Answer returns the answer to a received load. A collector answers a report of
// a node in its zone with the sum over all other nodes, and a report of another
// collector with the sum of its zone. Any other answer is the node's own load.
func (c *Collector) Answer(now time.Time, own, received tpmessage.NodeLoad) tpmessage.NodeLoad {
	sender := c.members[received.Node]
	switch {
	case !c.IsCollector() || !received.Report:
		return own
	case received.Nodes > 0:
		sum := c.sumLoads(now, own, false)
		c.addSpeeds(now, &sum, received.Node, true, false)
		return sum
	case sender.Zone == c.self.Zone:
		sum := c.totalWithout(now, own, received.Node)
		c.addSpeeds(now, &sum, received.Node, true, true)
		return sum
	}
	return own
}

// totalWithout returns the sum over all nodes but one of this zone. It may be
// totalMaxAge old.
func (c *Collector) totalWithout(now time.Time, own tpmessage.NodeLoad, except string) tpmessage.NodeLoad {
	if now.Sub(c.total.at) >= totalMaxAge {
		c.total = total{at: now, sum: c.sumLoads(now, own, true), nodes: make(map[string]tpmessage.NodeLoad)}
		for name, l := range c.nodeLoads {
			if c.counts(now, name, l) {
				c.total.nodes[name] = l
			}
		}
	}
	l, included := c.total.nodes[except]
	if !included {
		return c.total.sum
	}
	return subtract(c.total.sum, l)
}

// counts reports whether a load is part of the sum of this node's zone.
func (c *Collector) counts(now time.Time, name string, l tpmessage.NodeLoad) bool {
	return c.members[name].Zone == c.self.Zone && now.Sub(l.At) < nodeMaxAge
}

// Available reports whether the collector of the node's zone answers its reports,
// or is this node itself.
func (c *Collector) Available(now time.Time) bool {
	maxAge := max(sumMaxAge, time.Duration(sumMaxReports*float64(c.ReportInterval())))
	return c.IsCollector() || c.othersSum.Nodes > 0 && now.Sub(c.othersSum.At) < maxAge
}

// Record records a load from a report, an answer or a heartbeat.
func (c *Collector) Record(now time.Time, l tpmessage.NodeLoad) {
	l.At = now
	m, known := c.members[l.Node]
	switch {
	case l.Node == "" || l.Node == c.self.Name:
	case l.Nodes == 0:
		keepSpeeds(now, &l, c.nodeLoads[l.Node])
		c.nodeLoads[l.Node] = l
	case !known:
	case m.Zone == c.self.Zone:
		keepSpeeds(now, &l, c.othersSum)
		c.othersSum = l
	default:
		keepSpeeds(now, &l, c.zoneSums[m.Zone])
		c.zoneSums[m.Zone] = l
	}
}

// Loads returns the known loads of all other nodes. A load may be a sum over
// several nodes.
func (c *Collector) Loads(now time.Time) []tpmessage.NodeLoad {
	if !c.IsCollector() && c.Available(now) {
		return []tpmessage.NodeLoad{c.othersSum}
	}
	list := make([]tpmessage.NodeLoad, 0, len(c.nodeLoads)+len(c.zoneSums))
	for name, l := range c.nodeLoads {
		if _, summed := c.zoneSum(now, c.members[name].Zone); !summed || !c.IsCollector() {
			list = append(list, l)
		}
	}
	if c.IsCollector() {
		for zone := range c.zoneSums {
			if l, ok := c.zoneSum(now, zone); ok {
				list = append(list, l)
			}
		}
	}
	slices.SortFunc(list, func(a, b tpmessage.NodeLoad) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// ZoneLoads returns the loads of the nodes of this node's zone, including its
// own, and the sums of all zones, by zone. Only a collector knows them.
func (c *Collector) ZoneLoads(now time.Time, own tpmessage.NodeLoad) (nodes []tpmessage.NodeLoad, zones map[string]tpmessage.NodeLoad) {
	nodes = append(nodes, own)
	for name, l := range c.nodeLoads {
		if c.counts(now, name, l) {
			nodes = append(nodes, l)
		}
	}
	slices.SortFunc(nodes, func(a, b tpmessage.NodeLoad) int { return cmp.Compare(a.Node, b.Node) })
	sum := c.sumLoads(now, own, false)
	sum.At = now
	zones = map[string]tpmessage.NodeLoad{c.self.Zone: sum}
	for zone := range c.zoneSums {
		if l, ok := c.zoneSum(now, zone); ok {
			zones[zone] = l
		}
	}
	return nodes, zones
}

// CollectedZone returns the zone whose collector has the name, and false if that
// is the collector of none.
func (c *Collector) CollectedZone(name string) (string, bool) {
	zone := c.members[name].Zone
	return zone, zone != "" && c.collectors[zone].Name == name
}

// CollectorAt returns the zone whose collector has the address, and false if
// there is none.
func (c *Collector) CollectorAt(address string) (string, bool) {
	for zone, m := range c.collectors {
		if m.Address == address {
			return zone, true
		}
	}
	return "", false
}

// IssuerZone returns the zone whose collector issues the allowances for requests
// to a target with a limit. All nodes with the same members compute the same.
func (c *Collector) IssuerZone(target string) string {
	best, maxWeight := "", uint64(0)
	for zone, m := range c.collectors {
		if w := xxh3.HashString(issuerKey + target + m.Name); best == "" || w > maxWeight {
			best, maxWeight = zone, w
		}
	}
	return best
}

// zoneSum returns the sum of another zone, and false if there is none younger
// than sumMaxAge.
func (c *Collector) zoneSum(now time.Time, zone string) (tpmessage.NodeLoad, bool) {
	l, ok := c.zoneSums[zone]
	return l, ok && now.Sub(l.At) < sumMaxAge
}

// sumLoads adds up the loads of this node's zone. If allZones is true, it
// includes the sums of the other zones.
func (c *Collector) sumLoads(now time.Time, own tpmessage.NodeLoad, allZones bool) tpmessage.NodeLoad {
	s := newLoadSum(now)
	s.add(own)
	for name, l := range c.nodeLoads {
		if c.counts(now, name, l) {
			s.add(l)
		}
	}
	if allZones {
		for zone := range c.zoneSums {
			if l, ok := c.zoneSum(now, zone); ok {
				s.add(l)
			}
		}
	}
	return s.result(c.self.Name)
}
