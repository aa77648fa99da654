package tpmember

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// Incarnation returns an identifier for one run of a process. It consists of
// the start time in milliseconds and a random number, both in base 36 and of
// fixed width, so that identifiers of later runs sort after those of earlier
// ones. A start before 1970 counts as 1970.
func Incarnation(start time.Time, rng *rand.Rand) string {
	ms := strconv.FormatInt(max(0, start.UnixMilli()), 36)
	nonce := strconv.FormatUint(rng.Uint64N(36*36*36*36), 36)
	return fmt.Sprintf("%09s%04s", ms, nonce)
}
