package tpplace

import (
	"maps"
	"slices"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

const (
	// noticeTTL is the time after its last new notice for which a target that is
	// no longer registered is remembered. Its registration may lapse and return
	// while the platform is disturbed.
	noticeTTL = time.Hour
	// clockTolerance is the difference up to which the clock of this node may be
	// behind that of a target. A process that restarts is away for longer.
	clockTolerance = 100 * time.Millisecond
)

// Notice is what a target has said about itself in an answer to this node.
type Notice struct {
	tpmessage.TargetNotice
	Target tpmessage.RelayTarget // as it was registered when the request was sent
	At     time.Time             // arrival of the answer
	// SentAt is when the request had a connection to the target, so that the
	// process that answers was running. If it is zero, At takes its place.
	SentAt time.Time
}

// saidAt returns a time at which the process that answered was running.
func (n *Notice) saidAt() time.Time {
	if n.SentAt.IsZero() {
		return n.At
	}
	return n.SentAt
}

// isSince reports whether a process that was running at a time is the one that
// started at startedMs, in Unix milliseconds, or a later one. A target may answer
// before its registration names its start, and its registration may change in any
// way, so that only the times tell which process has answered. Without a start
// every answer counts.
func isSince(at time.Time, startedMs int64, tolerance time.Duration) bool {
	return startedMs == 0 || at.Add(tolerance).UnixMilli() >= startedMs
}

// pause is a pause that a target has asked for.
type pause struct {
	saidAt, until time.Time
}

// statements holds what the processes under one name have said.
type statements struct {
	leavingAt time.Time // latest time at which one said that it is leaving, or zero
	pauses    []pause   // the latest first; each ends later than those before it
	changedAt time.Time // arrival of the last notice that said something new
}

// addPause adds a pause unless a later process has asked for one that ends later.
func (s *statements) addPause(p pause) {
	isCovered := func(by, p pause) bool { return !by.saidAt.Before(p.saidAt) && !by.until.Before(p.until) }
	if slices.ContainsFunc(s.pauses, func(other pause) bool { return isCovered(other, p) }) {
		return
	}
	s.pauses = slices.DeleteFunc(s.pauses, func(other pause) bool { return isCovered(p, other) })
	i, _ := slices.BinarySearchFunc(s.pauses, p, func(a, b pause) int { return b.saidAt.Compare(a.saidAt) })
	s.pauses = slices.Insert(s.pauses, i, p)
}

// stateOf returns what the process that started at startedMs has said.
func (s *statements) stateOf(startedMs int64) noticeState {
	var state noticeState
	// Without a tolerance, because a process does not leave as it starts, and one
	// that has ended must not keep the next one out of use.
	state.leaving = !s.leavingAt.IsZero() && isSince(s.leavingAt, startedMs, 0)
	for _, p := range s.pauses {
		if isSince(p.saidAt, startedMs, clockTolerance) {
			state.pausedUntil = p.until
		}
	}
	return state
}

// noticeState is the sum of the notices of one process.
type noticeState struct {
	leaving     bool
	pausedUntil time.Time // the latest end of the pauses asked for
}

// Notices holds what the registered processes have said about themselves, by the
// name of the target. It does not change, so that other filters can read a copy.
// The zero value holds nothing.
type Notices struct {
	states  map[string]noticeState
	limited map[string]bool // targets that have a limit
}

// IsLeaving reports whether the target has said that it is leaving.
func (n *Notices) IsLeaving(t *tpmessage.RelayTarget) bool { return n.states[t.Name].leaving }

// IsBlocked reports whether nothing may be sent to the target, because it is
// leaving or has asked for a pause.
func (n *Notices) IsBlocked(now time.Time, t *tpmessage.RelayTarget) bool {
	state := n.states[t.Name]
	return state.leaving || now.Before(state.pausedUntil)
}

// IsLimited reports whether the target has named a limit, to this node or to
// another one.
func (n *Notices) IsLimited(t *tpmessage.RelayTarget) bool { return n.limited[t.Name] }

// Notices returns the notices that are known now.
func (p *Placer[P]) Notices() Notices { return p.notices }

// HandleNotice records a notice. It reports whether the notice says something
// that was not in force for the target yet. Another pause during a pause is not
// new.
func (p *Placer[P]) HandleNotice(n Notice) bool {
	isNewLimit := p.observeLimit(&n)
	return p.handleState(&n) || isNewLimit
}

// handleState records whether the target is leaving or asks for a pause.
func (p *Placer[P]) handleState(n *Notice) bool {
	if !n.Leaving && n.Pause <= 0 {
		return false
	}
	name := n.Target.Name
	s, ok := p.statements[name]
	if !ok {
		s = &statements{}
		p.statements[name] = s
	}
	if n.Leaving && n.saidAt().After(s.leavingAt) {
		s.leavingAt = n.saidAt()
	}
	if n.Pause > 0 {
		s.addPause(pause{saidAt: n.saidAt(), until: n.At.Add(n.Pause)})
	}
	old := p.notices.states[name]
	state := s.stateOf(p.startOf(name))
	if state == old {
		return false
	}
	s.changedAt = n.At
	p.setNoticeState(name, state)
	return state.leaving != old.leaving || n.Pause > 0 && !n.At.Before(old.pausedUntil)
}

// startOf returns the start of the registered process of a target, or 0 if it is
// not known. A start that is later than its registration is by a clock that is
// ahead of this node's.
func (p *Placer[P]) startOf(name string) int64 {
	if t, ok := p.targets[name]; ok {
		return min(t.StartedMs, t.startsBy.UnixMilli())
	}
	return 0
}

// registeredStart returns the start that the registration of a target names, or 0.
func (p *Placer[P]) registeredStart(name string) int64 {
	if t, ok := p.targets[name]; ok {
		return t.StartedMs
	}
	return 0
}

// setNoticeState puts the state of a target in force.
func (p *Placer[P]) setNoticeState(name string, state noticeState) {
	if p.notices.states[name] != state {
		states := maps.Clone(p.notices.states)
		if states == nil {
			states = make(map[string]noticeState)
		}
		if states[name] = state; state == (noticeState{}) {
			delete(states, name)
		}
		p.notices.states = states
	}
	if t, ok := p.targets[name]; ok {
		t.notices = state
	}
}

// updateNotices brings what is in force up to date with the registered processes.
func (p *Placer[P]) updateNotices(now time.Time) {
	for name, s := range p.statements {
		s.pauses = slices.DeleteFunc(s.pauses, func(pause pause) bool { return !now.Before(pause.until) })
		if _, ok := p.targets[name]; !ok && now.Sub(s.changedAt) >= noticeTTL {
			delete(p.statements, name)
			p.setNoticeState(name, noticeState{})
			continue
		}
		p.setNoticeState(name, s.stateOf(p.startOf(name)))
	}
}

// isLeaving reports whether the target's registration or one of its answers
// says that it takes no new work.
func (t *target) isLeaving() bool { return t.Draining || t.notices.leaving }

// pauseLeft returns the rest of the pause that the target has asked for, or zero
// if there is none.
func (t *target) pauseLeft(now time.Time) time.Duration {
	return max(0, t.notices.pausedUntil.Sub(now))
}
