package tprollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Defaults of a Follower.
const (
	// Watchers is the number of nodes of a region that watch the head.
	Watchers = 2
	// ReadAfter is the time without news after which a node reads the head.
	ReadAfter = 5 * time.Second
	// ProbeInterval is the time between two reads of the head by a node that
	// watches it. A watch whose connection is cut waits for the timeout of the
	// watch, 40 s, and looks like one without news.
	ProbeInterval = 3 * time.Second
	// GatherTime is how long a starting node listens to its peers before it
	// takes a configuration from one of them. Two rounds of heartbeats bring
	// the generations of all members, and the highest one counts.
	GatherTime = 2500 * time.Millisecond
	// ActionTimeout is when an action without result is given up. It is above
	// the timeouts of the calls.
	ActionTimeout = 10 * time.Second
	// RetryDelay is the wait after a failed action or watch.
	RetryDelay = 500 * time.Millisecond
)

// Acceptance decides whether a configuration takes the place of another.
type Acceptance interface {
	// Replaces reports whether a configuration of generation seen, met after
	// the one of generation have, is to be put in force.
	Replaces(have, seen uint64) bool
}

// ByGeneration puts only a higher generation in force.
type ByGeneration struct{}

// Replaces implements Acceptance.
func (ByGeneration) Replaces(have, seen uint64) bool { return seen > have }

// LastSeen is the naive acceptance: a configuration has no order, and the one
// met last is put in force.
type LastSeen struct{}

// Replaces implements Acceptance.
func (LastSeen) Replaces(have, seen uint64) bool { return seen != have && seen > 0 }

// InputKind tells what reached a Follower.
type InputKind uint8

// Kinds of inputs.
const (
	InputTick      InputKind = iota // Members is set
	InputAnnounced                  // Member is a peer that holds its Generation
	InputWatch                      // OK tells whether the watch was answered, perhaps with a Head
	InputHead                       // Head is the accepted head, the result of a read
	InputFetched                    // Held and Snapshot are the result of a fetch
	InputFailed                     // the action failed
)

// Input is one value for a Follower.
type Input struct {
	Kind     InputKind
	Members  []tpmessage.Member // this node first
	Member   tpmessage.Member
	Head     tpmessage.Head
	Held     Held
	Snapshot *tpmessage.Snapshot
	OK       bool
}

// ActionKind tells what a Follower asks of its duties.
type ActionKind uint8

// Kinds of actions. The first three end with InputHead, InputFetched or
// InputFailed, and at most one of them runs at a time.
const (
	ActionReadHead    ActionKind = iota // read the head from the platform
	ActionFetchPeer                     // fetch the changed parts from the peer at Address
	ActionFetchParts                    // fetch the changed parts of Head from the platform
	ActionApply                         // put Snapshot in force and serve Held to peers
	ActionStartWatch                    // watch the head
	ActionCancelWatch                   // end the watch
)

// Action is one thing to do.
type Action struct {
	Kind     ActionKind
	Address  string
	Since    uint64 // generation since which the peer's changed parts are fetched
	Head     tpmessage.Head
	Held     Held // what the node holds, or for ActionApply what it shall hold
	Snapshot *tpmessage.Snapshot
}

// FollowerSettings configures a Follower. The zero value of the times is the
// default.
type FollowerSettings struct {
	Self string
	// Platform is false for a node that knows no platform.
	Platform bool
	// Random varies the time of the own reads and chooses among peers.
	Random     *rand.Rand
	ReadAfter  time.Duration
	GatherTime time.Duration
}

// Follower decides how one node follows the accepted configuration: which
// generation it puts in force, whether it watches the head, and when it asks
// the platform or a peer. It belongs to one filter.
type Follower[P Acceptance] struct {
	policy P
	cfg    FollowerSettings

	started  time.Time
	members  []tpmessage.Member
	held     Held
	accepted uint64         // highest generation that was met
	head     tpmessage.Head // newest head that the platform told
	headNew  bool           // head was not tried yet

	busy     bool // an action runs
	running  ActionKind
	busyTill time.Time
	retryAt  time.Time // no action begins before
	failures int       // failed actions since the last success
	avoid    string    // peer of the last fetch

	news     time.Time // when it was last sure that somebody watches the head
	nextRead time.Time // no own read before
	watching bool      // this node is asked to watch
	answered bool      // the platform answers the watch, or the probe of it
}

