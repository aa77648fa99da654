package tprelaynode

import (
	"context"
	"expvar"
	"slices"
	"sync/atomic"
	"time"

	"teaselpin.example/teaselpin/internal/relay/stage1/tproute"
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/internal/relay/tpfollow"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// followInputs is the capacity of the ring of results and marks.
	followInputs = 64
	// followTick is the interval at which lapsed registrations and the marks of
	// peers are looked at.
	followTick = 100 * time.Millisecond
	// auditInterval is the time between two full reads of the kinds by an
	// auditor. A change that no wait has reported is then in force on all nodes
	// within two seconds: 700 ms here, 300 ms of heartbeats, 250 ms of calls.
	auditInterval = 700 * time.Millisecond
	// auditors is the number of the watching nodes that audit.
	auditors = 2
	// watchers is the number of nodes of the region that wait for changes at
	// the platform. Each wait is a call that is paid for; the others hear of
	// changes from them.
	watchers = 4
	// settleTime is the time after the start in which a node with seeds waits for
	// no changes: until the members know each other, all of them would.
	settleTime = 1500 * time.Millisecond
	// watchRole names the task in the ranking of the nodes.
	watchRole = "watch"
)

// followInput is the result of a call, a peer's marks, or a tick.
type followInput struct {
	action  tpfollow.ActionKind // of a result
	kind    string
	view    tpobject.View
	changes []tpobject.Change
	version uint64
	err     error
	peer    string
	marks   []tpmessage.ViewMark
}

// call is a call that an edge duty makes.
type call struct {
	kind   string
	action tpfollow.Action
}

// following holds the rings and the state of the filter that follows the
// platform's objects:
//
//	platform, peers, ticks -> follow ring -> follow -> calls rings -> callers
type following struct {
	node         *Node
	in           *tpring.Ring[followInput]
	calls        map[string]*tpring.Ring[call] // to the platform, by kind
	peerCalls    *tpring.Ring[call]
	kinds        []string
	followers    []*tpfollow.Follower
	registry     *tpfollow.Registry
	views        map[string]*atomic.Pointer[tpobject.View]
	targetsKnown atomic.Bool
	serving      atomic.Bool // the platform serves this node's waits
	told         []tpmessage.ViewMark
	failures     atomic.Uint64
	faults       map[string]uint64 // versions of unreadable registrations that were logged
	disturbed    map[string]bool
	started      time.Time
}

func newFollowing(n *Node) *following {
	f := &following{
		node:      n,
		in:        tpring.New[followInput](tpring.Settings{Capacity: followInputs}),
		calls:     make(map[string]*tpring.Ring[call]),
		peerCalls: tpring.New[call](tpring.Settings{Capacity: 4}),
		registry:  tpfollow.NewRegistry(),
		views:     make(map[string]*atomic.Pointer[tpobject.View]),
		faults:    make(map[string]uint64),
		disturbed: make(map[string]bool),
		started:   n.clock.Now(),
	}
	n.deps.Rings.Add("follow", f.in)
	n.deps.Rings.Add("peerCalls", f.peerCalls)
	f.kinds = []string{n.deps.Kinds.Config, n.deps.Kinds.Targets}
	for _, kind := range f.kinds {
		f.followers = append(f.followers, &tpfollow.Follower{Kind: kind})
		f.views[kind] = &atomic.Pointer[tpobject.View]{}
		f.calls[kind] = tpring.New[call](tpring.Settings{Capacity: 1})
	}
	// Each kind has a ring of its own, so that a wait for one does not hold back
	// the other.
	n.deps.Rings.Add("configCalls", f.calls[n.deps.Kinds.Config])
	n.deps.Rings.Add("targetCalls", f.calls[n.deps.Kinds.Targets])
	return f
}

