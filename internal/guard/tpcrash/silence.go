package tpcrash

import (
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// runBeginSpan is the time after the moment at which a process falls silent
	// in which a request must have been sent to be a suspect. It covers the
	// queue in front of a run.
	runBeginSpan = time.Second
	// silenceTTL is the time after which a silence no longer explains the end of
	// its process.
	silenceTTL = 15 * time.Second
	// endedRetention exceeds the longest time budget, at whose end the last
	// silences of a process become known.
	endedRetention = 35 * time.Second
	// silentTrialHold is the time without a trial after one was not answered. It
	// covers the restart of most targets.
	silentTrialHold = 4 * time.Second
	// maxEnded bounds the processes that are kept after their end.
	maxEnded = 512
	// maxSilences and maxProcessSilences bound the silences that are kept in
	// all and for one process.
	maxSilences        = 4096
	maxProcessSilences = 64
)

// process is one process of a target, as far as this node has seen it.
type process struct {
	target    string
	startedMs int64
	pool      string
	sole      bool // no other target of the pool takes new work
	leaving   bool // its end is planned
	// answeredAt is the time of its last answer to this node, and silentFrom
	// the time when the first request since then was sent that got none.
	answeredAt, silentFrom time.Time
	silences               []silence // since answeredAt
	endedAt                time.Time
	endedMs                int64 // as it appears in crash IDs
}

// silence is an exchange that ended without any part of an answer although the
// target did not close the connection, or in the middle of an answer.
type silence struct {
	keys              []uint64
	sentAt, noticedAt time.Time
	begun             bool // the answer had begun
}

// RecordSilence records that a target has left a request unanswered that was
// sent at sentAt. It is no evidence unless the process ends without another
// answer, because a sound target may be silent for a while.
func (g *Guard) RecordSilence(now time.Time, req *tpmessage.RelayRequest, target string, startedMs int64, sentAt time.Time) {
	g.recordSilence(now, req, target, startedMs, silence{sentAt: sentAt, noticedAt: now})
}

// RecordBreak is RecordSilence for an answer that broke off in its middle. A
// faulty target may truncate an answer and go on.
func (g *Guard) RecordBreak(now time.Time, req *tpmessage.RelayRequest, target string, startedMs int64, sentAt time.Time) {
	g.recordSilence(now, req, target, startedMs, silence{sentAt: sentAt, noticedAt: now, begun: true})
}

func (g *Guard) recordSilence(now time.Time, req *tpmessage.RelayRequest, target string, startedMs int64, s silence) {
	sentAt := s.sentAt
	g.holdTrials(now, req, sentAt)
	if p := g.findEnded(target, startedMs); p != nil {
		s.keys = Keys(req)
		g.blameEnd(now, p, &s)
		return
	}
	p := g.processes[target]
	if p == nil || p.startedMs != startedMs || p.leaving || len(p.silences) >= maxProcessSilences || g.silenceCount >= maxSilences {
		return
	}
	if !s.begun && !sentAt.Before(p.answeredAt) && (p.silentFrom.IsZero() || sentAt.Before(p.silentFrom)) {
		p.silentFrom = sentAt
	}
	if !p.mayEndAt(&s) {
		return
	}
	s.keys = Keys(req)
	p.silences = append(p.silences, s)
	g.silenceCount++
}

// holdTrials delays the next trial of the quarantined keys of an unanswered
// request until it is likely to be known whether its target has ended.
func (g *Guard) holdTrials(now time.Time, req *tpmessage.RelayRequest, sentAt time.Time) {
	if g.quarantinedCount == 0 {
		return
	}
	for _, key := range Keys(req) {
		if e, known := g.entries[key]; known && e.quarantined && sentAt.After(e.quarantinedAt) {
			e.heldUntil = now.Add(silentTrialHold)
		}
	}
}

// RecordLife records that a target has answered anything at all. What it left
// unanswered before has not ended it.
func (g *Guard) RecordLife(now time.Time, target string, startedMs int64) {
	if p := g.processes[target]; p != nil && p.startedMs == startedMs {
		p.answeredAt, p.silentFrom = now, time.Time{}
		g.dropSilences(p)
	}
}

// RecordLeaving records that a target has said that it is leaving.
func (g *Guard) RecordLeaving(target string, startedMs int64) {
	if p := g.processes[target]; p != nil && p.startedMs == startedMs {
		p.leaving = true
	}
}