// NewFollower returns a follower that holds no configuration.
func NewFollower[P Acceptance](policy P, cfg FollowerSettings) *Follower[P] {
	if cfg.ReadAfter <= 0 {
		cfg.ReadAfter = ReadAfter
	}
	if cfg.GatherTime <= 0 {
		cfg.GatherTime = GatherTime
	}
	return &Follower[P]{policy: policy, cfg: cfg}
}

// Accepted returns the highest generation that the node knows to be accepted.
func (f *Follower[P]) Accepted() uint64 { return f.accepted }

// Watching reports whether the platform answers this node's watch.
func (f *Follower[P]) Watching() bool { return f.watching && f.answered }

// Step takes one input and appends the actions that follow from it.
func (f *Follower[P]) Step(now time.Time, in Input, actions []Action) []Action {
	if f.started.IsZero() {
		// The first read is due at once.
		f.started, f.nextRead = now, now
	}
	switch in.Kind {
	case InputTick:
		f.members = slices.Clone(in.Members)
		actions = f.watch(actions)
	case InputAnnounced:
		f.announced(in.Member)
	case InputWatch:
		f.answered = in.OK
		f.read(in.Head)
	case InputHead:
		f.busy, f.failures = false, 0
		f.answered = f.watching
		f.read(in.Head)
	case InputFetched:
		f.busy, f.failures = false, 0
		actions = f.take(in, actions)
	case InputFailed:
		f.failed(now)
	}
	if f.busy && now.After(f.busyTill) {
		f.failed(now)
	}
	return f.next(now, actions)
}

// failed ends an action without result. Parts that the platform no longer
// holds mean that there is a newer head.
func (f *Follower[P]) failed(now time.Time) {
	f.busy = false
	f.failures++
	f.retryAt = now.Add(RetryDelay)
	switch f.running {
	case ActionFetchParts:
		f.nextRead = f.retryAt
	case ActionReadHead:
		f.answered = false
	}
}

// meet remembers the highest generation.
func (f *Follower[P]) meet(generation uint64) { f.accepted = max(f.accepted, generation) }

// announced puts news of a heartbeat into the members of the last tick.
func (f *Follower[P]) announced(m tpmessage.Member) {
	f.meet(m.Generation)
	for i := range f.members {
		if f.members[i].Name == m.Name {
			f.members[i] = m
			return
		}
	}
	f.members = append(f.members, m)
}

// read takes a head that the platform told.
func (f *Follower[P]) read(head tpmessage.Head) {
	f.meet(head.Generation)
	if f.policy.Replaces(f.held.Head.Generation, head.Generation) {
		f.head, f.headNew = head, true
	}
}

// take puts a fetched configuration in force.
func (f *Follower[P]) take(in Input, actions []Action) []Action {
	f.meet(in.Held.Head.Generation)
	f.avoid = ""
	have, got := f.held.Head.Generation, in.Held.Head.Generation
	if !f.policy.Replaces(have, got) || have == 0 && f.policy.Replaces(got, f.accepted) {
		return actions
	}
	f.held = in.Held
	return append(actions, Action{Kind: ActionApply, Held: in.Held, Snapshot: in.Snapshot})
}

