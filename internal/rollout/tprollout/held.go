package tprollout

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Held is a head with the JSON of its parts, or of some of them.
type Held struct {
	Head  tpmessage.Head
	Parts map[string][]byte
}

// Digest returns a hash of the names and the content of all parts, or "" if
// there are none.
func (h Held) Digest() string {
	if len(h.Parts) == 0 {
		return ""
	}
	hash := xxh3.New()
	for _, part := range slices.Sorted(maps.Keys(h.Parts)) {
		_, _ = hash.WriteString(part + "\n")
		_, _ = hash.Write(h.Parts[part])
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}

// ChangedSince returns the head with the parts that were written after a
// generation. The name of a part's object tells the generation that wrote it.
func ChangedSince(held Held, generation uint64) Held {
	changed := Held{Head: held.Head, Parts: make(map[string][]byte)}
	for part, object := range held.Head.Parts {
		if data := held.Parts[part]; data != nil && objectGeneration(object) > generation {
			changed.Parts[part] = data
		}
	}
	return changed
}

// Complete adds to what a peer sent the parts that have not changed since the
// configuration that the node has.
func Complete(got, have Held) (Held, error) {
	held := Held{Head: got.Head, Parts: make(map[string][]byte, len(got.Head.Parts))}
	if got.Head.Generation == 0 {
		return held, Error.New("the peer holds no configuration")
	}
	for part, object := range got.Head.Parts {
		switch {
		case got.Parts[part] != nil:
			held.Parts[part] = got.Parts[part]
		case have.Head.Parts[part] == object && have.Parts[part] != nil:
			held.Parts[part] = have.Parts[part]
		default:
			return held, Error.New("the peer did not send part %q of generation %d", part, got.Head.Generation)
		}
	}
	return held, nil
}

// objectGeneration returns the generation in the name of a part's object, or
// 0 if it has none.
func objectGeneration(object string) uint64 {
	number, _, _ := strings.Cut(path.Base(object), "-")
	generation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0
	}
	return generation
}

// Previous returns the parts of the generation before a head, as far as the
// head tells them.
func Previous(head tpmessage.Head) tpmessage.Head {
	previous := tpmessage.Head{Parts: make(map[string]string, len(head.Parts))}
	if head.Generation > 0 {
		previous.Generation = head.Generation - 1
	}
	for part, object := range head.Parts {
		previous.Parts[part] = object
	}
	for part, object := range head.Replaced {
		if object == "" {
			delete(previous.Parts, part)
			continue
		}
		previous.Parts[part] = object
	}
	return previous
}
