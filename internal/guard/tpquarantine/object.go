package tpquarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Error is the class of errors of this package.
var Error = errs.Class("quarantine")

// ObjectPrefix begins the name of the object that holds the quarantined
// fingerprints of a region.
const ObjectPrefix = "quarantine/"

// Name returns the form in which a fingerprint appears in events and logs.
func Name(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// Read returns the quarantined fingerprints of a region and the version of
// their object, or none and 0 if there is no object yet.
func Read(ctx context.Context, store tpobject.Store, region string) ([]tpmessage.Suspect, uint64, error) {
	o, err := store.Get(ctx, ObjectPrefix+region)
	if errors.Is(err, tpobject.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var held []tpmessage.Suspect
	if err := json.Unmarshal(o.Value, &held); err != nil {
		return nil, o.Version, Error.New("object of region %q: %w", region, err)
	}
	return held, o.Version, nil
}

// Add writes fingerprints to the region's object by one conditional update,
// and returns all that it then holds. It writes nothing if they are there. The
// caller tries again after an error; a write whose answer was lost is then
// found in the object.
func Add(ctx context.Context, store tpobject.Store, region string, add []tpmessage.Suspect) ([]tpmessage.Suspect, error) {
	held, version, err := Read(ctx, store, region)
	if err != nil {
		return nil, err
	}
	var all Quarantine
	all.Merge(time.Time{}, held)
	before := len(all.Quarantined())
	all.Merge(time.Time{}, add)
	union := all.Quarantined()
	if len(union) == before {
		return union, nil
	}
	data, err := json.Marshal(union)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = store.Put(ctx, ObjectPrefix+region, data, version)
	return union, err
}
