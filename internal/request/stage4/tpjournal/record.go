package tpjournal

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

const (
	// Shards is the number of shards in a region.
	Shards = 16
	// MaxResultBytes is the maximum size of a result that is kept for repeats.
	MaxResultBytes = 4 << 10
	// Retention is the time for which a key is kept, counted from the time in
	// the key.
	Retention = 15 * time.Minute
	// MaxFutureSkew bounds how far the time in a key may lie in the future by
	// the holder's clock. An entry is kept until Retention after its key's
	// time, so the entry of a key far in the future would be kept for too long.
	MaxFutureSkew = time.Minute
)

// Error is the class of errors of this package.
var Error = errs.Class("journal")

// State is the state of a key. It is stored with the entry.
type State string

// The states of a key.
const (
	StateClaimed State = "claimed" // one attempt may run the call
	StateDone    State = "done"    // the result is known
	StateNotRun  State = "notRun"  // the attempt ended before it sent a byte
)

// Entry is the journal's record of one key.
type Entry struct {
	Key          string `json:"key"`
	Attempt      string `json:"attempt"` // the only attempt that may send the call
	Organisation string `json:"organisation"`
	Fingerprint  uint64 `json:"fingerprint"`
	Pool         string `json:"pool"`
	State        State  `json:"state"`
	Status       int    `json:"status,omitempty"`
	Result       []byte `json:"result,omitempty"`
	Omitted      bool   `json:"omitted,omitempty"` // the result exceeded MaxResultBytes
}

// entryOverheadBytes is the approximate size of an encoded entry without its
// strings and its result.
const entryOverheadBytes = 140

// size estimates the size of the encoded entry in bytes. The encoding stores
// the result in base64, hence the factor 4/3.
func (e *Entry) size() int {
	return entryOverheadBytes + len(e.Key) + len(e.Attempt) + len(e.Organisation) + len(e.Pool) + len(e.Result)*4/3
}

// Archive identifies an object that holds entries moved out of the tail.
type Archive struct {
	Fencing     uint64 `json:"fencing"` // fencing number of the holder that wrote it
	Number      uint64 `json:"number"`
	NewestKeyMs int64  `json:"newest"` // latest time of its keys, in milliseconds since 1970
}

// Record is the content of a journal object, which is a tail, an archive or one
// call. Archives and calls use only Entries.
type Record struct {
	Group   string `json:"group,omitempty"`   // identity of the last update; shows whether an update whose answer was lost took effect
	Holder  string `json:"holder,omitempty"`  // incarnation of the node that wrote the last update
	Fencing uint64 `json:"fencing,omitempty"` // increases with each change of the holder
	// DropBefore is a time in milliseconds since 1970. A key with an earlier
	// time may have been dropped, so its call never runs. DropBefore only
	// increases.
	DropBefore int64 `json:"dropBefore,omitempty"`
	// Archived is the number of archives that were written under Fencing and
	// are listed.
	Archived uint64    `json:"archived,omitempty"`
	Entries  []Entry   `json:"entries"`
	Archives []Archive `json:"archives,omitempty"` // oldest first
}

// ShardOf returns the shard of a key, from 0 to Shards-1.
func ShardOf(key string) int { return int(xxh3.HashString(key) % Shards) }

// ShardName returns the name of a shard, from which its holder is derived.
func ShardName(region string, shard int) string { return fmt.Sprintf("journal/%s/%d", region, shard) }

// TailName returns the name of a shard's tail object.
func TailName(region string, shard int) string { return ShardName(region, shard) + "/tail" }

// ArchiveName returns the name of an archive object of a shard.
func ArchiveName(region string, shard int, a Archive) string {
	return fmt.Sprintf("%s/archive/%d-%d", ShardName(region, shard), a.Fencing, a.Number)
}

// CallName returns the name of the object of one call, as PerCall stores it.
func CallName(region, key string) string { return "journal/" + region + "/call/" + key }

// KeyTime returns the time in a key, a UUID of version 7, in milliseconds since
// 1970. It returns 0 if the key is not such a UUID.
func KeyTime(key string) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}
