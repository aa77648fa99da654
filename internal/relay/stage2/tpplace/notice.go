package tpplace

import (
	"time"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// noticeTTL is the time after its last notice for which a process that is no
// longer registered is remembered. Its registration may lapse and return while
// the platform is disturbed.
const noticeTTL = time.Hour

// Notice is what a target has said about itself in an answer to this node.
type Notice struct {
	tpmessage.TargetNotice
	Target tpmessage.RelayTarget // as it was registered when the request was sent
	At     time.Time             // arrival of the answer
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
	lastAt      time.Time // arrival of the last notice
}

// HandleNotice records a notice. It reports whether the notice says something
// that was not in force for the process yet. Another pause during a pause is
// not new.
func (p *Placer[P]) HandleNotice(n Notice) bool {
	key := processOf(&n.Target)
	state := p.notices[key]
	isNew := n.Leaving && !state.leaving || n.Pause > 0 && !n.At.Before(state.pausedUntil)
	state.leaving = state.leaving || n.Leaving
	if until := n.At.Add(n.Pause); n.Pause > 0 && until.After(state.pausedUntil) {
		state.pausedUntil = until
	}
	state.lastAt = n.At
	p.notices[key] = state
	if t, ok := p.targets[n.Target.Name]; ok && processOf(&t.RelayTarget) == key {
		t.notices = state
	}
	return isNew
}

// expireNotices removes the notices of processes that are not registered and
// have sent none for noticeTTL.
func (p *Placer[P]) expireNotices(now time.Time) {
	for key, state := range p.notices {
		t, ok := p.targets[key.name]
		if (!ok || processOf(&t.RelayTarget) != key) && now.Sub(state.lastAt) >= noticeTTL {
			delete(p.notices, key)
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
