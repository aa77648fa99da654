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

// Prefix is the prefix of the names of lease objects on the platform.
const Prefix = "lease/"

// ReleaseTimeout is the maximum time for the release of a lease on a planned
// stop. If the platform does not answer in time, the lease expires by itself.
const ReleaseTimeout = 2 * time.Second

// Error is the class of errors of this package.
var Error = errs.Class("lease")

// ErrLost is the error of Confirm if the platform stores another grant.
var ErrLost = errors.New("lease is not held")

// ObjectName returns the name of the lease object for the engines of a pool.
func ObjectName(region, pool string) string { return Prefix + region + "/" + pool }

// Counters counts the platform calls of a Duty and the grants that it obtained.
type Counters struct {
	Reads, Writes, Grants atomic.Uint64
}

// Duty acquires and renews one lease on the platform for this candidate. The
// caller sets the exported fields before Run.
type Duty[T AuthorityPolicy] struct {
	Store tpobject.Store
	Clock tpclock.Clock
	// Rank returns the number of live candidates, not counting the holder, that
	// have precedence over this one for the named lease.
	Rank func(name, holder string) int
	// Sink receives the authority after each change of it.
	Sink func(tpmessage.Authority)
	// Raise receives fencing numbers. The lease then gets a fencing number
	// above the received one. Run reads the ring before each action, so at the
	// latest after Settings.RenewInterval.
	Raise    *tpring.Ring[uint64]
	Counters *Counters

	cfg   Settings
	lease *Lease[T]
}

// NewDuty returns a duty for one lease. Run is its only goroutine.
func NewDuty[T AuthorityPolicy](cfg Settings, policy T) *Duty[T] {
	return &Duty[T]{
		cfg: cfg, lease: New(cfg, policy), Counters: &Counters{},
		Raise: tpring.New[uint64](tpring.Settings{Capacity: 1}),
	}
}

// Run acquires and renews the lease until ctx is done. It then releases the
// lease, which takes at most ReleaseTimeout.
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

// step performs one action. It returns false after the release is complete.
func (d *Duty[T]) step(ctx context.Context) bool {
	if fencing, err := d.Raise.TryTake(); err == nil {
		d.lease.RaiseAbove(fencing)
	}
	d.lease.SetRank(d.Rank(d.cfg.Name, d.lease.Holder()))
	before := d.lease.Authority()
	now := d.setEra()
	a := d.lease.Next(now)
	d.reportChange(before)
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

// setEra passes the era of the store to the lease and returns the time.
func (d *Duty[T]) setEra() time.Time {
	era := tpobject.EraOf(d.Store)
	now := d.Clock.Now()
	d.lease.SetEra(now, era)
	return now
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
	snapshot, err := Read(ctx, d.Store, d.cfg.Name)
	d.lease.Read(d.setEra(), snapshot, err)
	d.reportChange(before)
}

func (d *Duty[T]) write(ctx context.Context, a Action) {
	d.Counters.Writes.Add(1)
	before := d.lease.Authority()
	var version uint64
	value, err := json.Marshal(a.Lease)
	if err == nil {
		version, err = d.Store.Put(ctx, a.Lease.Name, value, a.Version)
	}
	d.lease.Wrote(d.setEra(), version, err)
	d.reportChange(before)
}

// reportChange passes the authority to Sink if it differs from before.
func (d *Duty[T]) reportChange(before tpmessage.Authority) {
	current := d.lease.Authority()
	if current == before {
		return
	}
	if current.Held && (!before.Held || before.Fencing != current.Fencing) {
		d.Counters.Grants.Add(1)
	}
	d.Sink(current)
}

// Read reads a lease object. If the object does not exist, Read returns a zero
// Snapshot and no error.
func Read(ctx context.Context, store tpobject.Store, name string) (Snapshot, error) {
	o, err := store.Get(ctx, name)
	if errors.Is(err, tpobject.ErrNotFound) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{Version: o.Version}
	return snapshot, Error.Wrap(json.Unmarshal(o.Value, &snapshot.Lease))
}

// Confirm reads the lease from the platform. It returns an error that matches
// ErrLost unless the lease is still granted to this process with the given
// fencing number. Confirm is safe for concurrent use. Under a policy that is
// not fenced, it returns nil without a read.
func Confirm[T AuthorityPolicy](ctx context.Context, store tpobject.Store, cfg Settings, policy T, fencing uint64) error {
	if !policy.Fenced() {
		return nil
	}
	snapshot, err := Read(ctx, store, cfg.Name)
	if err != nil {
		return err
	}
	if !cfg.Owns(snapshot.Lease) || snapshot.Lease.Fencing != fencing {
		return Error.New("%w: fencing number %d is held by %q", ErrLost, snapshot.Lease.Fencing, snapshot.Lease.Holder)
	}
	return nil
}
