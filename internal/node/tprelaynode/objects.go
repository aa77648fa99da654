package tprelaynode

import (
	"context"
	"errors"
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
	era, version uint64 // of the store, for the result of a watch
	err          error
	peer         string // address
	viewVersions []tpmessage.ViewVersion
	auditEnded   bool // err is the result of a whole audit, whose views came before
}

// datedVersions are the versions of the node's views at a time of its lease
// clock.
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
		if versions[i].Confirmed {
			versions[i].ConfirmedAge += now.Sub(v.at)
		}
	}
	return versions
}

// fetch is a call to the platform or to a peer, which a duty makes until ctx is
// done.
type fetch struct {
	ctx    context.Context
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
	ctx               context.Context                // done when the node stops
	calls             map[string]*tpring.Ring[fetch] // to the platform, by kind
	interrupt         map[string]context.CancelFunc  // ends the call in progress, by kind
	peerCalls         *tpring.Ring[fetch]
	auditCalls        *tpring.Ring[fetch]
	audits            tpfollow.AuditSchedule
	takeover          bool // the audit in progress replaces those of the auditors
	kinds             []string
	followers         []*tpfollow.Follower
	registry          *tpfollow.Registry
	views             map[string]*atomic.Pointer[tpobject.View]
	targetsKnown      atomic.Bool
	serving           atomic.Bool // the platform serves this node's watches
	publishedVersions []tpmessage.ViewVersion
	failures          atomic.Uint64
	era               atomic.Uint64            // highest era of the store that this node has learnt of
	decodeErrors      map[string]bool          // texts of the decoding errors of the current view, all logged
	unreadable        atomic.Int64             // registrations of the current view that cannot be read
	skipped           map[string]*atomic.Int64 // objects without a readable name in the latest list, by kind
	callsFailing      map[string]bool
	auditsFailing     map[string]bool
	callerLimit       tpfollow.CallerLimit
}

