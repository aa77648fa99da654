// Package tpevent records the newest events of one process. Events carry the
// time of a hybrid logical clock, so that the events of several processes merge
// in causal order.
package tpevent
