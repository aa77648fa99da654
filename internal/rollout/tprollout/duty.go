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
	// announcementRingCapacity is the capacity of the announcements ring in
	// inputs. A full ring drops the oldest input. If that is the result of an
	// action, the action counts as failed after ActionTimeout.
	announcementRingCapacity = 16
	// TickInterval is the interval at which the follower receives the members.
	TickInterval = 500 * time.Millisecond
)

// Peers fetches configuration parts from other nodes.
type Peers interface {
	// Parts returns the head of the peer at address and the parts that have
	// changed since the given generation.
	Parts(ctx context.Context, address string, generation uint64) (Held, error)
}

// Settings configures a Rollout.
type Settings struct {
	Follower FollowerSettings
	Store    tpobject.Store // nil for a node without a platform
	Peers    Peers
	Clock    tpclock.Clock
	// Members returns the live members, this node first.
	Members func() []tpmessage.Member
	// Apply puts a configuration into force. The rollout filter calls it.
	Apply func(*tpmessage.Snapshot)
}

// Rollout consists of the rings and duties that follow the accepted
// configuration on one node:
//
//	watch, heartbeats, ticks -> announcements ring -> rollout filter -> actions ring -> fetch duty
//
// The fetch duty puts its results into the announcements ring.
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
	// cancelWatch ends the current watch. Only the rollout filter uses it.
	cancelWatch  context.CancelFunc
	actionBuffer []Action
	joiner       joiner // used only by the fetch duty
}

// Start starts the duties and adds their rings to rings. The clean-up function
// stops the duties. If a duty does not start, Start stops the others and
// returns the error.
func Start[P Acceptance](cfg Settings, policy P, duties *tpduty.Runner, rings *tpring.Group) (*Rollout, func(), error) {
	cfg.Follower.Platform = cfg.Store != nil
	r := &Rollout{
		cfg:     cfg,
		in:      tpring.New[Input](tpring.Settings{Capacity: announcementRingCapacity}),
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
			return tpduty.StartFilter(duties, "rollout", r.in, func(in Input) { handle(r, follower, in) })
		},
		func() (func(), error) { return tpduty.StartFilter(duties, "rollout fetch", r.actions, r.fetch) },
		func() (func(), error) { return tpduty.StartFilter(duties, "rollout watch", r.watches, r.watch) },
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

// Announce passes a peer's entry from its heartbeat to the follower. The peer
// holds m.Generation.
func (r *Rollout) Announce(m tpmessage.Member) { r.put(Input{Kind: InputAnnounced, Member: m}) }

// Held returns the configuration that is in force on the node and served to
// peers.
func (r *Rollout) Held() Held { return *r.held.Load() }

// Accepted returns the highest accepted generation that the node knows.
func (r *Rollout) Accepted() uint64 { return r.accepted.Load() }

// Watching reports whether the platform answers this node's watch of the head.
func (r *Rollout) Watching() bool { return r.watching.Load() }

func (r *Rollout) put(in Input) { _ = r.in.PutDropOldest(in) }

// handle is the rollout filter: it passes an input to the follower and performs
// the actions or passes them to the other duties.
func handle[P Acceptance](r *Rollout, f *Follower[P], in Input) {
	r.actionBuffer = f.Step(r.cfg.Clock.Now(), in, r.actionBuffer[:0])
	r.accepted.Store(f.Accepted())
	r.watching.Store(f.Watching())
	for _, a := range r.actionBuffer {
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
			// One action runs at a time, so only an action that has timed out
			// can still be in the ring.
			_ = r.actions.PutDropOldest(a)
		}
	}
}

func (r *Rollout) tick() {
	for r.ctx.Err() == nil {
		r.put(Input{Kind: InputTick, Members: r.cfg.Members()})
		r.wait(r.ctx, TickInterval)
	}
}

func (r *Rollout) wait(ctx context.Context, d time.Duration) {
	select {
	case <-r.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

// fetch performs one action of the fetch duty and reports its result.
func (r *Rollout) fetch(a Action) {
	in, err := r.perform(a)
	if err != nil {
		in = Input{Kind: InputFailed}
	}
	r.put(in)
}

func (r *Rollout) perform(a Action) (Input, error) {
	switch a.Kind {
	case ActionReadHead:
		head, _, err := ReadHead(r.ctx, r.cfg.Store)
		return Input{Kind: InputHead, Head: head}, err
	case ActionFetchPeer:
		received, err := r.cfg.Peers.Parts(r.ctx, a.Address, a.Since)
		if err != nil {
			return Input{}, err
		}
		held, err := Complete(received, a.Held)
		if err != nil {
			return Input{}, err
		}
		return r.fetchedInput(held)
	default:
		held, err := ReadParts(r.ctx, r.cfg.Store, a.Head, a.Held)
		if err != nil {
			return Input{}, err
		}
		return r.fetchedInput(held)
	}
}

func (r *Rollout) fetchedInput(held Held) (Input, error) {
	cfg, err := r.joiner.join(held)
	if err != nil {
		return Input{}, err
	}
	s := &tpmessage.Snapshot{Generation: held.Head.Generation, Config: cfg}
	return Input{Kind: InputFetched, Held: held, Snapshot: s}, nil
}

// watch watches the head on the platform until ctx is done.
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
			r.wait(ctx, RetryDelay)
		}
	}
}
