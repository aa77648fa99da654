// Package tpservicefake simulates a plain service with reservations,
// confirmations and swaps for tests. It records every run and does not
// deduplicate calls by their idempotency key.
package tpservicefake
