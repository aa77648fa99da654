package tpfollow

import "time"

// ConfirmedAt returns a time before which the platform has acknowledged no change
// that the view misses. It returns false if the view was never confirmed, for
// instance if it comes from a peer that has lost the platform.
func (f *Follower) ConfirmedAt() (time.Time, bool) {
	return f.confirmedAt, f.known && !f.confirmedAt.IsZero()
}
