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

// Held is a head with the JSON of all or some of its parts, by part name.
type Held struct {
	Head  tpmessage.Head
	Parts map[string][]byte
}

// Digest returns a hash of the names and contents of all parts. It returns ""
// if there are no parts.
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

// ChangedSince returns the head with the parts that were written after the
// given generation. The name of a part's object contains the generation that
// wrote it.
func ChangedSince(held Held, generation uint64) Held {
	changed := Held{Head: held.Head, Parts: make(map[string][]byte)}
	for part, object := range held.Head.Parts {
		if data := held.Parts[part]; data != nil && objectGeneration(object) > generation {
			changed.Parts[part] = data
		}
	}
	return changed
}

// Complete returns the parts received from a peer together with the unchanged
// parts of the node's current configuration. It returns an error if a part is
// missing in both, or if the peer holds no configuration.
func Complete(received, current Held) (Held, error) {
	held := Held{Head: received.Head, Parts: make(map[string][]byte, len(received.Head.Parts))}
	if received.Head.Generation == 0 {
		return held, Error.New("the peer holds no configuration")
	}
	for part, object := range received.Head.Parts {
		switch {
		case received.Parts[part] != nil:
			held.Parts[part] = received.Parts[part]
		case current.Head.Parts[part] == object && current.Parts[part] != nil:
			held.Parts[part] = current.Parts[part]
		default:
			return held, Error.New("the peer did not send part %q of generation %d", part, received.Head.Generation)
		}
	}
	return held, nil
}

// objectGeneration returns the generation in the name of a part's object. It
// returns 0 if the name contains none.
func objectGeneration(object string) uint64 {
	number, _, _ := strings.Cut(path.Base(object), "-")
	generation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0
	}
	return generation
}

// Previous returns the generation number and the part objects of the generation
// before a head, as recorded in its Replaced field.
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