func newObjectFilter(n *Node) *objectFilter {
	f := &objectFilter{
		node:         n,
		in:           tpring.New[followInput](tpring.Settings{Capacity: followRingCapacity}),
		calls:        make(map[string]*tpring.Ring[fetch]),
		interrupt:    make(map[string]context.CancelFunc),
		peerCalls:    tpring.New[fetch](tpring.Settings{Capacity: 4}),
		auditCalls:   tpring.New[fetch](tpring.Settings{Capacity: 1}),
		registry:     tpfollow.NewRegistry(),
		views:        make(map[string]*atomic.Pointer[tpobject.View]),
		skipped:      make(map[string]*atomic.Int64),
		callsFailing: make(map[string]bool), auditsFailing: make(map[string]bool),
	}
	n.deps.Rings.Add("follow", f.in)
	n.deps.Rings.Add("peerCalls", f.peerCalls)
	n.deps.Rings.Add("auditCalls", f.auditCalls)
	f.kinds = []string{n.deps.Kinds.Config, n.deps.Kinds.Targets}
	for _, kind := range f.kinds {
		f.followers = append(f.followers, &tpfollow.Follower{Kind: kind})
		f.views[kind] = &atomic.Pointer[tpobject.View]{}
		f.skipped[kind] = new(atomic.Int64)
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
	f.ctx = ctx
	for _, kind := range f.kinds {
		if err := startFilter(n, "calls "+kind, f.calls[kind], f.fetch); err != nil {
			cancel()
			return err
		}
	}
	if err := startFilter(n, "peer calls", f.peerCalls, f.fetchFromPeer); err != nil {
		cancel()
		return err
	}
	if err := startFilter(n, "audits", f.auditCalls, f.audit); err != nil {
		cancel()
		return err
	}
	n.onStop(cancel)
	if err := startFilter(n, "follow", f.in, f.handle); err != nil {
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
	// The age of a view goes on while the machine is suspended.
	now := f.node.leaseClock.Now()
	f.noteEra(&in)
	running := f.node.clock.Now().Sub(f.node.started)
	rank := tpfollow.Rank{Ahead: f.node.members.rank(watchTask, ""), WatchersAhead: f.node.members.watchersAhead()}
	passive := f.node.joining(running) || f.callerLimit.Passive(now, rank)
	serving := true
	for _, follower := range f.followers {
		f.deliver(now, follower, &in)
		if follower.Kind == f.node.deps.Kinds.Config {
			f.node.access.setConfirmedAt(follower)
		}
		follower.SetPassive(passive)
		follower.PeerInterval = f.peerInterval(running)
		if follower.WatchStalled(now) {
			f.interrupt[follower.Kind]()
		}
		if !passive || f.needsPlatformView(running, follower) {
			f.startPlatformCall(follower)
		}
		f.startPeerCall(now, follower)
		serving = serving && follower.Serving()
	}
	f.setServing(serving)
	f.node.keyUses.expire(now)
	if in.auditEnded {
		f.audits.Done(now, in.err)
	}
	f.startAudit(now, running, rank)
	if list, changed := f.registry.Targets(now); changed {
		f.publishTargets(list)
	}
	if in.viewVersions == nil {
		f.publishViewVersions(now, &in)
	}
}

// noteEra logs a new era of the store, and tells the placement filter to store
// the quarantines again.
func (f *objectFilter) noteEra(in *followInput) {
	era, source := tpobject.EraOf(f.node.deps.Viewer), "store"
	for _, m := range in.viewVersions {
		if m.Era > era {
			era, source = m.Era, in.peer
		}
	}
	if in.view.Era > era {
		era, source = in.view.Era, in.peer
	}
	before := f.era.Load()
	if era <= before {
		return
	}
	f.era.Store(era)
	f.node.log.Warn().Str("event", "storeEra").Uint64("era", era).Uint64("before", before).Str("source", source).Send()
	_ = f.node.placement.newEra.PutDropOldest(era)
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
		changed = follower.HandleWatch(now, in.changes, in.era, in.version, in.err)
	case tpfollow.ActionAudit:
		changed = follower.HandleAudit(now, in.view, in.err)
	case tpfollow.ActionPeer:
		changed = follower.Peer(now, in.view, in.err)
	case tpfollow.ActionNone:
	}
	f.logStoreState(follower, in)
	f.recordSkipped(in)
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
	case tpfollow.ActionWatch:
		if errors.Is(in.err, tpfollow.ErrInterrupted) {
			return
		}
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

// recordSkipped logs a change of the number of objects that a list lacks because
// their names cannot be read.
func (f *objectFilter) recordSkipped(in *followInput) {
	if in.err != nil || in.action != tpfollow.ActionView && in.action != tpfollow.ActionAudit {
		return
	}
	skipped := int64(in.view.Skipped)
	if before := f.skipped[in.kind].Swap(skipped); before != skipped {
		f.node.log.Warn().Str("event", "objectsSkipped").Str("kind", in.kind).Uint64("version", in.view.Version).
			Int64("count", skipped).Int64("before", before).Send()
	}
}

// needsPlatformView reports whether the node calls the platform whatever its rank, because
// it has just started. When the whole region starts, the views of the peers are
// as new as that of the platform.
func (f *objectFilter) needsPlatformView(running time.Duration, follower *tpfollow.Follower) bool {
	if !f.node.cfg.Bootstrap {
		return follower.NeedsPlatformView()
	}
	_, known := follower.View()
	return !known && running >= bootstrapViewDelay
}

// peerInterval returns the shortest time between two reads of a peer's view.
func (f *objectFilter) peerInterval(running time.Duration) time.Duration {
	if f.node.cfg.Bootstrap && running < bootstrapPeriod {
		return bootstrapPeerInterval
	}
	return 0
}

// startPlatformCall passes the call to the platform that a follower asks for to
// the calls duty.
func (f *objectFilter) startPlatformCall(follower *tpfollow.Follower) {
	a := follower.Next()
	if a.Kind == tpfollow.ActionNone {
		return
	}
	if interrupt := f.interrupt[follower.Kind]; interrupt != nil {
		interrupt() // releases the context of the last call
	}
	ctx, interrupt := context.WithCancel(f.ctx)
	f.interrupt[follower.Kind] = interrupt
	_ = f.calls[follower.Kind].Put(fetch{ctx: ctx, kind: follower.Kind, action: a}) // the ring is empty while no call is in progress
}

// startPeerCall passes the call to a peer that a follower asks for to the peer
// calls duty.
func (f *objectFilter) startPeerCall(now time.Time, follower *tpfollow.Follower) {
	if a := follower.NextPeer(now); a.Kind != tpfollow.ActionNone {
		if err := f.peerCalls.TryPut(fetch{ctx: f.ctx, kind: follower.Kind, action: a}); err != nil {
			follower.Peer(now, tpobject.View{}, err)
		}
	}
}

// startAudit starts an audit if one is due. While calls fail that the node
// repeats anyway, an audit would only add one. When a region starts, the nodes
// have views before any of them watches.
func (f *objectFilter) startAudit(now time.Time, running time.Duration, rank tpfollow.Rank) {
	freshness := tpfollow.Freshness{
		Auditor: f.serving.Load() && rank.WatchersAhead < tpfollow.MaxAuditors, Ahead: rank.Ahead,
		ReportInterval: time.Duration(f.node.members.reportInterval.Load()),
	}
	for _, follower := range f.followers {
		age, known := follower.Age(now)
		if !known || follower.Failing() {
			return
		}
		freshness.Age = max(freshness.Age, age)
	}
	starting := f.node.cfg.Bootstrap && running < bootstrapPeriod
	if starting && !freshness.Auditor || !f.audits.Start(now, freshness) {
		return
	}
	f.takeover = !freshness.Auditor
	if f.takeover {
		f.node.log.Info().Str("event", "auditTakeover").Int64("ageMs", freshness.Age.Milliseconds()).
			Int("ahead", rank.Ahead).Int("watchersAhead", rank.WatchersAhead).Send()
	}
	_ = f.auditCalls.Put(fetch{ctx: f.ctx, action: tpfollow.Action{Kind: tpfollow.ActionAudit}}) // the ring is empty while no audit is in progress
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
		Int("count", len(list)).Bool("disturbed", follower.Disturbed(now)).Bool("outage", follower.MayHaveLapsed(now)).Send()
	f.registry.SetEra(v.Era)
	f.registry.Set(now, list, follower.MayHaveLapsed(now))
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
	f.unreadable.Store(int64(len(decodeErrors)))
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
	n.warnBodyLimit(cfg.Limits.MaxBodyBytes)
	n.logOrganisations(cfg)
	n.updateKeyUses()
	_ = n.roles.in.Put(roleInput{config: cfg})
	n.scale.setConfig(cfg)
}

func (f *objectFilter) publishTargets(list []tpmessage.RelayTarget) {
	n := f.node
	_ = n.placement.in.Put(tpplace.Input{Kind: tpplace.InputTargets, Targets: list})
	_ = n.roles.in.Put(roleInput{targets: list})
	n.scale.setTargets(list)
	leaving := 0
	for _, t := range list {
		if t.Draining {
			leaving++
		}
	}
	n.log.Info().Str("event", "targets").Int("count", len(list)).Int("leaving", leaving).Send()
}

// publishViewVersions passes the view versions to the membership filter. The
// collectors hear at once of an audit. All members hear of content that the
// platform has sent, and of an audit for which others may be waiting as well.
func (f *objectFilter) publishViewVersions(now time.Time, in *followInput) {
	var viewVersions []tpmessage.ViewVersion
	for _, w := range f.followers {
		if _, known := w.View(); known {
			viewVersions = append(viewVersions, w.Mark(now))
		}
	}
	_ = f.node.members.newViewVersions.PutDropOldest(datedVersions{versions: viewVersions, at: now})
	contentChanged := !slices.EqualFunc(viewVersions, f.publishedVersions, func(a, b tpmessage.ViewVersion) bool { return a.Digest == b.Digest })
	f.publishedVersions = viewVersions
	audited := in.auditEnded && in.err == nil
	switch {
	case contentChanged && (f.serving.Load() || in.action == tpfollow.ActionAudit), audited && f.takeover:
		_ = f.node.members.in.TryPut(memberInput{kind: memberViewChanged})
	case audited:
		_ = f.node.members.in.TryPut(memberInput{kind: memberConfirmed})
	}
}

// fetch makes one call to the platform, after the delay that the action sets.
func (f *objectFilter) fetch(c fetch) {
	if c.action.Delay > 0 {
		select {
		case <-f.node.clock.After(c.action.Delay):
		case <-c.ctx.Done():
		}
	}
	in := followInput{action: c.action.Kind, kind: c.kind}
	if c.action.Kind == tpfollow.ActionView {
		in.view, in.err = f.readAll(c.ctx, c.kind)
	} else {
		in.era = tpobject.EraOf(f.node.deps.Viewer)
		in.changes, in.version, in.err = f.node.deps.Viewer.Follow(c.ctx, c.kind, c.action.After)
		if in.err == nil && tpobject.EraOf(f.node.deps.Viewer) != in.era {
			in.err = tpobject.ErrHistoryGone // the changes may be of either era
		}
		if c.ctx.Err() != nil {
			in.err = tpfollow.ErrInterrupted
		}
	}
	if f.ctx.Err() == nil {
		_ = f.in.Put(in)
	}
}

// readAll reads all objects of a kind from the platform.
func (f *objectFilter) readAll(ctx context.Context, kind string) (tpobject.View, error) {
	readAt := f.node.leaseClock.Now()
	v, err := f.node.deps.Viewer.View(ctx, kind)
	v.ReadAt = readAt
	return v, err
}

// audit reads all objects of every kind from the platform. A platform that does
// not serve one kind counts as failed for all, without a call for each.
func (f *objectFilter) audit(c fetch) {
	var err error
	for _, kind := range f.kinds {
		in := followInput{action: tpfollow.ActionAudit, kind: kind}
		if err == nil {
			in.view, err = f.readAll(c.ctx, kind)
		}
		in.err = err
		if f.ctx.Err() == nil {
			_ = f.in.Put(in)
		}
	}
	if f.ctx.Err() == nil {
		_ = f.in.Put(followInput{action: tpfollow.ActionAudit, auditEnded: true, err: err})
	}
}

// fetchFromPeer reads a view from a peer.
func (f *objectFilter) fetchFromPeer(c fetch) {
	in := followInput{action: c.action.Kind, kind: c.kind, peer: c.action.Peer}
	in.view, in.err = f.node.members.client.View(c.ctx, c.action.Peer, c.kind)
	if f.ctx.Err() == nil {
		_ = f.in.Put(in)
	}
}

func (f *objectFilter) metricsVar() expvar.Var {
	return expvar.Func(func() any {
		out := map[string]uint64{
			"failures": f.failures.Load(), "era": f.era.Load(), "unreadableRegistrations": uint64(max(0, f.unreadable.Load())),
		}
		for kind, p := range f.views {
			if v := p.Load(); v != nil {
				out[kind] = v.Version
			}
			out[kind+"Skipped"] = uint64(max(0, f.skipped[kind].Load()))
		}
		return out
	})
}
