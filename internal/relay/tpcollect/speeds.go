package tpcollect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// exchangeSpeeds is the shortest time between two messages with speeds of a
	// pair of collectors, and nodeSpeeds that between two of a node and its
	// collector. A collector has many of these, and the sums change little in a
	// second.
	exchangeSpeeds, nodeSpeeds = time.Second, 2 * time.Second
	// speedsPerSecond is the mean number of targets that such messages tell of in a
	// second. A target takes 8 to 10 bytes.
	speedsPerSecond = 128
	// speedsMaxIntervals is the number of intervals from which the speeds of a
	// sender are ignored.
	speedsMaxIntervals = 3
)

// speedsInterval returns the time between two messages that tell of n targets.
func speedsInterval(shortest time.Duration, n int) time.Duration {
	return max(shortest, time.Duration(n)*time.Second/speedsPerSecond)
}

// SetOwn records the speeds in the node's own load. It returns the load without
// them, as most messages carry it.
func (c *Collector) SetOwn(own tpmessage.NodeLoad) tpmessage.NodeLoad {
	c.ownSpeeds = own
	own.Speeds, own.SpeedWitnesses = nil, 0
	return own
}

// keepSpeeds completes a received load with the speeds of an earlier one of the
// same sender.
func keepSpeeds(now time.Time, l *tpmessage.NodeLoad, earlier tpmessage.NodeLoad) {
	switch {
	case len(l.Speeds) > 0:
		l.SpeedsAt = now
	case now.Sub(earlier.SpeedsAt) < speedsMaxIntervals*speedsInterval(nodeSpeeds, len(earlier.Speeds)):
		l.Speeds, l.SpeedWitnesses, l.SpeedsAt = earlier.Speeds, earlier.SpeedWitnesses, earlier.SpeedsAt
	}
}

// addSpeeds adds the speeds that are due for a receiver to a load. The name of
// the receiver is empty for reports of the node. The speeds are this node's, and
// with others, those of the nodes in its zone. With allZones, which is for a node
// of the zone, they include the sums of the other zones.
func (c *Collector) addSpeeds(now time.Time, l *tpmessage.NodeLoad, receiver string, others, allZones bool) {
	l.Speeds, l.SpeedWitnesses, l.SpeedsAt = nil, 0, time.Time{}
	sent := c.speedsSent[receiver]
	shortest := nodeSpeeds
	if others && !allZones {
		shortest = exchangeSpeeds
	}
	// The reports to several receivers are computed at the same time.
	if !sent.at.IsZero() && !sent.at.Equal(now) && now.Sub(sent.at)+timerTolerance < speedsInterval(shortest, sent.count) {
		return
	}
	l.Speeds, l.SpeedWitnesses = c.ownSpeeds.Speeds, c.ownSpeeds.SpeedWitnesses
	if others {
		l.Speeds, l.SpeedWitnesses = c.sumSpeeds(now, receiver, allZones)
	}
	if len(l.Speeds) > 0 {
		c.speedsSent[receiver] = sentSpeeds{at: now, count: len(l.Speeds)}
	}
}

// sentSpeeds is the time of the last message with speeds to a receiver, and the
// number of targets in it.
type sentSpeeds struct {
	at    time.Time
	count int
}

// sumSpeeds adds up the speeds of the nodes of this zone without one of them, and
// with allZones those of the other zones.
func (c *Collector) sumSpeeds(now time.Time, except string, allZones bool) (list []tpmessage.TargetSpeed, witnesses int) {
	sums := make(map[uint32]tpmessage.TargetSpeed)
	add := func(l tpmessage.NodeLoad) {
		witnesses += l.SpeedWitnesses
		for _, s := range l.Speeds {
			sum := sums[s.Process]
			sum.Process = s.Process
			sum.ReadMs += s.ReadMs
			sum.Streams += s.Streams
			sum.StreamSpeeds += s.StreamSpeeds
			sums[s.Process] = sum
		}
	}
	add(c.ownSpeeds)
	for name, l := range c.nodeLoads {
		if name != except && c.counts(now, name, l) {
			add(l)
		}
	}
	if allZones {
		for zone := range c.zoneSums {
			if l, ok := c.zoneSum(now, zone); ok {
				add(l)
			}
		}
	}
	list = slices.SortedFunc(maps.Values(sums), func(a, b tpmessage.TargetSpeed) int { return cmp.Compare(a.Process, b.Process) })
	return list, witnesses
}
