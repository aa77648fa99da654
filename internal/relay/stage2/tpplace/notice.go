package tpplace

import (
	"maps"
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// noticeTTL is the time after its last new notice for which a process that is no
// longer registered is remembered. Its registration may lapse and return while
// the platform is disturbed.
const noticeTTL = time.Hour

// Notice is what a target has said about itself in an answer to this node.
type Notice struct {
	tpmessage.TargetNotice
	Target tpmessage.RelayTarget // as it was registered when the request was sent
	At     time.Time             // arrival of the answer
	SentAt time.Time             // when the request was sent
}

// process identifies one process of a target. A target that restarts under the
// same name is another process.
type process struct {
	name, address string
	startedMs     int64
}

func processOf(t *tpmessage.RelayTarget) process {
	return process{name: t.Name, address: t.Address, startedMs: t.StartedMs}
}

// noticeState is the sum of the notices of one process.
type noticeState struct {
	leaving     bool
	pausedUntil time.Time // the latest end of the pauses asked for
	changedAt   time.Time // arrival of the last notice that said something new
}

// Notices holds what processes have said about themselves. It does not change,
// so that other filters can read a copy. The zero value holds nothing.
type Notices struct {
	states  map[process]noticeState
	limited map[limitKey]bool // processes that have a limit
}

// IsLeaving reports whether the target's process has said that it is leaving.
func (n *Notices) IsLeaving(t *tpmessage.RelayTarget) bool { return n.states[processOf(t)].leaving }

// IsBlocked reports whether nothing may be sent to the target, because its
// process is leaving or has asked for a pause.
func (n *Notices) IsBlocked(now time.Time, t *tpmessage.RelayTarget) bool {
	state := n.states[processOf(t)]
	return state.leaving || now.Before(state.pausedUntil)
}

// IsLimited reports whether the target's process has named a limit, to this node
// or to another one.
func (n *Notices) IsLimited(t *tpmessage.RelayTarget) bool { return n.limited[limitKeyOf(t)] }

// Notices returns the notices that are known now.
func (p *Placer[P]) Notices() Notices { return p.notices }

// HandleNotice records a notice. It reports whether the notice says something
// that was not in force for the process yet. Another pause during a pause is
// not new.
func (p *Placer[P]) HandleNotice(n Notice) bool {
	isNewLimit := p.observeLimit(&n)
	return p.handleState(&n) || isNewLimit
}

// handleState records whether the target is leaving or asks for a pause.
func (p *Placer[P]) handleState(n *Notice) bool {
	key := processOf(&n.Target)
	old := p.notices.states[key]
	state := old
	state.leaving = state.leaving || n.Leaving
	if until := n.At.Add(n.Pause); n.Pause > 0 && until.After(state.pausedUntil) {
		state.pausedUntil = until
	}
	if state == old {
		return false
	}
	state.changedAt = n.At
	states := maps.Clone(p.notices.states)
	if states == nil {
		states = make(map[process]noticeState)
	}
	states[key] = state
	p.notices.states = states
	if t, ok := p.targets[n.Target.Name]; ok && processOf(&t.RelayTarget) == key {
		t.notices = state
	}
	return state.leaving != old.leaving || n.Pause > 0 && !n.At.Before(old.pausedUntil)
}

// expireNotices removes the notices of processes that are not registered and
// have said nothing new for noticeTTL.
func (p *Placer[P]) expireNotices(now time.Time) {
	isOld := func(key process, state noticeState) bool {
		t, ok := p.targets[key.name]
		return (!ok || processOf(&t.RelayTarget) != key) && now.Sub(state.changedAt) >= noticeTTL
	}
	for key, state := range p.notices.states {
		if isOld(key, state) {
			states := maps.Clone(p.notices.states)
			maps.DeleteFunc(states, isOld)
			p.notices.states = states
			return
		}
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
