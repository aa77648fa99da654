package tprelay

import (
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// maxAsksInSilence is the number of trials at the relieved target while its
// replacement is silent. Each of them may read the prompt in vain.
const maxAsksInSilence = 2

// relievedTarget is the silent target that a replacement has relieved because
// that did not refuse at once. It is asked for the rest of the answer if the
// replacement refuses later. The zero value belongs to a task without one.
type relievedTarget struct {
	name    string
	asks    int  // trials at the target while its replacement is silent
	askNext bool // the replacement has refused, and the target gets the next step
}

// replace records that a trial has taken over from a silent target. If that had
// not begun its answer, it has itself replaced the relieved one, which remains.
func (r *relievedTarget) replace(silent string, answerBegun bool) {
	if answerBegun || r.name == "" {
		*r = relievedTarget{name: silent}
	}
}

// hasRelieved reports whether the step in progress is that of a replacement.
func (t *task) hasRelieved() bool {
	return t.relieved.name != "" && t.relieved.name != t.grant.Target.Name
}

// isRefusedReplacement reports whether a step has ended with a refusal of the
// replacement, after which the relieved target may be asked again. An answer
// with an error status is a refusal, too.
func (t *task) isRefusedReplacement(now time.Time, res Result, failure []tpmessage.AnswerPart) bool {
	refused := len(failure) > 0 && t.delivered
	switch res.End {
	case EndNotRun, EndMisdirected, EndNotSent:
		refused = true
	case EndIncomplete:
		refused = refused || res.Status != 0
	}
	return refused && !t.answerBegun && t.hasRelieved() && t.plan.MayAskAgain(now)
}

// askRelievedNext requests the step at the relieved target or, if that cannot
// take it, at another one. It returns false if the placer refuses both. The
// target is asked once for each replacement, whose grant has reserved the retry
// if the answer had begun.
func (t *task) askRelievedNext() bool {
	g := t.requestRelieved(t.plan.IsRetry() && !t.delivered)
	t.relieved = relievedTarget{}
	if g.Refusal != nil {
		if !t.plan.mayRunAgain() || t.plan.exhausted(t.r.Clock.Now()) {
			t.grant, t.granted = g, false
			return false
		}
		return t.requestNext(ActionRun)
	}
	t.grant, t.granted = g, true
	t.countRetry(&t.plan)
	return true
}

// mayAskRelieved reports whether the relieved target is to be tried while its
// replacement, which has delivered nothing, is silent. Parts is the number of
// parts that have been delivered.
func (t *task) mayAskRelieved(parts int) bool {
	return t.hasRelieved() && parts == t.partsBefore && t.relieved.asks < maxAsksInSilence && t.plan.MayAskAgain(t.r.Clock.Now())
}

// askRelieved tries the relieved target. The replacement keeps the request
// unless that begins to answer.
func (t *task) askRelieved(parts int) bool {
	t.relieved.asks++
	g := t.requestRelieved(true)
	if g.Refusal != nil {
		return false
	}
	if !t.delivery.TryLock() {
		t.returnReservation(&g)
		return false
	}
	defer t.delivery.Unlock()
	if t.parts != parts || t.ctx.Err() != nil || t.isBlocked(&g.Target) {
		t.returnReservation(&g)
		return false
	}
	t.plan.CountRetry()
	t.r.Counters.Retries.Add(1)
	return t.try(g, acceptByAnswer)
}

// requestRelieved requests the grant of a run at the relieved target.
func (t *task) requestRelieved(isRetry bool) tpplace.Grant {
	step := tpplace.StepRun
	if t.req.Pool.Engine == nil {
		step = tpplace.StepCall
	}
	return t.requestGrant(tpplace.TargetRequest{
		Work: t.work, Reply: t.reply, Step: step, IsRetry: isRetry, Begun: t.delivered, Only: t.relieved.name,
	})
}

// untilReplacement returns the time for which the step in progress goes on
// before a further target may replace its own, or zero. The relieved target is
// asked earlier than that.
func (t *task) untilReplacement(parts int) time.Duration {
	if !t.hasRelieved() || parts != t.partsBefore {
		return 0
	}
	firstByte, _ := t.timeouts(&t.grant)
	return max(0, t.sentAt.Add(firstByte).Sub(t.r.Clock.Now()))
}
