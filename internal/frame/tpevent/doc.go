// Package tpevent keeps the bounded timeline of one process. Events carry a
// hybrid logical clock, so that the timelines of many processes merge in
// causal order.
package tpevent
