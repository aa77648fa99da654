package tprouter

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// LeastReported takes the target with the least reported load and looks at
// all of them. It does not count the node's own sends, so all nodes send to
// the same target until the next report. It is a naive policy.
type LeastReported struct{}

// Pick implements RoutePolicy.
func (LeastReported) Pick(now time.Time, _ *tpmessage.Request, v *tpload.View, g *tpload.Group) int {
	best := 0
	least := v.Reported(now, g.Members[0])
	for i, c := range g.Members[1:] {
		if load := v.Reported(now, c); load < least {
			best, least = i+1, load
		}
	}
	return best
}
