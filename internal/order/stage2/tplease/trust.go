package tplease

import "time"

// Trust is the policy that decides how far a holder believes its last news of
// a lease.
type Trust interface {
	// Until returns the instant up to which a holder acts, given the deadline
	// that follows from its last renewal.
	Until(deadline time.Time) time.Time
	// Fenced reports whether authority is checked behind the holder's back:
	// the fencing number rises with each grant, the lease is read again before
	// an order's body is sent, and a new holder waits for late bodies.
	Fenced() bool
}

// Strict is the policy of the product.
type Strict struct{}

// Until implements Trust.
func (Strict) Until(deadline time.Time) time.Time { return deadline }

// Fenced implements Trust.
func (Strict) Fenced() bool { return true }

// Naive is the policy of a holder that believes to hold the lease until it
// reads otherwise, and whose grants all carry the same fencing number. Tests
// compare it with Strict.
type Naive struct{}

// naiveTrust is longer than any test runs.
const naiveTrust = 1000 * time.Hour

// Until implements Trust.
func (Naive) Until(deadline time.Time) time.Time { return deadline.Add(naiveTrust) }

// Fenced implements Trust.
func (Naive) Fenced() bool { return false }
