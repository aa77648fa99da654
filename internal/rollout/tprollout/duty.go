package tprollout

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// announcementRing is the capacity of the ring of announcements, which
	// drops the oldest. A lost result is given up after ActionTimeout.
	announcementRing = 16
	// TickInterval is the time between two looks at the members.
	TickInterval = 500 * time.Millisecond
)

// Peers fetches from other nodes.
type Peers interface {
	// Parts returns the head that the peer holds, and the parts that have
	// changed since a generation.
	Parts(ctx context.Context, address string, generation uint64) (Held, error)
}

// Settings configures a Rollout.
type Settings struct {
	Follower FollowerSettings
	Store    tpobject.Store // nil without a platform
	Peers    Peers
	Clock    tpclock.Clock
	// Members returns the live members, this node first.
	Members func() []tpmessage.Member
	// Apply puts a configuration in force. The rollout filter calls it.
	Apply func(*tpmessage.Snapshot)
}

// Rollout holds the rings and duties that follow the accepted configuration
// on one node:
//
//	watch, heartbeats, ticks -> announcements ring -> rollout filter -> actions ring -> fetch duty
//
// The fetch duty's results return on the announcements ring.
type Rollout struct {
	cfg      Settings
	in       *tpring.Ring[Input]
	actions  *tpring.Ring[Action]
	watches  *tpring.Ring[context.Context]
	held     atomic.Pointer[Held]
	accepted atomic.Uint64
	watching atomic.Bool
	ctx      context.Context // done when the node stops
	cancel   context.CancelFunc
	// cancelWatch ends the present watch; it belongs to the rollout filter.
	cancelWatch context.CancelFunc
	scratch     []Action
	joiner      joiner // belongs to the fetch duty
}

// Start starts the duties. The clean-up function ends them.
func Start[P Acceptance](cfg Settings, policy P, duties *tpduty.Runner, rings *tpring.Group) (*Rollout, func(), error) {
	cfg.Follower.Platform = cfg.Store != nil
	r := &Rollout{
		cfg:     cfg,
		in:      tpring.New[Input](tpring.Settings{Capacity: announcementRing}),
		actions: tpring.New[Action](tpring.Settings{Capacity: 1}),
		watches: tpring.New[context.Context](tpring.Settings{Capacity: 1}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.held.Store(&Held{})
	rings.Add("announcements", r.in)
	rings.Add("rolloutActions", r.actions)
	follower := NewFollower(policy, cfg.Follower)
	var cleanups []func()
	stop := func() {
		r.cancel()
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	steps := []func() (func(), error){
		func() (func(), error) {
			return tpduty.Filter(duties, "rollout", r.in, func(in Input) { handle(r, follower, in) })
		},
		func() (func(), error) { return tpduty.Filter(duties, "rollout fetch", r.actions, r.fetch) },
		func() (func(), error) { return tpduty.Filter(duties, "rollout watch", r.watches, r.watch) },
		func() (func(), error) { return duties.Go("rollout ticks", r.tick) },
	}
	for _, step := range steps {
		cleanup, err := step()
		if err != nil {
			stop()
			return nil, nil, err
		}
		cleanups = append(cleanups, cleanup)
	}
	return r, stop, nil
}

// Announce passes on that a peer holds a generation.
func (r *Rollout) Announce(m tpmessage.Member) { r.put(Input{Kind: InputAnnounced, Member: m}) }

// Held returns what the node has in force and serves to peers.
func (r *Rollout) Held() Held { return *r.held.Load() }

// Accepted returns the highest generation that the node knows to be accepted.
func (r *Rollout) Accepted() uint64 { return r.accepted.Load() }

// Watching reports whether the platform answers this node's watch of the head.
func (r *Rollout) Watching() bool { return r.watching.Load() }

func (r *Rollout) put(in Input) { _ = r.in.PutDropOldest(in) }

// handle is the rollout filter.
func handle[P Acceptance](r *Rollout, f *Follower[P], in Input) {
	r.scratch = f.Step(r.cfg.Clock.Now(), in, r.scratch[:0])
	r.accepted.Store(f.Accepted())
	r.watching.Store(f.Watching())
	for _, a := range r.scratch {
		switch a.Kind {
		case ActionApply:
			r.held.Store(&a.Held)
			r.cfg.Apply(a.Snapshot)
		case ActionStartWatch:
			ctx, cancel := context.WithCancel(r.ctx)
			r.cancelWatch = cancel
			_ = r.watches.PutDropOldest(ctx)
		case ActionCancelWatch:
			r.cancelWatch()
		default:
			// One action runs at a time, so only an action that was given up
			// can still be in the ring.
			_ = r.actions.PutDropOldest(a)
		}
	}
}

func (r *Rollout) tick() {
	for r.ctx.Err() == nil {
		r.put(Input{Kind: InputTick, Members: r.cfg.Members()})
		r.pause(r.ctx, TickInterval)
	}
}

func (r *Rollout) pause(ctx context.Context, d time.Duration) {
	select {
	case <-r.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

// fetch is the duty that runs one action.
func (r *Rollout) fetch(a Action) {
	in, err := r.run(a)
	if err != nil {
		in = Input{Kind: InputFailed}
	}
	r.put(in)
}

func (r *Rollout) run(a Action) (Input, error) {
	switch a.Kind {
	case ActionReadHead:
		head, _, err := ReadHead(r.ctx, r.cfg.Store)
		return Input{Kind: InputHead, Head: head}, err
	case ActionFetchPeer:
		got, err := r.cfg.Peers.Parts(r.ctx, a.Address, a.Since)
		if err != nil {
			return Input{}, err
		}
		held, err := Complete(got, a.Held)
		if err != nil {
			return Input{}, err
		}
		return r.fetched(held)
	default:
		held, err := ReadParts(r.ctx, r.cfg.Store, a.Head, a.Held)
		if err != nil {
			return Input{}, err
		}
		return r.fetched(held)
	}
}

func (r *Rollout) fetched(held Held) (Input, error) {
	cfg, err := r.joiner.join(held)
	if err != nil {
		return Input{}, err
	}
	s := &tpmessage.Snapshot{Generation: held.Head.Generation, Config: cfg}
	return Input{Kind: InputFetched, Held: held, Snapshot: s}, nil
}

// watch is the duty that follows the head until ctx is done.
func (r *Rollout) watch(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		changes, err := r.cfg.Store.Watch(ctx, HeadName, version)
		if ctx.Err() != nil {
			return
		}
		in := Input{Kind: InputWatch, OK: err == nil}
		if err == nil && len(changes) > 0 {
			o := changes[len(changes)-1].Object
			version = o.Version
			in.OK = json.Unmarshal(o.Value, &in.Head) == nil
		}
		r.put(in)
		if err != nil {
			r.pause(ctx, RetryDelay)
		}
	}
}
