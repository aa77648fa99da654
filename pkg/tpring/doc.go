// Package tpring provides the bounded ring buffer that connects two filters.
//
// The method that a producer calls determines what happens if the ring is full:
// Put blocks, TryPut returns an error, and PutDropOldest discards the oldest
// value, for streams that may lose values. Blocked callers wait on a condition
// variable and do not poll.
package tpring
