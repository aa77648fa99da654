package tprouter

import (
	"time"

	"teaselpin.example/teaselpin/internal/report/tpload"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// LeastReportedLoad chooses the target with the lowest reported load among all
// candidates. It does not count the node's own sends, so all nodes send to the
// same target until the next report. It is a baseline for comparison.
type LeastReportedLoad struct{}

// Pick implements RoutePolicy.
func (LeastReportedLoad) Pick(now time.Time, _ *tpmessage.Request, v *tpload.View, g *tpload.Group) int {
	best := 0
	minLoad := v.ReportedLoad(now, g.Members[0])
	for i, c := range g.Members[1:] {
		if load := v.ReportedLoad(now, c); load < minLoad {
			best, minLoad = i+1, load
		}
	}
	return best
}
