package tprelaynode

import (
	"time"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// minEvidencePeriod is the shortest time for which heartbeats and load
	// reports carry a change of the evidence. It spans ten load reports in a
	// small zone and one round of heartbeats.
	minEvidencePeriod = time.Second
	// evidenceReports is the number of load reports of a node in a large zone
	// that carry a change of the evidence.
	evidenceReports = 3
	// trialStep is the time between the first trials of two nodes that follow
	// each other in the ranking, and maxTrialRank the last rank that counts.
	trialStep    = 3 * time.Second
	maxTrialRank = 10
)

// evidencePeriod returns the time for which a change is reported to peers.
func evidencePeriod(reportInterval time.Duration) time.Duration {
	return max(minEvidencePeriod, evidenceReports*reportInterval)
}

// updateGuard passes the evidence in an input to the guard.
func (n *Node) updateGuard(now time.Time, in *tpplace.Input) {
	guard := &n.placement.guard
	switch in.Kind {
	case tpplace.InputStepResult:
		r := &in.StepResult
		switch r.Outcome {
		case tpplace.OutcomeServed, tpplace.OutcomeRefused, tpplace.OutcomeFailed:
			guard.RecordLife(now, r.Reservation.Target, r.StartedMs)
		}
		switch {
		case r.Request == nil:
		case r.Cut:
			guard.RecordCrash(now, r.Request, tpcrash.CrashID(r.Reservation.Target, r.StartedMs))
		case r.Broken:
			guard.RecordBreak(now, r.Request, r.Reservation.Target, r.StartedMs, r.SentAt)
		case r.Silent:
			guard.RecordSilence(now, r.Request, r.Reservation.Target, r.StartedMs, r.SentAt)
		case r.Answered:
			guard.RecordAnswer(now, r.Request)
		}
	case tpplace.InputTargets:
		guard.RecordTargets(now, in.Targets)
	case tpplace.InputStreamBegun:
		guard.RecordBegin(now, in.Begun)
	case tpplace.InputSuspects:
		guard.Merge(now, in.Suspects)
	default:
		return
	}
	n.publishQuarantines(now)
}

// checkGuard returns a grant with a refusal, and true, if the request of a
// target request carries what crashes targets. Otherwise it names the targets
// to avoid.
func (n *Node) checkGuard(now time.Time, in *tpplace.Input) (tpplace.Grant, bool) {
	if in.Kind != tpplace.InputTargetRequest {
		return tpplace.Grant{}, false
	}
	r := &in.TargetRequest
	key, refused := n.placement.guard.Check(now, r.Work.Request)
	if !refused {
		r.Avoid = n.placement.guard.Avoid(r.Work.Request)
		return tpplace.Grant{}, false
	}
	n.relay.Counters.Quarantined.Add(1)
	return tpplace.Grant{Work: r.Work, Step: r.Step, Refusal: &tpmessage.RelayRefusal{
		Status: tpmessage.StatusUnavailable, Reason: "targets crashed at requests with the same content, key " + tpcrash.Name(key),
	}}, true
}

// tickGuard ends what is due and passes the evidence to the membership filter.
// After a restoration of the store, the quarantines are stored again.
func (n *Node) tickGuard(now time.Time) {
	guard := &n.placement.guard
	rank := n.members.membersAhead(quarantineTask, func(tpmessage.Member) bool { return true })
	guard.TrialDelay = trialStep * time.Duration(min(rank, maxTrialRank))
	guard.Expire(now)
	n.publishQuarantines(now)
	if _, err := n.placement.newEra.TryTake(); err == nil {
		n.quarantines.record(guard.LastChanges()...)
	}
	n.publishEvidence(now)
}

func (n *Node) publishEvidence(now time.Time) {
	p := n.placement
	report := p.guard.Report(now, evidencePeriod(time.Duration(n.members.reportInterval.Load())))
	if len(report) > 0 || p.reported {
		_ = p.evidence.PutDropOldest(report)
	}
	p.reported = len(report) > 0
}

// publishQuarantines logs the begins and ends of quarantines. A quarantine that
// this node has found is sent to all members at once.
func (n *Node) publishQuarantines(now time.Time) {
	found := false
	for _, c := range n.placement.guard.TakeChanges() {
		event, source := "released", "peer"
		if c.Quarantined {
			event = "quarantined"
			found = found || c.Own
		}
		switch {
		case c.Own:
			source = "own"
		case c.Expired:
			source = "time"
		}
		n.log.Warn().Str("event", event).Str("key", tpcrash.Name(c.Key)).Str("source", source).Strs("crashes", c.Crashes).Send()
		n.quarantines.record(c)
	}
	if found {
		n.publishEvidence(now)
		_ = n.members.in.TryPut(memberInput{kind: memberQuarantined})
	}
}
