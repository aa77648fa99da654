// Package tpring provides the bounded ring that joins two filters.
//
// A ring has one rule for what happens when it is full, chosen by the call
// that a producer makes: Put blocks, TryPut refuses, and PutDropOldest makes
// room by discarding the oldest value of a lossy stream. Waiting callers sleep
// on a condition variable; nothing polls.
package tpring
