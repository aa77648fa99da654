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

// ObjectPrefix is the prefix of the name of the object that holds a region's
// quarantined fingerprints. The name of the region follows.
const ObjectPrefix = "quarantine/"

// Name returns a fingerprint as 16 hexadecimal digits, as it appears in events
// and logs.
func Name(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// Read returns the quarantined fingerprints of a region and the version of
// their object. If the object does not exist, it returns no fingerprints and
// version 0.
func Read(ctx context.Context, store tpobject.Store, region string) ([]tpmessage.SuspectRequest, uint64, error) {
	o, err := store.Get(ctx, ObjectPrefix+region)
	if errors.Is(err, tpobject.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var stored []tpmessage.SuspectRequest
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return nil, o.Version, Error.New("object of region %q: %w", region, err)
	}
	return stored, o.Version, nil
}

// Add adds suspects to the region's object by one conditional update, and
// returns all fingerprints that the object then holds. It writes nothing if the
// object holds them already. After an error, call Add again: if the update took
// effect and only its answer was lost, Add finds the fingerprints in the
// object.
func Add(ctx context.Context, store tpobject.Store, region string, suspects []tpmessage.SuspectRequest) ([]tpmessage.SuspectRequest, error) {
	stored, version, err := Read(ctx, store, region)
	if err != nil {
		return nil, err
	}
	var merged Quarantine
	merged.Merge(time.Time{}, stored)
	storedCount := len(merged.Quarantined())
	merged.Merge(time.Time{}, suspects)
	quarantined := merged.Quarantined()
	if len(quarantined) == storedCount {
		return quarantined, nil
	}
	data, err := json.Marshal(quarantined)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = store.Put(ctx, ObjectPrefix+region, data, version)
	return quarantined, err
}