func (n *Node) startFollowing() error {
	f := n.follow
	ctx, cancel := context.WithCancel(context.Background())
	for _, kind := range f.kinds {
		if err := startFilter(n, "calls "+kind, f.calls[kind], func(c call) { f.call(ctx, c) }); err != nil {
			cancel()
			return err
		}
	}
	if err := startFilter(n, "peer calls", f.peerCalls, func(c call) { f.callPeer(ctx, c) }); err != nil {
		cancel()
		return err
	}
	n.onStop(cancel)
	if err := startFilter(n, "follow", f.in, f.handle); err != nil {
		return err
	}
	if err := n.startTimer("audit", func() time.Duration {
		if f.serving.Load() && n.members.watchersBefore() < auditors {
			f.audit(ctx)
		}
		return auditInterval
	}); err != nil {
		return err
	}
	return n.startTimer("follow ticks", func() time.Duration {
		_ = f.in.TryPut(followInput{})
		return followTick
	})
}

// held returns a view for peers.
func (f *following) held(kind string) (tpobject.View, bool) {
	p, ok := f.views[kind]
	if !ok || p.Load() == nil {
		return tpobject.View{}, false
	}
	return *p.Load(), true
}

// hear passes on a peer's marks. A full ring loses them; the next heartbeat
// carries them again.
func (f *following) hear(peer string, marks []tpmessage.ViewMark) {
	_ = f.in.TryPutBelow(followInput{peer: peer, marks: marks}, followInputs/2)
}

func (f *following) handle(in followInput) {
	now := f.node.clock.Now()
	settling := len(f.node.cfg.Seeds) > 0 && now.Sub(f.started) < settleTime
	passive := settling || f.node.members.watchersBefore() >= watchers
	serving := true
	for _, w := range f.followers {
		f.take(now, w, &in)
		w.SetPassive(passive)
		f.next(now, w)
		serving = serving && w.Serving()
	}
	f.serving.Store(serving)
	if list, changed := f.registry.Targets(now); changed {
		f.publishTargets(list)
	}
	if in.marks == nil {
		f.publishMarks(now)
	}
}

// take gives an input to the follower that it is for.
func (f *following) take(now time.Time, w *tpfollow.Follower, in *followInput) {
	for _, m := range in.marks {
		if m.Kind == w.Kind {
			w.Heard(now, in.peer, m)
		}
	}
	if in.kind != w.Kind {
		return
	}
	changed := false
	switch in.action {
	case tpfollow.ActionView:
		changed = w.Viewed(now, in.view, in.err)
	case tpfollow.ActionFollow:
		changed = w.Followed(now, in.changes, in.version, in.err)
	case tpfollow.ActionAudit:
		changed = w.Audited(in.view, in.err)
	case tpfollow.ActionPeer:
		changed = w.Peer(in.view, in.err)
	case tpfollow.ActionNone:
	}
	f.logDependency(w, in)
	v, _ := w.View()
	f.views[w.Kind].Store(&v)
	if changed {
		f.changed(now, w, in)
	}
}

// logDependency writes a line when the platform stops or begins to serve.
func (f *following) logDependency(w *tpfollow.Follower, in *followInput) {
	if in.action == tpfollow.ActionPeer || in.action == tpfollow.ActionAudit {
		return
	}
	failed := in.err != nil
	if failed {
		f.failures.Add(1)
	}
	if failed == f.disturbed[w.Kind] {
		return
	}
	f.disturbed[w.Kind] = failed
	e := f.node.log.Info().Str("event", "storeRegained")
	if failed {
		e = f.node.log.Warn().Str("event", "storeLost").Err(in.err)
	}
	v, _ := w.View()
	e.Str("kind", w.Kind).Uint64("version", v.Version).Send()
}

// next makes the calls that a follower asks for.
func (f *following) next(now time.Time, w *tpfollow.Follower) {
	if a := w.Next(); a.Kind != tpfollow.ActionNone {
		_ = f.calls[w.Kind].Put(call{kind: w.Kind, action: a}) // empty while no call is in progress
	}
	if a := w.NextPeer(now); a.Kind != tpfollow.ActionNone {
		if err := f.peerCalls.TryPut(call{kind: w.Kind, action: a}); err != nil {
			w.Peer(tpobject.View{}, err)
		}
	}
}

