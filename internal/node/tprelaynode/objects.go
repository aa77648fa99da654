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
	// followRingCapacity is the number of call results and view versions that
	// wait for the filter.
	followRingCapacity = 64
	// followTickInterval is the interval at which the filter checks for lapsed
	// registrations and for peers with a newer view.
	followTickInterval = 100 * time.Millisecond
	// auditInterval is the time between two full reads of all kinds by an
	// auditor. A change that no watch reported is then in force on all nodes
	// within two seconds: 700 ms here, 300 ms of heartbeats, 250 ms of calls.
	auditInterval = 700 * time.Millisecond
	// maxAuditors is the number of watching nodes that also audit.
	maxAuditors = 2
	// bootstrapViewDelay is the time for which a node waits for a view from a
	// peer before it reads it from the platform, when the whole region starts
	// for the first time. There are no requests yet, and the seeds may start
	// some hundred milliseconds later than the others.
	bootstrapViewDelay = 1500 * time.Millisecond
	// bootstrapPeriod is the time after the first start of a region in which all
	// engines register and many change their role, but no requests arrive. A
	// node then reads the view of a peer only every bootstrapPeerInterval.
	bootstrapPeriod       = 8 * time.Second
	bootstrapPeerInterval = 500 * time.Millisecond
	// firstContactDelay is the time after its start in which a node that is not
	// a seed leaves all calls to the platform to others. Until the members know
	// each other, every node ranks first.
	firstContactDelay = 1500 * time.Millisecond
	// watchTask is the task name that the ranking of the watchers hashes.
	watchTask = "watch"
)

// followInput is the result of a call, the view versions of a peer, or a tick,
// which has no field set.
type followInput struct {
	action       tpfollow.ActionKind // of the call with this result
	kind         string              // kind of the objects
	view         tpobject.View
	changes      []tpobject.Change
	version      uint64 // of the store
	err          error
	peer         string // address
	viewVersions []tpmessage.ViewVersion
}

// datedVersions are the versions of the node's views at a time.
type datedVersions struct {
	versions []tpmessage.ViewVersion
	at       time.Time
}

// ageTo returns the versions as of a later time.
func (v datedVersions) ageTo(now time.Time) []tpmessage.ViewVersion {
	versions := slices.Clone(v.versions)
	for i := range versions {
		if versions[i].Disturbed {
			versions[i].DisturbedAge += now.Sub(v.at)
		}
	}
	return versions
}

// fetch is a call to the platform or to a peer, which a duty makes.
type fetch struct {
	kind   string
	action tpfollow.Action
}

// objectFilter holds the rings and the state of the filter that keeps a copy of
// the platform's objects:
//
//	platform, peers, ticks -> follow ring -> follow -> calls rings -> callers
type objectFilter struct {
	node              *Node
	in                *tpring.Ring[followInput]
	calls             map[string]*tpring.Ring[fetch] // to the platform, by kind
	peerCalls         *tpring.Ring[fetch]
	kinds             []string
	followers         []*tpfollow.Follower
	registry          *tpfollow.Registry
	views             map[string]*atomic.Pointer[tpobject.View]
	targetsKnown      atomic.Bool
	serving           atomic.Bool // the platform serves this node's watches
	publishedVersions []tpmessage.ViewVersion
	failures          atomic.Uint64
	decodeErrors      map[string]bool // texts of the decoding errors of the current view, all logged
	callsFailing      map[string]bool
	auditsFailing     map[string]bool
	callerLimit       tpfollow.CallerLimit
}

func newObjectFilter(n *Node) *objectFilter {
	f := &objectFilter{
		node:         n,
		in:           tpring.New[followInput](tpring.Settings{Capacity: followRingCapacity}),
		calls:        make(map[string]*tpring.Ring[fetch]),
		peerCalls:    tpring.New[fetch](tpring.Settings{Capacity: 4}),
		registry:     tpfollow.NewRegistry(),
		views:        make(map[string]*atomic.Pointer[tpobject.View]),
		callsFailing: make(map[string]bool), auditsFailing: make(map[string]bool),
	}
	n.deps.Rings.Add("follow", f.in)
	n.deps.Rings.Add("peerCalls", f.peerCalls)
	f.kinds = []string{n.deps.Kinds.Config, n.deps.Kinds.Targets}
	for _, kind := range f.kinds {
		f.followers = append(f.followers, &tpfollow.Follower{Kind: kind})
		f.views[kind] = &atomic.Pointer[tpobject.View]{}
		f.calls[kind] = tpring.New[fetch](tpring.Settings{Capacity: 1})
	}
	// Each kind has its own ring, so that a watch of one kind does not delay
	// calls for the other.
	n.deps.Rings.Add("configCalls", f.calls[n.deps.Kinds.Config])
	n.deps.Rings.Add("targetCalls", f.calls[n.deps.Kinds.Targets])
	return f
}

