package tpusage

// Policy is the policy for whether a report is fixed before it is sent.
type Policy interface {
	// Fixes reports whether counts are stored before they are sent, and whether
	// the counts that an earlier holder stored are repeated.
	Fixes() bool
}

// Fixed is the policy in production.
type Fixed struct{}

// Fixes implements Policy.
func (Fixed) Fixes() bool { return true }

// Naive sends what a holder has gathered, without a record. Tests use it to show
// that they detect the reports that Fixed prevents.
type Naive struct{}

// Fixes implements Policy.
func (Naive) Fixes() bool { return false }