// next starts an action if one is due and none runs. The platform's own word
// goes before that of peers.
func (f *Follower[P]) next(now time.Time, actions []Action) []Action {
	if f.fresh() {
		f.news = now
	}
	if f.busy || now.Before(f.retryAt) {
		return actions
	}
	have := f.held.Head.Generation
	switch {
	case f.headNew && f.policy.Replaces(have, f.head.Generation):
		f.headNew = false
		return f.begin(now, actions, Action{Kind: ActionFetchParts, Head: f.head})
	case f.readDue(now):
		f.scheduleRead(now)
		return f.begin(now, actions, Action{Kind: ActionReadHead})
	case have == 0 && now.Sub(f.started) < f.cfg.GatherTime:
		return actions
	}
	if m, ok := f.source(have); ok {
		f.avoid = m.Address
		a := Action{Kind: ActionFetchPeer, Address: m.Address, Since: have}
		if m.Generation < have {
			a.Since = 0 // only LastSeen goes back
		}
		return f.begin(now, actions, a)
	}
	return actions
}

func (f *Follower[P]) begin(now time.Time, actions []Action, a Action) []Action {
	f.busy, f.running, f.busyTill = true, a.Kind, now.Add(ActionTimeout)
	a.Held = f.held
	return append(actions, a)
}

// readDue reports whether this node reads the head itself: while it holds no
// configuration, after failed fetches, as a probe of its own watch, and when
// nobody is known to watch the head. A watching member that turned silent is a suspect after SuspectAfter,
// which is part of ReadAfter.
func (f *Follower[P]) readDue(now time.Time) bool {
	if !f.cfg.Platform || now.Before(f.nextRead) {
		return false
	}
	return f.held.Head.Generation == 0 || f.failures > 0 || f.watching || now.Sub(f.news) >= f.cfg.ReadAfter-tpmember.SuspectAfter
}

// scheduleRead sets the earliest time of the next own read, varied by a tenth
// either way, so that the nodes of a region spread their reads. A node without
// a configuration is of no use to callers and reads more often.
func (f *Follower[P]) scheduleRead(now time.Time) {
	d := f.cfg.ReadAfter
	switch {
	case f.held.Head.Generation == 0:
		d /= 5
	case f.watching:
		d = ProbeInterval
	}
	f.nextRead = now.Add(d*9/10 + time.Duration(f.cfg.Random.Int64N(int64(d/5)+1)))
}

// fresh reports whether a live member's watch is answered by the platform.
// Its heartbeats then carry the accepted generation.
func (f *Follower[P]) fresh() bool {
	if f.Watching() {
		return true
	}
	for _, m := range f.members {
		if m.Name != f.cfg.Self && m.Watching && !m.Suspect {
			return true
		}
	}
	return false
}

// source returns a peer that holds the highest generation, or false if none is
// to be fetched. It avoids the peer that failed last. A node that has just
// started does not take less than the highest generation that it has met: its
// earlier process may have had that in force.
func (f *Follower[P]) source(have uint64) (tpmessage.Member, bool) {
	var best tpmessage.Member
	seen := 0
	highest := uint64(0)
	for _, m := range f.members {
		if m.Name == f.cfg.Self || m.Address == "" || !f.policy.Replaces(have, m.Generation) || m.Generation < highest {
			continue
		}
		if m.Generation > highest {
			highest, best, seen = m.Generation, tpmessage.Member{}, 0
		}
		switch {
		case m.Address == f.avoid:
			if best.Address == "" {
				best = m
			}
			continue
		case seen == 0 || f.cfg.Random.IntN(seen+1) == 0:
			best = m
		}
		seen++
	}
	if have == 0 && f.policy.Replaces(highest, f.accepted) {
		return best, false
	}
	return best, best.Address != ""
}

// watch starts or ends the watch as the members change.
func (f *Follower[P]) watch(actions []Action) []Action {
	if !f.cfg.Platform {
		return actions
	}
	chosen := false
	ranked := tpmember.Rank(HeadName, f.members)
	for _, m := range ranked[:min(Watchers, len(ranked))] {
		chosen = chosen || m.Name == f.cfg.Self
	}
	if chosen == f.watching {
		return actions
	}
	f.watching, f.answered = chosen, false
	if chosen {
		return append(actions, Action{Kind: ActionStartWatch})
	}
	return append(actions, Action{Kind: ActionCancelWatch})
}