func (n *Node) startObjects() error {
	f := n.objects
	ctx, cancel := context.WithCancel(context.Background())
	for _, kind := range f.kinds {
		if err := startFilter(n, "calls "+kind, f.calls[kind], func(c fetch) { f.fetch(ctx, c) }); err != nil {
			cancel()
			return err
		}
	}
	if err := startFilter(n, "peer calls", f.peerCalls, func(c fetch) { f.fetchFromPeer(ctx, c) }); err != nil {
		cancel()
		return err
	}
	n.onStop(cancel)
	if err := startFilter(n, "follow", f.in, f.handle); err != nil {
		return err
	}
	if err := n.startTimer("audit", func() time.Duration {
		if f.serving.Load() && n.members.watchersAhead() < maxAuditors {
			f.audit(ctx)
		}
		return auditInterval
	}); err != nil {
		return err
	}
	return n.startTimer("follow ticks", func() time.Duration {
		_ = f.in.TryPut(followInput{})
		return followTickInterval
	})
}

// heldView returns the node's copy of a kind, which peers may read. It returns
// false if the node has none yet.
func (f *objectFilter) heldView(kind string) (tpobject.View, bool) {
	p, ok := f.views[kind]
	if !ok || p.Load() == nil {
		return tpobject.View{}, false
	}
	return *p.Load(), true
}

// receiveViewVersions passes the view versions of a peer to the filter. A ring
// that is half full discards them; the next heartbeat carries them again.
func (f *objectFilter) receiveViewVersions(peer string, viewVersions []tpmessage.ViewVersion) {
	_ = f.in.TryPutBelow(followInput{peer: peer, viewVersions: viewVersions}, followRingCapacity/2)
}

func (f *objectFilter) handle(in followInput) {
	now := f.node.clock.Now()
	passive := f.node.joining(now) || f.callerLimit.Passive(now, tpfollow.Rank{
		Ahead: f.node.members.rank(watchTask, ""), WatchersAhead: f.node.members.watchersAhead(),
	})
	serving := true
	for _, follower := range f.followers {
		f.deliver(now, follower, &in)
		follower.SetPassive(passive)
		follower.PeerInterval = f.peerInterval(now)
		if !passive || f.needsPlatformView(now, follower) {
			f.startPlatformCall(follower)
		}
		f.startPeerCall(now, follower)
		serving = serving && follower.Serving()
	}
	f.setServing(serving)
	if list, changed := f.registry.Targets(now); changed {
		f.publishTargets(list)
	}
	if in.viewVersions == nil {
		f.publishViewVersions(now)
	}
}

// deliver passes an input to a follower if it concerns the follower's kind.
func (f *objectFilter) deliver(now time.Time, follower *tpfollow.Follower, in *followInput) {
	for _, m := range in.viewVersions {
		if m.Kind == follower.Kind {
			follower.HandlePeerVersion(now, in.peer, m)
		}
	}
	if in.kind != follower.Kind {
		return
	}
	changed := false
	switch in.action {
	case tpfollow.ActionView:
		changed = follower.HandleView(now, in.view, in.err)
	case tpfollow.ActionWatch:
		changed = follower.HandleWatch(now, in.changes, in.version, in.err)
	case tpfollow.ActionAudit:
		changed = follower.HandleAudit(in.view, in.err)
	case tpfollow.ActionPeer:
		changed = follower.Peer(in.view, in.err)
	case tpfollow.ActionNone:
	}
	f.logStoreState(follower, in)
	v, _ := follower.View()
	f.views[follower.Kind].Store(&v)
	if changed {
		f.changed(now, follower, in)
	}
}

// setServing records whether the platform serves this node's watches, and logs
// a change of it.
func (f *objectFilter) setServing(serving bool) {
	if f.serving.Swap(serving) == serving {
		return
	}
	f.node.log.Info().Str("event", "watching").Bool("served", serving).
		Int("ahead", f.node.members.rank(watchTask, "")).Int("watchersAhead", f.node.members.watchersAhead()).Send()
}

// logStoreState counts a failed call. It logs when the calls for a kind, or the
// audits of it, begin to fail or succeed again.
func (f *objectFilter) logStoreState(follower *tpfollow.Follower, in *followInput) {
	lost, regained, failing := "storeLost", "storeRegained", f.callsFailing
	switch in.action {
	case tpfollow.ActionPeer:
		return
	case tpfollow.ActionAudit:
		lost, regained, failing = "auditLost", "auditRegained", f.auditsFailing
	}
	failed := in.err != nil
	if failed {
		f.failures.Add(1)
	}
	if failed == failing[follower.Kind] {
		return
	}
	failing[follower.Kind] = failed
	e := f.node.log.Info().Str("event", regained)
	if failed {
		e = f.node.log.Warn().Str("event", lost).Err(in.err)
	}
	v, _ := follower.View()
	e.Str("kind", follower.Kind).Uint64("version", v.Version).Send()
}

// needsPlatformView reports whether the node calls the platform whatever its rank, because
// it has just started. When the whole region starts, the views of the peers are
// as new as that of the platform.
func (f *objectFilter) needsPlatformView(now time.Time, follower *tpfollow.Follower) bool {
	if !f.node.cfg.Bootstrap {
		return follower.NeedsPlatformView()
	}
	_, known := follower.View()
	return !known && now.Sub(f.node.started) >= bootstrapViewDelay
}

