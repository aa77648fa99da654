package tprelay

import (
	"errors"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// reportNotice passes what a target says about itself in the answer to a request
// that was sent at a time to the placer.
func (t *task) reportNotice(target *tpmessage.RelayTarget, sentAt time.Time, n tpmessage.TargetNotice) {
	t.r.Place(tpplace.Input{Kind: tpplace.InputNotice, Notice: tpplace.Notice{
		TargetNotice: n, Target: *target, At: t.r.Clock.Now(), SentAt: sentAt,
	}})
}

func (t *task) isLimited(target *tpmessage.RelayTarget) bool {
	return t.r.IsLimited != nil && t.r.IsLimited(target)
}

var errWithheld = errors.New("the target is leaving or has asked for a pause since it was chosen")

func (t *task) isBlocked(target *tpmessage.RelayTarget) bool {
	return t.r.IsBlocked != nil && t.r.IsBlocked(target)
}

// withhold ends the granted step without sending anything. A granted request
// waits for a worker while all of them are busy with streams, and its target may
// be blocked by then. The placer learns nothing about the target.
func (t *task) withhold() Action {
	now := t.r.Clock.Now()
	res := Result{End: EndNotSent, Err: errWithheld}
	t.eventCount = 0
	t.reportResult(Result{End: EndCancelled}, 0)
	var action Action
	if t.grant.Step == tpplace.StepPrefill {
		action = t.plan.AfterPrefill(now, t.grant.Target.Name, res.End)
	} else {
		action = t.plan.AfterRun(now, t.grant.Target.Name, res, t.delivered)
	}
	t.logStep(&t.grant, res, 0)
	return action
}
