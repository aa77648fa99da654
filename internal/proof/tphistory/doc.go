// Package tphistory records what callers observed and what targets ran, and
// checks these histories against the guarantees of the system. The checks read
// only the histories, never a counter of the system under test.
package tphistory
