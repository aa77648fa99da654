package tprollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Defaults of FollowerSettings, and values that no setting changes.
const (
	// WatcherCount is the number of nodes of a region that watch the head.
	WatcherCount = 2
	// UnwatchedReadDelay is the time after which a node reads the head itself
	// if no live node is known to watch it.
	UnwatchedReadDelay = 5 * time.Second
	// ProbeInterval is the interval at which a node that watches the head also
	// reads it. Until the watch times out after 40 s, a broken connection looks
	// the same as a head without changes.
	ProbeInterval = 2 * time.Second
	// ProbeAnswerDelay is the time after which a probe without an answer shows
	// that the platform does not answer the watch either. The call itself may
	// last longer. The other nodes then read the head in time for a change to be
	// in force within 7 s.
	ProbeAnswerDelay = time.Second
	// GatherTime is the time for which a starting node collects the generations
	// of its peers before it fetches a configuration from one of them. Two
	// rounds of heartbeats deliver the generations of all members. The node
	// fetches the highest one.
	GatherTime = 2500 * time.Millisecond
	// ActionTimeout is the time after which an action without a result counts
	// as failed. It is longer than the timeouts of the calls.
	ActionTimeout = 10 * time.Second
	// RetryDelay is the delay after a failed action or watch.
	RetryDelay = 500 * time.Millisecond
)

// Acceptance is the policy that decides whether a configuration replaces
// another.
type Acceptance interface {
	// Replaces reports whether a configuration of generation observed replaces
	// the one of generation current. Generation 0 means no configuration.
	Replaces(current, observed uint64) bool
}

// ByGeneration replaces a configuration only by one of a higher generation.
type ByGeneration struct{}

// Replaces implements Acceptance.
func (ByGeneration) Replaces(current, observed uint64) bool { return observed > current }

// LastObserved replaces a configuration by any other, so the last observed one
// is in force. Tests use it to show that they detect reverted configurations.
type LastObserved struct{}

// Replaces implements Acceptance.
func (LastObserved) Replaces(current, observed uint64) bool {
	return observed != current && observed > 0
}

// InputKind is the kind of an Input. It determines which fields are set.
type InputKind uint8

// The last three kinds end the action that is in progress.
const (
	InputTick      InputKind = iota // Members is set
	InputAnnounced                  // Member is the entry of a peer from its heartbeat
	InputWatch                      // OK reports whether the platform answered the watch; Head is set if it changed
	InputHead                       // Head is the accepted head, the result of a read
	InputFetched                    // Held and Snapshot are the result of a fetch
	InputFailed                     // the action failed
)

