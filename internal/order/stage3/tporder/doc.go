// Package tporder decides which order each engine receives next. An engine has
// at most one outstanding order. The order is recorded on the platform before
// it is sent. It is settled by reading the engine's status before the next
// order is recorded.
package tporder