// RecordTargets compares the registered targets with those known before. A
// process has ended if its name is gone or belongs to a process with another
// start time.
func (g *Guard) RecordTargets(now time.Time, list []tpmessage.RelayTarget) {
	known := g.processes
	g.processes = make(map[string]*process, len(list))
	takingWork := make(map[string]int) // number of targets, by pool
	for i := range list {
		if !list[i].Draining {
			takingWork[list[i].Pool]++
		}
	}
	for i := range list {
		rt := &list[i]
		p := known[rt.Name]
		if p == nil || p.startedMs != rt.StartedMs {
			g.retractEnd(now, rt.Name, rt.StartedMs)
			p = &process{target: rt.Name, startedMs: rt.StartedMs}
		}
		p.leaving = p.leaving || rt.Draining
		p.pool, p.sole = rt.Pool, !rt.Draining && takingWork[rt.Pool] == 1
		g.processes[rt.Name] = p
	}
	for name, p := range known {
		if successor := g.processes[name]; successor != p {
			g.end(now, p, successor)
		}
	}
	g.recount(now)
}

// end makes the silences of a process that has ended count as crashes. Successor
// is the process that has its name, or nil.
func (g *Guard) end(now time.Time, p, successor *process) {
	p.endedAt, p.endedMs = now, now.UnixMilli()
	// All nodes know the start of the successor, which follows the end.
	if successor != nil && now.Sub(time.UnixMilli(successor.startedMs)).Abs() < silenceTTL {
		p.endedMs = successor.startedMs
	}
	g.recordSoleEnd(p)
	silences := p.silences
	g.dropSilences(p)
	for i := range silences {
		g.blameEnd(now, p, &silences[i])
	}
	g.ended = append(g.ended, p)
	g.ended = g.ended[max(0, len(g.ended)-maxEnded):]
}

// blameEnd holds the end of a process against a request that it left
// unanswered, except for the keys that were answered elsewhere meanwhile.
func (g *Guard) blameEnd(now time.Time, p *process, s *silence) {
	if p.leaving || p.endedAt.Sub(s.noticedAt) > silenceTTL || s.sentAt.After(p.endedAt) || !p.mayEndAt(s) {
		return
	}
	id := silentCrashID(p, s)
	parsed := parseCrashID(id)
	for _, key := range s.keys {
		if g.isExcused(key, &parsed) {
			continue
		}
		e := g.entry(now, key)
		e.noteSilentTrial(s.sentAt, 0)
		if len(e.addCrashes(now, []string{id})) > 0 {
			g.update(now, e, Change{Own: true})
		}
	}
}

// mayEndAt reports whether the run of a request may have ended the process: the
// process answered nothing after the exchange, and the request was not sent
// long after it had fallen silent.
func (p *process) mayEndAt(s *silence) bool {
	isLate := !s.begun && !p.silentFrom.IsZero() && s.sentAt.After(p.silentFrom.Add(runBeginSpan))
	return !s.noticedAt.Before(p.answeredAt) && !isLate
}

// retractEnd clears the evidence that rests on the end of a process that is
// registered again: its registration had lapsed.
func (g *Guard) retractEnd(now time.Time, target string, startedMs int64) {
	p := g.findEnded(target, startedMs)
	if p == nil {
		return
	}
	g.ended = slices.DeleteFunc(g.ended, func(other *process) bool { return other == p })
	id := CrashID(target, startedMs)
	g.soleEnds = slices.DeleteFunc(g.soleEnds, func(end soleEnd) bool { return end.process == id })
	for _, e := range g.entries {
		if i := indexProcess(e.crashes, id); i >= 0 && isSilent(e.crashes[i]) && e.clear(now, []string{e.crashes[i]}) {
			g.update(now, e, Change{Own: true})
		}
	}
}

func (g *Guard) findEnded(target string, startedMs int64) *process {
	for _, p := range g.ended {
		if p.target == target && p.startedMs == startedMs {
			return p
		}
	}
	return nil
}

func (g *Guard) dropSilences(p *process) {
	g.silenceCount -= len(p.silences)
	p.silences = nil
}

// expireSilences removes what can no longer become evidence.
func (g *Guard) expireSilences(now time.Time) {
	g.ended = slices.DeleteFunc(g.ended, func(p *process) bool { return now.Sub(p.endedAt) >= endedRetention })
	g.soleEnds = slices.DeleteFunc(g.soleEnds, func(end soleEnd) bool { return now.Sub(end.recordedAt) >= suspectRetention })
	if g.silenceCount == 0 {
		return
	}
	for _, p := range g.processes {
		kept := slices.DeleteFunc(p.silences, func(s silence) bool { return now.Sub(s.noticedAt) > silenceTTL })
		g.silenceCount -= len(p.silences) - len(kept)
		p.silences = kept
	}
}
