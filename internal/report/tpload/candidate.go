package tpload

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// maxSends is the maximum number of sends since the latest report that are
// recorded separately. Further sends are merged with the newest one. The
// records are part of the Candidate, so that a send does not allocate; they
// take 6 MB for 12,000 targets.
const maxSends = 16

// Candidate is a target with its load as this node knows it. It belongs to a
// View.
type Candidate struct {
	Target   tpmessage.Target
	Report   tpmessage.LoadReport // latest; zero before the first report
	InFlight int                  // number of this node's requests at the target
	Leaving  bool

	listedLeaving bool      // the platform or the configuration marks the target as leaving
	reportedLoad  float64   // load in Report, in prefilled pieces
	failed        time.Time // time of the latest failed attempt; zero after a later report
	sentCost      float64   // total cost of sends
	sends         [maxSends]send
	sendCount     int    // number of recorded sends, oldest first, all later than the report
	cacheEpoch    uint32 // increases when all recorded cache contents become invalid
	cacheSequence uint64 // of the last cache event
	groups        [2]*Group
	indices       [2]int
}

// send is the cost of one request, or of several that were merged.
type send struct {
	at   time.Time // time of the newest of these requests
	cost float64   // in prefilled pieces
}

// SentCost returns the cost, in prefilled pieces, of this node's sends after
// the latest report that have not completed.
func (c *Candidate) SentCost() float64 { return c.sentCost }

func (c *Candidate) addSend(at time.Time, cost float64) {
	c.sentCost += cost
	if c.sendCount == maxSends {
		last := &c.sends[maxSends-1]
		last.at = at
		last.cost += cost
		return
	}
	c.sends[c.sendCount] = send{at: at, cost: cost}
	c.sendCount++
}

// removeSend subtracts the cost of a completed request that was sent at the
// given time, unless the report already includes it.
func (c *Candidate) removeSend(at time.Time, cost float64) {
	for i := range c.sends[:c.sendCount] {
		s := &c.sends[i]
		if s.at.Before(at) {
			continue
		}
		s.cost = max(0, s.cost-cost)
		if s.cost == 0 {
			copy(c.sends[i:], c.sends[i+1:c.sendCount])
			c.sendCount--
		}
		break
	}
	c.updateSentCost()
}

// dropSends removes the sends up to reportTime, because the report of that
// time includes them.
func (c *Candidate) dropSends(reportTime time.Time) {
	kept := 0
	for _, s := range c.sends[:c.sendCount] {
		if s.at.After(reportTime) {
			c.sends[kept] = s
			kept++
		}
	}
	c.sendCount = kept
	c.updateSentCost()
}

func (c *Candidate) updateSentCost() {
	c.sentCost = 0
	for i := range c.sends[:c.sendCount] {
		c.sentCost += c.sends[i].cost
	}
}

// Group is a set of candidates from which a policy chooses. A candidate is in
// at most one group of each kind.
type Group struct {
	Members      []*Candidate
	LocalIndices []int // indices of the members in the node's availability zone
	kind         int
}

// NewGroup returns a group of the members and records the group in each of
// them. kind is 0 for a whole pool and 1 for the targets that have loaded one
// adapter.
func NewGroup(kind int, zone string, members []*Candidate) *Group {
	g := &Group{Members: members, kind: kind}
	for i, c := range members {
		c.groups[kind] = g
		c.indices[kind] = i
		if c.Target.Zone == zone {
			g.LocalIndices = append(g.LocalIndices, i)
		}
	}
	return g
}

// Index returns the index of a candidate in Members. It returns false if the
// candidate is not a member.
func (g *Group) Index(c *Candidate) (int, bool) {
	return c.indices[g.kind], c.groups[g.kind] == g
}
