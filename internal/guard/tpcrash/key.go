package tpcrash

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// The seeds keep the keys of parts and of whole requests apart.
const (
	partSeed    = 1
	contentSeed = 2
)

// Name returns a key as 16 hexadecimal digits, as it appears in logs.
func Name(key uint64) string { return fmt.Sprintf("%016x", key) }

// PartKeys returns the keys of the parts of a prompt that other requests may
// share: all but the last.
func PartKeys(req *tpmessage.RelayRequest) []uint64 {
	if len(req.PromptParts) < 2 {
		return nil
	}
	shared := req.PromptParts[:len(req.PromptParts)-1]
	keys := make([]uint64, 0, len(shared)+1) // one more for the content
	for _, p := range shared {
		var hash [8]byte
		binary.BigEndian.PutUint64(hash[:], p.Hash)
		keys = append(keys, xxh3.HashSeed(hash[:], partSeed))
	}
	return keys
}

// Keys returns the keys of a request: those of its shared parts, and one for
// its caller, method, host, URI and body.
func Keys(req *tpmessage.RelayRequest) []uint64 {
	head := strconv.Quote(req.Caller) + strconv.Quote(req.Method) + strconv.Quote(req.Host) + strconv.Quote(req.URI)
	return append(PartKeys(req), xxh3.HashSeed(req.Body, xxh3.HashStringSeed(head, contentSeed)))
}
