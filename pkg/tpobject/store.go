package tpobject

import (
	"context"
	"errors"
)

// MaxValueBytes is the size of the largest value that the platform holds.
const MaxValueBytes = 1 << 20

var (
	// ErrConflict is returned if the object's version is not the expected one.
	// Nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound is returned if the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable is returned if the platform refused the call before it
	// ran it. Nothing was written.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrOutcomeUnknown is returned if the answer was lost: a write may or may
	// not have taken effect. The caller reads back to find out.
	ErrOutcomeUnknown = errors.New("object API outcome unknown")
	// ErrTooLarge is returned for a value over MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("object value too large")
)

// Object is a named value. Versions rise with every write to any object of
// the store, so that a deleted and recreated object never repeats a version.
type Object struct {
	Name    string `json:"name"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Change is one entry of a watch. A deletion has Deleted set and no value.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's object API. Each method is one call that the
// platform counts against its rate.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes the value if the object's version is still version, where 0
	// means that the object must not exist. It returns the new version, or
	// ErrConflict.
	Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, name string, version uint64) error
	// List returns the objects whose names begin with prefix, sorted by name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object whose name begins with prefix has a version
	// above after, and returns such changes in the order of their versions. It
	// returns no changes and no error if the platform ended the wait first.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, error)
}

// ErrHistoryGone is returned by a watch from a version that the platform no
// longer keeps. The caller lists again.
var ErrHistoryGone = errors.New("object history is gone")

// View is all objects of one kind at a version of the store.
type View struct {
	Kind    string
	Version uint64 // of the store
	Objects []Object
}

// Viewer reads kinds of objects. Each method is one call that the platform
// counts against its rate.
type Viewer interface {
	// View lists the objects of a kind.
	View(ctx context.Context, kind string) (View, error)
	// Follow waits until objects of the kind change after a version, and
	// returns the changes and the version up to which they are complete. It
	// returns ErrHistoryGone if the changes are no longer known.
	Follow(ctx context.Context, kind string, after uint64) ([]Change, uint64, error)
}
