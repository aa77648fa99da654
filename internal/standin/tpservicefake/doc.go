// Package tpservicefake is a stand-in for a plain service with reservations,
// confirmations and swaps. It records every run.
package tpservicefake
