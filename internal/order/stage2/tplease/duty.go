package tplease

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/pkg/tpclock"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// Prefix is the first part of the names of lease objects.
const Prefix = "lease/"

// ReleaseTimeout bounds the release of a lease on a planned stop. Without an
// answer in time the lease expires by itself.
const ReleaseTimeout = 2 * time.Second

// Error is the class of errors of this package.
var Error = errs.Class("lease")

// ErrLost is returned by Confirm if the platform shows another grant.
var ErrLost = errors.New("lease is not held")

// ObjectName returns the name of the lease over the engines of a pool.
func ObjectName(region, pool string) string { return Prefix + region + "/" + pool }

// Counters counts the platform calls of a duty.
type Counters struct {
	Reads, Writes, Grants atomic.Uint64
}

// Duty runs one lease against the platform. Its fields are set before Run.
type Duty[T Trust] struct {
	Store tpobject.Store
	Clock tpclock.Clock
	// Rank returns the number of live candidates, other than the holder, that
	// should try before this one.
	Rank func(name, holder string) int
	// Sink receives the authority after each change.
	Sink func(tpmessage.Authority)
	// Raise receives fencing numbers above which the lease's own is to rise.
	// It is looked at before each action, so at the latest after Renew.
	Raise    *tpring.Ring[uint64]
	Counters *Counters

	cfg   Settings
	lease *Lease[T]
}

// NewDuty returns a duty for one lease. Run is its only goroutine.
func NewDuty[T Trust](cfg Settings, trust T) *Duty[T] {
	return &Duty[T]{
		cfg: cfg, lease: New(cfg, trust), Counters: &Counters{},
		Raise: tpring.New[uint64](tpring.Settings{Capacity: 1}),
	}
}

// Run keeps or competes for the lease until ctx is done, then releases it.
func (d *Duty[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.step(ctx)
	}
	d.lease.Release()
	d.Sink(d.lease.Authority())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ReleaseTimeout)
	defer cancel()
	for ctx.Err() == nil && d.step(ctx) {
	}
}

// step performs one action. It returns false once the lease has ended.
func (d *Duty[T]) step(ctx context.Context) bool {
	if fencing, err := d.Raise.TryTake(); err == nil {
		d.lease.RaiseAbove(fencing)
	}
	d.lease.SetRank(d.Rank(d.cfg.Name, d.lease.Holder()))
	now := d.Clock.Now()
	a := d.lease.Next(now)
	switch a.Kind {
	case ActionWait:
		d.wait(ctx, a.At.Sub(now))
	case ActionRead:
		d.read(ctx)
	case ActionWrite:
		d.write(ctx, a)
	case ActionEnd:
		return false
	}
	return true
}

func (d *Duty[T]) wait(ctx context.Context, delay time.Duration) {
	select {
	case <-d.Clock.After(delay):
	case <-ctx.Done():
	}
}

func (d *Duty[T]) read(ctx context.Context) {
	d.Counters.Reads.Add(1)
	before := d.lease.Authority()
	seen, err := Read(ctx, d.Store, d.cfg.Name)
	d.lease.Read(d.Clock.Now(), seen, err)
	d.report(before)
}

func (d *Duty[T]) write(ctx context.Context, a Action) {
	d.Counters.Writes.Add(1)
	before := d.lease.Authority()
	var version uint64
	value, err := json.Marshal(a.Lease)
	if err == nil {
		version, err = d.Store.Put(ctx, a.Lease.Name, value, a.Version)
	}
	d.lease.Wrote(d.Clock.Now(), version, err)
	d.report(before)
}

// report passes on an authority that has changed.
func (d *Duty[T]) report(before tpmessage.Authority) {
	now := d.lease.Authority()
	if now == before {
		return
	}
	if now.Held && (!before.Held || before.Fencing != now.Fencing) {
		d.Counters.Grants.Add(1)
	}
	d.Sink(now)
}

// Read reads a lease object. A missing object is a zero Seen and no error.
func Read(ctx context.Context, store tpobject.Store, name string) (Seen, error) {
	o, err := store.Get(ctx, name)
	if errors.Is(err, tpobject.ErrNotFound) {
		return Seen{}, nil
	}
	if err != nil {
		return Seen{}, err
	}
	seen := Seen{Version: o.Version}
	return seen, Error.Wrap(json.Unmarshal(o.Value, &seen.Lease))
}

// Confirm reads the lease from the platform and returns ErrLost unless it is
// still the grant of that fencing number to this process. It may be called
// from any goroutine. The naive policy trusts the caller instead.
func Confirm[T Trust](ctx context.Context, store tpobject.Store, cfg Settings, trust T, fencing uint64) error {
	if !trust.Fenced() {
		return nil
	}
	seen, err := Read(ctx, store, cfg.Name)
	if err != nil {
		return err
	}
	if !cfg.Owns(seen.Lease) || seen.Lease.Fencing != fencing {
		return Error.New("%w: fencing number %d is held by %q", ErrLost, seen.Lease.Fencing, seen.Lease.Holder)
	}
	return nil
}
