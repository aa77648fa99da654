package tprelaynode

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"teaselpin.example/teaselpin/internal/relay/tpfollow"
	"teaselpin.example/teaselpin/pkg/tpring"

	"teaselpin.example/teaselpin/internal/guard/tpcrash"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// forgetfulStore is restored from an older copy during its first write, which it
// acknowledges and loses.
type forgetfulStore struct {
	tpobject.Memory
	era atomic.Uint64
}

func (s *forgetfulStore) Era() uint64 { return s.era.Load() }

func (s *forgetfulStore) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	if s.era.Swap(1) == 0 {
		return version + 1, nil
	}
	return s.Memory.Put(ctx, name, value, version)
}

// Guards against a quarantine whose write the store acknowledges and loses.
func TestWriteAcrossARestorationIsRepeated(t *testing.T) {
	n := newGuardedNode()
	store := &forgetfulStore{}
	n.deps.Store, n.quarantines.ctx = store, t.Context()
	n.quarantines.handle(quarantineInput{changes: []tpcrash.Change{{Key: 7, Quarantined: true, Crashes: []string{"a@1"}}}})
	if _, err := store.Get(t.Context(), quarantineObjectPrefix+n.cfg.Region); err != nil {
		t.Errorf("stored quarantines after a restoration: %v", err)
	}
}

// View implements tpobject.Viewer.
func (s *forgetfulStore) View(context.Context, string) (tpobject.View, error) {
	return tpobject.View{}, nil
}

// Follow implements tpobject.Viewer. The store is restored during the call.
func (s *forgetfulStore) Follow(context.Context, string, uint64) ([]tpobject.Change, uint64, error) {
	s.era.Add(1)
	return nil, 9, nil
}

// Guards against changes that are taken for those of the new era, because
// another call has learnt of it while their answer was on its way.
func TestWatchAcrossARestorationIsDiscarded(t *testing.T) {
	n := newGuardedNode()
	n.deps.Viewer = &forgetfulStore{}
	f := &objectFilter{node: n, ctx: t.Context(), in: tpring.New[followInput](tpring.Settings{Capacity: 1})}
	f.fetch(fetch{ctx: t.Context(), kind: "servers", action: tpfollow.Action{Kind: tpfollow.ActionWatch}})
	if in, err := f.in.TryTake(); err != nil || !errors.Is(in.err, tpobject.ErrHistoryGone) {
		t.Errorf("result of the watch: got %+v, %v, want ErrHistoryGone", in, err)
	}
}