// peerInterval returns the shortest time between two reads of a peer's view.
func (f *objectFilter) peerInterval(now time.Time) time.Duration {
	if f.node.cfg.Bootstrap && now.Sub(f.node.started) < bootstrapPeriod {
		return bootstrapPeerInterval
	}
	return 0
}

// startPlatformCall passes the call to the platform that a follower asks for to
// the calls duty.
func (f *objectFilter) startPlatformCall(follower *tpfollow.Follower) {
	if a := follower.Next(); a.Kind != tpfollow.ActionNone {
		_ = f.calls[follower.Kind].Put(fetch{kind: follower.Kind, action: a}) // the ring is empty while no call is in progress
	}
}

// startPeerCall passes the call to a peer that a follower asks for to the peer
// calls duty.
func (f *objectFilter) startPeerCall(now time.Time, follower *tpfollow.Follower) {
	if a := follower.NextPeer(now); a.Kind != tpfollow.ActionNone {
		if err := f.peerCalls.TryPut(fetch{kind: follower.Kind, action: a}); err != nil {
			follower.Peer(tpobject.View{}, err)
		}
	}
}

// changed decodes a changed view and puts its content in force.
func (f *objectFilter) changed(now time.Time, follower *tpfollow.Follower, in *followInput) {
	n := f.node
	v, _ := follower.View()
	source := "store"
	switch in.action {
	case tpfollow.ActionPeer:
		source = in.peer
	case tpfollow.ActionAudit:
		source = "audit"
	}
	if follower.Kind == n.deps.Kinds.Config {
		f.applyConfig(v, source)
		return
	}
	list, decodeErrors := n.deps.DecodeTargets(v.Objects)
	f.logDecodeErrors(v.Version, decodeErrors)
	n.log.Info().Str("event", "registrations").Uint64("version", v.Version).Str("source", source).
		Int("count", len(list)).Bool("disturbed", follower.Disturbed(now)).Send()
	f.registry.Set(now, list, follower.Disturbed(now))
	f.targetsKnown.Store(true)
}

// logDecodeErrors logs the errors that the view before did not have.
func (f *objectFilter) logDecodeErrors(version uint64, decodeErrors []error) {
	current := make(map[string]bool, len(decodeErrors))
	for _, err := range decodeErrors {
		text := err.Error()
		if !f.decodeErrors[text] && !current[text] {
			f.node.log.Warn().Str("event", "registrationUnreadable").Uint64("version", version).Err(err).Send()
		}
		current[text] = true
	}
	f.decodeErrors = current
}

func (f *objectFilter) applyConfig(v tpobject.View, source string) {
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
	_ = n.roles.in.Put(roleInput{config: cfg})
}

func (f *objectFilter) publishTargets(list []tpmessage.RelayTarget) {
	n := f.node
	_ = n.placement.in.Put(tpplace.Input{Kind: tpplace.InputTargets, Targets: list})
	_ = n.roles.in.Put(roleInput{targets: list})
	leaving := 0
	for _, t := range list {
		if t.Draining {
			leaving++
		}
	}
	n.log.Info().Str("event", "targets").Int("count", len(list)).Int("leaving", leaving).Send()
}

func (f *objectFilter) publishViewVersions(now time.Time) {
	var viewVersions []tpmessage.ViewVersion
	for _, w := range f.followers {
		if _, known := w.View(); known {
			m := w.CurrentVersion()
			m.Disturbed, m.DisturbedAge = w.Disturbance(now)
			viewVersions = append(viewVersions, m)
		}
	}
	_ = f.node.members.newViewVersions.PutDropOldest(datedVersions{versions: viewVersions, at: now})
	contentChanged := !slices.EqualFunc(viewVersions, f.publishedVersions, func(a, b tpmessage.ViewVersion) bool { return a.Digest == b.Digest })
	f.publishedVersions = viewVersions
	if contentChanged && f.serving.Load() {
		_ = f.node.members.in.TryPut(memberInput{kind: memberViewChanged})
	}
}

// fetch makes one call to the platform, after the delay that the action sets.
func (f *objectFilter) fetch(ctx context.Context, c fetch) {
	if c.action.Delay > 0 {
		select {
		case <-f.node.clock.After(c.action.Delay):
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

// audit reads all objects of every kind from the platform. A full ring discards
// the result; the next audit reads it again.
func (f *objectFilter) audit(ctx context.Context) {
	for _, kindName := range f.kinds {
		in := followInput{action: tpfollow.ActionAudit, kind: kindName}
		in.view, in.err = f.node.deps.Viewer.View(ctx, kindName)
		if ctx.Err() == nil {
			_ = f.in.TryPut(in)
		}
	}
}

// fetchFromPeer reads a view from a peer.
func (f *objectFilter) fetchFromPeer(ctx context.Context, c fetch) {
	in := followInput{action: c.action.Kind, kind: c.kind, peer: c.action.Peer}
	in.view, in.err = f.node.members.client.View(ctx, c.action.Peer, c.kind)
	if ctx.Err() == nil {
		_ = f.in.Put(in)
	}
}

func (f *objectFilter) metricsVar() expvar.Var {
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
