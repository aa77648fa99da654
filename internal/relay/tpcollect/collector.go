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
	// reportsPerSecond bounds the reports that a collector gets: each takes it
	// some 0.2 ms, and the smallest machines have a fifth of a core.
	reportsPerSecond = 100
	// exchangeInterval is the time between two exchanges of a pair of zones.
	exchangeInterval = 200 * time.Millisecond
	// sumLife is how long a sum counts. After that, what nodes told directly
	// counts instead.
	sumLife = time.Second
	// nodeLife is how long the last report of a node counts at its collector.
	nodeLife = 2 * time.Second
	// timerSlack is how much too early a tick may be that is meant for a report.
	timerSlack = 20 * time.Millisecond
	// task names the collection in the ranking of the nodes.
	task = "collect"
)

// Collector is one node's part in the collection. It belongs to one filter.
type Collector struct {
	self    tpmessage.Member
	zones   map[string]tpmessage.Member // collector of each zone
	size    int                         // nodes of the own zone
	nodes   map[string]tpmessage.NodeLoad
	sums    map[string]tpmessage.NodeLoad // of the other zones, by zone
	others  tpmessage.NodeLoad            // sum over all other nodes, by the own zone's collector
	due     time.Time                     // of the next report or exchange
	members map[string]tpmessage.Member
}

// New returns the part of a node that knows only itself.
func New(self tpmessage.Member) *Collector {
	c := &Collector{
		self: self, nodes: make(map[string]tpmessage.NodeLoad), sums: make(map[string]tpmessage.NodeLoad),
	}
	c.SetMembers([]tpmessage.Member{self})
	return c
}

// SetMembers takes the live members, this node among them.
func (c *Collector) SetMembers(live []tpmessage.Member) {
	c.zones = make(map[string]tpmessage.Member)
	c.members = make(map[string]tpmessage.Member, len(live))
	c.size = 0
	for _, m := range live {
		c.members[m.Name] = m
		if m.Zone == c.self.Zone {
			c.size++
		}
		if m.Leaving || m.Suspect || m.Zone == "" {
			continue
		}
		if best, ok := c.zones[m.Zone]; !ok || weight(m) > weight(best) {
			c.zones[m.Zone] = m
		}
	}
	gone := func(name string, _ tpmessage.NodeLoad) bool { _, live := c.members[name]; return !live }
	maps.DeleteFunc(c.nodes, gone)
	maps.DeleteFunc(c.sums, func(zone string, _ tpmessage.NodeLoad) bool { _, ok := c.zones[zone]; return !ok })
}

// weight ranks the nodes of a zone; all nodes find the same collector.
func weight(m tpmessage.Member) uint64 { return xxh3.HashString(task + m.Name) }

// Collects reports whether this node is the collector of its zone.
func (c *Collector) Collects() bool { return c.zones[c.self.Zone].Name == c.self.Name }

// Reports returns the addresses that are due to get a report now: the collector
// of the zone, or for a collector those of the zones whose names come after its
// own. The answers tell the rest.
func (c *Collector) Reports(now time.Time) []string {
	if now.Add(timerSlack).Before(c.due) {
		return nil
	}
	if !c.Collects() {
		c.due = now.Add(max(reportInterval, time.Duration(c.size)*time.Second/reportsPerSecond))
		if m, ok := c.zones[c.self.Zone]; ok {
			return []string{m.Address}
		}
		return nil
	}
	c.due = now.Add(exchangeInterval)
	var addresses []string
	for zone, m := range c.zones {
		if zone > c.self.Zone {
			addresses = append(addresses, m.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// Report returns what a report says: the node's own load, or the sum of the
// zone of a collector.
func (c *Collector) Report(now time.Time, own tpmessage.NodeLoad) tpmessage.NodeLoad {
	if c.Collects() {
		return c.sum(now, own, "", false)
	}
	return own
}

// Answer returns what a sender is told for its load: the sum over all other
// nodes for a node of the zone, the sum of the zone for another collector, else
// the own load alone.
func (c *Collector) Answer(now time.Time, own, heard tpmessage.NodeLoad) tpmessage.NodeLoad {
	sender := c.members[heard.Node]
	switch {
	case !c.Collects() || !heard.Report:
		return own
	case heard.Nodes > 0:
		return c.sum(now, own, "", false)
	case sender.Zone == c.self.Zone:
		return c.sum(now, own, heard.Node, true)
	}
	return own
}

// Hear takes a load from a report, an answer, or a heartbeat.
func (c *Collector) Hear(now time.Time, l tpmessage.NodeLoad) {
	l.At = now
	m, known := c.members[l.Node]
	switch {
	case l.Node == "" || l.Node == c.self.Name:
	case l.Nodes == 0:
		c.nodes[l.Node] = l
	case !known:
	case m.Zone == c.self.Zone:
		c.others = l
	default:
		c.sums[m.Zone] = l
	}
}

// Loads returns what all other nodes have outstanding, as far as it is known.
func (c *Collector) Loads(now time.Time) []tpmessage.NodeLoad {
	if !c.Collects() && c.others.Nodes > 0 && now.Sub(c.others.At) < sumLife {
		return []tpmessage.NodeLoad{c.others}
	}
	list := make([]tpmessage.NodeLoad, 0, len(c.nodes)+len(c.sums))
	for name, l := range c.nodes {
		if _, summed := c.zoneSum(now, c.members[name].Zone); !summed || !c.Collects() {
			list = append(list, l)
		}
	}
	if c.Collects() {
		for zone := range c.sums {
			if l, ok := c.zoneSum(now, zone); ok {
				list = append(list, l)
			}
		}
	}
	slices.SortFunc(list, func(a, b tpmessage.NodeLoad) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

func (c *Collector) zoneSum(now time.Time, zone string) (tpmessage.NodeLoad, bool) {
	l, ok := c.sums[zone]
	return l, ok && now.Sub(l.At) < sumLife
}

// sum adds up the loads of the own zone without one node, and of the other zones
// if all is true.
func (c *Collector) sum(now time.Time, own tpmessage.NodeLoad, without string, all bool) tpmessage.NodeLoad {
	s := newSum()
	s.add(own)
	for name, l := range c.nodes {
		if name != without && c.members[name].Zone == c.self.Zone && now.Sub(l.At) < nodeLife {
			s.add(l)
		}
	}
	if all {
		for zone := range c.sums {
			if l, ok := c.zoneSum(now, zone); ok {
				s.add(l)
			}
		}
	}
	return s.load(c.self.Name)
}
