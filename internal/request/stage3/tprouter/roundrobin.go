package tprouter

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// RoundRobin chooses the targets in turn, without regard to load. It is a
// baseline for comparison. The zero value is ready to use.
type RoundRobin struct {
	next int
}

// Pick implements RoutePolicy.
func (p *RoundRobin) Pick(_ time.Time, _ *tpmessage.Request, _ *tpload.View, g *tpload.Group) int {
	p.next++
	return p.next % len(g.Members)
}
