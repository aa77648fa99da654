package tpload

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// maxSends is the number of sends that are told apart since a report. Further
// ones are joined with the newest. They lie in the Candidate itself, 6 MB at
// 12,000 targets, so that a send does not allocate.
const maxSends = 16

// Candidate is a target with what the node knows of it. It belongs to a View.
type Candidate struct {
	Target   tpmessage.Target
	Report   tpmessage.LoadReport // latest; zero if none has come
	InFlight int                  // requests of this node at the target
	Leaving  bool

	listed   bool // named as leaving by the platform or the configuration
	reported float64
	failed   time.Time // latest attempt that failed; zero if a later report has come
	sent     float64   // cost of sends
	sends    [maxSends]send
	logged   int    // sends in use, oldest first, all later than the report
	epoch    uint32 // rises when all known cache contents are forgotten
	sequence uint64 // of the last cache event
	groups   [2]*Group
	places   [2]int
}

// send is work that was sent at an instant.
type send struct {
	at   time.Time
	cost float64
}

// Sent returns the cost of this node's sends since the report was taken that
// have not completed.
func (c *Candidate) Sent() float64 { return c.sent }

func (c *Candidate) addSend(at time.Time, cost float64) {
	c.sent += cost
	if c.logged == maxSends {
		last := &c.sends[maxSends-1]
		last.at = at
		last.cost += cost
		return
	}
	c.sends[c.logged] = send{at: at, cost: cost}
	c.logged++
}

// removeSend takes back a send that has completed, unless the report already
// accounts for it.
func (c *Candidate) removeSend(at time.Time, cost float64) {
	for i := range c.sends[:c.logged] {
		s := &c.sends[i]
		if s.at.Before(at) {
			continue
		}
		s.cost = max(0, s.cost-cost)
		if s.cost == 0 {
			copy(c.sends[i:], c.sends[i+1:c.logged])
			c.logged--
		}
		break
	}
	c.sum()
}

// dropSends forgets the sends up to the instant of a report, which includes them.
func (c *Candidate) dropSends(reported time.Time) {
	kept := 0
	for _, s := range c.sends[:c.logged] {
		if s.at.After(reported) {
			c.sends[kept] = s
			kept++
		}
	}
	c.logged = kept
	c.sum()
}

func (c *Candidate) sum() {
	c.sent = 0
	for i := range c.sends[:c.logged] {
		c.sent += c.sends[i].cost
	}
}

// Group is a set of candidates among which a policy may choose. A candidate
// is in at most one group of each kind.
type Group struct {
	Members []*Candidate
	Local   []int // places of the members in the node's availability zone
	kind    int
}

// NewGroup returns a group of the members. kind is 0 for the whole pool and 1
// for the targets that have loaded one adapter.
func NewGroup(kind int, zone string, members []*Candidate) *Group {
	g := &Group{Members: members, kind: kind}
	for i, c := range members {
		c.groups[kind] = g
		c.places[kind] = i
		if c.Target.Zone == zone {
			g.Local = append(g.Local, i)
		}
	}
	return g
}

// Place returns the place of a candidate in the group, and false if the
// candidate is not a member.
func (g *Group) Place(c *Candidate) (int, bool) {
	return c.places[g.kind], c.groups[g.kind] == g
}