// changed puts a new content in force.
func (f *following) changed(now time.Time, w *tpfollow.Follower, in *followInput) {
	n := f.node
	v, _ := w.View()
	source := "store"
	switch in.action {
	case tpfollow.ActionPeer:
		source = in.peer
	case tpfollow.ActionAudit:
		source = "audit"
	}
	if w.Kind == n.deps.Kinds.Config {
		f.configure(v, source)
		return
	}
	list, faults := n.deps.DecodeTargets(v.Objects)
	for _, err := range faults {
		if f.faults[err.Error()] == 0 {
			f.faults[err.Error()] = v.Version
			n.log.Warn().Str("event", "registrationUnreadable").Err(err).Send()
		}
	}
	n.log.Info().Str("event", "registrations").Uint64("version", v.Version).Str("source", source).
		Int("count", len(list)).Bool("disturbed", w.Disturbed(now)).Send()
	f.registry.Set(now, list, w.Disturbed(now))
	f.targetsKnown.Store(true)
}

func (f *following) configure(v tpobject.View, source string) {
	n := f.node
	cfg, err := n.deps.DecodeConfig(v.Objects)
	if err != nil {
		n.log.Warn().Str("event", "configurationUnreadable").Uint64("version", v.Version).Err(err).Send()
		return
	}
	before := uint64(0)
	if t := n.table.Load(); t != nil {
		before = t.Config.Generation
	}
	if cfg.Generation <= before {
		return
	}
	n.table.Store(tproute.NewTable(cfg))
	n.log.Info().Str("event", "configurationInForce").Uint64("generation", cfg.Generation).Uint64("before", before).
		Uint64("version", v.Version).Str("source", source).Int("routes", len(cfg.Routes)).Send()
	_ = n.shift.in.Put(shiftInput{config: cfg})
}

func (f *following) publishTargets(list []tpmessage.RelayTarget) {
	n := f.node
	_ = n.place.in.Put(tpplace.Input{Kind: tpplace.InputTargets, Targets: list})
	_ = n.shift.in.Put(shiftInput{targets: list})
	leaving := 0
	for _, t := range list {
		if t.Draining {
			leaving++
		}
	}
	n.log.Info().Str("event", "targets").Int("count", len(list)).Int("leaving", leaving).Send()
}

func (f *following) publishMarks(now time.Time) {
	var marks []tpmessage.ViewMark
	for _, w := range f.followers {
		if _, known := w.View(); known {
			m := w.Mark()
			m.Disturbed = w.Disturbed(now)
			marks = append(marks, m)
		}
	}
	_ = f.node.members.views.PutDropOldest(marks)
	news := !slices.EqualFunc(marks, f.told, func(a, b tpmessage.ViewMark) bool { return a.Digest == b.Digest })
	f.told = marks
	if news && f.serving.Load() {
		_ = f.node.members.in.TryPut(memberInput{kind: memberPush})
	}
}

// call makes one call to the platform.
func (f *following) call(ctx context.Context, c call) {
	if c.action.Wait > 0 {
		select {
		case <-f.node.clock.After(c.action.Wait):
		case <-ctx.Done():
		}
	}
	in := followInput{action: c.action.Kind, kind: c.kind}
	if c.action.Kind == tpfollow.ActionView {
		in.view, in.err = f.node.deps.Viewer.View(ctx, c.kind)
	} else {
		in.changes, in.version, in.err = f.node.deps.Viewer.Follow(ctx, c.kind, c.action.After)
	}
	if ctx.Err() == nil {
		_ = f.in.Put(in)
	}
}

// audit reads all kinds.
func (f *following) audit(ctx context.Context) {
	for _, w := range f.kinds {
		in := followInput{action: tpfollow.ActionAudit, kind: w}
		in.view, in.err = f.node.deps.Viewer.View(ctx, w)
		if ctx.Err() == nil {
			_ = f.in.TryPut(in)
		}
	}
}

// callPeer asks a peer for a view.
func (f *following) callPeer(ctx context.Context, c call) {
	in := followInput{action: c.action.Kind, kind: c.kind, peer: c.action.Peer}
	in.view, in.err = f.node.members.client.View(ctx, c.action.Peer, c.kind)
	if ctx.Err() == nil {
		_ = f.in.Put(in)
	}
}

func (f *following) variable() expvar.Var {
	return expvar.Func(func() any {
		out := map[string]uint64{"failures": f.failures.Load()}
		for kind, p := range f.views {
			if v := p.Load(); v != nil {
				out[kind] = v.Version
			}
		}
		return out
	})
}
