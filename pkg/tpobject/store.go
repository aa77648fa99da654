package tpobject

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

var (
	// ErrConflict is returned if the object's version is not the expected one.
	// Nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound is returned if the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable is returned if the platform refused the call without
	// running it. Nothing was written.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrOutcomeUnknown is returned if the answer was lost. A write may or may
	// not have taken effect; the caller must read the object to find out.
	ErrOutcomeUnknown = errors.New("object API outcome unknown")
	// ErrTooLarge is returned if the value is larger than MaxValueBytes.
	// Nothing was written.
	ErrTooLarge = errors.New("object value too large")
)

// Object is a named value. Versions increase with every write to any object of
// the store, so an object that is deleted and created again does not repeat a
// version.
type Object struct {
	Name    string `json:"name"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Change is one change that a watch returns. If Deleted is true, Object has no
// value and the version of the deletion.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's object API. Each method makes one call, which counts
// against the platform's rate limit.
type Store interface {
	// Get returns the object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes value if the object's version equals version. Version 0 means
	// that the object must not exist. It returns the new version, or
	// ErrConflict if the versions differ.
	Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error)
	// Delete removes the object if its version equals version. It returns
	// ErrConflict if the versions differ.
	Delete(ctx context.Context, name string, version uint64) error
	// List returns the objects whose names begin with prefix, sorted by name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits for changes with versions above after to objects whose names
	// begin with prefix. It returns them in the order of their versions, or no
	// changes and no error if the platform ended the wait first.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, error)
}

// ErrHistoryGone is returned by a watch after a version whose changes the
// platform no longer stores. The caller must list the objects again.
var ErrHistoryGone = errors.New("object history is gone")

// View holds all objects of one kind at one version of the store.
type View struct {
	Kind string
	// Era is the era of the store, as EraSource defines it. Versions of different
	// eras cannot be compared.
	Era     uint64
	Version uint64 // of the store
	Objects []Object
	// Skipped is the number of objects that are missing because not even their
	// names can be read.
	Skipped int
	// ReadAt is when the read of the platform began that returned the view, by the
	// clock of the reader. It is zero if that is not known.
	ReadAt time.Time
}

// Viewer reads all objects of a kind. Each method makes one call, which counts
// against the platform's rate limit.
type Viewer interface {
	// View returns the present objects of a kind.
	View(ctx context.Context, kind string) (View, error)
	// Follow waits for changes with versions above after to objects of the
	// kind. It returns the changes and the version up to which they are
	// complete, or ErrHistoryGone if the platform no longer stores the changes.
	Follow(ctx context.Context, kind string, after uint64) ([]Change, uint64, error)
}

// EraSource is implemented by a Store that may be restored from an older copy.
// The era rises with each restoration, which loses the writes since the copy and
// assigns their versions again.
type EraSource interface {
	// Era returns the highest era that an answer of the store has named. An
	// answer of a lower era counts as not received. So an answer to a call is of
	// the era before the call if the era after it is the same. Era is safe for
	// concurrent use.
	Era() uint64
}

// EraOf returns the era of a store. It is 0 for a store that is no EraSource.
func EraOf(store any) uint64 {
	if s, ok := store.(EraSource); ok {
		return s.Era()
	}
	return 0
}

// Older reports whether v is of an earlier state of the store than other.
func (v *View) Older(other *View) bool {
	if v.Era != other.Era {
		return v.Era < other.Era
	}
	return v.Version < other.Version
}
