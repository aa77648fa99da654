package tpfollow

import "time"

const (
	// AuditInterval is the time between two audits of a node that audits beside
	// its watches.
	AuditInterval = 700 * time.Millisecond
	// MaxAuditors is the number of watching nodes that audit at this interval. The
	// others hear of the result.
	MaxAuditors = 2
	// hearingAllowance is the time that a confirmation takes to reach all nodes,
	// beside the report interval of the largest zone: a tick and a call at the
	// auditor, a tick at the collector, and the allowances for two heartbeats.
	hearingAllowance = 400 * time.Millisecond
	// takeoverStep is the time by which each next group of nodes waits longer for
	// a confirmation before it audits. A group has three times as many nodes as
	// all before it.
	takeoverStep = 100 * time.Millisecond
	// maxTakeoverSteps bounds the wait, so that it does not grow with the region.
	maxTakeoverSteps = 3
	// auditBackoff is the delay after an audit that failed. It doubles with each
	// consecutive failure up to maxAuditBackoff, with which a node has asked the
	// platform again within three seconds of the platform's return, even if its
	// last call has to time out first.
	auditBackoff    = 200 * time.Millisecond
	maxAuditBackoff = 1200 * time.Millisecond
)

// Freshness is what a node knows of the age of its views.
type Freshness struct {
	// Age is the time for which the oldest view may have missed changes.
	Age time.Duration
	// Auditor is true if the node audits at intervals.
	Auditor bool
	// Ahead is the number of live nodes that take precedence.
	Ahead int
	// ReportInterval is the time between two reports of a node to the collector of
	// its zone, whose answers carry the confirmations.
	ReportInterval time.Duration
}

// AuditSchedule decides when a node audits: reads all objects from the platform
// beside its calls of Next. A few nodes audit at intervals, and each other node
// audits only when it has not heard of a confirmation for so long that these
// must have failed. So a change is in force in bounded time at each node that
// reaches the platform, whatever happened to the nodes on which it relies. The
// zero value is ready to use.
type AuditSchedule struct {
	inProgress bool
	failures   int       // consecutive failed audits
	nextAt     time.Time // earliest time of the next audit
}

// Start reports whether an audit is to start now. The caller reports its end
// by Done.
func (s *AuditSchedule) Start(now time.Time, f Freshness) bool {
	if s.inProgress || now.Before(s.nextAt) {
		return false
	}
	s.inProgress = f.Auditor || f.Age >= f.takeoverAge()
	return s.inProgress
}

// Done records the end of an audit.
func (s *AuditSchedule) Done(now time.Time, err error) {
	s.inProgress = false
	if err == nil {
		s.failures = 0
		s.nextAt = now.Add(AuditInterval)
		return
	}
	s.nextAt = now.Add(min(auditBackoff<<min(s.failures, 8), maxAuditBackoff))
	s.failures++
}

// takeoverAge returns the age from which a node audits that is no auditor.
func (f Freshness) takeoverAge() time.Duration {
	step := 0
	for group := MaxWatchers; step < maxTakeoverSteps && f.Ahead >= group; group *= 4 {
		step++
	}
	return AuditInterval + hearingAllowance + f.ReportInterval + time.Duration(step)*takeoverStep
}
