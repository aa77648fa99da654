package tplease

import "time"

// AuthorityPolicy is the policy for how long a holder acts on its last renewal,
// and whether its authority is checked.
type AuthorityPolicy interface {
	// Until returns the time until which a holder acts. deadline is the end of
	// the term of its last renewal.
	Until(deadline time.Time) time.Time
	// Fenced reports whether authority is checked beyond the holder's own
	// clock: the fencing number rises with each grant, the lease is read again
	// before an order's body is sent, and a new holder waits until late bodies
	// expire.
	Fenced() bool
	// FollowsEras reports whether the lease takes account of a store that is
	// restored from an older copy.
	FollowsEras() bool
}

// Strict is the policy in production. A holder acts until the end of its term,
// and its authority is fenced.
type Strict struct{}

// Until implements AuthorityPolicy.
func (Strict) Until(deadline time.Time) time.Time { return deadline }

// Fenced implements AuthorityPolicy.
func (Strict) Fenced() bool { return true }

// FollowsEras implements AuthorityPolicy.
func (Strict) FollowsEras() bool { return true }

// EraBlind is Strict for a store that is never restored from an older copy.
// Tests use it to show that they detect what a restoration leads to.
type EraBlind struct{ Strict }

// FollowsEras implements AuthorityPolicy.
func (EraBlind) FollowsEras() bool { return false }

// Naive is a policy that does not prevent two holders from acting at the same
// time. A holder acts until it reads that it lost the lease, and all grants
// have the same fencing number. Tests use it to show that they detect the
// violations that Strict prevents.
type Naive struct{}

// naiveExtension is longer than the duration of any test.
const naiveExtension = 1000 * time.Hour

// Until implements AuthorityPolicy.
func (Naive) Until(deadline time.Time) time.Time { return deadline.Add(naiveExtension) }

// Fenced implements AuthorityPolicy.
func (Naive) Fenced() bool { return false }

// FollowsEras implements AuthorityPolicy.
func (Naive) FollowsEras() bool { return false }