// Input is one message to a Follower.
type Input struct {
	Kind     InputKind
	Members  []tpmessage.Member // this node first
	Member   tpmessage.Member
	Head     tpmessage.Head
	Held     Held
	Snapshot *tpmessage.Snapshot
	OK       bool
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions. The first three end with InputHead, InputFetched or
// InputFailed, and at most one of them runs at a time.
const (
	ActionReadHead    ActionKind = iota // read the head from the platform
	ActionFetchPeer                     // fetch the changed parts from the peer at Address
	ActionFetchParts                    // fetch the changed parts of Head from the platform
	ActionApply                         // put Snapshot into force and serve Held to peers
	ActionStartWatch                    // watch the head
	ActionCancelWatch                   // end the watch
)

// Action is one step that the duties perform for a Follower.
type Action struct {
	Kind     ActionKind
	Address  string
	Since    uint64 // generation since which the peer's changed parts are fetched
	Head     tpmessage.Head
	Held     Held // current parts of the node, or for ActionApply the new ones
	Snapshot *tpmessage.Snapshot
}

// FollowerSettings configures a Follower. A duration that is zero or negative
// takes its default.
type FollowerSettings struct {
	Self string // name of this node
	// Platform reports whether the node has access to the platform.
	Platform bool
	// Random varies the times of this node's own reads and chooses among peers.
	Random             *rand.Rand
	UnwatchedReadDelay time.Duration
	GatherTime         time.Duration
}

// Follower decides how one node follows the accepted configuration: which
// generation it puts into force, whether it watches the head, and when it reads
// from the platform or a peer. It is not safe for concurrent use: one filter
// owns it.
type Follower[P Acceptance] struct {
	policy P
	cfg    FollowerSettings

	started     time.Time
	members     []tpmessage.Member
	held        Held
	accepted    uint64         // highest accepted generation known
	head        tpmessage.Head // latest head from the platform that replaces the one in force
	headPending bool           // the parts of head have not been fetched yet

	actionRunning bool // an action is in progress
	actionKind    ActionKind
	actionStarted time.Time
	retryAt       time.Time // earliest time of the next action
	failures      int       // consecutive failed actions
	lastPeer      string    // address of the peer of the last fetch; empty once a fetch succeeds

	lastWatchedAt time.Time // when a live node was last known to watch the head
	nextReadAt    time.Time // earliest time of this node's next own read
	watching      bool      // this node is chosen to watch the head
	watchAnswered bool      // the platform answered the latest watch call or probe
}

// NewFollower returns a follower that holds no configuration.
func NewFollower[P Acceptance](policy P, cfg FollowerSettings) *Follower[P] {
	if cfg.UnwatchedReadDelay <= 0 {
		cfg.UnwatchedReadDelay = UnwatchedReadDelay
	}
	if cfg.GatherTime <= 0 {
		cfg.GatherTime = GatherTime
	}
	return &Follower[P]{policy: policy, cfg: cfg}
}

// Accepted returns the highest accepted generation that the node knows.
func (f *Follower[P]) Accepted() uint64 { return f.accepted }

// Watching reports whether this node watches the head and the platform answers.
func (f *Follower[P]) Watching() bool { return f.watching && f.watchAnswered }

// Step processes one input, appends the resulting actions to actions and
// returns the extended slice.
func (f *Follower[P]) Step(now time.Time, in Input, actions []Action) []Action {
	if f.started.IsZero() {
		// The first read is due at once.
		f.started, f.nextReadAt = now, now
	}
	switch in.Kind {
	case InputTick:
		f.members = slices.Clone(in.Members)
		actions = f.updateWatch(actions)
	case InputAnnounced:
		f.handleAnnounced(in.Member)
	case InputWatch:
		f.watchAnswered = in.OK
		f.handleHead(in.Head)
	case InputHead:
		f.actionRunning, f.failures = false, 0
		f.watchAnswered = f.watching
		f.handleHead(in.Head)
	case InputFetched:
		f.actionRunning, f.failures = false, 0
		actions = f.handleFetched(in, actions)
	case InputFailed:
		f.handleFailure(now)
	}
	if f.actionRunning && f.actionKind == ActionReadHead && now.Sub(f.actionStarted) >= ProbeAnswerDelay {
		f.watchAnswered = false
	}
	if f.actionRunning && now.Sub(f.actionStarted) > ActionTimeout {
		f.handleFailure(now)
	}
	return f.startNext(now, actions)
}

// handleFailure ends an action that failed or timed out. If parts could not be
// fetched, it makes a read of the head due after RetryDelay, because parts that
// the platform no longer stores belong to an outdated head.
func (f *Follower[P]) handleFailure(now time.Time) {
	f.actionRunning = false
	f.failures++
	f.retryAt = now.Add(RetryDelay)
	switch f.actionKind {
	case ActionFetchParts:
		f.nextReadAt = f.retryAt
	case ActionReadHead:
		f.watchAnswered = false
	}
}

// raiseAccepted records the generation if it is the highest one known.
func (f *Follower[P]) raiseAccepted(generation uint64) { f.accepted = max(f.accepted, generation) }

// handleAnnounced updates the members of the last tick from a heartbeat.
func (f *Follower[P]) handleAnnounced(m tpmessage.Member) {
	f.raiseAccepted(m.Generation)
	for i := range f.members {
		if f.members[i].Name == m.Name {
			f.members[i] = m
			return
		}
	}
	f.members = append(f.members, m)
}

// handleHead processes a head from the platform.
func (f *Follower[P]) handleHead(head tpmessage.Head) {
	f.raiseAccepted(head.Generation)
	if f.policy.Replaces(f.held.Head.Generation, head.Generation) {
		f.head, f.headPending = head, true
	}
}

// handleFetched puts a fetched configuration into force if it replaces the
// current one. The first configuration of a node must also be the highest
// accepted generation known.
func (f *Follower[P]) handleFetched(in Input, actions []Action) []Action {
	f.raiseAccepted(in.Held.Head.Generation)
	f.lastPeer = ""
	current, fetched := f.held.Head.Generation, in.Held.Head.Generation
	if !f.policy.Replaces(current, fetched) || current == 0 && f.policy.Replaces(fetched, f.accepted) {
		return actions
	}
	f.held = in.Held
	return append(actions, Action{Kind: ActionApply, Held: in.Held, Snapshot: in.Snapshot})
}

// startNext starts an action if one is due and none is in progress. The
// platform takes precedence over peers.
func (f *Follower[P]) startNext(now time.Time, actions []Action) []Action {
	if f.headWatched() {
		f.lastWatchedAt = now
	}
	if f.actionRunning || now.Before(f.retryAt) {
		return actions
	}
	current := f.held.Head.Generation
	switch {
	case f.headPending && f.policy.Replaces(current, f.head.Generation):
		f.headPending = false
		return f.startAction(now, actions, Action{Kind: ActionFetchParts, Head: f.head})
	case f.readDue(now):
		f.scheduleRead(now)
		return f.startAction(now, actions, Action{Kind: ActionReadHead})
	case current == 0 && now.Sub(f.started) < f.cfg.GatherTime:
		return actions
	}
	if m, ok := f.choosePeer(current); ok {
		f.lastPeer = m.Address
		a := Action{Kind: ActionFetchPeer, Address: m.Address, Since: current}
		if m.Generation < current {
			a.Since = 0 // only LastObserved accepts a lower generation
		}
		return f.startAction(now, actions, a)
	}
	return actions
}

func (f *Follower[P]) startAction(now time.Time, actions []Action, a Action) []Action {
	f.actionRunning, f.actionKind, f.actionStarted = true, a.Kind, now
	a.Held = f.held
	return append(actions, a)
}

// readDue reports whether this node reads the head itself: while it holds no
// configuration, after failed actions, as a probe of its own watch, and when no
// live node is known to watch the head. A watching member without heartbeats
// becomes a suspect after SuspectAfter, which UnwatchedReadDelay includes.
func (f *Follower[P]) readDue(now time.Time) bool {
	if !f.cfg.Platform || now.Before(f.nextReadAt) {
		return false
	}
	return f.held.Head.Generation == 0 || f.failures > 0 || f.watching || now.Sub(f.lastWatchedAt) >= f.cfg.UnwatchedReadDelay-tpmember.SuspectAfter
}

// scheduleRead sets the earliest time of the next own read. The interval varies
// by up to 10 % in either direction to spread the reads of a region's nodes. A
// node without a configuration cannot serve callers, so it reads five times as
// often.
func (f *Follower[P]) scheduleRead(now time.Time) {
	d := f.cfg.UnwatchedReadDelay
	switch {
	case f.held.Head.Generation == 0:
		d /= 5
	case f.watching:
		d = ProbeInterval
	}
	f.nextReadAt = now.Add(d*9/10 + time.Duration(f.cfg.Random.Int64N(int64(d/5)+1)))
}

// headWatched reports whether the platform answers the watch of a live member.
// The heartbeats of that member carry the accepted generation.
func (f *Follower[P]) headWatched() bool {
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

// choosePeer returns a random peer among those with the highest generation that
// replaces current, or false if there is none to fetch from. It returns the
// peer of the last failed fetch only if there is no other. A node without a
// configuration does not fetch a generation below the highest accepted one that
// it knows, because its earlier process may have had that one in force.
func (f *Follower[P]) choosePeer(current uint64) (tpmessage.Member, bool) {
	var best tpmessage.Member
	eligible := 0
	highest := uint64(0)
	for _, m := range f.members {
		if m.Name == f.cfg.Self || m.Address == "" || !f.policy.Replaces(current, m.Generation) || m.Generation < highest {
			continue
		}
		if m.Generation > highest {
			highest, best, eligible = m.Generation, tpmessage.Member{}, 0
		}
		switch {
		case m.Address == f.lastPeer:
			if best.Address == "" {
				best = m
			}
			continue
		case eligible == 0 || f.cfg.Random.IntN(eligible+1) == 0:
			best = m
		}
		eligible++
	}
	if current == 0 && f.policy.Replaces(highest, f.accepted) {
		return best, false
	}
	return best, best.Address != ""
}

// updateWatch starts or ends this node's watch if its rank among the members
// has changed. The first WatcherCount members in rank order watch the head.
func (f *Follower[P]) updateWatch(actions []Action) []Action {
	if !f.cfg.Platform {
		return actions
	}
	chosen := false
	ranked := tpmember.Rank(HeadName, f.members)
	for _, m := range ranked[:min(WatcherCount, len(ranked))] {
		chosen = chosen || m.Name == f.cfg.Self
	}
	if chosen == f.watching {
		return actions
	}
	f.watching, f.watchAnswered = chosen, false
	if chosen {
		return append(actions, Action{Kind: ActionStartWatch})
	}
	return append(actions, Action{Kind: ActionCancelWatch})
}
