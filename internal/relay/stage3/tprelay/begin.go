package tprelay

import (
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// recordBegin records that the request began to run. Only the first call for a
// request has an effect. The rest of a stream of which the client has a part
// began with the request that the client sent before.
func (t *task) recordBegin(at time.Time) {
	if t.r.RecordBegin == nil || t.req.Organisation == "" || t.req.ResumeAfter >= 0 {
		return
	}
	if t.beginRecorded.CompareAndSwap(false, true) {
		t.r.RecordBegin(t.req.Organisation, at)
	}
}

// recordBeginWith records the begin of a request with a part of its answer: an
// engine begins with its first token, a plain service with its answer's head.
func (t *task) recordBeginWith(part *tpmessage.AnswerPart) {
	if t.req.Pool.Engine == nil || len(part.Data) > 0 && !part.Comment {
		t.recordBegin(t.r.Clock.Now())
	}
}

// recordBeginAfter records the begin of a request at a plain service that has
// delivered no part of an answer. A request of which the outcome is not known
// counts from the time at which it was sent.
func (t *task) recordBeginAfter(g *tpplace.Grant, res Result, sentAt time.Time) {
	switch {
	case t.req.Pool.Engine != nil || g.Step == tpplace.StepPrefill:
	case res.End == EndNotSent, res.End == EndNotRun, res.End == EndMisdirected:
	case res.End == EndCancelled && res.LocalAddress == "": // there was no connection
	case res.Status != 0:
		t.recordBegin(t.r.Clock.Now()) // an answer that was not delivered
	default:
		t.recordBegin(sentAt)
	}
}
