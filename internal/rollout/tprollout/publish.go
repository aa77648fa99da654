package tprollout

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

const (
	// lineageLength is the number of nonces that a head keeps. At 34,000
	// changes a day, 16 of them span 40 s, and a call times out after 3 s.
	lineageLength = 16
	// writeAttempts is how often a write with an unknown outcome is tried. The
	// expected version makes sure that at most one of them takes effect.
	writeAttempts = 3
)

// ErrRace is returned if another configuration was accepted since the one
// that the operator read. Nothing was accepted.
var ErrRace = errors.New("another configuration was accepted first")

// RaceError is an ErrRace with the head that was found instead.
type RaceError struct {
	Expected uint64
	Found    tpmessage.Head
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("%v: expected generation %d, found %d by %s", ErrRace, e.Expected, e.Found.Generation, e.Found.Author)
}

// Unwrap makes the error match ErrRace.
func (e *RaceError) Unwrap() error { return ErrRace }

// ReadHead returns the accepted head and the version of its object, or a zero
// head and version if no configuration was ever accepted.
func ReadHead(ctx context.Context, store tpobject.Store) (tpmessage.Head, uint64, error) {
	var head tpmessage.Head
	o, err := store.Get(ctx, HeadName)
	if errors.Is(err, tpobject.ErrNotFound) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, err
	}
	return head, o.Version, Error.Wrap(json.Unmarshal(o.Value, &head))
}

// ReadParts returns the JSON of the parts that a head names. A part whose
// object have already holds under the same name is not read again.
func ReadParts(ctx context.Context, store tpobject.Store, head tpmessage.Head, have Held) (Held, error) {
	held := Held{Head: head, Parts: make(map[string][]byte, len(head.Parts))}
	for part, object := range head.Parts {
		if have.Head.Parts[part] == object && have.Parts[part] != nil {
			held.Parts[part] = have.Parts[part]
			continue
		}
		o, err := store.Get(ctx, object)
		if err != nil {
			return Held{}, err
		}
		held.Parts[part] = o.Value
	}
	return held, nil
}

// Publish makes cfg the accepted configuration if the accepted generation is
// still expect. Only the changed parts are written; the write of the head is
// the acceptance. A lost answer is settled by reading the head back; an error
// that matches tpobject.ErrOutcomeUnknown means that this was not possible.
// An unchanged configuration keeps its generation.
func Publish(ctx context.Context, store tpobject.Store, cfg *tpmessage.Config, expect uint64, author string) (tpmessage.Head, error) {
	old, version, err := ReadHead(ctx, store)
	if err != nil {
		return tpmessage.Head{}, err
	}
	if old.Generation != expect {
		return old, &RaceError{Expected: expect, Found: old}
	}
	held, err := ReadParts(ctx, store, old, Held{})
	if errors.Is(err, tpobject.ErrNotFound) {
		// The parts are removed two generations later.
		if now, _, readErr := ReadHead(ctx, store); readErr == nil && now.Generation != expect {
			return now, &RaceError{Expected: expect, Found: now}
		}
	}
	if err != nil {
		return old, err
	}
	parts, err := Split(cfg)
	if err != nil {
		return old, err
	}
	head := succeed(old, held, parts, author)
	if maps.Equal(head.Parts, old.Parts) {
		return old, nil
	}
	written, err := putParts(ctx, store, head, parts)
	if err == nil {
		var now tpmessage.Head
		now, err = commit(ctx, store, head, version)
		if err == nil {
			removeReplaced(ctx, store, old, head)
			return head, nil
		}
		if errors.Is(err, ErrRace) {
			old = now
		}
	}
	if !errors.Is(err, tpobject.ErrOutcomeUnknown) {
		removeObjects(ctx, store, written)
	}
	return old, err
}

// newNonce returns 60 random bits, which keep the names in a head short.
func newNonce() string {
	id := uuid.New()
	return hex.EncodeToString(id[:8])
}

// succeed returns the head that follows old with the given parts.
func succeed(old tpmessage.Head, held Held, parts map[string][]byte, author string) tpmessage.Head {
	head := tpmessage.Head{
		Generation: old.Generation + 1,
		Parts:      make(map[string]string, len(parts)),
		Nonce:      newNonce(),
		Author:     author,
		Replaced:   make(map[string]string),
	}
	head.Lineage = append(slices.Clone(old.Lineage), head.Nonce)
	head.Lineage = head.Lineage[max(0, len(head.Lineage)-lineageLength):]
	for part, data := range parts {
		if bytes.Equal(held.Parts[part], data) {
			head.Parts[part] = old.Parts[part]
			continue
		}
		head.Parts[part] = fmt.Sprintf("%s%s/%d-%s", PartPrefix, part, head.Generation, head.Nonce)
		head.Replaced[part] = old.Parts[part]
	}
	for part, object := range old.Parts {
		if head.Parts[part] == "" {
			head.Replaced[part] = object
		}
	}
	return head
}

// putParts writes the part objects that the head is the first to name, and
// returns the names of those that may exist now.
func putParts(ctx context.Context, store tpobject.Store, head tpmessage.Head, parts map[string][]byte) ([]string, error) {
	var written []string
	for part, object := range head.Parts {
		if objectGeneration(object) != head.Generation {
			continue
		}
		written = append(written, object)
		if err := putPart(ctx, store, object, parts[part]); err != nil {
			// Without the head the part has no effect, so the outcome of the
			// whole is known: nothing was accepted.
			if errors.Is(err, tpobject.ErrOutcomeUnknown) {
				err = fmt.Errorf("%w: %s", tpobject.ErrUnavailable, err.Error())
			}
			return written, Error.New("write part %q: %w", part, err)
		}
	}
	return written, nil
}

// putPart writes a part object. Its name is unique, so that a conflict after a
// lost answer means that the write has taken effect.
func putPart(ctx context.Context, store tpobject.Store, object string, data []byte) error {
	var err error
	for attempt := range writeAttempts {
		_, err = store.Put(ctx, object, data, 0)
		if attempt > 0 && errors.Is(err, tpobject.ErrConflict) {
			return nil
		}
		if !errors.Is(err, tpobject.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

// commit writes the head.
func commit(ctx context.Context, store tpobject.Store, head tpmessage.Head, version uint64) (tpmessage.Head, error) {
	data, err := json.Marshal(head)
	if err != nil {
		return head, Error.Wrap(err)
	}
	for range writeAttempts {
		_, err = store.Put(ctx, HeadName, data, version)
		if err == nil || !errors.Is(err, tpobject.ErrConflict) && !errors.Is(err, tpobject.ErrOutcomeUnknown) {
			return head, err
		}
		now, _, readErr := ReadHead(ctx, store)
		if readErr != nil {
			return head, Error.New("%w: the head could not be read back: %v", tpobject.ErrOutcomeUnknown, readErr)
		}
		if slices.Contains(now.Lineage, head.Nonce) {
			return head, nil
		}
		if now.Generation >= head.Generation+lineageLength {
			return now, Error.New("%w: too many configurations were accepted since", tpobject.ErrOutcomeUnknown)
		}
		if now.Generation >= head.Generation {
			return now, &RaceError{Expected: head.Generation - 1, Found: now}
		}
	}
	return head, Error.New("%w: %v", tpobject.ErrOutcomeUnknown, err)
}
