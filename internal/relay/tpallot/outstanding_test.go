package tpallot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against unused allowances that are issued again besides the new ones, until every node holds one.
func TestUnusedAllowancesDoNotAddUp(t *testing.T) {
	const limit, nodes, step = 4.0, 69, 100 * time.Millisecond
	a := Allotter{Random: rand.New(rand.NewPCG(1, 1))}
	type held struct {
		node  string
		until time.Time
	}
	var outstanding []held
	now, most := time.Unix(1000, 0), 0
	for range 300 {
		now = now.Add(step)
		in := Input{Zone: "z", IssuerZone: func(string) string { return "z" }}
		sum := tpmessage.TargetLimit{Target: "a", StartedMs: 1, Statement: tpmessage.LimitNamed, PerSecond: limit}
		for i := range nodes {
			l := tpmessage.TargetLimit{Target: "a", StartedMs: 1, Statement: tpmessage.LimitNamed, PerSecond: limit, Demand: 0.06, Room: 1}
			name := fmt.Sprint("node-", i)
			for _, h := range outstanding {
				if h.node == name {
					l.Room = 0
				}
			}
			sum.Demand += l.Demand
			sum.Room += l.Room
			in.Nodes = append(in.Nodes, tpmessage.NodeLoad{Node: name, At: now, Limits: []tpmessage.TargetLimit{l}})
		}
		in.Zones = map[string]tpmessage.NodeLoad{"z": {At: now, Limits: []tpmessage.TargetLimit{sum}}}
		a.Step(now, in)
		for i := range nodes {
			name := fmt.Sprint("node-", i)
			for _, g := range a.TakeForNode(now, name) {
				for range g.Granted {
					outstanding = append(outstanding, held{name, now.Add(g.Left)})
				}
			}
		}
		var kept []held
		for _, h := range outstanding {
			if now.Before(h.until) {
				kept = append(kept, h)
				continue
			}
			a.Receive(now, []tpmessage.Allowance{{Target: "a", StartedMs: 1, Returned: 1}})
		}
		outstanding = kept
		most = max(most, len(outstanding))
	}
	if bound := savedRequests + limit*savedTime.Seconds(); float64(most) > bound {
		t.Errorf("allowances held unused at a time: got %d, want at most %v", most, bound)
	}
}
