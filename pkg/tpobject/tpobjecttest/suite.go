// Package tpobjecttest holds conformance tests for implementations of
// tpobject.Store.
package tpobjecttest

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Run tests the rules of tpobject.Store. It calls open once for each subtest,
// for an empty store.
func Run(t *testing.T, open func(t *testing.T) tpobject.Store) {
	t.Helper()
	t.Run("ConditionalPut", func(t *testing.T) { conditionalPut(t, open(t)) })
	t.Run("VersionsNeverRepeat", func(t *testing.T) { versionsNeverRepeat(t, open(t)) })
	t.Run("OneWinner", func(t *testing.T) { oneWinner(t, open(t)) })
	t.Run("WatchSeesChange", func(t *testing.T) { watchSeesChange(t, open(t)) })
	t.Run("ListIsSorted", func(t *testing.T) { listIsSorted(t, open(t)) })
}

// Guards against a put that overwrites an object at another version than the
// expected one, and against wrong errors for missing objects and large values.
func conditionalPut(t *testing.T, s tpobject.Store) {
	ctx := t.Context()
	v1, err := s.Put(ctx, "a", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a", []byte("x"), 0); !errors.Is(err, tpobject.ErrConflict) {
		t.Errorf("create of an existing object: got %v, want ErrConflict", err)
	}
	if _, err := s.Put(ctx, "a", []byte("2"), v1); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a", []byte("x"), v1); !errors.Is(err, tpobject.ErrConflict) {
		t.Errorf("put at an old version: got %v, want ErrConflict", err)
	}
	o, err := s.Get(ctx, "a")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(o.Value), "2"; got != want {
		t.Errorf("value: got %q, want %q", got, want)
	}
	if _, err := s.Get(ctx, "missing"); !errors.Is(err, tpobject.ErrNotFound) {
		t.Errorf("get of a missing object: got %v, want ErrNotFound", err)
	}
	large := make([]byte, tpobject.MaxValueBytes+1)
	if _, err := s.Put(ctx, "large", large, 0); !errors.Is(err, tpobject.ErrTooLarge) {
		t.Errorf("put of a large value: got %v, want ErrTooLarge", err)
	}
}

// Guards against an object that has an old version again after it was deleted
// and created, so that a put at the old version succeeds.
func versionsNeverRepeat(t *testing.T, s tpobject.Store) {
	ctx := t.Context()
	v1, err := s.Put(ctx, "a", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Delete(ctx, "a", v1+100); !errors.Is(err, tpobject.ErrConflict) {
		t.Errorf("delete at a wrong version: got %v, want ErrConflict", err)
	}
	if err := s.Delete(ctx, "a", v1); err != nil {
		t.Fatal(err)
	}
	v2, err := s.Put(ctx, "a", []byte("2"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if v2 <= v1 {
		t.Errorf("version after recreation: got %d, want more than %d", v2, v1)
	}
	if _, err := s.Put(ctx, "a", []byte("x"), v1); !errors.Is(err, tpobject.ErrConflict) {
		t.Errorf("put at the version of a deleted object: got %v, want ErrConflict", err)
	}
}

// Guards against concurrent creations of the same object of which more than one
// succeeds, or none.
func oneWinner(t *testing.T, s tpobject.Store) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := 0
	for range 8 {
		wg.Go(func() {
			_, err := s.Put(t.Context(), "race", []byte("x"), 0)
			if err == nil {
				mu.Lock()
				got++
				mu.Unlock()
				return
			}
			if !errors.Is(err, tpobject.ErrConflict) {
				t.Errorf("losing put: got %v, want ErrConflict", err)
			}
		})
	}
	wg.Wait()
	if want := 1; got != want {
		t.Errorf("winners: got %d, want %d", got, want)
	}
}

// Guards against a watch that misses a change, or returns a change of an object
// without the prefix or with a version that is not above after.
func watchSeesChange(t *testing.T, s tpobject.Store) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	v1, err := s.Put(ctx, "w/a", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if _, err := s.Put(ctx, "other", []byte("x"), 0); err != nil {
			t.Error(err)
		}
		if _, err := s.Put(ctx, "w/b", []byte("2"), 0); err != nil {
			t.Error(err)
		}
	})
	defer wg.Wait()
	for ctx.Err() == nil {
		changes, err := s.Watch(ctx, "w/", v1)
		if err != nil {
			t.Fatal(err)
		}
		if len(changes) == 0 {
			continue
		}
		if got, want := changes[0].Object.Name, "w/b"; got != want {
			t.Errorf("changed object: got %q, want %q", got, want)
		}
		return
	}
	t.Error("watch: got no change before the deadline, want one")
}

// Guards against a list in another order than by name, or with objects without
// the prefix.
func listIsSorted(t *testing.T, s tpobject.Store) {
	ctx := t.Context()
	for _, name := range []string{"p/b", "q/z", "p/a"} {
		if _, err := s.Put(ctx, name, []byte(name), 0); err != nil {
			t.Fatal(err)
		}
	}
	list, err := s.List(ctx, "p/")
	if err != nil {
		t.Fatal(err)
	}
	if len(list) != 2 || list[0].Name != "p/a" || list[1].Name != "p/b" {
		t.Errorf("list: got %v, want p/a and p/b", list)
	}
}
