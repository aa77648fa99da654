// Package tphistory records what callers saw and what targets ran, and checks
// it against the promises. The checks read only these records, never a
// counter of the system.
package tphistory
