package tprollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/google/uuid"

	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// ErrRace is returned if another configuration was accepted since the one
// that the operator read. Nothing was accepted.
var ErrRace = errors.New("another configuration was accepted first")

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

// Held is a head with the JSON of its parts.
type Held struct {
	Head  tpmessage.Head
	Parts map[string][]byte
}

// Publish makes cfg the accepted configuration if the accepted generation is
// still expect. Only the changed parts are written; the write of the head is
// the acceptance. A lost answer is settled by reading the head back.
func Publish(ctx context.Context, store tpobject.Store, cfg *tpmessage.Config, expect uint64, author string) (tpmessage.Head, error) {
	old, version, err := ReadHead(ctx, store)
	if err != nil {
		return tpmessage.Head{}, err
	}
	if old.Generation != expect {
		return old, Error.New("%w: expected generation %d, found %d by %s", ErrRace, expect, old.Generation, old.Author)
	}
	held, err := ReadParts(ctx, store, old, Held{})
	if err != nil {
		return old, err
	}
	parts, err := Split(cfg)
	if err != nil {
		return old, err
	}
	head := tpmessage.Head{
		Generation: expect + 1,
		Parts:      make(map[string]string, len(parts)),
		Nonce:      uuid.NewString(),
		Author:     author,
	}
	for part, data := range parts {
		if bytes.Equal(held.Parts[part], data) {
			head.Parts[part] = old.Parts[part]
			continue
		}
		object := fmt.Sprintf("%s%s/%d-%s", PartPrefix, part, head.Generation, head.Nonce)
		if err := putPart(ctx, store, object, data); err != nil {
			return old, err
		}
		head.Parts[part] = object
	}
	if maps.Equal(head.Parts, old.Parts) {
		return old, nil
	}
	return commit(ctx, store, head, version)
}

// putPart writes a part object. Its name is unique, so that a conflict after a
// lost answer means that the write has taken effect.
func putPart(ctx context.Context, store tpobject.Store, object string, data []byte) error {
	_, err := store.Put(ctx, object, data, 0)
	if errors.Is(err, tpobject.ErrOutcomeUnknown) {
		_, err = store.Put(ctx, object, data, 0)
		if errors.Is(err, tpobject.ErrConflict) {
			return nil
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
	_, err = store.Put(ctx, HeadName, data, version)
	if err == nil {
		return head, nil
	}
	if !errors.Is(err, tpobject.ErrConflict) && !errors.Is(err, tpobject.ErrOutcomeUnknown) {
		return head, err
	}
	now, _, readErr := ReadHead(ctx, store)
	if readErr != nil {
		return head, Error.New("%w; reading back: %w", err, readErr)
	}
	if now.Nonce == head.Nonce {
		return head, nil
	}
	if errors.Is(err, tpobject.ErrConflict) || now.Generation >= head.Generation {
		return now, Error.New("%w: generation %d by %s", ErrRace, now.Generation, now.Author)
	}
	return now, err
}
