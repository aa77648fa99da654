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
	// lineageLength is the number of nonces in a head, its own and those of its
	// predecessors. An operator whose answer is lost finds its nonce there if
	// it reads the head back before 16 more changes. At 34,000 changes a day
	// these span 40 s, and a call times out after 3 s.
	lineageLength = 16
	// writeAttempts is the number of attempts at a write with an unknown
	// outcome. The expected version ensures that at most one takes effect.
	writeAttempts = 3
)

// ErrRace means that another configuration was accepted after the operator had
// read the expected one. The operator's configuration was not accepted.
var ErrRace = errors.New("another configuration was accepted first")

// RaceError is an ErrRace with the expected generation and the accepted head.
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

// ReadParts returns the JSON of the parts that a head names. It does not read
// the parts that current holds under the same object name.
func ReadParts(ctx context.Context, store tpobject.Store, head tpmessage.Head, current Held) (Held, error) {
	held := Held{Head: head, Parts: make(map[string][]byte, len(head.Parts))}
	for part, object := range head.Parts {
		if current.Head.Parts[part] == object && current.Parts[part] != nil {
			held.Parts[part] = current.Parts[part]
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
// still expect. Otherwise it returns a RaceError. Publish writes only the
// changed parts and then the head, and the write of the head accepts the
// configuration. If the answer to this write is lost, Publish reads the head
// back. It returns an error that matches tpobject.ErrOutcomeUnknown if that
// does not determine the outcome. An unchanged configuration keeps its
// generation.
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
		// The parts of a generation are removed two generations later, so the
		// head may have changed since it was read.
		if accepted, _, readErr := ReadHead(ctx, store); readErr == nil && accepted.Generation != expect {
			return accepted, &RaceError{Expected: expect, Found: accepted}
		}
	}
	if err != nil {
		return old, err
	}
	parts, err := Split(cfg)
	if err != nil {
		return old, err
	}
	head := nextHead(old, held, parts, author)
	if maps.Equal(head.Parts, old.Parts) {
		return old, nil
	}
	written, err := putParts(ctx, store, head, parts)
	if err == nil {
		var accepted tpmessage.Head
		accepted, err = commit(ctx, store, head, version)
		if err == nil {
			removeReplaced(ctx, store, old, head)
			return head, nil
		}
		if errors.Is(err, ErrRace) {
			old = accepted
		}
	}
	if !errors.Is(err, tpobject.ErrOutcomeUnknown) {
		removeObjects(ctx, store, written)
	}
	return old, err
}

// newNonce returns 60 random bits in hexadecimal form. A longer nonce would
// make the object names in a head longer.
func newNonce() string {
	id := uuid.New()
	return hex.EncodeToString(id[:8])
}

// nextHead returns the head after old for the given parts. Unchanged parts keep
// their objects.
func nextHead(old tpmessage.Head, held Held, parts map[string][]byte, author string) tpmessage.Head {
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

// putParts writes the part objects that are new in the head. It returns the
// names of the objects that may exist now, also if it returns an error.
func putParts(ctx context.Context, store tpobject.Store, head tpmessage.Head, parts map[string][]byte) ([]string, error) {
	var written []string
	for part, object := range head.Parts {
		if objectGeneration(object) != head.Generation {
			continue
		}
		written = append(written, object)
		if err := putPart(ctx, store, object, parts[part]); err != nil {
			// A part without a head that names it has no effect, so the outcome
			// of Publish is known: the configuration was not accepted.
			if errors.Is(err, tpobject.ErrOutcomeUnknown) {
				err = fmt.Errorf("%w: %s", tpobject.ErrUnavailable, err.Error())
			}
			return written, Error.New("write part %q: %w", part, err)
		}
	}
	return written, nil
}

// putPart writes a part object. Its name is unique, so a conflict after a lost
// answer means that the first write has taken effect.
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

// commit writes the head over the given version. It returns the written head,
// or the accepted one with an ErrRace if another head was accepted first.
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
		accepted, _, readErr := ReadHead(ctx, store)
		if readErr != nil {
			return head, Error.New("%w: the head could not be read back: %v", tpobject.ErrOutcomeUnknown, readErr)
		}
		if slices.Contains(accepted.Lineage, head.Nonce) {
			return head, nil
		}
		if accepted.Generation >= head.Generation+lineageLength {
			return accepted, Error.New("%w: too many configurations were accepted since", tpobject.ErrOutcomeUnknown)
		}
		if accepted.Generation >= head.Generation {
			return accepted, &RaceError{Expected: head.Generation - 1, Found: accepted}
		}
	}
	return head, Error.New("%w: %v", tpobject.ErrOutcomeUnknown, err)
}
